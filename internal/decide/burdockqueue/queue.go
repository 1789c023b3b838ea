package burdockqueue

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Queue decides for one engine. It is not safe for concurrent use. Next must
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
	now        burdockclock.Millis
	pending    []Event // for the next call of Next
	log        decisionLog
	counts     counts
}

// New returns an empty queue. It draws from rnd to spread those it refuses.
func New(cfg Config, rnd *rand.Rand) *Queue {
	q := &Queue{
		cfg:   cfg.withDefaults(),
		items: make(map[burdockid.Request]*item),
		expiry: indexedHeap[*item]{
			less:  func(a, b *item) bool { return a.expires < b.expires },
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
func (q *Queue) Offer(now burdockclock.Millis, w Work) Decision {
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

// Next returns what became of queued work by now: first what is dropped, then
// what is started.
func (q *Queue) Next(now burdockclock.Millis) []Event {
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

// WakeAt returns the next instant at which Next has something to tell although
// nothing else has happened, and false if there is none.
func (q *Queue) WakeAt() (burdockclock.Millis, bool) {
	if len(q.pending) > 0 {
		return q.now, true
	}
	it, ok := q.expiry.first()
	if !ok || it.expires == never {
		return 0, false
	}
	return it.expires, true
}

// Drain refuses all new work from now on. Queued work keeps its place, so that
// a planned stop cuts off nothing that was admitted.
func (q *Queue) Drain(now burdockclock.Millis) {
	q.advance(now)
	q.leaving = true
}

// Reconfigure takes over a new profile. Queued work stays, also beyond a lower
// bound on length, and keeps the bound on its wait under which it was admitted;
// work of a class that is gone joins the last class.
func (q *Queue) Reconfigure(now burdockclock.Millis, cfg Config) {
	q.advance(now)
	q.cfg = cfg.withDefaults()
	for i, class := range q.cfg.Classes {
		if i < len(q.classes) {
			q.classes[i].cfg = class
			continue
		}
		q.classes = append(q.classes, newFairQueue(class))
	}
	for len(q.classes) > len(q.cfg.Classes) {
		q.foldLastClass()
	}
	for _, class := range q.classes {
		class.reweigh(q.cfg.share)
	}
}

// advance moves the queue's time. A clock that was set back must not make
// spans negative, so time stands still until the clock has caught up.
func (q *Queue) advance(now burdockclock.Millis) { q.now = max(q.now, now) }

func (q *Queue) normalise(w Work) Work {
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
func (q *Queue) unwelcome(w Work) Reason {
	if q.leaving {
		return ReasonLeaving
	}
	if _, ok := q.items[w.ID]; ok {
		return ReasonDuplicate
	}
	if q.deadlineLost(w) {
		return ReasonDeadline
	}
	return ReasonNone
}

func (q *Queue) refuse(w Work, reason Reason, expected burdockclock.Millis) Refuse {
	q.counts.refused[reason]++
	after := q.retryAfter(w, reason, expected)
	q.note(w, OutcomeRefuse, reason, after)
	return Refuse{Reason: reason, RetryAfter: after}
}

func (q *Queue) enqueue(w Work) {
	it := &item{work: w, place: placeQueued, expiryIndex: notInHeap, runningIndex: notInHeap}
	q.items[w.ID] = it
	q.classes[w.Class].push(q.now, it, q.cfg.share(w.Customer))
	q.queued++
	q.queuedCost += charged(w.Cost)
	it.expires, it.expiryReason = q.expiryOf(w)
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
func (q *Queue) expiryOf(w Work) (burdockclock.Millis, Reason) {
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

func (q *Queue) expire(events []Event) []Event {
	for {
		it, ok := q.expiry.first()
		if !ok || it.expires > q.now {
			return events
		}
		events = append(events, q.drop(it, it.expiryReason))
	}
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

// foldLastClass moves the work of the last class to the one before it.
func (q *Queue) foldLastClass() {
	last := len(q.classes) - 1
	from, to := q.classes[last], q.classes[last-1]
	for _, it := range from.inOrder() {
		from.remove(it)
		it.work.Class = Class(last - 1)
		to.push(q.now, it, q.cfg.share(it.work.Customer))
	}
	for _, it := range q.running.inOrder() {
		if it.work.Class != Class(last) {
			continue
		}
		it.work.Class = Class(last - 1)
		from.service.end(it.work.Cost, it.started)
		to.service.begin(it.work.Cost, it.started)
		it.flow = to.adopt(it, q.cfg.share(it.work.Customer))
	}
	q.classes = q.classes[:last]
}
