package burdockdirect

import (
	"context"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
)

// waiter is a request that waits to be started.
type waiter struct {
	work burdockqueue.Request
	told chan burdockqueue.Event
	// lateAt is the instant from which it can't be in time any more.
	lateAt burdockclock.Millis
}

// enter waits until the request may start. It returns a refusal, or nil; the
// error is the context's when the caller went away.
func (g *gate) enter(ctx context.Context, req *request, id burdockid.Request) (*burdockqueue.Refuse, error) {
	work := burdockqueue.Request{
		ID: id, Customer: req.customer, Class: ranksOfClass * min(req.class, classes-1), Cost: req.cost,
		Arrived: req.arrived, Deadline: req.deadline,
	}
	g.mu.Lock()
	g.fit(true)
	switch d := g.queue.Offer(g.clock.Boot(), work).(type) {
	case burdockqueue.Start:
		g.advance()
		g.mu.Unlock()
		return nil, nil
	case burdockqueue.Refuse:
		g.advance()
		g.mu.Unlock()
		return &d, nil
	}
	wait := &waiter{work: work, told: make(chan burdockqueue.Event, 1), lateAt: req.arrived + req.route.Objective - g.firstEvent}
	g.waiting[id] = wait
	g.advance()
	g.mu.Unlock()
	return g.wait(ctx, wait)
}

// wait waits for the queue's word.
//
// Load: more streams than can be started, for seconds. Harm prevented: served
// in the order of their coming, all of them would be late. One that can't be in
// time any more gives way to those that can; it still goes before nothing.
func (g *gate) wait(ctx context.Context, w *waiter) (*burdockqueue.Refuse, error) {
	late := time.NewTimer(max(w.lateAt-g.clock.Boot(), 1).Duration())
	defer late.Stop()
	for {
		select {
		case event := <-w.told:
			if dropped, ok := event.(burdockqueue.Dropped); ok {
				return &burdockqueue.Refuse{Reason: dropped.Reason, RetryAfter: dropped.RetryAfter}, nil
			}
			return nil, nil
		case <-late.C:
			if refuse := g.demote(w); refuse != nil {
				return refuse, nil
			}
		case <-ctx.Done():
			g.cancel(w.work.ID)
			return nil, ctx.Err()
		}
	}
}

// demote lets work that will be late wait behind work of its class that won't.
func (g *gate) demote(w *waiter) *burdockqueue.Refuse {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waits := g.waiting[w.work.ID]; !waits {
		return nil // told already
	}
	now := g.clock.Boot()
	g.queue.Cancel(now, w.work.ID)
	w.work.Class++
	switch d := g.queue.Offer(now, w.work).(type) {
	case burdockqueue.Start:
		delete(g.waiting, w.work.ID)
		w.told <- burdockqueue.Started{ID: w.work.ID}
	case burdockqueue.Refuse:
		delete(g.waiting, w.work.ID)
		g.advance()
		return &d
	}
	g.advance()
	return nil
}
