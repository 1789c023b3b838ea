package burdockdirect

import (
	"context"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

const (
	// outdatedAfter is the number of upstreams in a row that were found replaced by another
	// process before the known members count as outdated.
	outdatedAfter = 3
	// outdatedTTL is how long they do after the latest one. A request then tries again,
	// in case the others are alive.
	outdatedTTL = burdockclock.Second
	// membersPollInterval bounds one wait for other members.
	membersPollInterval burdockclock.Millis = 100
)

// memberAge tells whether the known members of a pool are outdated.
//
// After a power cut the records of the processes before it are still there for seconds,
// and those of the new processes come one by one. Requests that try one old member after
// the other use up the retries of all entries, and are given up just when the new members
// are known. The pool's lock protects it.
type memberAge struct {
	replaced   int                 // members found replaced since the last change or answer
	replacedAt burdockclock.Millis // when the latest one was
	changed    chan struct{}       // closed when the members change
}

func newMemberAge() memberAge { return memberAge{changed: make(chan struct{})} }

// recordReplaced records that a member was replaced by another process.
func (m *memberAge) recordReplaced(now burdockclock.Millis) {
	m.replaced++
	m.replacedAt = now
}

// renew records that the members have changed.
func (m *memberAge) renew() {
	m.replaced = 0
	close(m.changed)
	m.changed = make(chan struct{})
}

// outdated returns a channel that is closed when the members change; nil if they don't
// count as outdated.
func (p *pool) outdated() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.memberAge.replaced < outdatedAfter || p.entry.now()-p.memberAge.replacedAt >= outdatedTTL {
		return nil
	}
	return p.memberAge.changed
}

// awaitMembers blocks while the known members are outdated. It reports false when the
// request should not wait any longer.
func (o *offers) awaitMembers(ctx context.Context) bool {
	for {
		changed := o.pool.outdated()
		if changed == nil || !o.pool.gate.lockStep() {
			return true
		}
		if ctx.Err() != nil || !o.mayWait() {
			return false
		}
		timer := time.NewTimer(membersPollInterval.Duration())
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// lockStep reports whether the engines run in lock-step.
func (g *gate) lockStep() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.groups != nil
}

// CallersWait reports whether requests wait for the entry to start or for an upstream. News
// of upstreams is then urgent.
func (e *Entry) CallersWait() bool {
	if e.starting.Load() > 0 {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		if p.gate.load().Queued > 0 || p.outdated() != nil {
			return true
		}
	}
	return false
}
