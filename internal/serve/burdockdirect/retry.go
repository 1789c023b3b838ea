package burdockdirect

import (
	"context"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
)

// retryOrGiveUp asks the retry budget whether the request may be offered again. It reports
// true if the request has ended.
func (o *offers) retryOrGiveUp(caller, ctx context.Context, outcome burdockretry.Outcome) bool {
	if o.refusedForPart() {
		return true
	}
	if o.retryPaid.Swap(false) {
		return o.retryAfter(caller, ctx, 0)
	}
	_, connectFailed := outcome.(burdockretry.ConnectFailed)
	d := o.pool.decideRetry(o.entry.now(), burdockretry.Attempt{
		Outcome: outcome, Offers: o.sent + o.unreached,
		Idempotent: o.req.route.Repeatable(), Deadline: o.req.deadline,
	})
	retry, ok := d.(burdockretry.Retry)
	if !ok {
		o.giveUp(d.(burdockretry.GiveUp))
		return true
	}
	if o.sent >= o.req.route.MaxAttempts || connectFailed && o.unreached >= maxUnreached {
		o.giveUp(burdockretry.GiveUp{Reason: burdockretry.ReasonMaxOffers, RetryAfter: retrySpread})
		return true
	}
	return o.retryAfter(caller, ctx, retry.Delay) || o.refusedForCrashes()
}

// retryAfter waits before a retry. It reports true if the request has ended meanwhile.
func (o *offers) retryAfter(caller, ctx context.Context, delay burdockclock.Millis) bool {
	o.entry.meters.retries.Inc()
	switch {
	case sleep(ctx, delay):
		return false
	case caller.Err() != nil:
		o.caller.abort()
	default:
		o.giveUp(burdockretry.GiveUp{Reason: burdockretry.ReasonDeadline})
	}
	return true
}

// sleep waits before a retry. It reports false if the context ended first.
func sleep(ctx context.Context, d burdockclock.Millis) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
