package burdockrank

import (
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// engineQueue sends a rank's orders to its engine one at a time. Concurrent orders could
// overtake each other, and a status would not reflect the order before it.
type engineQueue struct {
	member *member
	wake   chan struct{}

	mu         sync.Mutex
	pending    []burdockgroup.OrderEngine
	generation int // number of engines lost so far
}

func newEngineQueue(m *member) *engineQueue {
	return &engineQueue{member: m, wake: make(chan struct{}, 1)}
}

// add appends an order. A status request replaces one directly before it, so that an
// engine that doesn't answer doesn't accumulate one for each retry.
func (q *engineQueue) add(order burdockgroup.OrderEngine) {
	q.mu.Lock()
	if n := len(q.pending); n > 0 && isStatusRead(order) && isStatusRead(q.pending[n-1]) {
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

func isStatusRead(order burdockgroup.OrderEngine) bool {
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
			q.execute(order)
			continue
		}
		select {
		case <-q.wake:
		case <-q.member.ctx.Done():
			return
		}
	}
}

func (q *engineQueue) execute(order burdockgroup.OrderEngine) {
	generation := q.currentGeneration()
	status, err := q.member.deps.Engine.Order(q.member.ctx, order.Fence, order.Order)
	ticket := order.Ticket
	if err == nil {
		ticket = q.answeredTicket(ticket, generation)
	}
	q.member.handle(burdockgroup.EngineAnswered{Ticket: ticket, Status: status, Failed: err != nil})
}

// answeredTicket returns the ticket that an answer is for.
//
// If an engine takes longer to answer than the rank's retry interval, each answer has an
// older ticket than the rank's latest request. The rank would ignore all of them, and the
// group would never see the rank again. The status after an order therefore also answers
// a status request that was queued meanwhile, as no order comes between them. This
// doesn't hold if the engine was lost, because the request is then meant for the next
// engine.
func (q *engineQueue) answeredTicket(ticket uint64, generation int) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if generation != q.generation || len(q.pending) != 1 || !isStatusRead(q.pending[0]) {
		return ticket
	}
	ticket = q.pending[0].Ticket
	q.pending = nil
	return ticket
}

func (q *engineQueue) currentGeneration() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.generation
}

// lost marks outstanding answers as those of a lost engine.
func (q *engineQueue) lost() {
	q.mu.Lock()
	q.generation++
	q.mu.Unlock()
	q.member.handle(burdockgroup.EngineLost{})
}

// engineWatch polls the finished steps of an engine, and detects that it was replaced by
// another.
type engineWatch struct{ member *member }

func (w engineWatch) loop() {
	defer w.member.done.Done()
	ticker := time.NewTicker(w.member.deps.Tuning.WatchInterval.Duration())
	defer ticker.Stop()
	var seen watchState
	for {
		select {
		case <-w.member.ctx.Done():
			return
		case <-ticker.C:
			seen = w.poll(seen)
		}
	}
}

// watchState is what a watch knows of an engine.
type watchState struct {
	life     burdockengine.Incarnation
	nextStep burdockid.Step
	lost     bool // the last poll failed
}

func (w engineWatch) poll(seen watchState) watchState {
	answer, err := w.member.deps.Engine.Steps(w.member.ctx, seen.nextStep)
	if err != nil {
		if !seen.lost && seen.life != "" {
			w.member.engine.lost()
		}
		seen.lost = true
		return seen
	}
	seen.lost = false
	if answer.Incarnation != seen.life {
		if seen.life != "" {
			w.member.engine.lost()
		}
		// The next poll returns the new engine's steps from its first one on.
		return watchState{life: answer.Incarnation}
	}
	for _, s := range answer.Steps {
		w.member.handle(burdockgroup.StepFinished(s))
		seen.nextStep = s.Step + 1
	}
	return seen
}
