package burdockexpert

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// drawInput draws an input that passes Check. Its current map may be unusable.
func drawInput(t *rapid.T) Input {
	s := Shape{
		Layers:  rapid.IntRange(1, 3).Draw(t, "layers"),
		Ranks:   rapid.IntRange(1, 8).Draw(t, "ranks"),
		Experts: rapid.IntRange(1, 24).Draw(t, "experts"),
	}
	ranks := make([]Rank, s.Ranks)
	totalSlots := 0
	for r := range ranks {
		ranks[r] = Rank{
			Slots: rapid.IntRange(0, 8).Draw(t, "slots"),
			Speed: rapid.Float64Range(0.05, 2).Draw(t, "speed"),
			Empty: rapid.IntRange(0, 9).Draw(t, "empty") == 0,
		}
		totalSlots += min(ranks[r].Slots, s.Experts)
	}
	ranks[0].Slots += max(0, s.Experts-totalSlots)
	in := testInput(drawPopularity(t, s), drawMap(t, s), ranks)
	in.Weights = Weights{Skew: rapid.Float64Range(0.01, 100).Draw(t, "skew"), Cost: rapid.Float64Range(0.01, 100).Draw(t, "cost")}
	in.Horizon = burdockclock.Millis(rapid.IntRange(0, 10_000_000).Draw(t, "hold"))
	if rapid.Bool().Draw(t, "usable") {
		in.Current = Solve(drawPopularity(t, s), ranks)
	}
	return in
}

func drawPopularity(t *rapid.T, s Shape) Snapshot {
	p := NewPopularity(s.Layers, s.Experts, testHalfLife)
	for l := range burdockid.Layer(s.Layers) {
		counts := make([]burdockid.Tokens, s.Experts)
		for e := range counts {
			counts[e] = burdockid.Tokens(rapid.IntRange(0, 1_000_000).Draw(t, "count"))
		}
		p.Observe(0, l, counts)
	}
	return p.Snapshot()
}

func drawMap(t *rapid.T, s Shape) *Map {
	m := NewMap(s)
	for range rapid.IntRange(0, 40).Draw(t, "held") {
		l := rapid.IntRange(0, s.Layers-1).Draw(t, "layer")
		r := rapid.IntRange(0, s.Ranks-1).Draw(t, "rank")
		e := rapid.IntRange(0, s.Experts-1).Draw(t, "expert")
		m.Add(burdockid.Layer(l), burdockid.Rank(r), burdockid.Expert(e))
	}
	return m
}

// objective returns the weighted time that a planner minimises, for a map that
// takes the given number of loads.
func objective(in Input, m *Map, loads int) float64 {
	lost := (mean(Imbalance(m, in.Popularity, in.Ranks)) - 1) * float64(in.Horizon)
	return in.Weights.Skew*lost + in.Weights.Cost*float64(loads)*in.millisPerLoad()
}

func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		switch d := New(Config{}).Plan(0, in).(type) {
		case Stay:
			if d.Reason == ReasonInputInvalid || d.Reason == ReasonPlannerFault {
				t.Fatalf("Stay for %s: %v", d.Reason, d.Findings.Err())
			}
			if list := in.Current.Check(in.Ranks); list.Err() != nil {
				t.Fatalf("Plan keeps an unusable map:\n%v", list.Err())
			}
		case Move:
			checkMove(t, in, d)
		}
	})
}

func checkMove(t *rapid.T, in Input, d Move) {
	if list := d.Map.Check(in.Ranks); list.Err() != nil {
		t.Fatalf("map has findings:\n%v", list.Err())
	}
	for _, load := range d.Loads {
		if !d.Map.Holds(load.Layer, load.Rank, load.Expert) {
			t.Fatalf("loads %+v, which the map does not place there", load)
		}
		if in.Current.Holds(load.Layer, load.Rank, load.Expert) && !in.Ranks[load.Rank].Empty {
			t.Fatalf("loads %+v, which the rank holds already", load)
		}
	}
	if d.Saving < 0 {
		t.Fatalf("saving = %d, want 0 or more", d.Saving)
	}
	if d.Reason != ReasonSavingOutweighsCost {
		return
	}
	const tolerance = 1e-6 // for rounding
	before, after := objective(in, in.Current, 0), objective(in, d.Map, len(d.Loads))
	if after > before*(1+tolerance) {
		t.Fatalf("objective rises from %g to %g", before, after)
	}
}

func TestPlanIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		got, want := New(Config{}).Plan(0, in), New(Config{}).Plan(0, in)
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("Plan = %+v, then %+v", want, got)
		}
	})
}

func TestPlanStaysForZeroHorizon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for r := range in.Ranks {
			in.Ranks[r].Empty = false
		}
		in.Current = Solve(in.Popularity, in.Ranks)
		in.Horizon = 0
		if got, ok := New(Config{}).Plan(0, in).(Stay); !ok {
			t.Fatalf("Plan = %+v, want a Stay for a horizon of 0", got)
		}
	})
}

func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawInput(t).Current
		b, err := want.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if !got.Equal(want) || got.Digest() != want.Digest() {
			t.Fatalf("Decode = %+v, want %+v", got, want)
		}
	})
}
