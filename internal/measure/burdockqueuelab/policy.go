package burdockqueuelab

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
)

// queue is the interface of the simulated queues. *burdockqueue.Queue implements it.
type queue interface {
	Offer(now burdockclock.Millis, w burdockqueue.Request) burdockqueue.Decision
	Finish(now burdockclock.Millis, id burdockid.Request, served burdockid.Tokens)
	Cancel(now burdockclock.Millis, id burdockid.Request)
	Dispatch(now burdockclock.Millis) []burdockqueue.Event
	WakeAt() (burdockclock.Millis, bool)
}

// policy selects the queue that orders and refuses requests.
type policy interface {
	isPolicy()
	String() string
}

type (
	// fairQueue uses burdockqueue.Queue.
	fairQueue struct{}
	// firstCome serves in order of arrival and refuses when the queue is full.
	firstCome struct{}
	// plainPriority serves the most urgent class first, in order of arrival,
	// and refuses when the queue is full.
	plainPriority struct{}
)

func (fairQueue) isPolicy()     {}
func (firstCome) isPolicy()     {}
func (plainPriority) isPolicy() {}

func (fairQueue) String() string     { return "burdockqueue" }
func (firstCome) String() string     { return "first come" }
func (plainPriority) String() string { return "priority" }

var policies = []policy{fairQueue{}, firstCome{}, plainPriority{}}

func newQueue(p policy, cfg burdockqueue.Config, rnd *rand.Rand) queue {
	switch p.(type) {
	case fairQueue:
		return burdockqueue.New(cfg, rnd)
	case firstCome:
		return newBaselineQueue(cfg, 1)
	case plainPriority:
		return newBaselineQueue(cfg, len(cfg.Classes))
	}
	panic("burdockqueuelab: unknown policy " + p.String())
}

// baselineQueue is the queue of the baseline policies. It has one first-in, first-out
// queue per class, or a single one for all classes.
type baselineQueue struct {
	cfg     burdockqueue.Config
	fifos   [][]burdockid.Request
	waiting map[burdockid.Request]bool
	running map[burdockid.Request]bool
}

func newBaselineQueue(cfg burdockqueue.Config, fifos int) *baselineQueue {
	return &baselineQueue{
		cfg:     cfg,
		fifos:   make([][]burdockid.Request, fifos),
		waiting: make(map[burdockid.Request]bool),
		running: make(map[burdockid.Request]bool),
	}
}

// baselineRetryAfter is the retry time in the refusals of baselineQueue.
const baselineRetryAfter = burdockclock.Second

// Offer implements queue.
func (q *baselineQueue) Offer(_ burdockclock.Millis, w burdockqueue.Request) burdockqueue.Decision {
	if len(q.running) < q.cfg.Slots {
		q.running[w.ID] = true
		return burdockqueue.Start{}
	}
	if len(q.waiting) >= q.cfg.MaxQueued {
		return burdockqueue.Refuse{Reason: burdockqueue.ReasonQueueFull, RetryAfter: baselineRetryAfter}
	}
	fifo := min(int(w.Class), len(q.fifos)-1)
	q.fifos[fifo] = append(q.fifos[fifo], w.ID)
	q.waiting[w.ID] = true
	return burdockqueue.Wait{Position: len(q.waiting)}
}

// Finish implements queue.
func (q *baselineQueue) Finish(_ burdockclock.Millis, id burdockid.Request, _ burdockid.Tokens) {
	delete(q.running, id)
}

// Cancel implements queue.
func (q *baselineQueue) Cancel(_ burdockclock.Millis, id burdockid.Request) {
	delete(q.running, id)
	delete(q.waiting, id)
}

// Dispatch implements queue.
func (q *baselineQueue) Dispatch(burdockclock.Millis) []burdockqueue.Event {
	var events []burdockqueue.Event
	for i, fifo := range q.fifos {
		for len(fifo) > 0 && len(q.running) < q.cfg.Slots {
			id := fifo[0]
			fifo = fifo[1:]
			if q.waiting[id] {
				delete(q.waiting, id)
				q.running[id] = true
				events = append(events, burdockqueue.Started{ID: id})
			}
		}
		q.fifos[i] = fifo
	}
	return events
}

// WakeAt implements queue.
func (q *baselineQueue) WakeAt() (burdockclock.Millis, bool) { return 0, false }
