package burdockretry

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// maxDoublings bounds the growth of the backoff.
const maxDoublings = 6

// RecordSuccess records an offer whose response has started or completed. It earns
// RetryRatio of a retry.
func (b *Budget) RecordSuccess(now burdockclock.Millis) {
	b.offers.add(now, b.cfg.Window)
	b.successes.add(now, b.cfg.Window)
}

// Decide returns what to do with a request after one of its offers ended without a
// response. It is called exactly once for each such offer.
//
// The budget is for an upstream, rack or data centre that fails under full load: all of
// its requests come back at once, and each one that is offered over and over takes
// capacity from a request that could be served.
func (b *Budget) Decide(now burdockclock.Millis, a Attempt) Decision {
	switch outcome := a.Outcome.(type) {
	case OverLoadBound:
		return b.decideOverLoadBound(now, a)
	case Refused:
		b.offers.add(now, b.cfg.Window)
		b.refusals.add(now, b.cfg.Window)
		return b.decideCharged(now, a, 0, outcome.RetryAfter)
	case Leaving, ConnectFailed:
		return b.decideUncharged(now, a)
	case Failed:
		b.offers.add(now, b.cfg.Window)
		// A broken connection does not show that the request did not run.
		if !a.Idempotent {
			return b.giveUp(now, ReasonUnknownOutcome, 0)
		}
		return b.decideCharged(now, a, b.backoff(a.Offers), 0)
	default:
		panic("burdockretry: unknown outcome")
	}
}

// decideOverLoadBound never charges the budget: the upstream was only asked whether it
// has more room than others, and there is no shortage of capacity. The placer bounds the
// number of such offers of a request.
func (b *Budget) decideOverLoadBound(now burdockclock.Millis, a Attempt) Decision {
	switch {
	case !b.beforeDeadline(now, a, 0):
		return b.giveUp(now, ReasonDeadline, 0)
	case a.OverLoadBound >= b.cfg.MaxOverLoadBound:
		return b.giveUp(now, ReasonMaxOffers, 0)
	}
	return Retry{}
}

// decideUncharged allows a retry without charging the budget. The budget bounds the load
// that retries add to upstreams, and an offer that was never sent, or went to a leaving
// upstream, adds none.
//
// With a charge, the callers of a lost data centre would be turned away until its
// upstreams are ejected, although other upstreams have room. So would all callers whose
// requests are refused at one instant when the agent they are queued at stops as planned.
// An upstream without room returns Refused.
func (b *Budget) decideUncharged(now burdockclock.Millis, a Attempt) Decision {
	switch {
	case !b.beforeDeadline(now, a, 0):
		return b.giveUp(now, ReasonDeadline, 0)
	case a.Offers-a.OverLoadBound >= b.cfg.MaxUnchargedOffers:
		return b.giveUp(now, ReasonMaxOffers, 0)
	}
	return Retry{}
}

// decideCharged allows a retry if the limits and the budget permit it, and charges the
// budget.
func (b *Budget) decideCharged(now burdockclock.Millis, a Attempt, delay, minRetryAfter burdockclock.Millis) Decision {
	switch {
	case !b.beforeDeadline(now, a, delay):
		return b.giveUp(now, ReasonDeadline, minRetryAfter)
	case a.Offers-a.OverLoadBound >= b.cfg.MaxOffers:
		return b.giveUp(now, ReasonMaxOffers, minRetryAfter)
	case b.highRefusalRate(now):
		return b.giveUp(now, ReasonHighRefusalRate, minRetryAfter)
	case !b.canAfford(now):
		return b.giveUp(now, ReasonBudget, minRetryAfter)
	}
	b.retries.add(now, b.cfg.Window)
	b.checkInvariants(now)
	return Retry{Delay: delay}
}

// GiveUpNoUpstream returns the decision for a request without an available upstream. None is
// available for the time given; 0 if that isn't known.
func (b *Budget) GiveUpNoUpstream(now, unavailableFor burdockclock.Millis) GiveUp {
	return b.giveUp(now, ReasonNoUpstream, unavailableFor)
}

// GiveUpGroupClosed returns the decision for a request that timed out waiting for a
// closed engine group to open.
func (b *Budget) GiveUpGroupClosed(now burdockclock.Millis) GiveUp {
	return b.giveUp(now, ReasonGroupClosed, 0)
}

func (b *Budget) beforeDeadline(now burdockclock.Millis, a Attempt, delay burdockclock.Millis) bool {
	return a.Deadline == 0 || now+delay+a.MinResponseTime < a.Deadline
}

// highRefusalRate reports whether so many offers are refused that a retry is pointless.
// First offers continue, and their outcomes show when the rate falls again.
func (b *Budget) highRefusalRate(now burdockclock.Millis) bool {
	offers := b.offers.get(now, b.cfg.Window)
	refusals := b.refusals.get(now, b.cfg.Window)
	return offers >= b.cfg.MinRefusalSamples && refusals > b.cfg.MaxRefusalShare*offers
}

func (b *Budget) allowance(now burdockclock.Millis) float64 {
	return b.cfg.MinRetries + b.cfg.RetryRatio*b.successes.get(now, b.cfg.Window)
}

// TryAcquire charges the budget for an optional retry. It returns false if none is left.
func (b *Budget) TryAcquire(now burdockclock.Millis) bool {
	if !b.canAfford(now) {
		return false
	}
	b.retries.add(now, b.cfg.Window)
	b.checkInvariants(now)
	return true
}

func (b *Budget) canAfford(now burdockclock.Millis) bool {
	return b.retries.get(now, b.cfg.Window)+1 <= b.allowance(now)
}

// checkInvariants panics if there were more retries than the budget allows.
func (b *Budget) checkInvariants(now burdockclock.Millis) {
	const rounding = 1e-6
	if b.retries.get(now, b.cfg.Window) > b.allowance(now)+rounding {
		panic("burdockretry: more retries than the budget allows")
	}
}

func (b *Budget) backoff(offers int) burdockclock.Millis {
	doublings := min(max(offers-1, 0), maxDoublings)
	return burdockclock.Millis(b.rnd.Int64N(int64(b.cfg.BaseBackoff)<<doublings + 1))
}

func (b *Budget) giveUp(now burdockclock.Millis, reason Reason, minRetryAfter burdockclock.Millis) GiveUp {
	b.givenUp[reason]++
	if reason == ReasonUnknownOutcome {
		// With a Retry-After the caller would send the request again and it might run
		// twice.
		return GiveUp{Reason: reason}
	}
	return GiveUp{Reason: reason, RetryAfter: b.retryAfter(now, minRetryAfter)}
}

// retryAfter returns the Retry-After for a caller. Its jitter grows with the share of
// refused offers, so that callers return further apart when the fleet is fuller.
func (b *Budget) retryAfter(now, minRetryAfter burdockclock.Millis) burdockclock.Millis {
	base := max(minRetryAfter, b.cfg.MinRetryAfter)
	share := b.refusals.get(now, b.cfg.Window) / max(b.offers.get(now, b.cfg.Window), 1)
	jitter := b.cfg.RetryAfterJitter * (1 + share) * float64(base)
	return base + burdockclock.Millis(b.rnd.Float64()*jitter)
}
