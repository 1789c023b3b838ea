package burdockdirect

import (
	"context"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocklockstep"
	"go.uber.org/zap"
)

const (
	// standPauses is how many of the longest pauses that callers accept pass
	// without an event before a group is taken to stand.
	standPauses = 3
	// payAgain is when a request that no retry could be paid for asks again.
	payAgain burdockclock.Millis = 100
)

// group is what a gate knows of the group of its engines. Its lock is the gate's.
type group struct {
	*burdocklockstep.View
	state burdocklockstep.State
	// opened is closed when the group is found to move.
	opened chan struct{}
}

// newGroup returns the group of engines whose callers accept pauses of longest.
func newGroup(longest burdockclock.Millis) *group {
	return &group{
		View:  burdocklockstep.New(burdocklockstep.Config{StallTimeout: standPauses * longest}),
		state: burdocklockstep.Advancing, opened: make(chan struct{}),
	}
}

// look takes up the group's state. The lock must be held.
func (g *gate) look(now burdockclock.Millis) burdocklockstep.State {
	if g.group == nil {
		return burdocklockstep.Advancing
	}
	was, is := g.group.state, g.group.State(now)
	if was == is {
		return is
	}
	g.group.state = is
	g.log.Info("group state", zap.String("from", string(was)), zap.String("to", string(is)))
	if is == burdocklockstep.Advancing {
		close(g.group.opened)
		g.group.opened = make(chan struct{})
	}
	return is
}

// bound returns how many streams may run, of which so many do, and has none started
// while the group doesn't move. Of those that want to, one at a time may be in a
// closed group, to find out whether it has opened. The lock must be held.
func (g *gate) bound(now burdockclock.Millis, running int, wanted bool) int {
	state := g.look(now)
	g.queue.Pause(now, state != burdocklockstep.Advancing)
	switch {
	case state == burdocklockstep.Advancing:
		return g.pace.MaxStreams(g.paceNow(), running)
	case state == burdocklockstep.Closed && wanted && g.group.TryProbe(now):
		g.queue.AllowProbe(now)
		return max(g.slots, running+1)
	}
	return g.slots
}

// hint tells that the group is said to have opened.
func (g *gate) hint() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.group != nil {
		g.group.ProbeNow(g.clock.Boot())
		g.advance()
	}
}

// NotifyGroupOpened tells that some group of engines is said to have opened.
func (e *Entry) NotifyGroupOpened() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		p.gate.hint()
	}
}

// paceNow returns the clock by which reports of load age. It rests while the group
// runs no passes.
func (g *gate) paceNow() burdockclock.Millis {
	now := g.clock.Boot()
	if g.group == nil {
		return now
	}
	return g.group.RunningClock(now)
}

// accepted tells that an engine has begun to answer.
func (g *gate) accepted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.group != nil {
		g.group.EngineAccepted(g.clock.Boot())
		g.advance()
	}
}

// offered tells that a stream is offered to an engine.
func (g *gate) offered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.group != nil {
		g.group.StreamOffered(g.clock.Boot())
	}
}

// offerEnded tells the end of an offer of a stream, which had begun or not.
func (g *gate) offerEnded(begun bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.group != nil {
		g.group.StreamEnded(g.clock.Boot(), begun)
	}
}

// refused takes in the refusal of an engine, and reports whether the group is
// closed.
func (g *gate) refused(u burdockid.Upstream, res notRun) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.group == nil || !res.hasRoom && !res.replaced {
		return false
	}
	now := g.clock.Boot()
	g.group.EngineRefused(now, u)
	g.look(now)
	return g.group.state == burdocklockstep.Closed
}

// opening returns a channel that is closed when the group moves; nil unless the
// group is closed.
func (g *gate) opening() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed() {
		return nil
	}
	return g.group.opened
}

// closed reports whether the group is closed. The lock must be held.
func (g *gate) closed() bool {
	return g.group != nil && g.group.State(g.clock.Boot()) == burdocklockstep.Closed
}

// probe takes the turn to make an offer to a closed group. Requests that have yet to
// be started go first, since an offer of theirs is no retry.
func (g *gate) probe() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.group != nil && g.queue.Load().Queued == 0 && g.group.TryProbe(g.clock.Boot())
}

// awaitOpening waits while the group is closed and it isn't this request's turn to
// find out whether it still is. It reports false when the request should not wait
// any longer.
//
// Failure: all engines lose power, or a rank of the group dies. Symptom: they
// refuse everything until the group has formed anew, about a second after they are
// back; callers that are refused have lost one of their few returns, and those who
// lost their first try to the failure itself are never served. The group opens well
// within the time that callers wait.
func (o *offers) awaitOpening(ctx context.Context) bool {
	g := o.pool.gate
	first := o.sent+o.unreached+o.owed == 0 // which the gate has let through
	if first || o.owed == 0 && g.opening() == nil {
		return true
	}
	for ctx.Err() == nil && o.mayWait() {
		opened := g.opening()
		if (opened == nil || g.probe()) && o.pay() {
			return true
		}
		o.rest(ctx, opened)
	}
	return false
}

// mayWait reports whether a first event could still come before the caller leaves.
// The caller of a stream that has begun tells by leaving.
func (o *offers) mayWait() bool {
	return o.caller.begun || o.entry.now() < o.req.arrived+o.pool.gate.mostWait(o.req)
}

// mostWait is how long a request may wait in all before it is placed.
func (g *gate) mostWait(req *request) burdockclock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.maxWait > 0 {
		return g.maxWait
	}
	return req.deadline - req.arrived
}

// pay takes the retries that the request owes for offers that a closed group has
// refused.
func (o *offers) pay() bool {
	for ; o.owed > 0; o.owed-- {
		if !o.pool.takeRetry(o.entry.now()) {
			return false
		}
	}
	return true
}

// rest waits for the group to open, for a while.
func (o *offers) rest(ctx context.Context, opened <-chan struct{}) {
	timer := time.NewTimer(payAgain.Duration())
	defer timer.Stop()
	select {
	case <-opened:
	case <-timer.C:
	case <-ctx.Done():
	}
}
