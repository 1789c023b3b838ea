// Package burdockexpertlab measures the placement of experts. It exposes the planner
// of package burdockexpert and simple policies to the same drift of expert
// popularity, and reports step-time skew and the time spent moving experts. It
// simulates no cluster.
package burdockexpertlab

import (
	"math"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
)

// Config holds the settings of a run.
type Config struct {
	Drift       Drift
	Weights     burdockexpert.Weights
	Seed        uint64
	Ranks       int
	Experts     int
	Layers      int
	Slots       int // per rank and layer
	Steps       int // decisions; each step represents a time of Window
	Window      burdockclock.Millis
	Tokens      burdockid.Tokens // routed per layer and step
	HalfLife    burdockclock.Millis
	Horizon     burdockclock.Millis
	ExpertBytes burdockid.Bytes
	StoreRate   burdockid.BytesPerSecond
	TimerSteps  int
	Sweep       bool // also run other weights and timers
}

// DefaultConfig returns the settings for a group of the target size, with few layers so
// that a run takes seconds. With more layers a move costs the same but balances a
// smaller part of the step, so measurements with all layers of a model are needed
// too. An expert has 44 million weights of one byte, loaded at 1 GB per second. A
// window of 30 seconds routes 10,000 tokens per second to 8 experts each.
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

func (cfg Config) moveDuration(n int) burdockclock.Millis {
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

// Row holds the measurements of one policy.
type Row struct {
	Name       string
	SkewP50    float64 // step-time skew: maximum over mean rank time
	SkewP99    float64
	SkewMean   float64
	Moves      int // experts loaded
	MapChanges int // map changes that moved at least one expert
	MoveTime   burdockclock.Millis
	// WeightedLoss is the planner's objective over the whole run: the time lost to skew
	// (excess over 1) plus the time spent moving experts, weighted by Config.Weights.
	WeightedLoss burdockclock.Millis
}

// Report holds the measurements of a run.
type Report struct {
	Config      Config
	Bound       Row // lower bound of the skew in each step, without moves
	Policies    []Row
	WeightSweep []Row // the planner with other weights
	TimerSweep  []Row // the timer with other intervals
}

// sweepWeights ranges from few moves at almost any skew to low skew at almost any cost.
var sweepWeights = []burdockexpert.Weights{
	{Skew: 1, Cost: 256}, {Skew: 1, Cost: 64}, {Skew: 1, Cost: 16}, {Skew: 1, Cost: 4},
	{Skew: 1, Cost: 1}, {Skew: 4, Cost: 1}, {Skew: 16, Cost: 1}, {Skew: 64, Cost: 1},
}

// sweepTimers holds timer intervals in steps.
var sweepTimers = []int{360, 180, 60, 20, 5, 1}

// experiment is the state of one run.
type experiment struct {
	cfg        Config
	workload   *workload
	policies   []*policyRun
	sweep      []*policyRun
	timers     []*policyRun
	boundSkews []float64
}

// Run simulates the drift with all policies, on the same counts. The skew of a step is
// computed from its true popularity, with the map that was chosen before the step.
func Run(cfg Config) Report {
	r := newExperiment(cfg)
	r.simulate()
	return r.report()
}

// Indexes in Report.Policies.
const (
	neverIndex  = 1
	alwaysIndex = 2
)

func newExperiment(cfg Config) *experiment {
	always, timer := newTimedRun(1), newTimedRun(cfg.TimerSteps)
	always.name = "always"
	r := &experiment{
		cfg:      cfg,
		workload: newWorkload(cfg),
		policies: []*policyRun{newPlannedRun(cfg.Weights), {name: "never", policy: never{}}, always, timer},
	}
	if !cfg.Sweep {
		return r
	}
	for _, w := range sweepWeights {
		r.sweep = append(r.sweep, newPlannedRun(w))
	}
	for _, steps := range sweepTimers {
		r.timers = append(r.timers, newTimedRun(steps))
	}
	return r
}

func (r *experiment) policyRuns() []*policyRun { return slices.Concat(r.policies, r.sweep, r.timers) }

func (r *experiment) simulate() {
	ranks := r.cfg.ranks()
	firstMap := burdockexpert.Solve(r.workload.truePopularity(0), ranks)
	for _, p := range r.policyRuns() {
		p.currentMap = firstMap
	}
	popularity := burdockexpert.NewPopularity(r.cfg.Layers, r.cfg.Experts, r.cfg.HalfLife)
	for step := range r.cfg.Steps {
		truePopularity := r.workload.truePopularity(step)
		r.boundSkews = append(r.boundSkews, mean(burdockexpert.LowerBound(truePopularity, ranks)))
		for l := range burdockid.Layer(r.cfg.Layers) {
			popularity.Observe(burdockclock.Millis(step+1)*r.cfg.Window, l, r.workload.counts(truePopularity.Share[l]))
		}
		in := r.input(popularity.Snapshot(), ranks)
		for _, p := range r.policyRuns() {
			p.skews = append(p.skews, mean(burdockexpert.Skew(p.currentMap, truePopularity, ranks)))
			p.chooseMap(step, in, r.cfg)
		}
	}
}

func (r *experiment) input(snap burdockexpert.Snapshot, ranks []burdockexpert.Rank) burdockexpert.Input {
	return burdockexpert.Input{
		Popularity:  snap,
		Ranks:       ranks,
		ExpertBytes: r.cfg.ExpertBytes,
		StoreRate:   r.cfg.StoreRate,
		Horizon:     r.cfg.Horizon,
	}
}

func (r *experiment) report() Report {
	rep := Report{Config: r.cfg, Bound: r.row(&policyRun{name: "bound", skews: r.boundSkews})}
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

func (r *experiment) row(p *policyRun) Row {
	const median, tail = 0.50, 0.99
	sorted := slices.Sorted(slices.Values(p.skews))
	meanSkew := mean(p.skews)
	excess := (meanSkew - 1) * float64(r.cfg.Window) * float64(r.cfg.Steps)
	weightedLoss := r.cfg.Weights.Skew*excess + r.cfg.Weights.Cost*float64(p.moveTime)
	return Row{
		Name:         p.name,
		SkewP50:      quantile(sorted, median),
		SkewP99:      quantile(sorted, tail),
		SkewMean:     meanSkew,
		Moves:        p.moves,
		MapChanges:   p.mapChanges,
		MoveTime:     p.moveTime,
		WeightedLoss: burdockclock.Millis(weightedLoss),
	}
}

// quantile returns the smallest value that at least the given fraction of all values
// do not exceed.
func quantile(sorted []float64, fraction float64) float64 {
	return sorted[max(0, int(math.Ceil(fraction*float64(len(sorted))))-1)]
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}
