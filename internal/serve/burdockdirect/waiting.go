package burdockdirect

import (
	"context"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/decide/burdocktimeliness"
)

// waiter is a request in the queue.
type waiter struct {
	request  burdockqueue.Request
	decision chan burdockqueue.Event
	// lateAt is the time from which the request can no longer meet its latency objective.
	lateAt burdockclock.Millis
	// source is the request that waits.
	source *request
}

// admit waits until the request may start. It returns a refusal, or nil. The error is that
// of the context if it ended first.
func (g *gate) admit(ctx context.Context, req *request, id burdockid.Request) (*burdockqueue.Refuse, error) {
	queued := burdockqueue.Request{
		ID: id, Customer: req.customer, Class: queueClassesPerPriority * min(req.class, numPriorities-1), Cost: req.cost,
		Arrived: req.arrived, Deadline: req.deadline,
	}
	g.mu.Lock()
	lateAt := g.rank(req, &queued)
	g.updateLimit(true)
	switch d := g.queue.Offer(g.clock.Boot(), queued).(type) {
	case burdockqueue.Start:
		g.dispatch()
		g.mu.Unlock()
		return nil, nil
	case burdockqueue.Refuse:
		g.dispatch()
		g.mu.Unlock()
		return &d, nil
	}
	wait := &waiter{request: queued, decision: make(chan burdockqueue.Event, 1), lateAt: lateAt, source: req}
	g.waiting[id] = wait
	g.timeliness.addWaiter(wait)
	g.dispatch()
	g.mu.Unlock()
	return g.wait(ctx, wait)
}

// wait waits for the queue's decision.
//
// If more streams come for some seconds than can be started, serving them in order of
// arrival makes all of them late. A request that can no longer meet its objective
// therefore gives way to those that can. It still starts when no other waits.
func (g *gate) wait(ctx context.Context, w *waiter) (*burdockqueue.Refuse, error) {
	var late <-chan time.Time
	if w.lateAt != neverLate {
		timer := time.NewTimer(max(w.lateAt-g.clock.Boot(), 1).Duration())
		defer timer.Stop()
		late = timer.C
	}
	for {
		select {
		case event := <-w.decision:
			if dropped, ok := event.(burdockqueue.Dropped); ok {
				return &burdockqueue.Refuse{Reason: dropped.Reason, RetryAfter: dropped.RetryAfter}, nil
			}
			return nil, nil
		case <-late:
			if refuse := g.demote(w); refuse != nil {
				return refuse, nil
			}
		case <-ctx.Done():
			g.cancel(w.request.ID)
			return nil, ctx.Err()
		}
	}
}

// demote moves a request that will be late behind those of its priority that won't be.
func (g *gate) demote(w *waiter) *burdockqueue.Refuse {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waits := g.waiting[w.request.ID]; !waits {
		return nil // decided already
	}
	now := g.clock.Boot()
	g.queue.Cancel(now, w.request.ID)
	w.request.Class++
	if g.timeliness != nil {
		w.source.late = burdocktimeliness.ReasonObjective
		g.meters.late.Inc()
	}
	switch d := g.queue.Offer(now, w.request).(type) {
	case burdockqueue.Start:
		delete(g.waiting, w.request.ID)
		w.decision <- burdockqueue.Started{ID: w.request.ID}
	case burdockqueue.Refuse:
		delete(g.waiting, w.request.ID)
		g.dispatch()
		return &d
	}
	g.dispatch()
	return nil
}
