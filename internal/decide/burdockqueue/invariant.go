package burdockqueue

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Invariant names a property of the queue that is checked at run time.
type Invariant string

// The invariants.
const (
	// InvariantCounts: each offered request is exactly one of refused, dropped,
	// cancelled, finished, queued or running, and the sums agree.
	InvariantCounts Invariant = "counts add up"
	// InvariantMembership: each request is in exactly one of the queue's containers.
	InvariantMembership Invariant = "one place for each request"
	// InvariantOrder: no class gets a start before a more urgent one that could start,
	// unless its MaxStarvation has passed, or beyond its MaxRunning, and each customer's
	// requests start in the order of the class.
	InvariantOrder Invariant = "no priority inversion"
	// InvariantShare: no backlogged customer deviates from its share by more than the
	// bound of its class.
	InvariantShare Invariant = "shares kept"
	// InvariantWorkConserving: after Dispatch, no slot is free that a queued request may
	// use, and no queued request has expired.
	InvariantWorkConserving Invariant = "nothing due is left"
)

// InvariantError is the panic value for a violated invariant. The accounts are wrong at
// that point, and so would be all further decisions.
type InvariantError struct {
	Invariant Invariant
	Detail    string
}

// Error implements the error interface.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("burdockqueue: invariant broken: %s: %s", e.Invariant, e.Detail)
}

func failInvariant(invariant Invariant, format string, args ...any) {
	panic(&InvariantError{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

// shareTolerance allows for rounding errors, as a fraction of the virtual time.
const shareTolerance = 1e-9

// checkCounts compares all sums. Its cost depends only on the number of classes.
func (q *Queue) checkCounts() {
	queued, running, cost := 0, 0, burdockid.Tokens(0)
	for _, c := range q.classes {
		queued += c.queued
		running += c.running
		cost += c.queuedCost
	}
	if queued != q.queued || cost != q.queuedCost || len(q.expiry.items) != q.queued {
		failInvariant(InvariantCounts, "classes have %d queued with cost %d, the queue has %d with cost %d and %d in the expiry heap",
			queued, cost, q.queued, q.queuedCost, len(q.expiry.items))
	}
	if running != q.running.len() || len(q.items) != queued+running {
		failInvariant(InvariantCounts, "classes have %d running, the engine %d; %d items, %d queued",
			running, q.running.len(), len(q.items), queued)
	}
	ended := q.counts.refused.total() + q.counts.dropped.total() + q.counts.cancelled + q.counts.finished
	if q.counts.offered != ended+uint64(len(q.items)) {
		failInvariant(InvariantCounts, "%d offered, %d ended, %d present", q.counts.offered, ended, len(q.items))
	}
}

// checkWorkConserving is called at the end of Dispatch.
func (q *Queue) checkWorkConserving() {
	if class, ok := q.pickClass(); ok {
		failInvariant(InvariantWorkConserving, "class %d has queued requests and a free slot", class)
	}
	if it, ok := q.expiry.first(); ok && it.recheckAt <= q.now {
		failInvariant(InvariantWorkConserving, "%s was due for a recheck at %d, now is %d", it.req.ID, it.recheckAt, q.now)
	}
}

// checkOrder is called right before a queued request of the class is started.
func (q *Queue) checkOrder(class Class) {
	starved := q.classes[class].starvationDeadline() <= q.now
	for i, c := range q.classes {
		if c.queued == 0 || Class(i) == class || !q.mayStart(Class(i)) {
			continue
		}
		if Class(i) < class && !starved {
			failInvariant(InvariantOrder, "class %d starts before %d, which has %d queued", class, i, c.queued)
		}
		if c.starvationDeadline() <= q.now && (!starved || q.classes[class].starvationDeadline() > c.starvationDeadline()) {
			failInvariant(InvariantOrder, "class %d starts before %d, which is overdue since %d", class, i, c.starvationDeadline())
		}
	}
	if q.running.len() >= q.cfg.Slots {
		failInvariant(InvariantOrder, "class %d starts with %d of %d slots taken", class, q.running.len(), q.cfg.Slots)
	}
	if c := q.classes[class]; c.isBounded(q.running.len()) {
		failInvariant(InvariantOrder, "class %d starts with %d running, bound %d", class, q.running.len(), c.cfg.MaxRunning)
	}
}

// checkFlowOrder is called right before a queued request is started.
func (q *Queue) checkFlowOrder(it *item) {
	switch newestFirst := q.classes[it.req.Class].cfg.NewestFirst; {
	case newestFirst && it.next != nil:
		failInvariant(InvariantOrder, "%s starts before %s, which is newer", it.req.ID, it.next.req.ID)
	case !newestFirst && it.prev != nil:
		failInvariant(InvariantOrder, "%s starts before %s, which is older", it.req.ID, it.prev.req.ID)
	}
}

// checkShare checks the share of a flow that has queued requests.
func (q *Queue) checkShare(f *flow, class Class) {
	c := q.classes[class]
	if f.queued == 0 {
		return
	}
	deviation := (f.virtualTime - c.virtualTime) * f.weight
	bound := c.shareBound() + shareTolerance*max(f.virtualTime, -f.virtualTime)*f.weight
	if deviation > bound || deviation < -bound {
		failInvariant(InvariantShare, "customer %s of class %d deviates by %.0f tokens from its share, bound %.0f",
			f.customer, class, deviation, bound)
	}
}

// CheckInvariants checks every invariant for every request and panics with an
// *InvariantError if one is violated. Its cost grows with the length of the queue, so it
// is meant for tests and randomised runs; Dispatch always runs the cheap checks.
func (q *Queue) CheckInvariants() {
	q.checkCounts()
	seen := 0
	for i, c := range q.classes {
		seen += q.checkClass(Class(i), c)
	}
	if !q.expiry.ordered() || !q.running.byEnd.ordered() {
		failInvariant(InvariantMembership, "expiry or running heap is out of order")
	}
	for _, it := range q.running.byEnd.items {
		if it.phase != phaseRunning || q.items[it.req.ID] != it {
			failInvariant(InvariantMembership, "%s is in the running heap, but its phase or registration differs", it.req.ID)
		}
		if it.expiryIndex != notInHeap {
			failInvariant(InvariantMembership, "%s is running and in the expiry heap", it.req.ID)
		}
		seen++
	}
	if seen != len(q.items) {
		failInvariant(InvariantMembership, "%d found in the containers, %d items", seen, len(q.items))
	}
}

// checkClass checks one class and returns the number of its queued requests.
func (q *Queue) checkClass(class Class, c *fairQueue) int {
	seen := 0
	for _, f := range c.byStartTag.items {
		inFlow := 0
		cost := burdockid.Tokens(0)
		for it := f.head; it != nil; it = it.next {
			if it.phase != phaseQueued || it.flow != f || q.items[it.req.ID] != it || it.req.Class != class {
				failInvariant(InvariantMembership, "%s is queued, but its phase, flow, class or registration differs", it.req.ID)
			}
			if it.expiryIndex == notInHeap || q.expiry.items[it.expiryIndex] != it {
				failInvariant(InvariantMembership, "%s is queued and not in the expiry heap", it.req.ID)
			}
			if it.recheckAt > it.expiresAt {
				failInvariant(InvariantMembership, "%s expires at %d, but is rechecked only at %d", it.req.ID, it.expiresAt, it.recheckAt)
			}
			if it.prev != nil && it.prev.costOffset >= it.costOffset {
				failInvariant(InvariantOrder, "%s is queued behind %s, which is newer", it.req.ID, it.prev.req.ID)
			}
			inFlow++
			cost += chargedCost(it.req.Cost)
		}
		if inFlow != f.queued || cost != f.queuedCost || c.flows[f.customer] != f {
			failInvariant(InvariantCounts, "customer %s has %d queued with cost %d, counted %d with cost %d",
				f.customer, inFlow, cost, f.queued, f.queuedCost)
		}
		q.checkShare(f, class)
		seen += inFlow
	}
	if !c.byStartTag.ordered() || !c.byFinishTag.ordered() || !c.idle.ordered() {
		failInvariant(InvariantMembership, "a customer heap of class %d is out of order", class)
	}
	if seen != c.queued || len(c.byFinishTag.items) != len(c.byStartTag.items) {
		failInvariant(InvariantCounts, "class %d has %d queued, counted %d", class, seen, c.queued)
	}
	return seen
}
