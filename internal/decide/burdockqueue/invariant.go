package burdockqueue

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Invariant names a promise of the queue that is asserted while it runs.
type Invariant string

// The invariants.
const (
	// InvariantCounts: each offer is refused, dropped, cancelled, finished,
	// queued or running, exactly one of them, and the sums agree.
	InvariantCounts Invariant = "counts add up"
	// InvariantMembership: no request is in two places and none in no place.
	InvariantMembership Invariant = "one place for each request"
	// InvariantOrder: no class is started before a more urgent one that could
	// start, unless its bound on starvation has passed.
	InvariantOrder Invariant = "no priority inversion"
	// InvariantShare: no backlogged customer is further from its share than the
	// bound of its class.
	InvariantShare Invariant = "shares kept"
	// InvariantWorkConserving: no slot is left free that queued work may take, and no
	// queued work has expired.
	InvariantWorkConserving Invariant = "nothing due is left"
)

// InvariantError is the value of the panic when an invariant is broken. The
// queue's accounts are then wrong, so that its further decisions would be too.
type InvariantError struct {
	Invariant Invariant
	Detail    string
}

// Error implements the error interface.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("burdockqueue: invariant broken: %s: %s", e.Invariant, e.Detail)
}

func broken(invariant Invariant, format string, args ...any) {
	panic(&InvariantError{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

// shareSlack allows for rounding in virtual times, as a part of their size.
const shareSlack = 1e-9

// checkCounts compares all sums. Its cost grows with the classes only.
func (q *Queue) checkCounts() {
	queued, running, cost := 0, 0, burdockid.Tokens(0)
	for _, c := range q.classes {
		queued += c.queued
		running += c.running
		cost += c.queuedCost
	}
	if queued != q.queued || cost != q.queuedCost || len(q.expiry.items) != q.queued {
		broken(InvariantCounts, "classes queue %d of cost %d, the queue %d of cost %d, %d may expire",
			queued, cost, q.queued, q.queuedCost, len(q.expiry.items))
	}
	if running != q.running.len() || len(q.items) != queued+running {
		broken(InvariantCounts, "classes run %d, the engine %d; %d known, %d queued",
			running, q.running.len(), len(q.items), queued)
	}
	ended := q.counts.refused.total() + q.counts.dropped.total() + q.counts.cancelled + q.counts.finished
	if q.counts.offered != ended+uint64(len(q.items)) {
		broken(InvariantCounts, "%d offered, %d ended, %d here", q.counts.offered, ended, len(q.items))
	}
}

// checkNothingDue is for the end of Dispatch.
func (q *Queue) checkNothingDue() {
	if class, ok := q.pickClass(); ok {
		broken(InvariantWorkConserving, "class %d has queued work and a free slot", class)
	}
	if it, ok := q.expiry.first(); ok && it.judgeAt <= q.now {
		broken(InvariantWorkConserving, "%s was to be judged at %d, now is %d", it.work.ID, it.judgeAt, q.now)
	}
}

// checkOrder is for right before a start of queued work of a class.
func (q *Queue) checkOrder(class Class) {
	overdue := q.classes[class].dueAt() <= q.now
	for i, c := range q.classes {
		if c.queued == 0 || Class(i) == class || !q.mayStart(Class(i)) {
			continue
		}
		if Class(i) < class && !overdue {
			broken(InvariantOrder, "class %d starts before %d, which has %d queued", class, i, c.queued)
		}
		if c.dueAt() <= q.now && (!overdue || q.classes[class].dueAt() > c.dueAt()) {
			broken(InvariantOrder, "class %d starts before %d, due since %d", class, i, c.dueAt())
		}
	}
	if q.running.len() >= q.cfg.Slots {
		broken(InvariantOrder, "class %d starts with %d of %d slots taken", class, q.running.len(), q.cfg.Slots)
	}
}

// checkShare is for a flow that has queued work.
func (q *Queue) checkShare(f *flow, class Class) {
	c := q.classes[class]
	if f.queued == 0 {
		return
	}
	off := (f.virtual - c.virtual) * f.weight
	bound := c.shareBound() + shareSlack*max(f.virtual, -f.virtual)*f.weight
	if off > bound || off < -bound {
		broken(InvariantShare, "customer %s of class %d is off by %.0f tokens, bound %.0f",
			f.customer, class, off, bound)
	}
}

// CheckInvariants asserts every invariant on every request and panics with an
// *InvariantError if one is broken. Its cost grows with the length of the
// queue: it is for tests and randomised runs. The cheap part runs in each call
// of Dispatch.
func (q *Queue) CheckInvariants() {
	q.checkCounts()
	seen := 0
	for i, c := range q.classes {
		seen += q.checkClass(Class(i), c)
	}
	if !q.expiry.ordered() || !q.running.byEnd.ordered() {
		broken(InvariantMembership, "expiry or ends are out of order")
	}
	for _, it := range q.running.byEnd.items {
		if it.place != placeRunning || q.items[it.work.ID] != it {
			broken(InvariantMembership, "%s is running, but filed elsewhere", it.work.ID)
		}
		if it.expiryIndex != notInHeap {
			broken(InvariantMembership, "%s is running and may expire", it.work.ID)
		}
		seen++
	}
	if seen != len(q.items) {
		broken(InvariantMembership, "%d found in their places, %d known", seen, len(q.items))
	}
}

// checkClass checks one class and returns how many requests it queues.
func (q *Queue) checkClass(class Class, c *fairQueue) int {
	seen := 0
	for _, f := range c.byStart.items {
		inFlow := 0
		cost := burdockid.Tokens(0)
		for it := f.head; it != nil; it = it.next {
			if it.place != placeQueued || it.flow != f || q.items[it.work.ID] != it || it.work.Class != class {
				broken(InvariantMembership, "%s is queued, but filed elsewhere", it.work.ID)
			}
			if it.expiryIndex == notInHeap || q.expiry.items[it.expiryIndex] != it {
				broken(InvariantMembership, "%s is queued and never expires", it.work.ID)
			}
			if it.judgeAt > it.expires {
				broken(InvariantMembership, "%s expires at %d and is judged only at %d", it.work.ID, it.expires, it.judgeAt)
			}
			inFlow++
			cost += charged(it.work.Cost)
		}
		if inFlow != f.queued || cost != f.queuedCost || c.flows[f.customer] != f {
			broken(InvariantCounts, "customer %s holds %d of cost %d, counted %d of cost %d",
				f.customer, inFlow, cost, f.queued, f.queuedCost)
		}
		q.checkShare(f, class)
		seen += inFlow
	}
	if !c.byStart.ordered() || !c.byTail.ordered() || !c.idle.ordered() {
		broken(InvariantMembership, "customers of class %d are out of order", class)
	}
	if seen != c.queued || len(c.byTail.items) != len(c.byStart.items) {
		broken(InvariantCounts, "class %d holds %d, counted %d", class, seen, c.queued)
	}
	return seen
}
