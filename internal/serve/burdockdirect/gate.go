package burdockdirect

import (
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockpace"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

const (
	// classes is the number of priorities that routes and customers may have.
	classes = 10
	// maxQueued bounds what waits at one entry for one service. At a kilobyte
	// or a few each it is some megabytes; the queue refuses by deadline long
	// before.
	maxQueued = 1024
	// ranksOfClass is the number of the queue's classes for each priority: work
	// that can be in time, and work that can't any more.
	ranksOfClass = 2
	// startFirstEvent is the usual time to a stream's first event until one has
	// been seen: some passes.
	startFirstEvent burdockclock.Millis = 200
	// firstEventWeight makes a mean over as many streams.
	firstEventWeight = 16
	// tokensPerContext is the unit in which engines count context.
	tokensPerContext = 1000
	// patiencePart is the part of the time that callers wait for a first event
	// which a request may spend waiting to be started. The rest is for placing
	// it and for the engine to read its prompt beside the work that it has: a
	// stream that is started as its caller gives up has cost every other stream
	// time and brings nothing.
	patiencePart = 0.7
	// plainSlots is taken for a plain upstream that doesn't tell its slots.
	plainSlots = 8
	// retrySpread is the least span over which refused callers come back.
	retrySpread burdockclock.Millis = 200
	// logEvery bounds how often changes of the limit are logged.
	logEvery = burdockclock.Second
	// mostRetryAfter bounds the time to come back: callers wait seconds.
	mostRetryAfter = 3 * burdockclock.Second
)

// gate admits the requests of one service at this entry: it starts them, lets
// them wait in order, or refuses them at once. The decisions are burdockqueue's
// and burdockpace's; the gate holds the lock and the time.
type gate struct {
	clock burdockclock.Clock
	log   *zap.Logger

	mu      sync.Mutex
	queue   *burdockqueue.Queue
	pace    *burdockpace.Limit  // nil for a plain service
	paced   burdockpace.Engine  // of pace
	longest burdockclock.Millis // of pace
	group   *group              // nil unless the engines run in lock-step
	slots   int
	maxWait burdockclock.Millis
	waiting map[burdockid.Request]*waiter
	// firstEvent is the usual time from a stream's start to its first event.
	firstEvent burdockclock.Millis
	timer      *time.Timer
	logAt      burdockclock.Millis // when a change of the limit is logged again
}

// gateConfig is what a gate depends on when it is made.
type gateConfig struct {
	engine *burdocksite.Engine // nil for a plain service
	// patience is how long callers wait for a first event, longest the pause
	// between events that they accept; 0 where there are no streams.
	patience burdockclock.Millis
	longest  burdockclock.Millis
	members  []burdocksite.Upstream
}

func newGate(clock burdockclock.Clock, cfg gateConfig, p *pool) *gate {
	g := &gate{
		clock: clock, log: p.entry.deps.Log.With(zap.String("service", string(p.service))),
		waiting: map[burdockid.Request]*waiter{}, firstEvent: startFirstEvent,
	}
	g.takeUp(cfg)
	g.queue = burdockqueue.New(g.config(), derive(p.random))
	return g
}

// takeUp makes the bound anew when what it depends on has changed.
func (g *gate) takeUp(cfg gateConfig) {
	g.maxWait = burdockclock.Millis(patiencePart * float64(cfg.patience))
	engine, ok := paceEngine(cfg)
	switch {
	case !ok:
		g.pace, g.paced, g.longest, g.group = nil, burdockpace.Engine{}, 0, nil
		g.slots = placesOf(cfg.members)
	case g.pace == nil || engine != g.paced || cfg.longest != g.longest:
		g.paced, g.longest = engine, cfg.longest
		g.pace = burdockpace.New(burdockpace.Config{}, engine, len(cfg.members), cfg.longest)
		g.group = nil
		if cfg.engine.Layers > 0 {
			g.group = newGroup(cfg.longest)
		}
		g.slots = max(g.slots, g.pace.MaxStreams(g.paceNow(), 0))
	default:
		g.pace.SetEngines(names(cfg.members))
	}
}

// paceEngine returns the figures of a service's engines, and false if it has no
// engines or no streams.
func paceEngine(cfg gateConfig) (burdockpace.Engine, bool) {
	e := cfg.engine
	if e == nil || cfg.longest <= 0 {
		return burdockpace.Engine{}, false
	}
	return burdockpace.Engine{
		Slots: e.Slots, StepsPerEvent: e.Stride, BaseStepMillis: e.StepMillis,
		StepMillisPerRequest: sequenceMillis(e),
	}, true
}

// sequenceMillis is the part of a token step for each request with its context.
func sequenceMillis(e *burdocksite.Engine) float64 {
	return e.SequenceMillis + e.ContextMillis*float64(e.UsualPrompt)/tokensPerContext
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
	for range classes * ranksOfClass {
		cfg.Classes = append(cfg.Classes, burdockqueue.ClassConfig{MaxWait: g.maxWait})
	}
	return cfg
}

// follow takes up other members and another configuration.
func (g *gate) follow(cfg gateConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.takeUp(cfg)
	g.queue.Reconfigure(g.clock.Boot(), g.config())
	g.advance()
}

func names(members []burdocksite.Upstream) []burdockid.Upstream {
	list := make([]burdockid.Upstream, len(members))
	for i, u := range members {
		list[i] = u.ID
	}
	return list
}

func (g *gate) resize(slots int) {
	if slots != g.slots {
		g.slots = slots
		g.queue.Reconfigure(g.clock.Boot(), g.config())
	}
}

// report takes in the load that an engine told.
func (g *gate) report(u burdockid.Upstream, l Load, own int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pace != nil {
		g.pace.Report(g.paceNow(), u, l.Running+l.Waiting, own)
		g.advance()
	}
}

// pause tells of the time between two events of a stream.
func (g *gate) pause(pause burdockclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pace == nil {
		return
	}
	if g.group != nil {
		g.group.StreamEvent(g.clock.Boot())
	}
	if g.group == nil || g.group.IsStepInterval(pause) {
		g.pace.ObserveEventGap(g.paceNow(), pause)
	}
	g.advance()
}

// began tells of the time from a stream's start to its first event.
func (g *gate) began(took burdockclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.firstEvent += (took - g.firstEvent) / firstEventWeight
	if g.group != nil {
		g.group.FirstEvent(g.clock.Boot())
		g.advance()
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

// requests returns how many requests each engine has, on average; 0 for a plain
// service.
func (g *gate) requests() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pace == nil {
		return 0
	}
	return g.pace.State(g.paceNow()).Load
}

// load returns what runs and waits, and the present bound.
func (g *gate) load() burdockqueue.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load()
}

// advance tells those who wait what became of them. The lock must be held.
func (g *gate) advance() {
	g.fit(false)
	for _, event := range g.queue.Dispatch(g.clock.Boot()) {
		var id burdockid.Request
		switch e := event.(type) {
		case burdockqueue.Started:
			id = e.ID
		case burdockqueue.Dropped:
			id = e.ID
		}
		if w, ok := g.waiting[id]; ok {
			delete(g.waiting, id)
			w.told <- event
		}
	}
	g.arm()
}

// fit takes over how many streams may run now, if one more is wanted or not. The
// lock must be held.
func (g *gate) fit(wanted bool) {
	if g.pace == nil {
		return
	}
	load := g.queue.Load()
	before := g.slots
	now := g.clock.Boot()
	g.resize(g.bound(now, load.Running, wanted || load.Queued > 0))
	if g.slots == before || now < g.logAt {
		return
	}
	g.logAt = now + logEvery
	state := g.pace.State(g.paceNow())
	g.log.Info("admission limit", zap.Int("limit", g.slots), zap.Int("running", load.Running), zap.Int("waiting", load.Queued),
		zap.Float64("engineLoad", state.Load), zap.Float64("engineMost", state.MaxPerEngine),
		zap.Float64("passFactor", state.Slowdown), zap.Float64("usualFactor", state.TypicalSlowdown))
}

// arm sets the timer for the next instant at which the queue has something to
// tell by itself. The lock must be held.
func (g *gate) arm() {
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	at, ok := g.queue.WakeAt()
	if g.closed() && g.queue.Load().Queued > 0 && (!ok || g.group.NextProbeAt() < at) {
		at, ok = g.group.NextProbeAt(), true
	}
	if ok {
		g.timer = time.AfterFunc(max(at-g.clock.Boot(), 1).Duration(), g.run)
	}
}

// run is the timer's.
func (g *gate) run() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance()
}
