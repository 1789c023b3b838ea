package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// This file moves requests from one place to the next.

func (q *Queue) enqueue(w Request) {
	it := &item{work: w, place: placeQueued, expiryIndex: notInHeap, runningIndex: notInHeap}
	q.items[w.ID] = it
	q.classes[w.Class].push(q.now, it, q.cfg.share(w.Customer))
	q.queued++
	q.queuedCost += charged(w.Cost)
	it.expires, it.expiryReason = q.expiryOf(w)
	it.judgeAt = q.nextLook(it)
	q.expiry.add(it)
}

func (q *Queue) dequeue(it *item) {
	q.classes[it.work.Class].remove(it)
	q.expiry.remove(it)
	q.queued--
	q.queuedCost -= charged(it.work.Cost)
	it.place = placeNone
}

// expiryOf returns when queued work is dropped and why.
func (q *Queue) expiryOf(w Request) (burdockclock.Millis, Reason) {
	expires, reason := never, ReasonNone
	if bound := q.classes[w.Class].cfg.MaxWait; bound > 0 {
		expires, reason = w.Arrived+bound, ReasonWaitExceeded
	}
	if w.Deadline > 0 {
		if latest := w.Deadline - q.serviceMillis(w) + 1; latest < expires {
			expires, reason = latest, ReasonDeadline
		}
	}
	return expires, reason
}

// start gives a slot to an item that is not queued.
func (q *Queue) start(it *item) {
	q.permitted = false
	it.place, it.started = placeRunning, q.now
	it.ends = q.now + q.serviceMillis(it.work)
	q.running.add(it)
	q.service.begin(it.work.Cost, it.started)
	q.classes[it.work.Class].service.begin(it.work.Cost, it.started)
	q.classes[it.work.Class].charge(q.now, it.flow, it.work.Cost)
	q.counts.started++
	q.note(it.work, OutcomeStart, ReasonNone, q.now-it.work.Arrived)
}

// stop takes the slot from a running item.
func (q *Queue) stop(it *item, served burdockid.Tokens) {
	q.running.remove(it)
	q.service.end(it.work.Cost, it.started)
	q.classes[it.work.Class].service.end(it.work.Cost, it.started)
	q.classes[it.work.Class].release(it.flow, it.work.Cost, served)
	it.place = placeNone
	delete(q.items, it.work.ID)
}

// drop takes a queued item out for good.
func (q *Queue) drop(it *item, reason Reason) Dropped {
	q.dequeue(it)
	delete(q.items, it.work.ID)
	q.counts.dropped[reason]++
	after := q.retryAfter(it.work, reason, q.expectedWait(it.work))
	q.note(it.work, OutcomeDrop, reason, after)
	return Dropped{ID: it.work.ID, Reason: reason, RetryAfter: after}
}

// expire drops what has waited too long, and what is bound to.
func (q *Queue) expire(events []Event) []Event {
	for {
		it, ok := q.expiry.first()
		if !ok || it.judgeAt > q.now {
			return events
		}
		if it.expires <= q.now || q.lateFor(it) {
			events = append(events, q.drop(it, it.expiryReason))
			continue
		}
		it.judgeAt = q.nextLook(it)
		q.expiry.fix(it)
	}
}

// leastLook is the time left below which work is not judged again before it
// expires, which bounds the looks at one request to the logarithm of its wait.
const leastLook = burdockclock.Second / 2

// nextLook returns when queued work is judged again: when half of the time left
// to it has passed.
func (q *Queue) nextLook(it *item) burdockclock.Millis {
	if it.expires == never || it.expires-q.now <= leastLook {
		return it.expires
	}
	return q.now + (it.expires-q.now)/2
}

// lateFor reports whether queued work is not expected to start before it
// expires.
//
// Load: an engine that became slower, or more urgent work that came later.
// Harm prevented: the caller waits for the rest of its time for a refusal that
// could be foreseen.
func (q *Queue) lateFor(it *item) bool {
	if q.paused {
		return false
	}
	c := q.classes[it.work.Class]
	others := c.queuedCost - charged(it.work.Cost)
	inClass := c.tokensUntil(it.flow.startTag(it), c.activeWeight, others)
	return q.now+q.timeToServe(it.work.Class, inClass) >= it.expires
}

// startOrDrop starts the work whose turn it is, unless its deadline can no
// longer be met.
//
// Load: a backlog, or an engine that became slower since the work was
// admitted. Harm prevented: slots spent on answers that come too late for
// anybody, which keeps every later request late as well.
func (q *Queue) startOrDrop(it *item) Event {
	if q.deadlineLost(it.work) {
		return q.drop(it, ReasonDeadline)
	}
	q.checkOrder(it.work.Class)
	q.dequeue(it)
	q.start(it)
	q.checkShare(it.flow, it.work.Class)
	return Started{ID: it.work.ID}
}
