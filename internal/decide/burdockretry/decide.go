package burdockretry

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// maxDoublings bounds the growth of the backoff.
const maxDoublings = 6

// RecordSuccess tells that an offer was taken and answered, or that its answer has
// begun. It pays for a fraction of a retry.
func (b *Budget) RecordSuccess(now burdockclock.Millis) {
	b.offers.add(now, b.cfg.Window)
	b.successes.add(now, b.cfg.Window)
}

// Decide tells what to do with a request after one of its offers ended
// without an answer. Each such end is told exactly once.
//
// Made for: an upstream, a rack or a data centre that fails under full load.
// Every request there comes back at once; each that is offered again and
// again takes the place of one that could have been answered.
func (b *Budget) Decide(now burdockclock.Millis, a Attempt) Decision {
	switch outcome := a.Outcome.(type) {
	case OverLoadBound:
		return b.decideOverBound(now, a)
	case Refused:
		b.offers.add(now, b.cfg.Window)
		b.refusals.add(now, b.cfg.Window)
		return b.decideRetry(now, a, 0, outcome.RetryAfter)
	case Leaving, ConnectFailed:
		return b.decideGone(now, a)
	case Failed:
		b.offers.add(now, b.cfg.Window)
		// A broken connection never says "not run": the request may have run.
		if !a.Idempotent {
			return b.giveUp(now, ReasonUnknownOutcome, 0)
		}
		return b.decideRetry(now, a, b.backoff(a.Offers), 0)
	default:
		panic("burdockretry: an attempt without an outcome")
	}
}

// decideOverBound never charges the budget: the offer was an enquiry whether
// the upstream has more room than most, and the fleet is not short of it. The
// placer bounds how many such offers a request makes.
func (b *Budget) decideOverBound(now burdockclock.Millis, a Attempt) Decision {
	switch {
	case !b.inTime(now, a, 0):
		return b.giveUp(now, ReasonDeadline, 0)
	case a.OverLoadBound >= b.cfg.MaxOverLoadBound:
		return b.giveUp(now, ReasonMaxOffers, 0)
	}
	return Retry{}
}

// decideGone does not charge the budget. The budget bounds what retries add to
// the load of upstreams, and an offer that was never sent, or to an upstream
// that leaves, adds none. A charge would give up the callers of a lost data
// centre while the others have room, until its upstreams are ejected; and
// those whose requests waited at an agent that is stopped as planned, all
// refused in one instant. An upstream that has no room says Refused.
func (b *Budget) decideGone(now burdockclock.Millis, a Attempt) Decision {
	switch {
	case !b.inTime(now, a, 0):
		return b.giveUp(now, ReasonDeadline, 0)
	case a.Offers-a.OverLoadBound >= b.cfg.MaxUnchargedOffers:
		return b.giveUp(now, ReasonMaxOffers, 0)
	}
	return Retry{}
}

func (b *Budget) decideRetry(now burdockclock.Millis, a Attempt, after, told burdockclock.Millis) Decision {
	switch {
	case !b.inTime(now, a, after):
		return b.giveUp(now, ReasonDeadline, told)
	case a.Offers-a.OverLoadBound >= b.cfg.MaxOffers:
		return b.giveUp(now, ReasonMaxOffers, told)
	case b.mostRefuse(now):
		return b.giveUp(now, ReasonHighRefusalRate, told)
	case !b.affords(now):
		return b.giveUp(now, ReasonBudget, told)
	}
	b.retries.add(now, b.cfg.Window)
	b.verify(now)
	return Retry{Delay: after}
}

// GiveUpNoUpstream returns the decision for a request that no upstream could be
// found for.
func (b *Budget) GiveUpNoUpstream(now burdockclock.Millis) GiveUp {
	return b.giveUp(now, ReasonNoUpstream, 0)
}

// GiveUpGroupClosed returns the decision for a request that waited in vain for a group
// of engines to open.
func (b *Budget) GiveUpGroupClosed(now burdockclock.Millis) GiveUp {
	return b.giveUp(now, ReasonGroupClosed, 0)
}

func (b *Budget) inTime(now burdockclock.Millis, a Attempt, after burdockclock.Millis) bool {
	return a.Deadline == 0 || now+after+a.MinResponseTime < a.Deadline
}

// mostRefuse reports whether offering again is pointless. First offers go on
// all the while, since their outcomes tell when it no longer is.
func (b *Budget) mostRefuse(now burdockclock.Millis) bool {
	offers := b.offers.get(now, b.cfg.Window)
	refusals := b.refusals.get(now, b.cfg.Window)
	return offers >= b.cfg.MinRefusalSamples && refusals > b.cfg.MaxRefusalShare*offers
}

func (b *Budget) allowance(now burdockclock.Millis) float64 {
	return b.cfg.MinRetries + b.cfg.RetryRatio*b.successes.get(now, b.cfg.Window)
}

// TryAcquire charges a retry that its caller is free to make or not, and reports false if
// the budget has none left.
func (b *Budget) TryAcquire(now burdockclock.Millis) bool {
	if !b.affords(now) {
		return false
	}
	b.retries.add(now, b.cfg.Window)
	b.verify(now)
	return true
}

func (b *Budget) affords(now burdockclock.Millis) bool {
	return b.retries.get(now, b.cfg.Window)+1 <= b.allowance(now)
}

// verify panics when more was retried than the budget allows.
func (b *Budget) verify(now burdockclock.Millis) {
	const rounding = 1e-6
	if b.retries.get(now, b.cfg.Window) > b.allowance(now)+rounding {
		panic("burdockretry: more retries than the budget allows")
	}
}

func (b *Budget) backoff(offers int) burdockclock.Millis {
	doublings := min(max(offers-1, 0), maxDoublings)
	return burdockclock.Millis(b.rnd.Int64N(int64(b.cfg.BaseBackoff)<<doublings + 1))
}

func (b *Budget) giveUp(now burdockclock.Millis, reason Reason, told burdockclock.Millis) GiveUp {
	b.given[reason]++
	if reason == ReasonUnknownOutcome {
		// Told to come back, a caller would run it twice.
		return GiveUp{Reason: reason}
	}
	return GiveUp{Reason: reason, RetryAfter: b.comeBack(now, told)}
}

// comeBack returns the time to come back. It grows with the share of offers
// that were refused: the fuller the fleet, the further apart the returns.
func (b *Budget) comeBack(now, told burdockclock.Millis) burdockclock.Millis {
	base := max(told, b.cfg.MinRetryAfter)
	share := b.refusals.get(now, b.cfg.Window) / max(b.offers.get(now, b.cfg.Window), 1)
	spread := b.cfg.RetryAfterJitter * (1 + share) * float64(base)
	return base + burdockclock.Millis(b.rnd.Float64()*spread)
}
