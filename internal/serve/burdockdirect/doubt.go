package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"go.uber.org/zap"
)

// hangsAfter is how many times the time in which an answer should come an offer may
// last before its end without one counts against the upstream.
const hangsAfter = 4

// doubt notes that an upstream of a plain service failed a request without an answer
// of its own, and tells the other entries. Engines in lock-step fail together, and
// their streams are resumed.
func (p *pool) doubt(now burdockclock.Millis, u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.engine == nil && p.doubts.RecordLocalFailure(now, u, len(p.members)) && p.entry.deps.PublishSuspected != nil {
		p.entry.deps.PublishSuspected(u)
	}
}

// MarkSuspected notes upstreams that fail for other entries.
func (e *Entry) MarkSuspected(all []burdockid.Upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, u := range all {
		for _, p := range e.pools {
			p.toldDoubt(e.now(), u)
		}
	}
}

func (p *pool) toldDoubt(now burdockclock.Millis, u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isMember(u) {
		p.doubts.RecordRemoteFailure(now, u)
		p.entry.deps.Log.Info("upstream in doubt", zap.String("upstream", string(u)), zap.String("service", string(p.service)))
	}
}

// avoided returns the upstreams that a request should not be offered to while there
// are others.
//
// Failure: one of a few upstreams resets or swallows what it is sent. Symptom: callers
// whose request may run once only are told that its outcome is unknown, and may not
// send it again. Those requests that may be repeated find out when the upstream is well.
// The lock must be held.
func (p *pool) avoided(now burdockclock.Millis, req *request) map[burdockid.Upstream]bool {
	if req.route.Repeatable() {
		return nil
	}
	return p.doubts.Suspected(now, len(p.members))
}
