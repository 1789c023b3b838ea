package burdocklimit

import (
	"math"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// All entries start at once without reports. Without the ramp, five entries have 1,935
// streams after half a second, before any measurement shows how many fit.
func TestGradualStartOfAFleet(t *testing.T) {
	const factor = 1.4
	for _, entries := range []int{5, 53} {
		m := newModel(entries)
		m.engines = 192
		for e := range m.limits {
			m.limits[e] = New(Config{GradualStart: true}, testEngine, m.engines, testMaxEventGap)
		}
		fits := int(testEngine.maxRequests(defaultGapFraction*float64(testMaxEventGap), factor*defaultSafetyFactor) * float64(m.engines))
		peak := 0
		for m.now < 6*burdockclock.Second {
			m.cycle(factor, func(int) int { return 1 + 800/entries })
			peak = max(peak, m.total())
			// Three doublings of two streams.
			if got, maxWant := m.total(), 16*entries; m.now < 500 && got > maxWant {
				t.Errorf("%d entries at %d ms: got %d running streams, want at most %d", entries, m.now, got, maxWant)
			}
		}
		if peak > fits*6/5 {
			t.Errorf("%d entries: got %d running streams at the peak, want at most a fifth more than the %d that fit", entries, peak, fits)
		}
		if got, minWant := m.total(), fits*8/10; got < minWant {
			t.Errorf("%d entries: got %d running streams at the end, want at least %d", entries, got, minWant)
		}
	}
}

// A ramp that rises with time alone is over before an idle entry gets its first requests.
func TestRampDoublesOnlyWhileUsed(t *testing.T) {
	l := New(Config{GradualStart: true}, testEngine, testEngines, testMaxEventGap)
	steps := []struct {
		now     burdockclock.Millis
		running int
		want    int
	}{
		{0, 0, 2}, {5000, 0, 2}, {5000, 2, 2}, {5149, 2, 2}, {5150, 1, 4},
		{5400, 1, 4}, {5500, 4, 4}, {5650, 4, 8}, {5800, 8, 16}, {5950, 16, 32},
	}
	for _, s := range steps {
		if got := l.MaxStreams(s.now, s.running); got != s.want {
			t.Fatalf("at %d with %d running: got %d, want %d", s.now, s.running, got, s.want)
		}
	}
	for now := burdockclock.Millis(6250); l.Ramp() > 0; now += 150 {
		if now > 10000 {
			t.Fatalf("ramp: got %d at 10 s, want it over", l.Ramp())
		}
		l.MaxStreams(now, l.Ramp())
	}
	l.Restart(20000)
	if got, want := l.MaxStreams(20000, 0), 2; got != want {
		t.Errorf("after Restart: got %d, want %d", got, want)
	}
	// Streams at engines of another group go on during a restart.
	if got, want := l.MaxStreams(20010, 20), 20; got != want {
		t.Errorf("with 20 running: got %d, want %d", got, want)
	}
}

// With the initial guess weighted as if it had been measured for the whole averaging time,
// a guess that is far off bounds the streams for many seconds.
func TestFirstMeasurementsAreAPlainMean(t *testing.T) {
	l := New(Config{GradualStart: true}, testEngine, testEngines, testMaxEventGap)
	cycle := testEngine.cycle(0)
	for period := range burdockclock.Millis(4) {
		// Each period lasts 150 ms; their slowdowns are 1, 2, 1 and 2.
		gap := burdockclock.Millis(cycle * float64(1+period%2))
		l.ObserveEventGap(1000*period, gap)
		l.ObserveEventGap(1000*period+150, gap)
	}
	if got, want := l.State(4000).TypicalSlowdown, 1.5; math.Abs(got-want) > 0.01 {
		t.Errorf("typical slowdown: got %.3f, want %.3f", got, want)
	}
}

// What others have measured replaces the guess, but not an entry's own measurement, and a
// corrupt value must not become the limit.
func TestSetTypicalSlowdown(t *testing.T) {
	l := New(Config{GradualStart: true}, testEngine, testEngines, testMaxEventGap)
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 0, -2} {
		l.SetTypicalSlowdown(v)
		if got, want := l.State(0).TypicalSlowdown, defaultInitialSlowdown; got != want {
			t.Errorf("after %v: got %v, want %v", v, got, want)
		}
	}
	l.SetTypicalSlowdown(1.2)
	if got, want := l.State(0).TypicalSlowdown, 1.2; got != want {
		t.Errorf("of the others: got %v, want %v", got, want)
	}
	gap := burdockclock.Millis(2 * testEngine.cycle(0))
	l.ObserveEventGap(0, gap)
	l.ObserveEventGap(150, gap)
	l.SetTypicalSlowdown(1.2)
	if got, want := l.State(150).TypicalSlowdown, 2.0; math.Abs(got-want) > 0.01 {
		t.Errorf("after an own measurement: got %v, want %v", got, want)
	}
}
