package burdockqueue

// This file decides which class gets the next slot.

// pick returns the queued work that is started next, if any may be.
func (q *Queue) pick() (*item, bool) {
	class, ok := q.pickClass()
	if !ok {
		return nil, false
	}
	return q.classes[class].next()
}

// anyStartable reports whether queued work is waiting for Dispatch to start it.
func (q *Queue) anyStartable() bool {
	_, ok := q.pickClass()
	return ok
}

// pickClass returns the class that gets the next slot.
func (q *Queue) pickClass() (Class, bool) {
	if class, ok := q.mostOverdue(); ok {
		return class, true
	}
	for i, c := range q.classes {
		if c.queued > 0 && q.mayStart(Class(i)) {
			return Class(i), true
		}
	}
	return 0, false
}

// mostOverdue returns the class that has gone longest beyond its bound.
//
// Load: urgent work that alone fills the engine for minutes. Harm prevented:
// the other classes stand still until their callers give up. One start for
// each MaxStarvation bounds what this costs urgent work: a slot, not a share
// that grows with the backlog of the others.
func (q *Queue) mostOverdue() (Class, bool) {
	found, earliest := Class(-1), never
	for i, c := range q.classes {
		due := c.dueAt()
		if due <= q.now && due < earliest && q.mayStart(Class(i)) {
			found, earliest = Class(i), due
		}
	}
	return found, found >= 0
}

// mayStart reports whether a slot is free that the class may take.
func (q *Queue) mayStart(class Class) bool {
	return (!q.paused || q.permitted) && q.cfg.Slots-q.running.len() > q.keptFrom(class)
}

// keptFrom returns how many free slots are kept for more urgent classes.
//
// Load: few slots and long requests, so that a slot comes free less often than
// an urgent reply may wait. Harm prevented: a short urgent reply waits behind
// long prompts that all hold a slot already, where no order of the queue can
// help. A class that uses its kept slots keeps no more, so that it is a bound
// on what the others take and not a part of the engine that only it may use.
func (q *Queue) keptFrom(class Class) int {
	kept := 0
	for _, c := range q.classes[:class] {
		kept += max(c.cfg.ReservedSlots-c.running, 0)
	}
	// One slot is always left to the others, or they would never run.
	return max(min(kept, q.cfg.Slots-1), 0)
}
