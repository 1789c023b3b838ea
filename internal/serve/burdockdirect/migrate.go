package burdockdirect

import (
	"errors"
	"maps"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// errEngineSlow is the cancel cause of an offer whose stream migrates to another engine.
var errEngineSlow = errors.New("the engine has turned slow")

// migrations tells the streams at an engine when to resume at another one.
//
// If an engine of a lock-step group becomes slow with streams on it, its own part of each
// step, which all ranks wait for, stays long until the last of those streams has ended
// some seconds later, although nothing new is placed there. A stream that resumes
// elsewhere costs its caller one pause and the reading of its prompt, and spares the
// streams of all other ranks that wait.
type migrations map[burdockid.Upstream]chan struct{}

// signal returns a channel that is closed when the streams at an upstream should migrate.
func (m migrations) signal(u burdockid.Upstream) <-chan struct{} {
	ch, ok := m[u]
	if !ok {
		ch = make(chan struct{})
		m[u] = ch
	}
	return ch
}

// migrate tells the streams at an upstream to resume elsewhere.
func (m migrations) migrate(u burdockid.Upstream) {
	if ch, ok := m[u]; ok {
		close(ch)
		delete(m, u)
	}
}

// retain removes the upstreams that are no longer members.
func (m migrations) retain(members map[burdockid.Upstream]burdocksite.Upstream) {
	maps.DeleteFunc(m, func(u burdockid.Upstream, _ chan struct{}) bool {
		_, member := members[u]
		return !member
	})
}

// migrationSignal returns a channel that is closed when the streams at an upstream should
// migrate.
func (p *pool) migrationSignal(u burdockid.Upstream) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.migrations.signal(u)
}

// mayMigrate reports whether a stream that leaves its engine could be offered again.
func (o *offers) mayMigrate() bool {
	return o.req.route.Repeatable() && o.sent+1 < o.req.route.MaxAttempts
}

// payMigration charges the budget for the retry of a stream that is to migrate.
//
// If many streams leave a slow engine at once and the budget is asked only when each has
// been cut, those beyond it are given up, and their callers have half a stream. A stream
// that is paid for before it is cut is certain to be offered again, and one that can't be
// paid for stays where it is.
func (o *offers) payMigration(now burdockclock.Millis) bool {
	if !o.pool.takeRetry(now) {
		return false
	}
	o.retryPaid.Store(true)
	return true
}

// takeRetry charges the budget for a retry, and reports false if it has none left.
func (p *pool) takeRetry(now burdockclock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TryAcquire(now)
}
