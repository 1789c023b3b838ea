// Package burdockgrouplab drives the state machines of burdockgroup against
// models of engines, a lease and a lossy network, with a seeded random source. It
// measures what a map change costs. Tests use it to search for splits: steps that ranks
// run with different maps.
package burdockgrouplab

import (
	"fmt"
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// Config is the configuration of a World.
type Config struct {
	Ranks                  int
	Controllers            int
	Seed                   uint64
	StepMicros             int64 // time of a step; may be up to a tenth longer
	DelayMicros            int64 // minimum delay of a message
	TailMicros             int64 // mean of the additional, exponentially distributed delay
	LoadMicros             int64 // minimum time to load a map; up to twice as long
	EngineCheck            bool  // engines refuse old fencing numbers
	EngineOrdersLate       bool  // orders to an engine may arrive after their agent was replaced
	EngineResumesAnySwitch bool  // engines resume even if held for another switch
	EngineIgnoresHold      bool  // engines report a hold as kept, but ignore it
	Lead                   burdockid.Step
	MaxLead                burdockid.Step
	LoadPoll               burdockclock.Millis
	Hooks                  Hooks
}

// Hooks let a test change the messages between the parts. The test thereby shows that
// the checker detects the effects of a missing safeguard. Nil hooks do nothing.
type Hooks struct {
	// Order may change an order right before a rank receives it.
	Order func(rank *burdockgroup.Rank, o burdockgroup.Order) burdockgroup.Order
	// Report may change a report right before a controller receives it.
	Report func(r burdockgroup.Report) burdockgroup.Report
	// Lease may change a lease right before a controller receives it.
	Lease func(l burdockgroup.Lease) burdockgroup.Lease
	// Learned may change the fencing number that a new agent learns.
	Learned func(f burdockid.Fence) burdockid.Fence
}

// Intervals and delays in a World. They are short, so that many failures fit into little
// simulated time.
const (
	retryInterval burdockclock.Millis = 20
	pollInterval  burdockclock.Millis = 200
	notifyDelay   burdockclock.Millis = 40
	armBudget     burdockclock.Millis = 60
	leaseTTL                          = 250 * millisecond
	renewInterval                     = 60 * millisecond
	tickInterval                      = 10 * millisecond
	engineLatency                     = 200 * millisecond / 1000 // from an agent to its engine
)

// site is the VM of a rank.
type site struct {
	rank       burdockid.Rank
	agent      *burdockgroup.Rank // nil while the agent is down
	generation int                // incremented whenever the agent is replaced
	engine     *engine
	down       bool // whether the whole VM is down
	// lastOrderAt is when the last order of this agent reaches the engine.
	lastOrderAt instant
}

// World simulates a group.
type World struct {
	cfg       Config
	rng       *rand.Rand
	now       instant
	seq       uint64
	queue     events
	sites     []*site
	processes []*process
	store     store
	faults    faults

	checker      burdockgroup.Checker
	failures     []string
	steps        burdockid.Step // number of steps begun by the rank that is furthest ahead
	wanted       []byte
	inForce      burdockid.MapVersion
	orders       int // sent by controllers
	readyStep    burdockid.Step
	readyAt      instant        // when all ranks had finished the steps before readyStep
	countedSteps burdockid.Step // number of steps whose wait is included in lost
	lost         instant        // time during which a step could have run but did not
	settledAt    instant        // when the group was first seen to run with the wanted map
	contents     map[burdockid.MapVersion][]byte
}

// NewWorld returns a group whose ranks have no map.
func NewWorld(cfg Config) *World {
	w := &World{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
		contents: map[burdockid.MapVersion][]byte{},
	}
	for i := range cfg.Ranks {
		s := &site{rank: burdockid.Rank(i), engine: &engine{checksFence: cfg.EngineCheck, ignoresHold: cfg.EngineIgnoresHold, resumesAny: cfg.EngineResumesAnySwitch}}
		w.sites = append(w.sites, s)
	}
	for _, s := range w.sites {
		w.startAgent(s)
	}
	for i := range cfg.Controllers {
		p := &process{index: i}
		w.processes = append(w.processes, p)
		w.startController(p)
	}
	return w
}

func (w *World) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("at %d µs: ", w.now)+fmt.Sprintf(format, args...))
}

// Failures returns the violations of invariants.
func (w *World) Failures() []string { return w.failures }

// InForce returns the last map that a controller found in use by all ranks.
func (w *World) InForce() burdockid.MapVersion { return w.inForce }

// Orders returns how many orders the controllers have sent.
func (w *World) Orders() int { return w.orders }

// Want requests a change to a map with the given content.
func (w *World) Want(content []byte) {
	w.wanted = content
	for _, p := range w.processes {
		w.handle(p, burdockgroup.MapWanted{Content: content})
	}
}

// beginSteps lets every engine begin its next step if it may. The ranks run in
// lock-step: none begins a step before all have finished the previous one.
func (w *World) beginSteps() {
	slowest := w.sites[0].engine.unfinished
	for _, s := range w.sites {
		slowest = min(slowest, s.engine.unfinished)
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
		w.scheduleFinish(s)
	}
	w.countLost(slowest)
}

// countLost adds to lost how long it took from the end of a step on all ranks until the
// last rank began the next one.
func (w *World) countLost(step burdockid.Step) {
	if step > w.readyStep {
		w.readyStep, w.readyAt = step, w.now
	}
	for _, s := range w.sites {
		if s.engine.status.Next <= step {
			return
		}
	}
	if w.countedSteps < step+1 {
		w.countedSteps = step + 1
		w.lost += w.now - w.readyAt
	}
}

func (w *World) scheduleFinish(s *site) {
	generation := s.engine.generation
	took := instant(w.cfg.StepMicros) + instant(w.rng.Int64N(w.cfg.StepMicros/10+1))
	w.schedule(took, func() {
		e := s.engine
		if e.generation != generation || !e.busy {
			return
		}
		e.finish()
		w.toAgent(s, s.generation, burdockgroup.StepFinished{Step: e.status.LastStep, Map: e.status.LastMap})
		w.beginSteps()
	})
}

// advanceEmptyGroup moves a group that lost all its engines past every step that was
// ever begun, as the interconnect of real engines does.
func (w *World) advanceEmptyGroup() {
	for _, s := range w.sites {
		if s.engine.status.Base != 0 {
			return
		}
	}
	for _, s := range w.sites {
		e := s.engine
		e.status.Next = max(e.status.Next, w.steps)
		e.unfinished = e.status.Next
	}
}
