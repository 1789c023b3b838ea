package burdockqueuelab

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
)

// queue is what the lab drives. *burdockqueue.Queue is one.
type queue interface {
	Offer(now burdockclock.Millis, w burdockqueue.Request) burdockqueue.Decision
	Finish(now burdockclock.Millis, id burdockid.Request, served burdockid.Tokens)
	Cancel(now burdockclock.Millis, id burdockid.Request)
	Dispatch(now burdockclock.Millis) []burdockqueue.Event
	WakeAt() (burdockclock.Millis, bool)
}

// policy is a way to order and refuse work.
type policy interface {
	isPolicy()
	String() string
}

type (
	// fair is the queue of burdockqueue.
	fair struct{}
	// firstCome serves in order of arrival and refuses when the queue is full.
	firstCome struct{}
	// plainPriority serves the most urgent class first, in order of arrival,
	// and refuses when the queue is full.
	plainPriority struct{}
)

func (fair) isPolicy()          {}
func (firstCome) isPolicy()     {}
func (plainPriority) isPolicy() {}

func (fair) String() string          { return "burdockqueue" }
func (firstCome) String() string     { return "first come" }
func (plainPriority) String() string { return "priority" }

var policies = []policy{fair{}, firstCome{}, plainPriority{}}

func newQueue(p policy, cfg burdockqueue.Config, rnd *rand.Rand) queue {
	switch p.(type) {
	case fair:
		return burdockqueue.New(cfg, rnd)
	case firstCome:
		return newLineQueue(cfg, 1)
	case plainPriority:
		return newLineQueue(cfg, len(cfg.Classes))
	}
	panic("burdockqueuelab: unknown policy " + p.String())
}

// lineQueue is the baseline: a line for each class, or one for all.
type lineQueue struct {
	cfg     burdockqueue.Config
	lines   [][]burdockid.Request
	waiting map[burdockid.Request]bool
	running map[burdockid.Request]bool
}

func newLineQueue(cfg burdockqueue.Config, lines int) *lineQueue {
	return &lineQueue{
		cfg:     cfg,
		lines:   make([][]burdockid.Request, lines),
		waiting: make(map[burdockid.Request]bool),
		running: make(map[burdockid.Request]bool),
	}
}

// lineRetryAfter is what the baseline tells those it refuses.
const lineRetryAfter = burdockclock.Second

// Offer implements queue.
func (q *lineQueue) Offer(_ burdockclock.Millis, w burdockqueue.Request) burdockqueue.Decision {
	if len(q.running) < q.cfg.Slots {
		q.running[w.ID] = true
		return burdockqueue.Start{}
	}
	if len(q.waiting) >= q.cfg.MaxQueued {
		return burdockqueue.Refuse{Reason: burdockqueue.ReasonQueueFull, RetryAfter: lineRetryAfter}
	}
	line := min(int(w.Class), len(q.lines)-1)
	q.lines[line] = append(q.lines[line], w.ID)
	q.waiting[w.ID] = true
	return burdockqueue.Wait{Position: len(q.waiting)}
}

// Finish implements queue.
func (q *lineQueue) Finish(_ burdockclock.Millis, id burdockid.Request, _ burdockid.Tokens) {
	delete(q.running, id)
}

// Cancel implements queue.
func (q *lineQueue) Cancel(_ burdockclock.Millis, id burdockid.Request) {
	delete(q.running, id)
	delete(q.waiting, id)
}

// Dispatch implements queue.
func (q *lineQueue) Dispatch(burdockclock.Millis) []burdockqueue.Event {
	var events []burdockqueue.Event
	for i, line := range q.lines {
		for len(line) > 0 && len(q.running) < q.cfg.Slots {
			id := line[0]
			line = line[1:]
			if q.waiting[id] {
				delete(q.waiting, id)
				q.running[id] = true
				events = append(events, burdockqueue.Started{ID: id})
			}
		}
		q.lines[i] = line
	}
	return events
}

// WakeAt implements queue.
func (q *lineQueue) WakeAt() (burdockclock.Millis, bool) { return 0, false }
