package burdockdirect

import (
	"context"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockpace"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

const (
	// classes is the number of priorities that routes and customers may have.
	classes = 10
	// maxQueued bounds what waits at one entry for one service. At a kilobyte
	// or a few each it is some megabytes; the queue refuses by deadline long
	// before.
	maxQueued = 1024
	// startPerUpstream is the number of streams that an entry begins with for
	// each upstream: with some entries about half of an engine's places.
	startPerUpstream = 2.0
	// plainSlots is taken for a plain upstream that doesn't tell its slots.
	plainSlots = 8
	// retrySpread is the least span over which refused callers come back.
	retrySpread burdockclock.Millis = 200
	// mostRetryAfter bounds the time to come back: callers wait seconds.
	mostRetryAfter = 3 * burdockclock.Second
)

// gate admits the requests of one service at this entry: it starts them, lets
// them wait in order, or refuses them at once. The decisions are burdockqueue's
// and burdockpace's; the gate holds the lock and the time.
type gate struct {
	clock burdockclock.Clock

	mu      sync.Mutex
	queue   *burdockqueue.Queue
	pace    *burdockpace.Limit // nil for a plain service
	slots   int
	waiting map[burdockid.Request]chan burdockqueue.Event
	timer   *time.Timer
}

func newGate(clock burdockclock.Clock, engine bool, members []burdocksite.Upstream, p *pool) *gate {
	g := &gate{clock: clock, waiting: map[burdockid.Request]chan burdockqueue.Event{}}
	places := placesOf(members)
	g.slots = places
	if engine {
		g.pace = burdockpace.New(burdockpace.Config{}, startPerUpstream*float64(len(members)), float64(places))
		g.slots = g.pace.Update(clock.Boot(), 0, 0)
	}
	g.queue = burdockqueue.New(g.config(), derive(p.random))
	return g
}

func placesOf(members []burdocksite.Upstream) int {
	places := 0
	for _, u := range members {
		if u.Slots > 0 {
			places += u.Slots
		} else {
			places += plainSlots
		}
	}
	return max(places, 1)
}

func (g *gate) config() burdockqueue.Config {
	cfg := burdockqueue.Config{
		Slots: max(g.slots, 1), MaxQueued: maxQueued,
		RetrySpread: retrySpread, MaxRetryAfter: mostRetryAfter,
	}
	for range classes {
		cfg.Classes = append(cfg.Classes, burdockqueue.ClassConfig{})
	}
	return cfg
}

// follow takes up another set of members.
func (g *gate) follow(members []burdocksite.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	places := placesOf(members)
	if g.pace != nil {
		g.pace.SetMost(float64(places))
	} else {
		g.resize(places)
	}
	g.advance()
}

func (g *gate) resize(slots int) {
	if slots != g.slots {
		g.slots = slots
		g.queue.Reconfigure(g.clock.Boot(), g.config())
	}
}

// pause tells of the time between two events of a stream.
func (g *gate) pause(pause, longest burdockclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pace == nil {
		return
	}
	g.pace.Pause(pause, longest)
	load := g.queue.Load()
	before := g.slots
	g.resize(g.pace.Update(g.clock.Boot(), load.Running, load.Queued))
	if g.slots > before {
		g.advance()
	}
}

// enter waits until the request may start. It returns a refusal, or nil; the
// error is the context's when the caller went away.
func (g *gate) enter(ctx context.Context, req *request, id burdockid.Request) (*burdockqueue.Refuse, error) {
	work := burdockqueue.Work{
		ID: id, Customer: req.customer, Class: req.class, Cost: req.cost,
		Arrived: req.arrived, Deadline: req.deadline,
	}
	g.mu.Lock()
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
	told := make(chan burdockqueue.Event, 1)
	g.waiting[id] = told
	g.advance()
	g.mu.Unlock()
	select {
	case event := <-told:
		if dropped, ok := event.(burdockqueue.Dropped); ok {
			return &burdockqueue.Refuse{Reason: dropped.Reason, RetryAfter: dropped.RetryAfter}, nil
		}
		return nil, nil
	case <-ctx.Done():
		g.cancel(id)
		return nil, ctx.Err()
	}
}

// leave ends a request that was started.
func (g *gate) leave(id burdockid.Request, served burdockid.Tokens) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Finish(g.clock.Boot(), id, served)
	g.advance()
}

func (g *gate) cancel(id burdockid.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	g.queue.Cancel(g.clock.Boot(), id)
	g.advance()
}

// load returns what runs and waits, and the present bound.
func (g *gate) load() burdockqueue.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load()
}

// advance tells those who wait what became of them. The lock must be held.
func (g *gate) advance() {
	for _, event := range g.queue.Next(g.clock.Boot()) {
		var id burdockid.Request
		switch e := event.(type) {
		case burdockqueue.Started:
			id = e.ID
		case burdockqueue.Dropped:
			id = e.ID
		}
		if told, ok := g.waiting[id]; ok {
			delete(g.waiting, id)
			told <- event
		}
	}
	g.arm()
}

// arm sets the timer for the next instant at which the queue has something to
// tell by itself. The lock must be held.
func (g *gate) arm() {
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	if at, ok := g.queue.WakeAt(); ok {
		g.timer = time.AfterFunc(max(at-g.clock.Boot(), 1).Duration(), g.run)
	}
}

// run is the timer's.
func (g *gate) run() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance()
}
