package burdockdirect

import (
	"errors"
	"maps"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// errSlow ends an offer whose stream goes on at another engine.
var errSlow = errors.New("the engine has turned slow")

// moves tells the streams at an engine when to go on elsewhere.
//
// Failure: an engine of a lock-stepped group turns slow with streams on it.
// Symptom: its own part of each pass, which all ranks wait for, stays long until
// the last of them has ended, some seconds later, although nothing new is placed
// there. A stream that is resumed elsewhere costs its caller one pause and the
// reading of its prompt, and spares the streams of all other ranks that wait.
type moves map[burdockid.Upstream]chan struct{}

// from returns a channel that is closed when the streams at an upstream should
// leave it.
func (m moves) from(u burdockid.Upstream) <-chan struct{} {
	ch, ok := m[u]
	if !ok {
		ch = make(chan struct{})
		m[u] = ch
	}
	return ch
}

// leave tells the streams at an upstream to go on elsewhere.
func (m moves) leave(u burdockid.Upstream) {
	if ch, ok := m[u]; ok {
		close(ch)
		delete(m, u)
	}
}

// keep forgets the upstreams that are members no longer.
func (m moves) keep(members map[burdockid.Upstream]burdocksite.Upstream) {
	maps.DeleteFunc(m, func(u burdockid.Upstream, _ chan struct{}) bool {
		_, member := members[u]
		return !member
	})
}

// leaving returns a channel that is closed when the streams at an upstream should
// leave it.
func (p *pool) leaving(u burdockid.Upstream) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.moves.from(u)
}

// mayMove reports whether a stream that leaves its engine could be offered again.
func (o *offers) mayMove() bool {
	return o.req.route.Repeatable() && o.sent+1 < o.req.route.Attempts
}

// payMove takes the retry of a stream that is to leave its engine from the budget.
//
// Failure: many streams leave a slow engine at once, and the budget is asked only
// when each has been cut. Symptom: those beyond it are given up, and their callers
// have half a stream. Paid before it is cut, a stream goes on for certain, and one
// that can't be paid stays where it is.
func (o *offers) payMove(now burdockclock.Millis) bool {
	if !o.pool.takeRetry(now) {
		return false
	}
	o.paid.Store(true)
	return true
}

// takeRetry takes a retry from the budget, if there is one.
func (p *pool) takeRetry(now burdockclock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TryAcquire(now)
}
