package burdockrank

import (
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// engineQueue hands a rank's orders to its engine one by one. Two at a time
// could overtake each other, and a status would not show the order before it.
type engineQueue struct {
	member *member
	wake   chan struct{}

	mu      sync.Mutex
	pending []burdockgroup.OrderEngine
	life    int // counts the engines that were lost
}

func newEngineQueue(m *member) *engineQueue {
	return &engineQueue{member: m, wake: make(chan struct{}, 1)}
}

// add puts an order at the end. A question for the status takes the place of
// one before it, so that an engine that hangs doesn't gather one for each
// retry.
func (q *engineQueue) add(order burdockgroup.OrderEngine) {
	q.mu.Lock()
	if n := len(q.pending); n > 0 && reads(order) && reads(q.pending[n-1]) {
		q.pending[n-1] = order
	} else {
		q.pending = append(q.pending, order)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func reads(order burdockgroup.OrderEngine) bool {
	_, ok := order.Order.(burdockgroup.ReadStatus)
	return ok
}

func (q *engineQueue) next() (burdockgroup.OrderEngine, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) == 0 {
		return burdockgroup.OrderEngine{}, false
	}
	order := q.pending[0]
	q.pending = q.pending[1:]
	return order, true
}

func (q *engineQueue) loop() {
	defer q.member.done.Done()
	for {
		order, ok := q.next()
		if ok {
			q.hand(order)
			continue
		}
		select {
		case <-q.wake:
		case <-q.member.ctx.Done():
			return
		}
	}
}

func (q *engineQueue) hand(order burdockgroup.OrderEngine) {
	life := q.lives()
	status, err := q.member.deps.Engine.Order(q.member.ctx, order.Fence, order.Order)
	ticket := order.Ticket
	if err == nil {
		ticket = q.answers(ticket, life)
	}
	q.member.handle(burdockgroup.EngineAnswered{Ticket: ticket, Status: status, Failed: err != nil})
}

// answers returns the ticket that an answer is for.
//
// Failure: an engine takes longer to answer than the rank's retry. Symptom: each
// answer is for an older ticket than the rank's last question, so it is passed
// over, and the group never sees the rank again. The status after an order
// answers the question for the status that was put meanwhile, as nothing came
// between the two; unless the engine was lost, for then the question is meant
// for the next one.
func (q *engineQueue) answers(ticket uint64, life int) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if life != q.life || len(q.pending) != 1 || !reads(q.pending[0]) {
		return ticket
	}
	ticket = q.pending[0].Ticket
	q.pending = nil
	return ticket
}

func (q *engineQueue) lives() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.life
}

// lost says that answers still on their way are those of a lost engine.
func (q *engineQueue) lost() {
	q.mu.Lock()
	q.life++
	q.mu.Unlock()
	q.member.handle(burdockgroup.EngineLost{})
}

// engineWatch follows the steps of an engine, and sees when it is another one.
type engineWatch struct{ member *member }

func (w engineWatch) loop() {
	defer w.member.done.Done()
	ticker := time.NewTicker(w.member.deps.Tuning.WatchInterval.Duration())
	defer ticker.Stop()
	var seen watched
	for {
		select {
		case <-w.member.ctx.Done():
			return
		case <-ticker.C:
			seen = w.look(seen)
		}
	}
}

// watched is what a watch has seen of an engine.
type watched struct {
	life burdockengine.Life
	from burdockid.Step
	lost bool // the last question was not answered
}

func (w engineWatch) look(seen watched) watched {
	answer, err := w.member.deps.Engine.Steps(w.member.ctx, seen.from)
	if err != nil {
		if !seen.lost && seen.life != "" {
			w.member.engine.lost()
		}
		seen.lost = true
		return seen
	}
	seen.lost = false
	if answer.Life != seen.life {
		if seen.life != "" {
			w.member.engine.lost()
		}
		// The new engine's steps are told from its first one on next time.
		return watched{life: answer.Life}
	}
	for _, s := range answer.Steps {
		w.member.handle(burdockgroup.StepFinished(s))
		seen.from = s.Step + 1
	}
	return seen
}
