package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// This file contains the transitions of requests between queued, running and removed.

func (q *Queue) enqueue(req Request) {
	it := &item{req: req, phase: phaseQueued, expiryIndex: notInHeap, runningIndex: notInHeap}
	q.items[req.ID] = it
	q.classes[req.Class].push(q.now, it, q.cfg.share(req.Customer))
	q.queued++
	q.queuedCost += chargedCost(req.Cost)
	it.expiresAt, it.expiryReason = q.expiryOf(req)
	it.recheckAt = q.nextRecheck(it)
	q.expiry.add(it)
}

func (q *Queue) dequeue(it *item) {
	q.classes[it.req.Class].remove(it)
	q.expiry.remove(it)
	q.queued--
	q.queuedCost -= chargedCost(it.req.Cost)
	it.phase = phaseNone
}

// expiryOf returns when a request is dropped if it is still queued, and why.
func (q *Queue) expiryOf(req Request) (burdockclock.Millis, Reason) {
	expiresAt, reason := never, ReasonNone
	if maxWait := q.classes[req.Class].cfg.MaxWait; maxWait > 0 {
		expiresAt, reason = req.Arrived+maxWait, ReasonWaitExceeded
	}
	if req.Deadline > 0 {
		if latest := req.Deadline - q.serviceMillis(req) + 1; latest < expiresAt {
			expiresAt, reason = latest, ReasonDeadline
		}
	}
	return expiresAt, reason
}

// start gives a slot to an item that is not queued.
func (q *Queue) start(it *item) {
	q.probeAllowed = false
	it.phase, it.started = phaseRunning, q.now
	it.expectedEnd = q.now + q.serviceMillis(it.req)
	q.running.add(it)
	q.service.begin(it.req.Cost, it.started)
	q.classes[it.req.Class].service.begin(it.req.Cost, it.started)
	q.classes[it.req.Class].charge(q.now, it.flow, it.req.Cost)
	q.counts.started++
	q.logDecision(it.req, OutcomeStart, ReasonNone, q.now-it.req.Arrived)
}

// stop releases the slot of a running item.
func (q *Queue) stop(it *item, served burdockid.Tokens) {
	q.running.remove(it)
	q.service.end(it.req.Cost, it.started)
	q.classes[it.req.Class].service.end(it.req.Cost, it.started)
	q.classes[it.req.Class].release(it.flow, it.req.Cost, served)
	it.phase = phaseNone
	delete(q.items, it.req.ID)
}

// drop removes a queued item without running it.
func (q *Queue) drop(it *item, reason Reason) Dropped {
	q.dequeue(it)
	delete(q.items, it.req.ID)
	q.counts.dropped[reason]++
	after := q.retryAfter(it.req, reason, q.expectedWait(it.req))
	q.logDecision(it.req, OutcomeDrop, reason, after)
	return Dropped{ID: it.req.ID, Reason: reason, RetryAfter: after}
}

// expire drops queued requests that have expired or are expected to expire before they
// start.
func (q *Queue) expire(events []Event) []Event {
	for {
		it, ok := q.expiry.first()
		if !ok || it.recheckAt > q.now {
			return events
		}
		if it.expiresAt <= q.now || q.expectedToExpire(it) {
			events = append(events, q.drop(it, it.expiryReason))
			continue
		}
		it.recheckAt = q.nextRecheck(it)
		q.expiry.fix(it)
	}
}

// minRecheckInterval is the remaining time below which a request is not rechecked before
// it expires. It bounds the rechecks of one request to the logarithm of its wait.
const minRecheckInterval = burdockclock.Second / 2

// nextRecheck returns when a queued request is checked again: after half of its remaining
// time.
func (q *Queue) nextRecheck(it *item) burdockclock.Millis {
	if it.expiresAt == never || it.expiresAt-q.now <= minRecheckInterval {
		return it.expiresAt
	}
	return q.now + (it.expiresAt-q.now)/2
}

// expectedToExpire reports whether a queued request is expected to expire before it can
// start.
//
// That happens when the engine has become slower or more urgent requests have arrived
// since it was admitted. Without the check, the caller would wait for a refusal that is
// already foreseeable.
func (q *Queue) expectedToExpire(it *item) bool {
	if q.paused {
		return false
	}
	c := q.classes[it.req.Class]
	others := c.queuedCost - chargedCost(it.req.Cost)
	inClass := c.tokensBeforeTag(c.queuedTag(it), c.activeWeight, others)
	return q.now+q.timeToServe(it.req.Class, inClass) >= it.expiresAt
}

// startOrDrop starts the picked item, or drops it if it can no longer meet its deadline.
//
// With a backlog, or an engine that has become slower since the request was admitted,
// slots would be spent on answers that come too late to be used, and every later request
// would be late as well.
func (q *Queue) startOrDrop(it *item) Event {
	if q.missesDeadline(it.req) {
		return q.drop(it, ReasonDeadline)
	}
	q.checkOrder(it.req.Class)
	q.checkFlowOrder(it)
	q.dequeue(it)
	q.start(it)
	q.checkShare(it.flow, it.req.Class)
	return Started{ID: it.req.ID}
}
