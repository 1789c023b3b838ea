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
	// stallGaps is how many maximum event gaps have to pass without any event before a
	// group counts as stalled.
	stallGaps = 3
	// budgetRetryInterval is how often a request asks for a retry while the budget has
	// none left.
	budgetRetryInterval burdockclock.Millis = 100
)

// group is the gate's view of the lock-step group of its engines. The group is closed while
// its engines refuse new requests, as they do until all ranks have joined. The gate's lock
// protects the view.
type group struct {
	*burdocklockstep.View
	state burdocklockstep.State
	// opened is closed when the group begins to advance.
	opened chan struct{}
}

// newGroup returns the view of a group whose callers accept gaps of up to maxEventGap
// between events.
func newGroup(maxEventGap burdockclock.Millis) *group {
	return &group{
		View:  burdocklockstep.New(burdocklockstep.Config{StallTimeout: stallGaps * maxEventGap}),
		state: burdocklockstep.Advancing, opened: make(chan struct{}),
	}
}

// updateGroupState updates the group's state, logs a change, and wakes waiting requests
// once the group advances. The lock must be held.
func (g *gate) updateGroupState(now burdockclock.Millis) burdocklockstep.State {
	if g.group == nil {
		return burdocklockstep.Advancing
	}
	old, current := g.group.state, g.group.State(now)
	if old == current {
		return current
	}
	g.group.state = current
	g.log.Info("group state", zap.String("from", string(old)), zap.String("to", string(current)))
	if current == burdocklockstep.Advancing {
		close(g.group.opened)
		g.group.opened = make(chan struct{})
	}
	return current
}

// streamLimit returns how many streams may run, given how many do now. While the group
// doesn't advance, the queue is paused and none starts. If wanted, one request at a time
// may probe a closed group to find out whether it has opened. The lock must be held.
func (g *gate) streamLimit(now burdockclock.Millis, running int, wanted bool) int {
	state := g.updateGroupState(now)
	g.queue.Pause(now, state != burdocklockstep.Advancing)
	switch {
	case state == burdocklockstep.Advancing:
		return g.limit.MaxStreams(g.reportClock(), running)
	case state == burdocklockstep.Closed && wanted && g.group.TryProbe(now):
		g.queue.AllowProbe(now)
		return max(g.slots, running+1)
	}
	return g.slots
}

// probeNow makes the next probe of a closed group due at once.
func (g *gate) probeNow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.group != nil {
		g.group.ProbeNow(g.clock.Boot())
		g.dispatch()
	}
}

// NotifyGroupOpened reports that a lock-step group has opened. Any closed group is probed
// at once.
func (e *Entry) NotifyGroupOpened() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		p.gate.probeNow()
	}
}

// reportClock returns the time by which load reports age. It stands still while the group
// runs no steps.
func (g *gate) reportClock() burdockclock.Millis {
	now := g.clock.Boot()
	if g.group == nil {
		return now
	}
	return g.group.RunningClock(now)
}

// engineAccepted records that an engine has begun to answer.
func (g *gate) engineAccepted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.group != nil {
		g.group.EngineAccepted(g.clock.Boot())
		g.dispatch()
	}
}

// streamOffered records that a stream is offered to an engine.
func (g *gate) streamOffered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.group != nil {
		g.group.StreamOffered(g.clock.Boot())
	}
}

// streamEnded records the end of an offered stream, which had begun or not.
func (g *gate) streamEnded(begun bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.group != nil {
		g.group.StreamEnded(g.clock.Boot(), begun)
	}
}

// engineRefused records an engine's refusal, and reports whether the group is closed.
func (g *gate) engineRefused(u burdockid.Upstream, res notRun) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.group == nil || !res.hadFreeSlots && !res.replaced {
		return false
	}
	now := g.clock.Boot()
	g.group.EngineRefused(now, u)
	g.updateGroupState(now)
	return g.group.state == burdocklockstep.Closed
}

// openSignal returns a channel that is closed when the group advances; nil unless the
// group is closed.
func (g *gate) openSignal() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.groupClosed() {
		return nil
	}
	return g.group.opened
}

// groupClosed reports whether the group is closed. The lock must be held.
func (g *gate) groupClosed() bool {
	return g.group != nil && g.group.State(g.clock.Boot()) == burdocklockstep.Closed
}

// tryProbe reports whether a retry may probe the closed group now, and if so takes the
// turn. Queued requests go first, since their offers cost no retry.
func (g *gate) tryProbe() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.group != nil && g.queue.Load().Queued == 0 && g.group.TryProbe(g.clock.Boot())
}

// awaitGroupOpen blocks while the group is closed and it is not this request's turn to
// probe it. It reports false when the request should not wait any longer.
//
// After a power cut, or when a rank of the group dies, all engines refuse everything until
// the group has formed again, about a second after they are back. A caller refused in that
// time loses one of its few retries, and one whose first attempt was cut off by the
// failure itself is never served. The group opens well within the time that callers wait.
func (o *offers) awaitGroupOpen(ctx context.Context) bool {
	g := o.pool.gate
	first := o.sent+o.unreached+o.owedRetries == 0 // just admitted by the gate
	if first || o.owedRetries == 0 && g.openSignal() == nil {
		return true
	}
	for ctx.Err() == nil && o.mayWait() {
		opened := g.openSignal()
		if (opened == nil || g.tryProbe()) && o.payOwedRetries() {
			return true
		}
		o.waitForOpen(ctx, opened)
	}
	return false
}

// mayWait reports whether a first event could still arrive before the caller gives up. The
// caller of a stream that has begun ends the wait by disconnecting.
func (o *offers) mayWait() bool {
	return o.caller.headWritten || o.entry.now() < o.req.arrived+o.pool.gate.maxWaitFor(o.req)
}

// maxWaitFor returns how long a request may wait in total before it is placed.
func (g *gate) maxWaitFor(req *request) burdockclock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.maxWait > 0 {
		return g.maxWait
	}
	return req.deadline - req.arrived
}

// payOwedRetries charges the budget for the request's offers that a closed group refused.
// It reports false if the budget has none left.
func (o *offers) payOwedRetries() bool {
	for ; o.owedRetries > 0; o.owedRetries-- {
		if !o.pool.takeRetry(o.entry.now()) {
			return false
		}
	}
	return true
}

// waitForOpen waits for the group to open, for budgetRetryInterval at most.
func (o *offers) waitForOpen(ctx context.Context, opened <-chan struct{}) {
	timer := time.NewTimer(budgetRetryInterval.Duration())
	defer timer.Stop()
	select {
	case <-opened:
	case <-timer.C:
	case <-ctx.Done():
	}
}
