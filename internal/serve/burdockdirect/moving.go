package burdockdirect

import (
	"errors"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
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

// leaving returns a channel that is closed when the streams at an upstream should
// leave it.
func (p *pool) leaving(u burdockid.Upstream) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.moves.from(u)
}

// mayMove reports whether a stream that leaves its engine may be offered again:
// one that is cut and then given up is lost.
func (o *offers) mayMove(now burdockclock.Millis) bool {
	return o.req.route.Repeatable() && o.sent+1 < o.req.route.Attempts && o.pool.affords(now)
}

// affords reports whether the budget has a retry left.
func (p *pool) affords(now burdockclock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Affords(now)
}
