// Package burdockexpertlab measures the placement of experts: it plays a drift
// of popularity to the product's planner and to simple policies beside it, and
// reports step-time skew and time spent moving. It drives the pure package
// burdockexpert only and simulates no cluster.
package burdockexpertlab

import (
	"math"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
)

// Config is one run.
type Config struct {
	Drift       Drift
	Weights     burdockexpert.Weights
	Seed        uint64
	Ranks       int
	Experts     int
	Layers      int
	Slots       int // of each rank in each layer
	Steps       int // decisions; each stands for Window of a group's work
	Window      burdockclock.Millis
	Tokens      burdockid.Tokens // routed in a layer in one window
	HalfLife    burdockclock.Millis
	Horizon     burdockclock.Millis
	ExpertBytes burdockid.Bytes
	StoreRate   burdockid.BytesPerSecond
	TimerSteps  int
	Sweep       bool // also play other weights and timers
}

// DefaultConfig returns a group of the target's size, with few layers so that
// a run takes seconds. With more layers a move costs the same and evens out a
// smaller part of the step, so it has to be measured with all of a model's
// layers too. A model's expert of 44 million one-byte weights comes at a
// gigabyte a second. A window of 30 seconds routes what 10,000 tokens a second
// to 8 experts each come to.
func DefaultConfig() Config {
	return Config{
		Drift:       Slow,
		Weights:     burdockexpert.Weights{Skew: 4, Cost: 1},
		Seed:        1,
		Ranks:       32,
		Experts:     128,
		Layers:      8,
		Slots:       6,
		Steps:       720,
		Window:      30 * burdockclock.Second,
		Tokens:      2_400_000,
		HalfLife:    burdockclock.Minute,
		Horizon:     30 * burdockclock.Minute,
		ExpertBytes: 44_000_000,
		StoreRate:   1_000_000_000,
		TimerSteps:  60,
		Sweep:       true,
	}
}

const millisPerSecond = 1000

func (cfg Config) moveCost(n int) burdockclock.Millis {
	millis := float64(n) * float64(cfg.ExpertBytes) * millisPerSecond / float64(cfg.StoreRate)
	return burdockclock.Millis(math.Ceil(millis))
}

func (cfg Config) ranks() []burdockexpert.Rank {
	ranks := make([]burdockexpert.Rank, cfg.Ranks)
	for r := range ranks {
		ranks[r] = burdockexpert.Rank{Slots: cfg.Slots, Speed: 1}
	}
	return ranks
}

// Row is what one policy reached.
type Row struct {
	Name       string
	SkewP50    float64 // step-time skew: largest over mean rank time
	SkewP99    float64
	SkewMean   float64
	Moves      int // experts fetched
	MapChanges int // maps put in force
	MoveTime   burdockclock.Millis
	// WeightedLoss is the run's weighted objective: skew's excess over 1 for the
	// length of the run, and the time spent moving, at Config's weights.
	WeightedLoss burdockclock.Millis
}

// Report is the outcome of a run.
type Report struct {
	Config      Config
	Bound       Row // what no map can beat in each step, at no cost
	Policies    []Row
	WeightSweep []Row // the planner at other weights
	TimerSweep  []Row // solving afresh at other periods
}

// sweepWeights spans what the planner is asked to do, from skew at almost any
// cost to the reverse.
var sweepWeights = []burdockexpert.Weights{
	{Skew: 1, Cost: 256}, {Skew: 1, Cost: 64}, {Skew: 1, Cost: 16}, {Skew: 1, Cost: 4},
	{Skew: 1, Cost: 1}, {Skew: 4, Cost: 1}, {Skew: 16, Cost: 1}, {Skew: 64, Cost: 1},
}

// sweepTimers are periods in steps.
var sweepTimers = []int{360, 180, 60, 20, 5, 1}

// run holds the players of one run.
type run struct {
	cfg      Config
	source   *source
	policies []*player
	sweep    []*player
	timers   []*player
	bounds   []float64
}

// Run plays the drift to all policies; the counts are the same for all. A step
// is judged on its true popularity, under a map chosen before the step.
func Run(cfg Config) Report {
	r := newRun(cfg)
	r.play()
	return r.report()
}

// Places among a report's policies.
const (
	neverRow  = 1
	alwaysRow = 2
)

func newRun(cfg Config) *run {
	always, timer := newTimed(1), newTimed(cfg.TimerSteps)
	always.name = "always"
	r := &run{
		cfg:      cfg,
		source:   newSource(cfg),
		policies: []*player{newPlanned(cfg.Weights), {name: "never", policy: never{}}, always, timer},
	}
	if !cfg.Sweep {
		return r
	}
	for _, w := range sweepWeights {
		r.sweep = append(r.sweep, newPlanned(w))
	}
	for _, steps := range sweepTimers {
		r.timers = append(r.timers, newTimed(steps))
	}
	return r
}

func (r *run) players() []*player { return slices.Concat(r.policies, r.sweep, r.timers) }

func (r *run) play() {
	ranks := r.cfg.ranks()
	first := burdockexpert.Solve(r.source.truth(0), ranks)
	for _, p := range r.players() {
		p.present = first
	}
	popularity := burdockexpert.NewPopularity(r.cfg.Layers, r.cfg.Experts, r.cfg.HalfLife)
	for step := range r.cfg.Steps {
		truth := r.source.truth(step)
		r.bounds = append(r.bounds, mean(burdockexpert.LowerBound(truth, ranks)))
		for l := range burdockid.Layer(r.cfg.Layers) {
			popularity.Observe(burdockclock.Millis(step+1)*r.cfg.Window, l, r.source.counts(truth.Share[l]))
		}
		in := r.input(popularity.Snapshot(), ranks)
		for _, p := range r.players() {
			p.skews = append(p.skews, mean(burdockexpert.Skew(p.present, truth, ranks)))
			p.next(step, in, r.cfg)
		}
	}
}

func (r *run) input(snap burdockexpert.Snapshot, ranks []burdockexpert.Rank) burdockexpert.Input {
	return burdockexpert.Input{
		Popularity:  snap,
		Ranks:       ranks,
		ExpertBytes: r.cfg.ExpertBytes,
		StoreRate:   r.cfg.StoreRate,
		Horizon:     r.cfg.Horizon,
	}
}

func (r *run) report() Report {
	rep := Report{Config: r.cfg, Bound: r.row(&player{name: "bound", skews: r.bounds})}
	for _, p := range r.policies {
		rep.Policies = append(rep.Policies, r.row(p))
	}
	for _, p := range r.sweep {
		rep.WeightSweep = append(rep.WeightSweep, r.row(p))
	}
	for _, p := range r.timers {
		rep.TimerSweep = append(rep.TimerSweep, r.row(p))
	}
	return rep
}

func (r *run) row(p *player) Row {
	const median, tail = 0.50, 0.99
	sorted := slices.Sorted(slices.Values(p.skews))
	average := mean(p.skews)
	excess := (average - 1) * float64(r.cfg.Window) * float64(r.cfg.Steps)
	lost := r.cfg.Weights.Skew*excess + r.cfg.Weights.Cost*float64(p.moving)
	return Row{
		Name:         p.name,
		SkewP50:      quantile(sorted, median),
		SkewP99:      quantile(sorted, tail),
		SkewMean:     average,
		Moves:        p.moves,
		MapChanges:   p.changes,
		MoveTime:     p.moving,
		WeightedLoss: burdockclock.Millis(lost),
	}
}

// quantile returns the smallest value that at least part of all don't exceed.
func quantile(sorted []float64, part float64) float64 {
	return sorted[max(0, int(math.Ceil(part*float64(len(sorted))))-1)]
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}
