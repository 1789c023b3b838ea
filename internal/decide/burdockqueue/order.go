package burdockqueue

// This file decides which class gets the next slot.

// pick returns the queued request to start next, if any may start.
func (q *Queue) pick() (*item, bool) {
	class, ok := q.pickClass()
	if !ok {
		return nil, false
	}
	return q.classes[class].next()
}

// anyStartable reports whether Dispatch would start a queued request.
func (q *Queue) anyStartable() bool {
	_, ok := q.pickClass()
	return ok
}

// pickClass returns the class that gets the next slot.
func (q *Queue) pickClass() (Class, bool) {
	if class, ok := q.mostStarvedClass(); ok {
		return class, true
	}
	for i, c := range q.classes {
		if c.queued > 0 && q.mayStart(Class(i)) {
			return Class(i), true
		}
	}
	return 0, false
}

// mostStarvedClass returns the class that may start and whose MaxStarvation passed first,
// if any.
//
// When urgent requests alone fill the engine for minutes, the other classes would get no
// start before their callers give up. One start per MaxStarvation bounds the cost for
// urgent requests: it takes a slot, not a share that grows with the backlog of the
// others.
func (q *Queue) mostStarvedClass() (Class, bool) {
	found, earliest := Class(-1), never
	for i, c := range q.classes {
		due := c.starvationDeadline()
		if due <= q.now && due < earliest && q.mayStart(Class(i)) {
			found, earliest = Class(i), due
		}
	}
	return found, found >= 0
}

// mayStart reports whether a slot is free that the class may use.
func (q *Queue) mayStart(class Class) bool {
	return (!q.paused || q.probeAllowed) && !q.classes[class].isBounded(q.running.len()) &&
		q.cfg.Slots-q.running.len() > q.reservedAbove(class)
}

// reservedAbove returns how many free slots are reserved for more urgent classes.
//
// With few slots and long requests, slots become free less often than an urgent reply may
// wait. A short urgent reply then waits behind long prompts that already run, which no
// queue order can prevent. Slots that a class already uses count against its reservation,
// so a reservation limits the other classes without setting capacity aside for exclusive
// use.
func (q *Queue) reservedAbove(class Class) int {
	reserved := 0
	for _, c := range q.classes[:class] {
		reserved += max(c.cfg.ReservedSlots-c.running, 0)
	}
	// One slot always remains for the other classes; otherwise they would never run.
	return max(min(reserved, q.cfg.Slots-1), 0)
}
