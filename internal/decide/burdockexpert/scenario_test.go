package burdockexpert

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockgolden"
)

const (
	scenarioLayers  = 6
	scenarioExperts = 64
	scenarioRanks   = 16
	scenarioSlots   = 6
	scenarioWindow  = 10 * burdockclock.Second
)

// scenario is a group whose popularity changes over a number of windows.
// updateSource changes the popularity before a window, adjustInput the input of
// the decision after it. Either may be nil.
type scenario struct {
	name         string
	seed         uint64
	windows      int
	burst        float64
	ranks        []Rank
	weights      Weights
	updateSource func(d *tokenSource, window int)
	adjustInput  func(in *Input, window int)
}

// outcome is the result of a scenario, based on the true popularity.
type outcome struct {
	ratios []float64 // by window: imbalance over its lower bound
	lost   float64   // weighted seconds: lost to imbalance and spent on loading
	loads  int
	log    []string
}

func (sc scenario) run(t *testing.T) outcome {
	t.Helper()
	d := newTokenSource(sc.seed, scenarioLayers, scenarioExperts)
	pop := NewPopularity(scenarioLayers, scenarioExperts, testHalfLife)
	planner := New(Config{})
	var out outcome
	current := Solve(d.truth(), sc.ranks)
	for window := range sc.windows {
		now := burdockclock.Millis(window) * scenarioWindow
		if sc.updateSource != nil {
			sc.updateSource(d, window)
		}
		d.observe(pop, now, sc.burst)
		in := testInput(pop.Snapshot(), current, slices.Clone(sc.ranks))
		if sc.weights != (Weights{}) {
			in.Weights = sc.weights
		}
		if sc.adjustInput != nil {
			sc.adjustInput(&in, window)
		}
		if move, ok := planner.Plan(now, in).(Move); ok {
			out.record(t, window, in, move, planner)
			current = move.Map
		}
		truth := d.truth()
		out.lost += in.Weights.Skew * (mean(Imbalance(current, truth, in.Ranks)) - 1) * float64(scenarioWindow) / millisPerSecond
		out.ratios = append(out.ratios, mean(Imbalance(current, truth, in.Ranks))/mean(LowerBound(truth, in.Ranks)))
	}
	return out
}

func (o *outcome) record(t *testing.T, window int, in Input, move Move, p *Planner) {
	t.Helper()
	if list := move.Map.Check(in.Ranks); list.Err() != nil {
		t.Fatalf("window %d: map has findings:\n%v", window, list.Err())
	}
	o.loads += len(move.Loads)
	o.lost += in.Weights.Cost * float64(move.Cost) / millisPerSecond
	rec := p.State().Decisions[len(p.State().Decisions)-1]
	o.log = append(o.log, fmt.Sprintf("window %d: %s, imbalance %.3f to %.3f, %d moves, %d ms",
		window, move.Reason, rec.ImbalanceBefore, rec.ImbalanceAfter, len(move.Loads), move.Cost))
}

func (o *outcome) maxRatio(from int) float64 { return slices.Max(o.ratios[from:]) }

// truth returns the popularity that the counts are drawn from, without deviation.
func (d *tokenSource) truth() Snapshot {
	s := Snapshot{}
	for _, weights := range d.weights {
		total := 0.0
		for _, w := range weights {
			total += w
		}
		share := make([]float64, len(weights))
		for e, w := range weights {
			share[e] = w / total
		}
		s.Experts = len(weights)
		s.Share = append(s.Share, share)
		s.Deviation = append(s.Deviation, make([]float64, len(weights)))
	}
	return s
}

// interpolate sets the weights between those of a and b, on a logarithmic scale.
func (d *tokenSource) interpolate(a, b *tokenSource, part float64) {
	for l := range d.weights {
		for e := range d.weights[l] {
			d.weights[l][e] = math.Pow(a.weights[l][e], 1-part) * math.Pow(b.weights[l][e], part)
		}
	}
}

func TestScenarios(t *testing.T) {
	start := newTokenSource(7, scenarioLayers, scenarioExperts)
	other := newTokenSource(8, scenarioLayers, scenarioExperts)
	even := equalRanks(scenarioRanks, scenarioSlots)
	mixedSlots := equalRanks(scenarioRanks, scenarioSlots)
	for r := range mixedSlots {
		mixedSlots[r].Slots = 3 + r%6
	}
	cases := []struct {
		scenario
		settledAt int     // first window that maxRatio applies to
		maxRatio  float64 // of imbalance over its lower bound
		minLoads  int     // required loads
		maxLoads  int     // 0 means no limit
		lost      float64 // maximum, in weighted seconds
	}{{
		// The popularity drifts to a different one in 300 windows.
		scenario: scenario{name: "slowTurn", windows: 300, ranks: even, updateSource: func(d *tokenSource, window int) {
			d.interpolate(start, other, float64(window)/300)
		}},
		settledAt: 1, maxRatio: 1.05, minLoads: 1, lost: 371,
	}, {
		// The popularity shifts from one window to the next.
		scenario: scenario{name: "suddenSwap", windows: 60, ranks: even, updateSource: func(d *tokenSource, window int) {
			if window == 20 {
				d.interpolate(start, other, 1)
			}
		}},
		settledAt: 22, maxRatio: 1.03, minLoads: 50, maxLoads: 250, lost: 50,
	}, {
		// The requests at the end of a quarter change the popularity for some time.
		scenario: scenario{name: "quarterEnd", windows: 200, ranks: even, updateSource: func(d *tokenSource, window int) {
			d.interpolate(start, other, min(1, max(0, min(float64(window-40)/30, float64(160-window)/30))))
		}},
		settledAt: 190, maxRatio: 1.03, minLoads: 50, lost: 174,
	}, {
		// A rank becomes slow for good, and its peers take over its tokens.
		scenario: scenario{name: "straggler", windows: 40, ranks: even, adjustInput: func(in *Input, window int) {
			if window >= 10 {
				in.Ranks[3].Speed = 0.4
			}
		}},
		settledAt: 12, maxRatio: 1.01, minLoads: 1, maxLoads: 200, lost: 13,
	}, {
		// Ranks of different hardware have slots for 3 to 8 experts.
		scenario: scenario{name: "memory", windows: 120, ranks: mixedSlots, updateSource: func(d *tokenSource, window int) {
			d.interpolate(start, other, float64(window)/300)
		}},
		settledAt: 1, maxRatio: 1.05, minLoads: 1, lost: 177,
	}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.seed, c.burst = 7, 1
			got := c.run(t)
			if w := got.maxRatio(c.settledAt); w > c.maxRatio {
				t.Errorf("largest imbalance over the lower bound = %.3f, want at most %.3f", w, c.maxRatio)
			}
			if got.loads < c.minLoads || c.maxLoads > 0 && got.loads > c.maxLoads {
				t.Errorf("loads = %d, want %d to %d", got.loads, c.minLoads, c.maxLoads)
			}
			if got.lost > c.lost {
				t.Errorf("lost = %.1f weighted seconds, want at most %.1f", got.lost, c.lost)
			}
			burdockgolden.Compare(t, c.name, strings.Join(got.log, "\n")+"\n")
		})
	}
}

// The popularity is constant, but tokens come in bursts, so that in each window
// other experts look popular. Loading experts for that costs time at the weight
// store and gains nothing, so there must be no load.
func TestNoiseCausesNoLoads(t *testing.T) {
	for _, burst := range []float64{1, 10, 100} {
		for seed := range uint64(8) {
			sc := scenario{seed: seed, windows: 200, burst: burst, ranks: equalRanks(scenarioRanks, scenarioSlots)}
			if got := sc.run(t); got.loads != 0 {
				t.Errorf("burst %g, seed %d: loads = %d in %d decisions, want 0", burst, seed, got.loads, len(got.log))
			}
		}
	}
}

// A VM is replaced, and its rank comes back empty. Some of the experts that the map
// places there have no other replica, so their tokens are lost until the rank has
// loaded them. The move is forced, however high the profile's weight of loads, and
// loads only these experts.
func TestReplacedRankForcesMove(t *testing.T) {
	const rank = 5
	truth := newTokenSource(7, scenarioLayers, scenarioExperts).truth()
	ranks := equalRanks(scenarioRanks, scenarioSlots)
	current := Solve(truth, ranks)
	in := testInput(truth, current, ranks)
	in.Weights, in.Horizon = Weights{Skew: 1, Cost: 1e6}, 0
	in.Ranks[rank].Empty = true
	move, ok := New(Config{}).Plan(0, in).(Move)
	if !ok || move.Reason != ReasonMapUnusable {
		t.Fatalf("Plan = %+v, want a Move for %s", move, ReasonMapUnusable)
	}
	if list := move.Map.Check(in.Ranks); list.Err() != nil {
		t.Errorf("map has findings:\n%v", list.Err())
	}
	if got, want := len(move.Loads), countHeld(current, rank, unreplicated(current)); got != want {
		t.Errorf("loads = %d, want the %d experts that only this rank held", got, want)
	}
}

// A rank is lost without replacement. Its experts go to the remaining ranks, and
// the lost rank gets none.
func TestLostRankGetsNoExperts(t *testing.T) {
	const rank = 5
	truth := newTokenSource(7, scenarioLayers, scenarioExperts).truth()
	in := testInput(truth, Solve(truth, equalRanks(scenarioRanks, scenarioSlots)), equalRanks(scenarioRanks, scenarioSlots))
	in.Ranks[rank].Slots, in.Ranks[rank].Empty = 0, true
	move, ok := New(Config{}).Plan(0, in).(Move)
	if !ok || move.Reason != ReasonMapUnusable {
		t.Fatalf("Plan = %+v, want a Move for %s", move, ReasonMapUnusable)
	}
	if list := move.Map.Check(in.Ranks); list.Err() != nil {
		t.Errorf("map has findings:\n%v", list.Err())
	}
}

// The remaining ranks have too few slots for one replica of each expert. No map is
// valid, so the decision keeps the current one and reports the missing slots.
func TestTooLittleMemoryIsReported(t *testing.T) {
	truth := newTokenSource(7, scenarioLayers, scenarioExperts).truth()
	in := testInput(truth, Solve(truth, equalRanks(scenarioRanks, scenarioSlots)), equalRanks(scenarioRanks, 3))
	stay, ok := New(Config{}).Plan(0, in).(Stay)
	if !ok || stay.Reason != ReasonInputInvalid {
		t.Fatalf("Plan = %+v, want a Stay for %s", stay, ReasonInputInvalid)
	}
	want := "ranks: have 48 slots together; want at least 64"
	if err := stay.Findings.Err(); err == nil || err.Error() != want {
		t.Errorf("findings = %v, want %q", err, want)
	}
}

// unreplicated returns, by layer and expert, whether exactly one rank holds it.
func unreplicated(m *Map) [][]bool {
	list := make([][]bool, m.shape.Layers)
	for l := range list {
		counts := make([]int, m.shape.Experts)
		for _, held := range m.layer(l) {
			for _, e := range held {
				counts[e]++
			}
		}
		for _, n := range counts {
			list[l] = append(list[l], n == 1)
		}
	}
	return list
}

func countHeld(m *Map, rank int, which [][]bool) int {
	n := 0
	for l := range which {
		for _, e := range m.layer(l)[rank] {
			if which[l][e] {
				n++
			}
		}
	}
	return n
}
