package burdockspeed

import (
	"math"
	"testing"
)

func TestFromSlowdown(t *testing.T) {
	for _, c := range []struct {
		slowdown float64
		want     Speed
		known    bool
	}{
		{1, 1, true},
		{2.8, 1 / 2.8, true},
		{0.5, 2, true},
		{100, 0.01, true},
		{0, Baseline, false},
		{-3, Baseline, false},
		{1e9, Baseline, false},
		{math.NaN(), Baseline, false},
		{math.Inf(1), Baseline, false},
	} {
		got, known := FromSlowdown(c.slowdown)
		if got != c.want || known != c.known {
			t.Errorf("FromSlowdown(%g): got %v, %t; want %v, %t", c.slowdown, got, known, c.want, c.known)
		}
	}
}

func TestSmallChangesAreNotSignificant(t *testing.T) {
	for _, c := range []struct {
		before, now Speed
		want        bool
	}{
		{1, 1, false}, {1, 0.95, false}, {1, 0.9, true}, {0.5, 0.52, false}, {0.36, 1, true}, {0.36, 0.18, true},
	} {
		if got := SignificantChange(c.before, c.now); got != c.want {
			t.Errorf("SignificantChange(%v, %v): got %t, want %t", c.before, c.now, got, c.want)
		}
	}
}

// spaCost is the published cost of engines that run seven requests at a time.
var spaCost = StepCost{BaseStepMillis: 4.55, StepMillisPerRequest: 0.92, ExpertShare: 0.85, TypicalRequests: 7}

func TestWeightFallsToMinimumWithSpeed(t *testing.T) {
	last := 2.0
	for _, s := range []Speed{2, 1, 0.95, 0.9, 0.85} {
		got := spaCost.Weight(s)
		if got > last || got < minWeight || got > 1 {
			t.Errorf("Weight(%v): got %g after %g, want at most that, and from %g to 1", s, got, last, minWeight)
		}
		last = got
	}
	for _, s := range []Speed{0.8, 0.36, 0.01} {
		if got := spaCost.Weight(s); got != minWeight {
			t.Errorf("Weight(%v): got %g, want %g", s, got, minWeight)
		}
	}
}

// The requests that the weight leaves on a slow engine must not make its local part of a
// step longer than that of its peers.
func TestWeightBoundsLocalPartOfStep(t *testing.T) {
	localMillis := func(s Speed, requests float64) float64 {
		return (spaCost.BaseStepMillis + spaCost.StepMillisPerRequest*(1-spaCost.ExpertShare)*requests) / float64(s)
	}
	for _, s := range []Speed{0.99, 0.95, 0.9, 0.85} {
		weight := spaCost.Weight(s)
		if weight == minWeight {
			continue
		}
		if got, want := localMillis(s, weight*spaCost.TypicalRequests), localMillis(Baseline, spaCost.TypicalRequests); got > want*1.0001 {
			t.Errorf("local part at speed %v: got %.3f ms, want at most %.3f", s, got, want)
		}
	}
}

func TestUnknownCostGivesSlowEngineMinWeight(t *testing.T) {
	if got := (StepCost{}).Weight(0.9); got != minWeight {
		t.Errorf("got %g, want %g", got, minWeight)
	}
	if got := (StepCost{}).Weight(Baseline); got != 1 {
		t.Errorf("at the baseline speed: got %g, want 1", got)
	}
}

func TestRelativeToTheMedian(t *testing.T) {
	for _, c := range []struct {
		name         string
		speeds, want []Speed
	}{
		{"none", nil, nil},
		{"one slow", []Speed{1, 0.25, 1}, []Speed{1, 0.25, 1}},
		{"all slow alike", []Speed{0.25, 0.25, 0.25}, []Speed{1, 1, 1}},
		{"most slow", []Speed{0.25, 0.25, 1}, []Speed{1, 1, 1}},
		{"one slower among slow ones", []Speed{0.5, 0.25, 0.5}, []Speed{1, 0.5, 1}},
	} {
		got := RelativeToMedian(c.speeds)
		for i := range c.want {
			if len(got) != len(c.want) || got[i] != c.want[i] {
				t.Errorf("%s: got %v, want %v", c.name, got, c.want)
				break
			}
		}
	}
}
