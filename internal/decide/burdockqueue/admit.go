package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// This file decides whether work that cannot start now may wait.

const (
	// saturatedShare is the part of MaxQueued beyond which customers are held
	// to their share of the places. Below it a burst of one customer harms
	// nobody; from half on there is still room for all others.
	saturatedShare = 0.5
	// overtakingMargin lengthens the expected wait of all but the most urgent
	// class when it is judged whether that is too long: work that comes later
	// may go first. Without it the queue settles where half of what is admitted
	// is dropped at its last instant, after the whole wait.
	overtakingMargin = 1.5
	// leastRateShare is the part of the engine that a class is always assumed
	// to get, so that a moment of urgent work does not refuse all other work.
	leastRateShare = 0.05
)

// hopeless returns why work that would wait for so long is refused at once.
//
// Load: a backlog beyond what the engine serves in time. Harm prevented: the
// caller waits for an answer that will not come, instead of asking elsewhere
// or later, and the queue holds work that is dropped in the end.
func (q *Queue) hopeless(w Request, expected burdockclock.Millis) Reason {
	if q.paused {
		expected = 0
	}
	if w.Class > 0 {
		expected = millisOf(overtakingMargin * float64(expected))
	}
	if !q.paused && w.Deadline > 0 && q.now+expected+q.serviceMillis(w) > w.Deadline {
		return q.blame(w, ReasonDeadline)
	}
	bound := q.classes[w.Class].cfg.MaxWait
	if bound > 0 && q.now+expected > w.Arrived+bound {
		return q.blame(w, ReasonWaitExceeded)
	}
	if q.crowding(w) {
		return ReasonOverShare
	}
	return ReasonNone
}

// blame returns ReasonOverShare in place of reason if the wait is due to the
// customer's own backlog.
func (q *Queue) blame(w Request, reason Reason) Reason {
	c := q.classes[w.Class]
	f, ok := c.flows[w.Customer]
	if !ok || f.queued == 0 || len(c.byStart.items) < 2 {
		return reason
	}
	if float64(f.queuedCost)/float64(c.queuedCost) > f.weight/c.activeWeight {
		return ReasonOverShare
	}
	return reason
}

// crowding reports whether the customer would hold more than its share of the
// places in a queue that fills up.
func (q *Queue) crowding(w Request) bool {
	if float64(q.queued) < saturatedShare*float64(q.cfg.MaxQueued) {
		return false
	}
	c := q.classes[w.Class]
	f, ok := c.flows[w.Customer]
	if !ok || f.queued == 0 {
		return false
	}
	places := float64(q.cfg.MaxQueued) * f.weight / c.activeWeight
	return float64(f.queued+1) > max(places, 1)
}

// makeRoom returns ReasonNone if the queue has a place for w, and otherwise
// takes one from the least urgent work that is furthest over its share.
//
// Load: full saturation, the queue at its bound. Harm prevented: urgent work
// is refused because less urgent work came first, or a small customer because
// a large one did. The displaced work was not run and is told so at once.
func (q *Queue) makeRoom(w Request) Reason {
	if q.queued < q.cfg.MaxQueued {
		return ReasonNone
	}
	victim, ok := q.victimFor(w)
	if !ok {
		return ReasonQueueFull
	}
	q.pending = append(q.pending, q.drop(victim, ReasonDisplaced))
	return ReasonNone
}

func (q *Queue) victimFor(w Request) (*item, bool) {
	for i := Class(len(q.classes) - 1); i > w.Class; i-- {
		if it, ok := q.classes[i].last(); ok {
			return it, true
		}
	}
	c := q.classes[w.Class]
	it, ok := c.last()
	if !ok || it.work.Customer == w.Customer {
		return nil, false
	}
	weight := q.cfg.share(w.Customer)
	tag := c.startTag(w.Customer, weight) + float64(charged(w.Cost))/weight
	return it, tag < it.flow.tailTag()
}

// deadlineLost reports whether the deadline could not be met by a start now.
func (q *Queue) deadlineLost(w Request) bool {
	if w.Deadline > 0 && q.paused {
		return q.now > w.Deadline
	}
	return w.Deadline > 0 && q.now+q.serviceMillis(w) > w.Deadline
}

// expectedWait returns how long w would wait if it were queued now: for the
// next slot to come free, and for the queued work ahead of it.
func (q *Queue) expectedWait(w Request) burdockclock.Millis {
	if q.slotRate() <= 0 {
		return 0
	}
	return q.running.nextEnd(q.now) + q.timeToServe(w.Class, q.aheadInClass(w))
}

// timeToServe returns how long the class waits for all queued work that is more
// urgent and for a number of its own tokens; 0 while no rate is known.
func (q *Queue) timeToServe(class Class, inClass float64) burdockclock.Millis {
	rate := q.classRate(class)
	if rate <= 0 {
		return 0
	}
	ahead := inClass
	for _, c := range q.classes[:class] {
		ahead += float64(c.queuedCost)
	}
	return millisOf(ahead / rate)
}

// aheadInClass returns the tokens of the class that are served before w.
func (q *Queue) aheadInClass(w Request) float64 {
	c := q.classes[w.Class]
	weight := q.cfg.share(w.Customer)
	active := c.activeWeight
	if f, ok := c.flows[w.Customer]; !ok || f.queued == 0 {
		active += weight
	}
	return c.tokensUntil(c.startTag(w.Customer, weight), active, c.queuedCost)
}

// classRate returns the tokens a millisecond that are left to a class: after
// what more urgent classes take or have kept for them, and after the starts
// that the bound on starvation gives to the others.
func (q *Queue) classRate(class Class) float64 {
	slot := q.slotRate()
	total := slot * float64(q.cfg.Slots)
	left := total
	for i, c := range q.classes {
		switch {
		case Class(i) < class:
			left -= max(c.starts.rate(q.now), slot*float64(c.cfg.ReservedSlots))
		case Class(i) > class:
			left -= c.starvationRate()
		}
	}
	kept := slot * float64(min(q.classes[class].cfg.ReservedSlots, q.cfg.Slots))
	return max(left, kept, total*leastRateShare)
}

// slotRate returns the tokens a millisecond that one slot serves; 0 is unknown.
func (q *Queue) slotRate() float64 { return q.service.rate(q.now) }

// serviceMillis returns how long w would hold a slot, as its class does: short
// answers are slower by the token than long ones.
func (q *Queue) serviceMillis(w Request) burdockclock.Millis {
	millis := q.classes[w.Class].service.millis(q.now, w.Cost)
	if millis <= 0 {
		millis = q.service.millis(q.now, w.Cost)
	}
	return millisOf(millis)
}
