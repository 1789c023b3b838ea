package burdockqueue

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Queue decides for one engine. It is not safe for concurrent use. Dispatch must be
// called after each call of Offer, Finish, Cancel, Drain, Pause, AllowProbe and
// Reconfigure, and at the time that WakeAt returns.
type Queue struct {
	cfg     Config
	classes []*fairQueue
	items   map[burdockid.Request]*item
	expiry  indexedHeap[*item] // queued requests, earliest recheck first
	running runningSet
	queued  int
	// queuedCost is the sum over the classes.
	queuedCost   burdockid.Tokens
	service      serviceEstimator // over all classes
	retry        retrySpreader
	draining     bool
	paused       bool
	pausedAt     burdockclock.Millis
	probeAllowed bool // one start is allowed in spite of the pause
	now          burdockclock.Millis
	pending      []Event // returned by the next call of Dispatch
	decisions    decisionLog
	counts       counts
}

// New returns an empty queue. rnd is the source of the jitter in RetryAfter.
func New(cfg Config, rnd *rand.Rand) *Queue {
	q := &Queue{
		cfg:   cfg.withDefaults(),
		items: make(map[burdockid.Request]*item),
		expiry: indexedHeap[*item]{
			less:  func(a, b *item) bool { return a.recheckAt < b.recheckAt },
			index: func(it *item) *int { return &it.expiryIndex },
		},
		running: newRunningSet(),
		retry:   retrySpreader{rnd: rnd},
	}
	for _, class := range q.cfg.Classes {
		q.classes = append(q.classes, newFairQueue(class))
	}
	return q
}

// Offer decides on a new request.
func (q *Queue) Offer(now burdockclock.Millis, req Request) Decision {
	q.advance(now)
	q.seedInitialRate()
	req = q.normalise(req)
	q.counts.offered++
	if reason := q.unconditionalRefusal(req); reason != ReasonNone {
		return q.refuse(req, reason, 0)
	}
	class := q.classes[req.Class]
	if q.mayStart(req.Class) && !q.anyStartable() {
		it := &item{req: req, flow: class.flow(req.Customer, q.cfg.share(req.Customer)), expiryIndex: notInHeap, runningIndex: notInHeap}
		q.items[req.ID] = it
		q.start(it)
		return Start{}
	}
	expected := q.expectedWait(req)
	if reason := q.admissionRefusal(req, expected); reason != ReasonNone {
		return q.refuse(req, reason, expected)
	}
	if reason := q.makeRoom(req); reason != ReasonNone {
		return q.refuse(req, reason, expected)
	}
	q.enqueue(req)
	position := 0
	for _, c := range q.classes[:req.Class+1] {
		position += c.queued
	}
	q.logDecision(req, OutcomeWait, ReasonNone, expected)
	return Wait{Position: position, Expected: expected}
}

// Finish records the end of a running request that was served the given number of tokens.
// The service rate is estimated from its running time. It does nothing if id is not
// running.
func (q *Queue) Finish(now burdockclock.Millis, id burdockid.Request, served burdockid.Tokens) {
	q.advance(now)
	it, ok := q.items[id]
	if !ok || it.phase != phaseRunning {
		return
	}
	if served > 0 {
		elapsed := q.now - it.started
		q.service.observe(q.now, it.req.Cost, elapsed)
		q.classes[it.req.Class].service.observe(q.now, it.req.Cost, elapsed)
	}
	q.counts.finished++
	q.stop(it, min(max(served, 0), maxCost))
}

// Cancel removes a queued or running request whose caller has gone. It does nothing if id
// is neither.
func (q *Queue) Cancel(now burdockclock.Millis, id burdockid.Request) {
	q.advance(now)
	it, ok := q.items[id]
	if !ok {
		return
	}
	q.counts.cancelled++
	if it.phase == phaseRunning {
		q.stop(it, q.estimateServed(it))
		return
	}
	q.dequeue(it)
	delete(q.items, id)
}

// Dispatch drops queued requests that have expired or would be too late, starts those
// that may start, and returns the events, including those of requests displaced since the
// last call.
func (q *Queue) Dispatch(now burdockclock.Millis) []Event {
	q.advance(now)
	events := q.pending
	q.pending = nil
	events = q.expire(events)
	for {
		it, ok := q.pick()
		if !ok {
			break
		}
		events = append(events, q.startOrDrop(it))
	}
	q.checkCounts()
	q.checkWorkConserving()
	return events
}

// WakeAt returns the next time at which Dispatch must be called even if nothing else
// happens, and false if there is none.
func (q *Queue) WakeAt() (burdockclock.Millis, bool) {
	if len(q.pending) > 0 {
		return q.now, true
	}
	it, ok := q.expiry.first()
	if !ok || it.recheckAt == never {
		return 0, false
	}
	return it.recheckAt, true
}

// Drain refuses all new requests from now on. Queued requests stay, so that a planned
// stop does not cut off anything that was admitted.
func (q *Queue) Drain(now burdockclock.Millis) {
	q.advance(now)
	q.draining = true
}

// Pause stops starting requests if paused is true, and resumes if it is false. During a
// pause, offered and queued requests are not judged by the service rate, since nobody
// knows how long the pause lasts; they wait until their deadline or MaxWait.
//
// This is for an engine that stalls for a second or two under ordinary load. Requests
// started during the stall would fill it, and later ones would be late for many times the
// length of the stall.
func (q *Queue) Pause(now burdockclock.Millis, paused bool) {
	q.advance(now)
	switch {
	case paused == q.paused:
		return
	case paused:
		q.pausedAt = q.now
	default:
		q.discountPause()
	}
	q.paused, q.probeAllowed = paused, false
}

// AllowProbe allows one start in spite of a pause, to find out whether the engine
// responds again.
func (q *Queue) AllowProbe(now burdockclock.Millis) {
	q.advance(now)
	q.probeAllowed = q.paused
}

// discountPause deducts the pause from the running time of the requests that ran through
// it, so that the pause does not lower the estimated service rate.
func (q *Queue) discountPause() {
	for _, it := range q.running.snapshot() {
		class := q.classes[it.req.Class]
		q.service.end(it.req.Cost, it.started)
		class.service.end(it.req.Cost, it.started)
		it.started += q.now - max(it.started, q.pausedAt)
		q.service.begin(it.req.Cost, it.started)
		class.service.begin(it.req.Cost, it.started)
	}
}

// advance moves the queue's time forward. If the clock was set back, time stands still
// until the clock has caught up, since intervals must not be negative.
func (q *Queue) advance(now burdockclock.Millis) { q.now = max(q.now, now) }

func (q *Queue) normalise(req Request) Request {
	req.Class = min(max(req.Class, 0), Class(len(q.classes)-1))
	req.Cost = min(max(req.Cost, 0), maxCost)
	if req.Arrived <= 0 || req.Arrived > q.now {
		req.Arrived = q.now
	}
	return req
}

// seedInitialRate seeds the estimator with the configured rate at the first offer. Seeded
// earlier, the rate would have decayed since the Unix epoch.
func (q *Queue) seedInitialRate() {
	if q.service.finishedTime == 0 && q.cfg.InitialRate > 0 {
		q.service.seed(q.now, q.cfg.InitialRate/float64(burdockclock.Second))
	}
}

// unconditionalRefusal returns why a request is refused regardless of the load, or
// ReasonNone.
func (q *Queue) unconditionalRefusal(req Request) Reason {
	if q.draining {
		return ReasonDraining
	}
	if _, ok := q.items[req.ID]; ok {
		return ReasonDuplicate
	}
	if q.missesDeadline(req) {
		return ReasonDeadline
	}
	return ReasonNone
}

func (q *Queue) refuse(req Request, reason Reason, expected burdockclock.Millis) Refuse {
	q.counts.refused[reason]++
	after := q.retryAfter(req, reason, expected)
	q.logDecision(req, OutcomeRefuse, reason, after)
	return Refuse{Reason: reason, RetryAfter: after}
}
