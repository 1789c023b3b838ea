package burdockqueuelab

import (
	"math"
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
)

const never burdockclock.Millis = math.MaxInt64

// config holds the command's flags.
type config struct {
	scenario      string
	seed          uint64
	slots         int
	rate          float64 // tokens per second with all slots in use
	knee          float64 // fraction of the slots from which the full rate is reached
	load          float64 // overrides the scenario's load unless 0
	duration      burdockclock.Millis
	maxQueued     int
	estimateError float64
	reservedSlots int // reserved for the most urgent class
	starvation    burdockclock.Millis
	maxAttempts   int
}

// lab runs one scenario with one seed.
type lab struct {
	cfg      config
	scenario scenario
	rnd      *rand.Rand
}

func newLab(cfg config) (*lab, error) {
	s, err := scenarioByName(cfg.scenario)
	if err != nil {
		return nil, err
	}
	if s.slots > 0 {
		// Keep the rate per slot.
		cfg.rate *= float64(s.slots) / float64(cfg.slots)
		// Scale the reserved slots in proportion, rounding up.
		cfg.reservedSlots = (cfg.reservedSlots*s.slots + cfg.slots - 1) / cfg.slots
		cfg.slots = s.slots
	}
	if cfg.load > 0 {
		s.load = cfg.load
	}
	return &lab{cfg: cfg, scenario: s}, nil
}

// capacity returns the tokens per millisecond at full speed.
func (l *lab) capacity() float64 { return l.cfg.rate / float64(burdockclock.Second) }

func (l *lab) speed(at burdockclock.Millis) float64 {
	if l.scenario.speed == nil {
		return 1
	}
	return l.scenario.speed(at, l.cfg.duration)
}

// capacityTokens returns the tokens that the engine can serve in the measured time.
func (l *lab) capacityTokens() float64 {
	sum := 0.0
	for at := burdockclock.Millis(1); at <= l.cfg.duration; at++ {
		sum += l.capacity() * l.speed(at)
	}
	return sum
}

func (l *lab) queueConfig() burdockqueue.Config {
	cfg := burdockqueue.Config{
		Slots:     l.cfg.slots,
		MaxQueued: l.cfg.maxQueued,
		Shares:    shares(),
	}
	for i, c := range l.scenario.classes {
		class := burdockqueue.ClassConfig{Name: c.name, MaxWait: c.timeout}
		if i == 0 {
			class.ReservedSlots = l.cfg.reservedSlots
		} else {
			class.MaxStarvation = l.cfg.starvation
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	return cfg
}

// run simulates one policy.
func (l *lab) run(p policy) *result {
	// The policy has a random source of its own, so that its use does not change the
	// arrivals.
	l.rnd = rand.New(rand.NewPCG(l.cfg.seed, 1))
	requests := l.arrivals()
	sim := &simulation{
		lab:  l,
		q:    newQueue(p, l.queueConfig(), rand.New(rand.NewPCG(l.cfg.seed, 2))),
		byID: make(map[burdockid.Request]*request, len(requests)),
		engine: &engine{
			rate:          l.capacity(),
			knee:          l.cfg.knee * float64(l.cfg.slots),
			speed:         l.speed,
			measuredUntil: l.cfg.duration,
		},
	}
	for _, r := range requests {
		sim.byID[r.work.ID] = r
		sim.schedule(r.work.Arrived, arrive, r)
		sim.schedule(r.work.Deadline, hangUp, r)
	}
	sim.run()
	return &result{policy: p, lab: l, requests: requests}
}
