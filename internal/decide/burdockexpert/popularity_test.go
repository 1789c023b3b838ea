package burdockexpert

import (
	"encoding/json"
	"math"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

func TestPopularityDecays(t *testing.T) {
	p := NewPopularity(1, 2, testHalfLife)
	p.Observe(0, 0, []burdockid.Tokens{1000, 0})
	p.Observe(testHalfLife, 0, []burdockid.Tokens{0, 500, 9})
	p.Observe(testHalfLife, 1, []burdockid.Tokens{9, 9})
	if got, want := p.Snapshot().Share[0][0], 0.5; math.Abs(got-want) > 1e-9 {
		t.Errorf("share after one half-life = %g, want %g", got, want)
	}
}

// The reported deviation has to match the actual error of the shares. Otherwise
// the planner mistakes noise for drift.
func TestDeviationMatchesError(t *testing.T) {
	for _, burst := range []float64{1, 30} {
		d := newTokenSource(3, 1, 64)
		truth := d.truth().Share[0]
		p := NewPopularity(1, 64, testHalfLife)
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
	p := New(Config{MaxHistory: 1})
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

// Popularity shifts from one window to the next. The estimate has to follow after
// the second window. Otherwise experts are loaded for an average of the old and
// the new popularity, which never existed.
func TestShiftIsFollowedOnceConfirmed(t *testing.T) {
	p, d := NewPopularity(1, 64, testHalfLife), newTokenSource(3, 1, 64)
	for window := range burdockclock.Millis(20) {
		d.observe(p, window*scenarioWindow, 1)
	}
	before := d.truth().Share[0]
	d.weights = newTokenSource(4, 1, 64).weights
	after := d.truth().Share[0]
	for window, want := range [][]float64{before, after} {
		d.observe(p, burdockclock.Millis(20+window)*scenarioWindow, 1)
		if got := distance(p.Snapshot().Share[0], want); got > 0.02 {
			t.Errorf("window %d after the shift: distance = %.3f, want at most 0.02", window, got)
		}
	}
}

// A single window differs a lot and the next is like those before. If the estimate
// follows it, experts are loaded there and back.
func TestSingleBurstIsNoShift(t *testing.T) {
	p, d := NewPopularity(1, 64, testHalfLife), newTokenSource(3, 1, 64)
	typical := d.weights
	for window := range burdockclock.Millis(22) {
		d.weights = typical
		if window == 20 {
			d.weights = newTokenSource(4, 1, 64).weights
		}
		d.observe(p, window*scenarioWindow, 1)
	}
	d.weights = typical
	if got := distance(p.Snapshot().Share[0], d.truth().Share[0]); got > 0.15 {
		t.Errorf("distance = %.3f, want at most 0.15", got)
	}
}

// distance returns the fraction of tokens that two popularities assign to different
// experts.
func distance(a, b []float64) float64 {
	sum := 0.0
	for e := range a {
		sum += math.Abs(a[e]-b[e]) / 2
	}
	return sum
}

// Popularity shifts within a window, whose counts mix the old and the new one and
// agree with neither the previous window nor the next. The estimate has to follow
// after the first whole window. Otherwise experts are loaded for an average that
// never existed.
func TestShiftWithinWindowIsFollowedOnceConfirmed(t *testing.T) {
	for _, newPart := range []float64{0.25, 0.5, 0.75} {
		p, d := NewPopularity(1, 64, testHalfLife), newTokenSource(3, 1, 64)
		for window := range burdockclock.Millis(20) {
			d.observe(p, window*scenarioWindow, 1)
		}
		before, after := d.truth().Share[0], newTokenSource(4, 1, 64)
		for e := range before {
			d.weights[0][e] = (1-newPart)*before[e] + newPart*after.truth().Share[0][e]
		}
		d.observe(p, 20*scenarioWindow, 1)
		if !p.ShiftPending() {
			t.Errorf("shift after %.2f of a window: no shift pending, want one until the next window", 1-newPart)
		}
		d.weights = after.weights
		d.observe(p, 21*scenarioWindow, 1)
		if p.ShiftPending() {
			t.Errorf("shift after %.2f of a window: shift still pending, want it confirmed", 1-newPart)
		}
		if got := distance(p.Snapshot().Share[0], d.truth().Share[0]); got > 0.05 {
			t.Errorf("shift after %.2f of a window: distance = %.3f, want at most 0.05", 1-newPart, got)
		}
	}
}

// beforeShift returns an estimate after 20 windows of one popularity, and a source
// that draws the next windows from another.
func beforeShift(burst float64) (p *Popularity, d *tokenSource, before, after []float64) {
	p, d = NewPopularity(1, 64, testHalfLife), newTokenSource(3, 1, 64)
	for window := range burdockclock.Millis(20) {
		d.observe(p, window*scenarioWindow, burst)
	}
	before = d.truth().Share[0]
	d.weights = newTokenSource(4, 1, 64).weights
	return p, d, before, d.truth().Share[0]
}

// Popularity shifts within a window of very few tokens. Compared with that window
// alone, the next one shows no significant difference, and the map stays the one
// for the old popularity until the next shift.
func TestShiftWithinSmallWindowIsDetected(t *testing.T) {
	p, d, old, shifted := beforeShift(30)
	small := make([]burdockid.Tokens, len(old))
	for e := range small {
		small[e] = burdockid.Tokens(200 * (old[e] + shifted[e]) / 2)
	}
	p.Observe(20*scenarioWindow, 0, small)
	for window := range burdockclock.Millis(2) {
		d.observe(p, (21+window)*scenarioWindow, 30)
	}
	if got := distance(p.Snapshot().Share[0], shifted); got > 0.1 {
		t.Errorf("distance from the popularity after the shift: got %.3f, want at most 0.1", got)
	}
}

// A group whose changes are cheap plans on the first window after a shift. Planning
// on a window with much of the old popularity loads experts that nobody needs, so
// it is reported as mixed. If it has a little, that part is subtracted, as waiting
// for another window delays the change.
func TestProvisionalSnapshotAfterShift(t *testing.T) {
	for _, c := range []struct {
		name  string
		old   float64 // fraction of the window
		mixed bool
	}{{"all new", 0, false}, {"a third old", 0.33, false}, {"half and half", 0.5, true}} {
		p, _, before, after := beforeShift(1)
		counts := make([]burdockid.Tokens, len(before))
		for e := range counts {
			counts[e] = burdockid.Tokens(1e6 * (c.old*before[e] + (1-c.old)*after[e]))
		}
		p.Observe(20*scenarioWindow, 0, counts)
		if got := p.ShiftMixed(); got != c.mixed {
			t.Errorf("%s: ShiftMixed = %t, want %t", c.name, got, c.mixed)
		}
		if got := distance(p.ProvisionalSnapshot().Share[0], after); !c.mixed && got > 0.02 {
			t.Errorf("%s: distance of the provisional snapshot from the new popularity: got %.3f, want at most 0.02", c.name, got)
		}
		if got := distance(p.Snapshot().Share[0], before); got > 0.02 {
			t.Errorf("%s: distance of the snapshot from the old popularity: got %.3f, want at most 0.02", c.name, got)
		}
	}
}
