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

// scenario is one group under one drift. turn changes the drift before a
// window, adjust the input of the decision after it.
type scenario struct {
	name    string
	seed    uint64
	windows int
	burst   float64
	ranks   []Rank
	weights Weights
	turn    func(d *drift, window int)
	adjust  func(in *Input, window int)
}

// outcome is what a scenario led to, judged on the true popularity.
type outcome struct {
	ratios []float64 // by window: imbalance over the bound
	lost   float64   // weighted seconds: skew's excess and time spent moving
	moves  int
	log    []string
}

func (sc scenario) run(t *testing.T) outcome {
	t.Helper()
	d := newDrift(sc.seed, scenarioLayers, scenarioExperts)
	pop := NewPopularity(scenarioLayers, scenarioExperts, testHalf)
	planner := New(Config{})
	var out outcome
	present := Solve(d.truth(), sc.ranks)
	for window := range sc.windows {
		now := burdockclock.Millis(window) * scenarioWindow
		if sc.turn != nil {
			sc.turn(d, window)
		}
		d.observe(pop, now, sc.burst)
		in := testInput(pop.Snapshot(), present, slices.Clone(sc.ranks))
		if sc.weights != (Weights{}) {
			in.Weights = sc.weights
		}
		if sc.adjust != nil {
			sc.adjust(&in, window)
		}
		if move, ok := planner.Plan(now, in).(Move); ok {
			out.take(t, window, in, move, planner)
			present = move.Map
		}
		truth := d.truth()
		out.lost += in.Weights.Skew * (mean(Imbalance(present, truth, in.Ranks)) - 1) * float64(scenarioWindow) / millisPerSecond
		out.ratios = append(out.ratios, mean(Imbalance(present, truth, in.Ranks))/mean(LowerBound(truth, in.Ranks)))
	}
	return out
}

func (o *outcome) take(t *testing.T, window int, in Input, move Move, p *Planner) {
	t.Helper()
	if list := move.Map.Check(in.Ranks); list.Err() != nil {
		t.Fatalf("window %d: map has findings:\n%v", window, list.Err())
	}
	o.moves += len(move.Loads)
	o.lost += in.Weights.Cost * float64(move.Cost) / millisPerSecond
	rec := p.State().Decisions[len(p.State().Decisions)-1]
	o.log = append(o.log, fmt.Sprintf("window %d: %s, imbalance %.3f to %.3f, %d moves, %d ms",
		window, move.Reason, rec.ImbalanceBefore, rec.ImbalanceAfter, len(move.Loads), move.Cost))
}

func (o *outcome) worst(from int) float64 { return slices.Max(o.ratios[from:]) }

// truth returns the popularity that the counts are drawn from.
func (d *drift) truth() Snapshot {
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

// blend sets the weights between two drifts' by their logarithms.
func (d *drift) blend(a, b *drift, part float64) {
	for l := range d.weights {
		for e := range d.weights[l] {
			d.weights[l][e] = math.Pow(a.weights[l][e], 1-part) * math.Pow(b.weights[l][e], part)
		}
	}
}

func TestScenarios(t *testing.T) {
	start := newDrift(7, scenarioLayers, scenarioExperts)
	other := newDrift(8, scenarioLayers, scenarioExperts)
	even := evenRanks(scenarioRanks, scenarioSlots)
	differing := evenRanks(scenarioRanks, scenarioSlots)
	for r := range differing {
		differing[r].Slots = 3 + r%6
	}
	cases := []struct {
		scenario
		settled   int     // windows after which worst is looked at
		worst     float64 // largest imbalance over the bound from then on
		fewest    int     // of moves
		mostMoves int     // 0: lost alone limits them
		lost      float64 // weighted seconds at most
	}{{
		// Half a turn of popularity in 300 windows.
		scenario: scenario{name: "slowTurn", windows: 300, ranks: even, turn: func(d *drift, window int) {
			d.blend(start, other, float64(window)/300)
		}},
		settled: 1, worst: 1.05, fewest: 1, lost: 371,
	}, {
		// Hot experts turn cold from one window to the next.
		scenario: scenario{name: "suddenSwap", windows: 60, ranks: even, turn: func(d *drift, window int) {
			if window == 20 {
				d.blend(start, other, 1)
			}
		}},
		settled: 22, worst: 1.03, fewest: 50, mostMoves: 250, lost: 50,
	}, {
		// Work of the quarter's end comes, stays and goes.
		scenario: scenario{name: "quarterEnd", windows: 200, ranks: even, turn: func(d *drift, window int) {
			d.blend(start, other, min(1, max(0, min(float64(window-40)/30, float64(160-window)/30))))
		}},
		settled: 190, worst: 1.03, fewest: 50, lost: 174,
	}, {
		// A rank turns slow and stays so: its peers take over its load.
		scenario: scenario{name: "straggler", windows: 40, ranks: even, adjust: func(in *Input, window int) {
			if window >= 10 {
				in.Ranks[3].Speed = 0.4
			}
		}},
		settled: 12, worst: 1.01, fewest: 1, mostMoves: 200, lost: 13,
	}, {
		// Donated ranks with room for 3 to 8 experts.
		scenario: scenario{name: "memory", windows: 120, ranks: differing, turn: func(d *drift, window int) {
			d.blend(start, other, float64(window)/300)
		}},
		settled: 1, worst: 1.05, fewest: 1, lost: 177,
	}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.seed, c.burst = 7, 1
			got := c.run(t)
			if w := got.worst(c.settled); w > c.worst {
				t.Errorf("worst imbalance over the bound = %.3f, want at most %.3f", w, c.worst)
			}
			if got.moves < c.fewest || c.mostMoves > 0 && got.moves > c.mostMoves {
				t.Errorf("moves = %d, want %d to %d", got.moves, c.fewest, c.mostMoves)
			}
			if got.lost > c.lost {
				t.Errorf("lost = %.1f weighted seconds, want at most %.1f", got.lost, c.lost)
			}
			burdockgolden.Compare(t, c.name, strings.Join(got.log, "\n")+"\n")
		})
	}
}

// Popularity stands still, but tokens come in bursts, so that each window
// looks as if experts had turned hot or cold. Each move would cost time at the
// weight store and gain nothing, so there must be none.
func TestNoiseMovesNothing(t *testing.T) {
	for _, burst := range []float64{1, 10, 100} {
		for seed := range uint64(8) {
			sc := scenario{seed: seed, windows: 200, burst: burst, ranks: evenRanks(scenarioRanks, scenarioSlots)}
			if got := sc.run(t); got.moves != 0 {
				t.Errorf("burst %g, seed %d: moves = %d in %d decisions, want 0", burst, seed, got.moves, len(got.log))
			}
		}
	}
}

// A VM is replaced: its rank comes back empty while the map still names it for
// experts, some of which no other rank holds. Tokens for these would be lost.
// The move is forced, however much the profile dislikes moving, and holds no
// more than those experts.
func TestReplacedRankIsRefilledByNeed(t *testing.T) {
	const rank = 5
	truth := newDrift(7, scenarioLayers, scenarioExperts).truth()
	ranks := evenRanks(scenarioRanks, scenarioSlots)
	present := Solve(truth, ranks)
	in := testInput(truth, present, ranks)
	in.Weights, in.Horizon = Weights{Skew: 1, Cost: 1e6}, 0
	in.Ranks[rank].Empty = true
	move, ok := New(Config{}).Plan(0, in).(Move)
	if !ok || move.Reason != ReasonMapUnusable {
		t.Fatalf("Plan = %+v, want a Move for %s", move, ReasonMapUnusable)
	}
	if list := move.Map.Check(in.Ranks); list.Err() != nil {
		t.Errorf("map has findings:\n%v", list.Err())
	}
	if got, want := len(move.Loads), held(present, rank, alone(present)); got != want {
		t.Errorf("moves = %d, want the %d experts that only the rank held", got, want)
	}
}

// A rank is lost and nothing replaces it: its memory is gone. Its experts go
// to the ranks that are left, and the lost rank is given none.
func TestLostRankIsEmptied(t *testing.T) {
	const rank = 5
	truth := newDrift(7, scenarioLayers, scenarioExperts).truth()
	in := testInput(truth, Solve(truth, evenRanks(scenarioRanks, scenarioSlots)), evenRanks(scenarioRanks, scenarioSlots))
	in.Ranks[rank].Slots, in.Ranks[rank].Empty = 0, true
	move, ok := New(Config{}).Plan(0, in).(Move)
	if !ok || move.Reason != ReasonMapUnusable {
		t.Fatalf("Plan = %+v, want a Move for %s", move, ReasonMapUnusable)
	}
	if list := move.Map.Check(in.Ranks); list.Err() != nil {
		t.Errorf("map has findings:\n%v", list.Err())
	}
}

// The ranks left have too little memory for one replica of each expert. No
// map is valid, so the decision says what is missing and changes nothing.
func TestTooLittleMemoryIsReported(t *testing.T) {
	truth := newDrift(7, scenarioLayers, scenarioExperts).truth()
	in := testInput(truth, Solve(truth, evenRanks(scenarioRanks, scenarioSlots)), evenRanks(scenarioRanks, 3))
	stay, ok := New(Config{}).Plan(0, in).(Stay)
	if !ok || stay.Reason != ReasonInputInvalid {
		t.Fatalf("Plan = %+v, want a Stay for %s", stay, ReasonInputInvalid)
	}
	want := "ranks: have 48 slots together; want at least 64"
	if err := stay.Findings.Err(); err == nil || err.Error() != want {
		t.Errorf("findings = %v, want %q", err, want)
	}
}

// alone returns, by layer and expert, whether one rank alone holds it.
func alone(m *Map) [][]bool {
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

func held(m *Map, rank int, which [][]bool) int {
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
