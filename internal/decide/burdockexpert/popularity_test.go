package burdockexpert

import (
	"encoding/json"
	"math"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

func TestPopularityDecays(t *testing.T) {
	p := NewPopularity(1, 2, testHalf)
	p.Observe(0, 0, []burdockid.Tokens{1000, 0})
	p.Observe(testHalf, 0, []burdockid.Tokens{0, 500})
	if got, want := p.Snapshot().Share[0][0], 0.5; math.Abs(got-want) > 1e-9 {
		t.Errorf("share after one half-life = %g, want %g", got, want)
	}
}

// The deviation that a popularity states has to be the one that its shares
// have, or a planner takes noise for drift.
func TestDeviationIsTheSharesOwn(t *testing.T) {
	for _, burst := range []float64{1, 30} {
		d := newDrift(3, 1, 64)
		truth := d.truth().Share[0]
		p := NewPopularity(1, 64, testHalf)
		squares, n := 0.0, 0.0
		for window := range burdockclock.Millis(500) {
			d.observe(p, window*scenarioWindow, burst)
			if window < dispersionWindows {
				continue
			}
			s := p.Snapshot()
			for e := range truth {
				z := (s.Share[0][e] - truth[e]) / s.Deviation[0][e]
				squares += z * z
				n++
			}
		}
		if got := math.Sqrt(squares / n); got < 0.85 || got > 1.15 {
			t.Errorf("burst %g: error over deviation = %.3f, want 0.85 to 1.15", burst, got)
		}
	}
}

func TestStateNamesAreCamelCase(t *testing.T) {
	p := New(Config{History: 1})
	p.Plan(5, Input{})
	p.Plan(6, Input{})
	got, err := json.Marshal(p.State())
	if err != nil {
		t.Fatal(err)
	}
	want := `{"noiseMargin":3,"layerChanges":32,"totalChanges":900,"decisions":[{"at":6,"verdict":"stay",` +
		`"reason":"inputInvalid","imbalanceBefore":0,"imbalanceAfter":0,"moves":0,"costMillis":0,"savingMillis":0}]}`
	if string(got) != want {
		t.Errorf("state = %s, want %s", got, want)
	}
}
