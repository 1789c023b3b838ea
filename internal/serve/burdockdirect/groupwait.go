package burdockdirect

import (
	"context"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

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
