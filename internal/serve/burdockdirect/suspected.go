package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"go.uber.org/zap"
)

// hangFactor is how many times the route's latency objective an offer may last before its
// end without an answer counts as a failure of the upstream.
const hangFactor = 4

// recordFailure records that an upstream of a plain service failed a request without an
// answer of its own, and notifies the other entries. Engines are left out: in lock-step
// they fail together, and their streams are resumed.
func (p *pool) recordFailure(now burdockclock.Millis, u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.engine == nil && p.suspected.RecordLocalFailure(now, u, len(p.members)) && p.entry.deps.PublishSuspected != nil {
		p.entry.deps.PublishSuspected(u)
	}
}

// MarkSuspected marks the upstreams that failed requests of other entries.
func (e *Entry) MarkSuspected(all []burdockid.Upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, u := range all {
		for _, p := range e.pools {
			p.markSuspected(e.now(), u)
		}
	}
}

func (p *pool) markSuspected(now burdockclock.Millis, u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isMember(u) {
		p.suspected.RecordRemoteFailure(now, u)
		p.entry.deps.Log.Info("upstream suspected", zap.String("upstream", string(u)), zap.String("service", string(p.service)))
	}
}

// suspectedFor returns the upstreams that a request should not be offered to while there
// are others. The lock must be held.
//
// If one of a few upstreams resets or swallows its requests, callers whose request may run
// only once are told that its outcome is unknown, and may not send it again. Repeatable
// requests still go to a suspected upstream and show when it has recovered.
func (p *pool) suspectedFor(now burdockclock.Millis, req *request) map[burdockid.Upstream]bool {
	if req.route.Repeatable() {
		return nil
	}
	return p.suspected.Suspected(now, len(p.members))
}
