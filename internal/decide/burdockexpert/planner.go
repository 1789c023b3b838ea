// Package burdockexpert decides which rank of a lock-stepped group holds which
// experts. All ranks wait for the slowest one in each layer, so a single rank
// with too many hot experts slows down the whole group. Loading an expert takes
// time at the rate-limited weight store, though. A Planner weighs the time saved
// against the time spent on loading.
//
// Terms: a rank's time in a layer is its part of the layer's tokens divided by
// its speed. Skew is how far the largest rank time exceeds the mean; imbalance
// is the same relative to the time of a perfect split by speed. Popularity is
// how a layer's tokens spread over its experts. An expert may have replicas on
// several ranks, which share its tokens evenly.
//
// The package uses no clock, no randomness and no I/O: the same calls give the
// same decisions.
package burdockexpert

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Config sets a planner's limits. A field that is 0 or less gets its default.
type Config struct {
	// NoiseMargin is how many times larger than the skew that noise alone
	// produces a layer's saving has to be.
	NoiseMargin float64
	// MaxLayerChanges limits the changes tried in one run of a layer's search.
	MaxLayerChanges int
	// MaxTotalChanges limits the changes tried in one decision and thereby the
	// time it takes. The layers with the largest imbalance come first.
	MaxTotalChanges int
	// MaxHistory limits the decisions kept for the state dump.
	MaxHistory int
}

// Defaults of Config.
const (
	defaultNoiseMargin     = 3.0
	defaultMaxLayerChanges = 32
	defaultMaxTotalChanges = 900
	defaultMaxHistory      = 32
)

// Planner decides when and how to change a group's map. It is not safe for
// concurrent use.
type Planner struct {
	cfg         Config
	history     []Record
	lastChanged []*burdockclock.Millis // by layer: last change because of skew; nil if none
}

// New returns a planner without history.
func New(cfg Config) *Planner {
	setDefault(&cfg.NoiseMargin, defaultNoiseMargin)
	setDefault(&cfg.MaxLayerChanges, defaultMaxLayerChanges)
	setDefault(&cfg.MaxTotalChanges, defaultMaxTotalChanges)
	setDefault(&cfg.MaxHistory, defaultMaxHistory)
	return &Planner{cfg: cfg}
}

func setDefault[T int | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Plan decides whether to keep the current map or to replace it.
//
// It is called every few seconds and sized for 32 ranks and 60 layers of 128
// experts, whose popularity drifts through the day. It prevents a single rank
// from slowing down the group, and the weight store from being kept busy by
// loads without benefit. A layer changes only if the time it is expected to
// save within its horizon, less the part that may be noise, outweighs the time
// of its loads by the profile's weights. Saving and cost are both sums over the
// layers, so each layer is decided on its own; balanced layers stay as they
// are, which keeps changes small.
func (p *Planner) Plan(now burdockclock.Millis, in Input) Decision {
	d, rec := p.decide(now, &in)
	rec.At = now
	p.record(rec)
	return d
}

func (p *Planner) decide(now burdockclock.Millis, in *Input) (Decision, Record) {
	if list := in.Check(); list.Err() != nil {
		return Stay{Reason: ReasonInputInvalid, Findings: list}, Record{Verdict: verdictStay, Reason: ReasonInputInvalid}
	}
	if in.Current == nil || in.Current.shape != in.shape() {
		return p.placeFirst(in)
	}
	run := newPlanRun(p.cfg, in, p.horizons(now, in))
	run.repair()
	run.improve()
	for l, improved := range run.improved {
		if improved {
			p.lastChanged[l] = &now
		}
	}
	return run.decision()
}

// horizonFactor is the expected lifetime of a layer's next change as a fraction
// of the time since its last change.
const horizonFactor = 1.0

// horizons returns for each layer how long a change made now is expected to
// stay useful, in milliseconds: at most the input's horizon and at most the time
// since the layer's last change. A layer that this planner has not changed yet
// gets the input's horizon.
//
// When popularity changes faster than the input's horizon, this prevents a layer
// from being changed in every decision for a saving that the next change undoes.
// The lifetime of the last change is the best evidence for that of the next. If
// skew grew linearly and each change removed all of it, half of that time would
// be optimal. But changes remove only a part of the skew and the noise margin
// is taken off, and in measurements the whole time lost less.
func (p *Planner) horizons(now burdockclock.Millis, in *Input) []float64 {
	horizons := make([]float64, len(in.Popularity.Share))
	if len(p.lastChanged) != len(horizons) {
		p.lastChanged = make([]*burdockclock.Millis, len(horizons))
	}
	for l := range horizons {
		horizons[l] = float64(in.Horizon)
		if at := p.lastChanged[l]; at != nil {
			horizons[l] = min(horizons[l], horizonFactor*float64(max(0, now-*at)))
		}
	}
	return horizons
}

// placeFirst computes the first map of a group, which loads every expert.
func (p *Planner) placeFirst(in *Input) (Decision, Record) {
	m := Solve(in.Popularity, in.Ranks)
	loads := RequiredLoads(NewMap(in.shape()), m)
	cost := in.loadTime(len(loads))
	after := mean(Imbalance(m, in.Popularity, in.Ranks))
	return Move{Reason: ReasonFirstPlacement, Map: m, Loads: loads, Cost: cost},
		Record{Verdict: verdictMove, Reason: ReasonFirstPlacement, ImbalanceAfter: after, Loads: len(loads), Cost: cost}
}
