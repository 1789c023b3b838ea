// Package burdockgrouplab drives the state machines of burdockgroup against
// models of engines, a lease and a lossy network, with a seeded random source.
// It measures what a map change costs, and tests use it to look for splits.
package burdockgrouplab

import (
	"fmt"
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// Config sets up a World.
type Config struct {
	Ranks       int
	Controllers int
	Seed        uint64
	StepMicros  int64 // time that a step takes; a step may take a tenth more
	DelayMicros int64 // shortest delay of a message
	TailMicros  int64 // mean of what a message takes longer, exponentially
	LoadMicros  int64 // time to load a map; up to twice as long
	EngineCheck bool  // engines refuse old fencing numbers
	EngineLate  bool  // orders to an engine may outlive the agent that sent them
	EngineRash  bool  // engines resume also when they are held for another switch
	EngineDeaf  bool  // engines ignore a hold, and say that they keep it
	Lead        burdockid.Step
	MaxLead     burdockid.Step
	LoadPoll    burdockclock.Millis
	Hooks       Hooks
}

// Hooks lets a test spoil what passes between the parts, to show that the
// checker sees what a missing safeguard would lead to. Nil ones do nothing.
type Hooks struct {
	// Order may change an order right before a rank takes it.
	Order func(rank *burdockgroup.Rank, o burdockgroup.Order) burdockgroup.Order
	// Report may change a report right before a controller takes it.
	Report func(r burdockgroup.Report) burdockgroup.Report
	// Lease may change a lease right before a controller takes it.
	Lease func(l burdockgroup.Lease) burdockgroup.Lease
	// Learned may change the fencing number that a new agent learns.
	Learned func(f burdockid.Fence) burdockid.Fence
}

// Times of the machines in a World. They are short, so that many failures fit
// into little simulated time.
const (
	retry     burdockclock.Millis = 20
	poll      burdockclock.Millis = 200
	patience  burdockclock.Millis = 40
	armBudget burdockclock.Millis = 60
	leaseTime                     = 250 * millisecond
	renewTime                     = 60 * millisecond
	tickTime                      = 10 * millisecond
	agentTime                     = 200 * millisecond / 1000 // agent to its engine
)

// site is one rank's VM.
type site struct {
	rank   burdockid.Rank
	agent  *burdockgroup.Rank // nil while it is down
	life   int                // counts the agent's replacements
	engine *engine
	down   bool // the whole VM
	// arrived is when the last order of this agent reaches the engine.
	arrived instant
}

// World is a group in simulated time.
type World struct {
	cfg    Config
	rng    *rand.Rand
	now    instant
	seq    uint64
	queue  events
	sites  []*site
	duties []*duty
	store  store
	faults faults

	checker  burdockgroup.Checker
	failures []string
	steps    burdockid.Step // begun by the rank that is furthest ahead
	wanted   []byte
	inForce  burdockid.MapVersion
	orders   int // sent by controllers
	ready    burdockid.Step
	readyAt  instant        // when all had finished the steps before ready
	counted  burdockid.Step // steps whose wait is in lost
	lost     instant        // time in which a step could have run and didn't
	settleAt instant        // when the group was first seen to run with the wanted map
	bytes    map[burdockid.MapVersion][]byte
}

// NewWorld returns a group whose ranks are empty.
func NewWorld(cfg Config) *World {
	w := &World{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
		bytes: map[burdockid.MapVersion][]byte{},
	}
	for i := range cfg.Ranks {
		s := &site{rank: burdockid.Rank(i), engine: &engine{checks: cfg.EngineCheck, deaf: cfg.EngineDeaf, rash: cfg.EngineRash}}
		w.sites = append(w.sites, s)
	}
	for _, s := range w.sites {
		w.startAgent(s)
	}
	for i := range cfg.Controllers {
		d := &duty{index: i}
		w.duties = append(w.duties, d)
		w.startDuty(d)
	}
	return w
}

func (w *World) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("at %d µs: ", w.now)+fmt.Sprintf(format, args...))
}

// Failures returns the invariants that were seen broken.
func (w *World) Failures() []string { return w.failures }

// InForce returns the map that a controller last found in use by all ranks.
func (w *World) InForce() burdockid.MapVersion { return w.inForce }

// Orders returns how many orders the controllers have sent.
func (w *World) Orders() int { return w.orders }

// Want has the group change to a map with some content.
func (w *World) Want(content []byte) {
	w.wanted = content
	for _, d := range w.duties {
		w.handle(d, burdockgroup.MapWanted{Content: content})
	}
}

// tryBegin lets every engine that may do so begin its next step. Lock-step
// means that no rank begins a step before all have finished the one before.
func (w *World) tryBegin() {
	slowest := w.sites[0].engine.done
	for _, s := range w.sites {
		slowest = min(slowest, s.engine.done)
	}
	for _, s := range w.sites {
		e := s.engine
		if s.down || e.busy || e.held() || e.status.Next > slowest {
			continue
		}
		step, used, ok := e.begin()
		if !ok {
			continue
		}
		w.steps = max(w.steps, step+1)
		if split := w.checker.Observe(s.rank, step, used); split != nil {
			w.fail("%v", split)
		}
		w.finishLater(s)
	}
	w.noteLost(slowest)
}

// noteLost adds up how long the ranks waited for the last one to begin a step
// after all had finished the one before.
func (w *World) noteLost(step burdockid.Step) {
	if step > w.ready {
		w.ready, w.readyAt = step, w.now
	}
	for _, s := range w.sites {
		if s.engine.status.Next <= step {
			return
		}
	}
	if w.counted < step+1 {
		w.counted = step + 1
		w.lost += w.now - w.readyAt
	}
}

func (w *World) finishLater(s *site) {
	life := s.engine.life
	took := instant(w.cfg.StepMicros) + instant(w.rng.Int64N(w.cfg.StepMicros/10+1))
	w.schedule(took, func() {
		e := s.engine
		if e.life != life || !e.busy {
			return
		}
		e.finish()
		w.toAgent(s, s.life, burdockgroup.StepFinished{Step: e.status.LastStep, Map: e.status.LastMap})
		w.tryBegin()
	})
}

// restartEmpty has a group that lost all its engines begin above every step
// that was ever begun, as the engines' own fabric does.
func (w *World) restartEmpty() {
	for _, s := range w.sites {
		if s.engine.status.Base != 0 {
			return
		}
	}
	for _, s := range w.sites {
		e := s.engine
		e.status.Next = max(e.status.Next, w.steps)
		e.done = e.status.Next
	}
}
