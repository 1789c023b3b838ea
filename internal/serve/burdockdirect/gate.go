package burdockdirect

import (
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocklimit"
	"burdockbend.example/burdockbend/internal/decide/burdocklockstep"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/decide/burdockroom"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

const (
	// numPriorities is the number of priorities that routes and customers may have.
	numPriorities = 10
	// maxQueued bounds the requests that wait at one entry for one service. At a few
	// kilobytes each they take some megabytes; the queue refuses requests by their
	// deadlines long before.
	maxQueued = 1024
	// queueClassesPerPriority is the number of queue classes for each priority: one for
	// requests that can still meet their latency objective, one for those that can't.
	queueClassesPerPriority = 2
	// initialFirstEvent is the assumed time to a stream's first event until one has been
	// observed: a few steps.
	initialFirstEvent burdockclock.Millis = 200
	// firstEventSamples is the number of streams over which the mean time to the first
	// event is taken.
	firstEventSamples = 16
	// tokensPerContextUnit is the unit in which engines count context.
	tokensPerContextUnit = 1000
	// maxWaitFraction is the part of the callers' first-event timeout that a request may
	// spend in the queue. The rest is for placing it and for the engine to read its prompt
	// beside its other work. A stream that starts just as its caller gives up slows all
	// other streams down for nothing.
	maxWaitFraction = 0.7
	// defaultSlots is assumed for an upstream of a plain service that doesn't report its
	// slots.
	defaultSlots = 8
	// retrySpread is the minimum span over which the retries of refused callers are
	// spread.
	retrySpread burdockclock.Millis = 200
	// limitLogInterval is the minimum time between two log lines about the admission
	// limit.
	limitLogInterval = burdockclock.Second
	// maxRetryAfter bounds the Retry-After of a refusal: callers wait for seconds only.
	maxRetryAfter = 3 * burdockclock.Second
	// limitCheckInterval is how often the limits that change by themselves, the ramp and the
	// room for late requests, are checked while requests wait and
	// nothing else happens.
	limitCheckInterval burdockclock.Millis = 50
)

// gate controls the admission of requests to one service at this entry: it starts them,
// queues them, or refuses them at once. The decisions are made by burdockqueue and
// burdocklimit; the gate adds the lock and the clock.
type gate struct {
	clock  burdockclock.Clock
	log    *zap.Logger
	meters *meters

	mu          sync.Mutex
	queue       *burdockqueue.Queue
	limit       *burdocklimit.Limit   // nil for a plain service
	limitEngine burdocklimit.Engine   // that limit was created for
	maxEventGap burdockclock.Millis   // that limit was created for
	groups      *groups               // nil unless the engines run in lock-step
	state       burdocklockstep.State // of groups, as last updated
	members     []burdocksite.Upstream
	// pausedUntil holds until when upstreams get no requests.
	pausedUntil map[burdockid.Upstream]burdockclock.Millis
	groupOf     map[burdockid.Upstream]burdockid.Group // as last set
	slots       int
	maxWait     burdockclock.Millis
	waiting     map[burdockid.Request]*waiter
	// typicalFirstEvent is the mean time from a stream's start to its first event.
	typicalFirstEvent burdockclock.Millis
	timer             *time.Timer
	nextLogAt         burdockclock.Millis // earliest time of the next log line about the limit
	// timeliness is nil unless the service has shared admission.
	timeliness *timeliness
	// part is the gate's part of the shared room, partUntil its end. Both are zero until
	// there has been one.
	part      burdockroom.Part
	partUntil burdockclock.Millis
	bounds    classBounds // that the queue has
}

// gateConfig holds what a gate's limits are computed from.
type gateConfig struct {
	engine *burdocksite.Engine // nil for a plain service
	// firstEventTimeout is how long callers wait for a first event, maxEventGap the pause
	// between events that they accept. Both are 0 if no route streams.
	firstEventTimeout burdockclock.Millis
	maxEventGap       burdockclock.Millis
	members           []burdocksite.Upstream
	// shared means that the service has shared admission.
	shared bool
}

func newGate(clock burdockclock.Clock, cfg gateConfig, p *pool) *gate {
	g := &gate{
		clock: clock, log: p.entry.deps.Log.With(zap.String("service", string(p.service))), meters: p.entry.meters,
		waiting: map[burdockid.Request]*waiter{}, pausedUntil: map[burdockid.Upstream]burdockclock.Millis{}, typicalFirstEvent: initialFirstEvent,
	}
	g.applyConfig(cfg)
	g.queue = burdockqueue.New(g.queueConfig(), deriveRand(p.random))
	return g
}

// applyConfig rebuilds the limit if anything that it depends on has changed.
func (g *gate) applyConfig(cfg gateConfig) {
	g.members = cfg.members
	g.maxWait = burdockclock.Millis(maxWaitFraction * float64(cfg.firstEventTimeout))
	engine, ok := paceEngine(cfg)
	sharedBefore := g.timeliness != nil
	switch {
	case !cfg.shared:
		g.timeliness = nil
	case !sharedBefore:
		g.timeliness = newTimeliness()
	}
	switch {
	case !ok:
		g.limit, g.limitEngine, g.maxEventGap, g.groups = nil, burdocklimit.Engine{}, 0, nil
		g.slots = g.totalSlots()
	case g.limit == nil || engine != g.limitEngine || cfg.maxEventGap != g.maxEventGap || cfg.shared != sharedBefore:
		g.limitEngine, g.maxEventGap = engine, cfg.maxEventGap
		g.limit = burdocklimit.New(burdocklimit.Config{GradualStart: cfg.shared}, engine, len(cfg.members), cfg.maxEventGap)
		g.groups = nil
		if cfg.engine.Layers > 0 {
			g.groups = newGroups(cfg.maxEventGap)
			g.groups.setMembers(g.groupOf)
		}
		g.slots = max(g.slots, g.limit.MaxStreams(g.reportClock(), 0))
	default:
		g.limit.SetEngines(g.availableEngines(g.clock.Boot()))
	}
}

// paceEngine returns the figures of a service's engines; false if it has no engines or no
// streams.
func paceEngine(cfg gateConfig) (burdocklimit.Engine, bool) {
	e := cfg.engine
	if e == nil || cfg.maxEventGap <= 0 {
		return burdocklimit.Engine{}, false
	}
	return burdocklimit.Engine{
		Slots: e.Slots, StepsPerEvent: e.StepsPerEvent, BaseStepMillis: e.BaseStepMillis,
		StepMillisPerRequest: stepMillisPerRequest(e),
	}, true
}

// stepMillisPerRequest returns how much each request adds to a token step, given its
// typical context.
func stepMillisPerRequest(e *burdocksite.Engine) float64 {
	return e.StepMillisPerRequest + e.StepMillisPerThousandTokens*float64(e.MeanPromptTokens)/tokensPerContextUnit
}

// totalSlots returns the number of slots of the upstreams of a plain service that may get
// requests. The lock must be held.
func (g *gate) totalSlots() int {
	slots, now := 0, g.clock.Boot()
	for _, u := range g.members {
		switch {
		case now < g.pausedUntil[u.ID]:
		case u.Slots > 0:
			slots += u.Slots
		default:
			slots += defaultSlots
		}
	}
	return max(slots, 1)
}

func (g *gate) queueConfig() burdockqueue.Config {
	cfg := burdockqueue.Config{
		Slots: max(g.slots, 1), MaxQueued: maxQueued,
		RetrySpread: retrySpread, MaxRetryAfter: maxRetryAfter,
	}
	for i := range numPriorities * queueClassesPerPriority {
		class := burdockqueue.ClassConfig{MaxWait: g.maxWait}
		if !g.bounds.closed {
			g.bounds.limit(&class, i)
			g.timeliness.configure(&class, i)
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	return cfg
}

// reconfigure applies changed members or a changed configuration.
func (g *gate) reconfigure(cfg gateConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyConfig(cfg)
	g.queue.Reconfigure(g.clock.Boot(), g.queueConfig())
	g.dispatch()
}

func (g *gate) resize(slots int) {
	if slots != g.slots {
		g.slots = slots
		g.queue.Reconfigure(g.clock.Boot(), g.queueConfig())
	}
}

// reportLoad records the load that an engine reported; own of its requests are from this
// entry.
func (g *gate) reportLoad(u burdockid.Upstream, l Load, own int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit != nil {
		g.limit.Report(g.reportClock(), u, l.Running+l.Waiting, own)
		g.dispatch()
	}
}

// forget drops the load that an engine reported and the pause that it asked for.
func (g *gate) forget(u burdockid.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pausedUntil, u)
	if g.limit != nil {
		g.limit.Forget(u)
	}
}

// observeEventGap records the time between two events of a stream.
func (g *gate) observeEventGap(u burdockid.Upstream, gap burdockclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit == nil {
		return
	}
	isStep := true
	if g.groups != nil {
		view := g.groups.view(u)
		view.StreamEvent(g.clock.Boot())
		isStep = view.IsStepInterval(gap)
	}
	if isStep {
		g.limit.ObserveEventGap(g.reportClock(), gap)
	}
	g.dispatch()
}

// observeFirstEvent records the time from a stream's start to its first event.
func (g *gate) observeFirstEvent(u burdockid.Upstream, took burdockclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.typicalFirstEvent += (took - g.typicalFirstEvent) / firstEventSamples
	if g.timeliness != nil {
		g.timeliness.tracker.ObserveFirstEvent(took)
	}
	if g.groups != nil {
		g.groups.view(u).FirstEvent(g.clock.Boot())
		g.dispatch()
	}
}

// finish ends a request that was started.
func (g *gate) finish(id burdockid.Request, served burdockid.Tokens) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Finish(g.clock.Boot(), id, served)
	g.dispatch()
}

func (g *gate) cancel(id burdockid.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	g.queue.Cancel(g.clock.Boot(), id)
	g.dispatch()
}

// requestsPerEngine returns the mean number of requests at each engine; 0 for a plain
// service.
func (g *gate) requestsPerEngine() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit == nil {
		return 0
	}
	return g.limit.State(g.reportClock()).Load
}

// load returns the numbers of running and queued requests and the current limit.
func (g *gate) load() burdockqueue.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load()
}

// dispatch updates the limit and notifies the waiting requests that were started or
// dropped. The lock must be held.
func (g *gate) dispatch() {
	g.updateLimit(false)
	g.updateOrder()
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
			w.decision <- event
		}
	}
	g.armTimer()
}

// updateLimit recomputes how many streams may run. If wanted, a request is about to ask
// for a start. The lock must be held.
func (g *gate) updateLimit(wanted bool) {
	if g.limit == nil {
		return
	}
	load := g.queue.Load()
	before := g.slots
	now := g.clock.Boot()
	g.resize(g.streamLimit(now, load.Running, wanted || load.Queued > 0))
	if g.slots == before || now < g.nextLogAt {
		return
	}
	g.nextLogAt = now + limitLogInterval
	state := g.limit.State(g.reportClock())
	g.log.Info("admission limit", zap.Int("limit", g.slots), zap.Int("running", load.Running), zap.Int("waiting", load.Queued),
		zap.Float64("engineLoad", state.Load), zap.Float64("engineMost", state.MaxPerEngine),
		zap.Float64("passFactor", state.Slowdown), zap.Float64("usualFactor", state.TypicalSlowdown),
		zap.Ints("partLimits", g.bounds.limits))
}

// armTimer sets the timer for the next time at which the queue or the group needs
// attention without any other event. The lock must be held.
func (g *gate) armTimer() {
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	at, ok := g.queue.WakeAt()
	if g.groupsClosed() && g.queue.Load().Queued > 0 {
		if probe, due := g.groups.nextProbeAt(g.clock.Boot()); due && (!ok || probe < at) {
			at, ok = probe, true
		}
	}
	if (g.ramp() > 0 || g.timeliness != nil) && g.queue.Load().Queued > 0 {
		if check := g.clock.Boot() + limitCheckInterval; !ok || check < at {
			at, ok = check, true
		}
	}
	if ok {
		g.timer = time.AfterFunc(max(at-g.clock.Boot(), 1).Duration(), g.onTimer)
	}
}

// onTimer handles the expiry of the timer.
func (g *gate) onTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch()
}

// ramp returns the bound of the limit's ramp; 0 if there is none. The lock must be held.
func (g *gate) ramp() int {
	if g.limit == nil {
		return 0
	}
	return g.limit.Ramp()
}

// currentRamp returns the bound of the limit's ramp; 0 if there is none.
func (g *gate) currentRamp() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ramp()
}
