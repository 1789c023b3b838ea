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
	p.Observe(testHalf, 0, []burdockid.Tokens{0, 500, 9})
	p.Observe(testHalf, 1, []burdockid.Tokens{9, 9})
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

// Hot experts turn cold from one window to the next and stay so. The estimate
// must be of the new popularity after the second such window, or experts are
// moved for an average that never was.
func TestSwapIsFollowedOnceConfirmed(t *testing.T) {
	p, d := NewPopularity(1, 64, testHalf), newDrift(3, 1, 64)
	for window := range burdockclock.Millis(20) {
		d.observe(p, window*scenarioWindow, 1)
	}
	before := d.truth().Share[0]
	d.weights = newDrift(4, 1, 64).weights
	after := d.truth().Share[0]
	for window, want := range [][]float64{before, after} {
		d.observe(p, burdockclock.Millis(20+window)*scenarioWindow, 1)
		if got := distance(p.Snapshot().Share[0], want); got > 0.02 {
			t.Errorf("window %d after the swap: distance = %.3f, want at most 0.02", window, got)
		}
	}
}

// One window is far off and the next is as usual. Were the estimate turned by
// it, experts would be moved there and back.
func TestSingleBurstTurnsNothing(t *testing.T) {
	p, d := NewPopularity(1, 64, testHalf), newDrift(3, 1, 64)
	usual := d.weights
	for window := range burdockclock.Millis(22) {
		d.weights = usual
		if window == 20 {
			d.weights = newDrift(4, 1, 64).weights
		}
		d.observe(p, window*scenarioWindow, 1)
	}
	d.weights = usual
	if got := distance(p.Snapshot().Share[0], d.truth().Share[0]); got > 0.15 {
		t.Errorf("distance = %.3f, want at most 0.15", got)
	}
}

// distance is the part of the tokens that one popularity places otherwise.
func distance(a, b []float64) float64 {
	sum := 0.0
	for e := range a {
		sum += math.Abs(a[e]-b[e]) / 2
	}
	return sum
}

// Hot experts turn cold in the middle of a window, so that its counts are of
// both popularities and agree with neither the window before nor the one after.
// The estimate must be of the new popularity after the first whole window, or
// experts are moved for an average that never was.
func TestSwapWithinAWindowIsFollowedOnceConfirmed(t *testing.T) {
	for _, part := range []float64{0.25, 0.5, 0.75} {
		p, d := NewPopularity(1, 64, testHalf), newDrift(3, 1, 64)
		for window := range burdockclock.Millis(20) {
			d.observe(p, window*scenarioWindow, 1)
		}
		before, after := d.truth().Share[0], newDrift(4, 1, 64)
		for e := range before {
			d.weights[0][e] = (1-part)*before[e] + part*after.truth().Share[0][e]
		}
		d.observe(p, 20*scenarioWindow, 1)
		if !p.ShiftPending() {
			t.Errorf("swap after %.2f of a window: not turning, want it to wait for the next window", 1-part)
		}
		d.weights = after.weights
		d.observe(p, 21*scenarioWindow, 1)
		if p.ShiftPending() {
			t.Errorf("swap after %.2f of a window: turning still, want it confirmed", 1-part)
		}
		if got := distance(p.Snapshot().Share[0], d.truth().Share[0]); got > 0.05 {
			t.Errorf("swap after %.2f of a window: distance = %.3f, want at most 0.05", 1-part, got)
		}
	}
}

// aboutToSwap returns an estimate after 20 windows of one popularity, whose next
// windows d draws from another.
func aboutToSwap(burst float64) (p *Popularity, d *drift, before, after []float64) {
	p, d = NewPopularity(1, 64, testHalf), newDrift(3, 1, 64)
	for window := range burdockclock.Millis(20) {
		d.observe(p, window*scenarioWindow, burst)
	}
	before = d.truth().Share[0]
	d.weights = newDrift(4, 1, 64).weights
	return p, d, before, d.truth().Share[0]
}

// The experts in demand swap within a window in which hardly anything was read.
// The window after it is all new, yet compared with that thin one alone it shows
// nothing: the map would stay that of the old popularity until the next swap.
func TestSwapWithinAThinWindowIsSeen(t *testing.T) {
	p, d, old, swapped := aboutToSwap(30)
	thin := make([]burdockid.Tokens, len(old))
	for e := range thin {
		thin[e] = burdockid.Tokens(200 * (old[e] + swapped[e]) / 2)
	}
	p.Observe(20*scenarioWindow, 0, thin)
	for window := range burdockclock.Millis(2) {
		d.observe(p, (21+window)*scenarioWindow, 30)
	}
	if got := distance(p.Snapshot().Share[0], swapped); got > 0.1 {
		t.Errorf("distance from the popularity after the swap: got %.3f, want at most 0.1", got)
	}
}

// A group whose changes are cheap plans on the first window after a swap. One that
// holds much of before would make it load experts that nobody needs; one that holds
// some is planned on without that part, as a window more is a window late.
func TestNewestFollowsAWindowThatIsAllOfTheSwap(t *testing.T) {
	for _, c := range []struct {
		name    string
		old     float64 // part of the window
		unclear bool
	}{{"all new", 0, false}, {"a third of before", 0.33, false}, {"half and half", 0.5, true}} {
		p, _, before, after := aboutToSwap(1)
		mixed := make([]burdockid.Tokens, len(before))
		for e := range mixed {
			mixed[e] = burdockid.Tokens(1e6 * (c.old*before[e] + (1-c.old)*after[e]))
		}
		p.Observe(20*scenarioWindow, 0, mixed)
		if got := p.ShiftMixed(); got != c.unclear {
			t.Errorf("%s: got unclear %t, want %t", c.name, got, c.unclear)
		}
		if got := distance(p.ProvisionalSnapshot().Share[0], after); !c.unclear && got > 0.02 {
			t.Errorf("%s: distance of the newest: got %.3f, want at most 0.02", c.name, got)
		}
		if got := distance(p.Snapshot().Share[0], before); got > 0.02 {
			t.Errorf("%s: distance of the confirmed from before: got %.3f, want at most 0.02", c.name, got)
		}
	}
}
