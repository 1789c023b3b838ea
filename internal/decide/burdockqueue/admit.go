package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// This file contains the admission check: whether a request that cannot start now may be
// queued.

const (
	// saturationThreshold is the fraction of MaxQueued from which a customer may queue no
	// more than its share. Below it, a burst of one customer still leaves room for all
	// others.
	saturationThreshold = 0.5
	// overtakingMargin multiplies the expected wait in the admission check of all but the
	// most urgent class, because later requests may overtake. Without it, half of the
	// admitted requests of a saturated queue are dropped at the end of their whole wait.
	overtakingMargin = 1.5
	// minRateShare is the fraction of the engine's rate that a class is always assumed to
	// get. Otherwise a short burst of urgent requests refuses all others.
	minRateShare = 0.05
)

// admissionRefusal returns why a request that would have to wait for the expected time is
// refused instead of queued, or ReasonNone if it may be queued.
//
// With a backlog beyond what the engine serves in time, queueing everything makes callers
// wait for answers that never come, and fills the queue with requests that are dropped in
// the end. An immediate refusal lets the caller try another upstream or come back later.
func (q *Queue) admissionRefusal(req Request, expected burdockclock.Millis) Reason {
	if q.paused {
		expected = 0
	}
	if req.Class > 0 {
		expected = ceilMillis(overtakingMargin * float64(expected))
	}
	if !q.paused && req.Deadline > 0 && q.now+expected+q.serviceMillis(req) > req.Deadline {
		return q.attributeReason(req, ReasonDeadline)
	}
	maxWait := q.classes[req.Class].cfg.MaxWait
	if maxWait > 0 && q.now+expected > req.Arrived+maxWait {
		return q.attributeReason(req, ReasonWaitExceeded)
	}
	if q.exceedsQueueShare(req) {
		return ReasonOverShare
	}
	return ReasonNone
}

// attributeReason returns ReasonOverShare instead of reason if the wait is due to the
// customer's own backlog: it has more than its share of its class's queued cost.
func (q *Queue) attributeReason(req Request, reason Reason) Reason {
	c := q.classes[req.Class]
	f, ok := c.flows[req.Customer]
	if !ok || f.queued == 0 || len(c.byStartTag.items) < 2 {
		return reason
	}
	if float64(f.queuedCost)/float64(c.queuedCost) > f.weight/c.activeWeight {
		return ReasonOverShare
	}
	return reason
}

// exceedsQueueShare reports whether queueing req would give its customer more than its
// share of MaxQueued while the queue is filling up.
func (q *Queue) exceedsQueueShare(req Request) bool {
	if float64(q.queued) < saturationThreshold*float64(q.cfg.MaxQueued) {
		return false
	}
	c := q.classes[req.Class]
	f, ok := c.flows[req.Customer]
	if !ok || f.queued == 0 {
		return false
	}
	maxQueued := float64(q.cfg.MaxQueued) * f.weight / c.activeWeight
	return float64(f.queued+1) > max(maxQueued, 1)
}

// makeRoom returns ReasonNone if req fits into the queue, if need be after displacing a
// less urgent request or, within its class, one of a customer further over its share.
//
// This is for a saturated engine with a full queue: without it, urgent requests would be
// refused because less urgent ones came first, and small customers because a large one
// did. The displaced request was not run, and its caller learns that at once.
func (q *Queue) makeRoom(req Request) Reason {
	if q.queued < q.cfg.MaxQueued {
		return ReasonNone
	}
	victim, ok := q.victimFor(req)
	if !ok {
		return ReasonQueueFull
	}
	q.pending = append(q.pending, q.drop(victim, ReasonDisplaced))
	return ReasonNone
}

func (q *Queue) victimFor(req Request) (*item, bool) {
	for i := Class(len(q.classes) - 1); i > req.Class; i-- {
		if it, ok := q.classes[i].evictionCandidate(); ok {
			return it, true
		}
	}
	c := q.classes[req.Class]
	it, ok := c.evictionCandidate()
	if !ok || it.req.Customer == req.Customer {
		return nil, false
	}
	weight := q.cfg.share(req.Customer)
	tag := c.startTag(req.Customer, weight) + float64(chargedCost(req.Cost))/weight
	return it, tag < it.flow.finishTag()
}

// missesDeadline reports whether req would miss its deadline even if it started now.
// During a pause it only checks whether the deadline has passed.
func (q *Queue) missesDeadline(req Request) bool {
	if req.Deadline > 0 && q.paused {
		return q.now > req.Deadline
	}
	return req.Deadline > 0 && q.now+q.serviceMillis(req) > req.Deadline
}

// expectedWait returns how long req would wait if it were queued now: the time until the
// next slot is free, plus the time to serve the queued requests ahead of it. It is 0
// while no rate is known.
func (q *Queue) expectedWait(req Request) burdockclock.Millis {
	if q.slotRate() <= 0 {
		return 0
	}
	return q.running.nextEnd(q.now) + q.timeToServe(req.Class, q.tokensAhead(req))
}

// timeToServe returns how long it takes to serve all queued requests of more urgent
// classes and then inClass tokens of this class; 0 while no rate is known.
func (q *Queue) timeToServe(class Class, inClass float64) burdockclock.Millis {
	rate := q.classRate(class)
	if rate <= 0 {
		return 0
	}
	ahead := inClass
	for _, c := range q.classes[:class] {
		ahead += float64(c.queuedCost)
	}
	return ceilMillis(ahead / rate)
}

// tokensAhead returns the queued tokens of the same class that are served before req.
func (q *Queue) tokensAhead(req Request) float64 {
	c := q.classes[req.Class]
	weight := q.cfg.share(req.Customer)
	active := c.activeWeight
	if f, ok := c.flows[req.Customer]; !ok || f.queued == 0 {
		active += weight
	}
	return c.tokensBeforeTag(c.startTag(req.Customer, weight), active, c.queuedCost)
}

// classRate returns the service rate that is left for a class, in tokens per millisecond.
// It deducts what more urgent classes use or have reserved, and the starts that
// MaxStarvation guarantees to less urgent ones. Slots above MaxRunning don't count.
func (q *Queue) classRate(class Class) float64 {
	slot := q.slotRate()
	slots := q.cfg.Slots
	if bound := q.classes[class].cfg.MaxRunning; bound > 0 {
		slots = min(slots, bound)
	}
	total := slot * float64(slots)
	left := total
	for i, c := range q.classes {
		switch {
		case Class(i) < class:
			left -= max(c.startMeter.rate(q.now), slot*float64(c.cfg.ReservedSlots))
		case Class(i) > class:
			left -= c.starvationRate()
		}
	}
	reserved := slot * float64(min(q.classes[class].cfg.ReservedSlots, q.cfg.Slots))
	return max(left, reserved, total*minRateShare)
}

// slotRate returns the service rate of one slot in tokens per millisecond; 0 if unknown.
func (q *Queue) slotRate() float64 { return q.service.rate(q.now) }

// serviceMillis returns how long req is expected to hold a slot. It prefers the rate of
// its class, because short answers take more time per token than long ones.
func (q *Queue) serviceMillis(req Request) burdockclock.Millis {
	millis := q.classes[req.Class].service.millis(q.now, req.Cost)
	if millis <= 0 {
		millis = q.service.millis(q.now, req.Cost)
	}
	return ceilMillis(millis)
}
