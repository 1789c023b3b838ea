package burdockqueue

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Queue decides for one engine. It is not safe for concurrent use. Dispatch must
// be called after each of Offer, Finish, Cancel, Drain and Reconfigure, and at
// the instant that WakeAt returns.
type Queue struct {
	cfg     Config
	classes []*fairQueue
	items   map[burdockid.Request]*item
	expiry  indexedHeap[*item] // queued work, the first to expire first
	running runningSet
	queued  int
	// queuedCost is the sum over the classes.
	queuedCost burdockid.Tokens
	service    serviceTime // over all classes
	retry      retrySpreader
	leaving    bool
	paused     bool
	pausedAt   burdockclock.Millis
	permitted  bool // one start in spite of the pause
	now        burdockclock.Millis
	pending    []Event // for the next call of Dispatch
	log        decisionLog
	counts     counts
}

// New returns an empty queue. It draws from rnd to spread those it refuses.
func New(cfg Config, rnd *rand.Rand) *Queue {
	q := &Queue{
		cfg:   cfg.withDefaults(),
		items: make(map[burdockid.Request]*item),
		expiry: indexedHeap[*item]{
			less:  func(a, b *item) bool { return a.judgeAt < b.judgeAt },
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

// Offer decides on new work.
func (q *Queue) Offer(now burdockclock.Millis, w Request) Decision {
	q.advance(now)
	q.believeInitialRate()
	w = q.normalise(w)
	q.counts.offered++
	if reason := q.unwelcome(w); reason != ReasonNone {
		return q.refuse(w, reason, 0)
	}
	class := q.classes[w.Class]
	if q.mayStart(w.Class) && !q.anyStartable() {
		it := &item{work: w, flow: class.flow(w.Customer, q.cfg.share(w.Customer)), expiryIndex: notInHeap, runningIndex: notInHeap}
		q.items[w.ID] = it
		q.start(it)
		return Start{}
	}
	expected := q.expectedWait(w)
	if reason := q.hopeless(w, expected); reason != ReasonNone {
		return q.refuse(w, reason, expected)
	}
	if reason := q.makeRoom(w); reason != ReasonNone {
		return q.refuse(w, reason, expected)
	}
	q.enqueue(w)
	position := 0
	for _, c := range q.classes[:w.Class+1] {
		position += c.queued
	}
	q.note(w, OutcomeWait, ReasonNone, expected)
	return Wait{Position: position, Expected: expected}
}

// Finish ends running work of which served tokens were served; its time
// teaches the service rate. It does nothing for an id that is not running.
func (q *Queue) Finish(now burdockclock.Millis, id burdockid.Request, served burdockid.Tokens) {
	q.advance(now)
	it, ok := q.items[id]
	if !ok || it.place != placeRunning {
		return
	}
	if served > 0 {
		took := q.now - it.started
		q.service.learn(q.now, it.work.Cost, took)
		q.classes[it.work.Class].service.learn(q.now, it.work.Cost, took)
	}
	q.counts.finished++
	q.stop(it, min(max(served, 0), maxCost))
}

// Cancel forgets work that nobody waits for any longer, queued or running. It
// does nothing for an id that is neither.
func (q *Queue) Cancel(now burdockclock.Millis, id burdockid.Request) {
	q.advance(now)
	it, ok := q.items[id]
	if !ok {
		return
	}
	q.counts.cancelled++
	if it.place == placeRunning {
		q.stop(it, q.servedSoFar(it))
		return
	}
	q.dequeue(it)
	delete(q.items, id)
}

// Dispatch returns what became of queued work by now: first what is dropped, then
// what is started.
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
	q.checkNothingDue()
	return events
}

// WakeAt returns the next instant at which Dispatch has something to tell although
// nothing else has happened, and false if there is none.
func (q *Queue) WakeAt() (burdockclock.Millis, bool) {
	if len(q.pending) > 0 {
		return q.now, true
	}
	it, ok := q.expiry.first()
	if !ok || it.judgeAt == never {
		return 0, false
	}
	return it.judgeAt, true
}

// Drain refuses all new work from now on. Queued work keeps its place, so that
// a planned stop cuts off nothing that was admitted.
func (q *Queue) Drain(now burdockclock.Millis) {
	q.advance(now)
	q.leaving = true
}

// Pause has nothing started until it is called with false. What is offered or queued
// meanwhile is not judged by how fast work was served, as nobody knows for how long
// nothing will be; it waits as long as it may.
//
// Load: an engine that stands still for a second or two at the usual load. Harm
// prevented: work that is started meanwhile fills it, and what comes after it moves
// again is late for many times as long as it stood.
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
	q.paused, q.permitted = paused, false
}

// AllowProbe has one piece of work started in spite of a pause, to find out whether the
// engine goes on.
func (q *Queue) AllowProbe(now burdockclock.Millis) {
	q.advance(now)
	q.permitted = q.paused
}

// discountPause takes the time of the pause off the work that ran through it, so that
// the rate at which work is served doesn't fall by it.
func (q *Queue) discountPause() {
	for _, it := range q.running.inOrder() {
		class := q.classes[it.work.Class]
		q.service.end(it.work.Cost, it.started)
		class.service.end(it.work.Cost, it.started)
		it.started += q.now - max(it.started, q.pausedAt)
		q.service.begin(it.work.Cost, it.started)
		class.service.begin(it.work.Cost, it.started)
	}
}

// advance moves the queue's time. A clock that was set back must not make
// spans negative, so time stands still until the clock has caught up.
func (q *Queue) advance(now burdockclock.Millis) { q.now = max(q.now, now) }

func (q *Queue) normalise(w Request) Request {
	w.Class = min(max(w.Class, 0), Class(len(q.classes)-1))
	w.Cost = min(max(w.Cost, 0), maxCost)
	if w.Arrived <= 0 || w.Arrived > q.now {
		w.Arrived = q.now
	}
	return w
}

// believeInitialRate starts from the configured rate, which ages from the
// first offer on and not from the Unix epoch.
func (q *Queue) believeInitialRate() {
	if q.service.busy == 0 && q.cfg.InitialRate > 0 {
		q.service.believe(q.now, q.cfg.InitialRate/float64(burdockclock.Second))
	}
}

// unwelcome returns why work cannot be taken whatever the load.
func (q *Queue) unwelcome(w Request) Reason {
	if q.leaving {
		return ReasonDraining
	}
	if _, ok := q.items[w.ID]; ok {
		return ReasonDuplicate
	}
	if q.deadlineLost(w) {
		return ReasonDeadline
	}
	return ReasonNone
}

func (q *Queue) refuse(w Request, reason Reason, expected burdockclock.Millis) Refuse {
	q.counts.refused[reason]++
	after := q.retryAfter(w, reason, expected)
	q.note(w, OutcomeRefuse, reason, after)
	return Refuse{Reason: reason, RetryAfter: after}
}
