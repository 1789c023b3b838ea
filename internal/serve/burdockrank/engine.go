package burdockrank

import (
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/platform/burdockengine"
)

// engineQueue hands a rank's orders to its engine one by one. Two at a time
// could overtake each other, and a status would not show the order before it.
type engineQueue struct {
	member *member
	wake   chan struct{}

	mu      sync.Mutex
	pending []burdockgroup.OrderEngine
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
	status, err := q.member.deps.Engine.Order(q.member.ctx, order.Fence, order.Order)
	q.member.handle(burdockgroup.EngineAnswered{Ticket: order.Ticket, Status: status, Failed: err != nil})
}

// watchEvery is how often the agent asks its engine, on the same VM, for the
// steps that it finished. An engine that was restarted stands still until its
// agent notices.
const watchEvery = 250 * time.Millisecond

// engineWatch follows the steps of an engine, and sees when it is another one.
type engineWatch struct{ member *member }

func (w engineWatch) loop() {
	defer w.member.done.Done()
	ticker := time.NewTicker(watchEvery)
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
			w.member.handle(burdockgroup.EngineLost{})
		}
		seen.lost = true
		return seen
	}
	seen.lost = false
	if answer.Life != seen.life {
		if seen.life != "" {
			w.member.handle(burdockgroup.EngineLost{})
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
