// Package burdockexpert decides which rank of a lock-stepped group holds which
// experts. All ranks wait for the slowest in each layer, so one rank with too
// many hot experts holds back the whole group; yet each expert that is moved
// takes time at the rate-limited weight store. A Planner weighs the one
// against the other.
//
// The package is pure: no clock, no randomness, no input or output. The same
// calls give the same decisions.
package burdockexpert

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Config sets a planner's limits. A field that is 0 takes its default.
type Config struct {
	// NoiseMargin is the number of times that a layer's saving has to exceed
	// the skew that noise alone makes appear.
	NoiseMargin float64
	// MaxLayerChanges bounds the changes tried in one layer.
	MaxLayerChanges int
	// MaxTotalChanges bounds the changes tried in one decision, and so its time.
	// The layers that lose most come first.
	MaxTotalChanges int
	// MaxHistory is the number of decisions kept for the state dump.
	MaxHistory int
}

// Defaults of Config.
const (
	defaultNoiseMargin  = 3.0
	defaultLayerChanges = 32
	defaultTotalChanges = 900
	defaultHistory      = 32
)

// Planner decides when and how to change a group's map. It is not safe for
// concurrent use.
type Planner struct {
	cfg     Config
	history []Record
	changed []*burdockclock.Millis // by layer: when skew last made it change
}

// New returns a planner.
func New(cfg Config) *Planner {
	setDefault(&cfg.NoiseMargin, defaultNoiseMargin)
	setDefault(&cfg.MaxLayerChanges, defaultLayerChanges)
	setDefault(&cfg.MaxTotalChanges, defaultTotalChanges)
	setDefault(&cfg.MaxHistory, defaultHistory)
	return &Planner{cfg: cfg}
}

func setDefault[T int | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Plan decides on the next map.
//
// Load: a group of 32 ranks with 60 layers of 128 experts whose popularity
// drifts through the day, asked every few seconds. Harm prevented: a group
// held back by one rank, and a weight store kept busy by moves that gain
// nothing. A layer changes only if the time that it is expected to save while
// the popularity holds, less what noise may feign, is worth more than its
// fetches at the profile's exchange rate. Layers are judged one by one, because
// both sides of that sum are sums over layers: so a change is as small as it
// can be, and layers that are well stay as they are.
func (p *Planner) Plan(now burdockclock.Millis, in Input) Decision {
	d, rec := p.decide(now, &in)
	rec.At = now
	p.remember(rec)
	return d
}

func (p *Planner) decide(now burdockclock.Millis, in *Input) (Decision, Record) {
	if list := in.Check(); list.Err() != nil {
		return Stay{Reason: ReasonInputInvalid, Findings: list}, Record{Verdict: verdictStay, Reason: ReasonInputInvalid}
	}
	if in.Current == nil || in.Current.shape != in.shape() {
		return p.first(in)
	}
	w := newWork(p.cfg, in, p.holds(now, in))
	w.repair()
	w.improve()
	for l, improved := range w.improved {
		if improved {
			p.changed[l] = &now
		}
	}
	return w.decision()
}

// lastingPart is the part of the time since a layer's last change for which
// its next change is expected to last.
const lastingPart = 1.0

// holds returns for each layer how long a change made now is expected to be
// good for, in milliseconds: no longer than the input says, and no longer than
// the time since the layer's last change.
//
// Load: popularity that turns faster than the input's figure says. Harm
// prevented: a layer that is moved at each decision for a gain that the next
// decision's move undoes. Reason for the limit: how long the last change stood
// is the best evidence of how long the next will. When skew grows evenly and
// each move removes all of it, half of that time would give the least sum;
// moves remove a part and noise takes its margin, and measured the whole time
// loses less. A layer that this planner has not changed yet is taken at the
// input's figure.
func (p *Planner) holds(now burdockclock.Millis, in *Input) []float64 {
	holds := make([]float64, len(in.Popularity.Share))
	if len(p.changed) != len(holds) {
		p.changed = make([]*burdockclock.Millis, len(holds))
	}
	for l := range holds {
		holds[l] = float64(in.Horizon)
		if at := p.changed[l]; at != nil {
			holds[l] = min(holds[l], lastingPart*float64(max(0, now-*at)))
		}
	}
	return holds
}

// first places all experts afresh.
func (p *Planner) first(in *Input) (Decision, Record) {
	m := Solve(in.Popularity, in.Ranks)
	moves := RequiredLoads(NewMap(in.shape()), m)
	cost := in.moveCost(len(moves))
	after := mean(Imbalance(m, in.Popularity, in.Ranks))
	return Move{Reason: ReasonFirstPlacement, Map: m, Loads: moves, Cost: cost},
		Record{Verdict: verdictMove, Reason: ReasonFirstPlacement, ImbalanceAfter: after, Loads: len(moves), Cost: cost}
}
