package burdocklimit

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

var testEngine = Engine{Slots: 12, StepsPerEvent: 4, BaseStepMillis: 4.5, StepMillisPerRequest: 0.9}

const (
	testEngines                         = 16
	testMaxEventGap burdockclock.Millis = 120
	// testEvents is the number of events of a stream. With cycles of 60 ms a
	// stream lasts about 1.5 s.
	testEvents = 24
)

// model simulates a lockstep group behind some entries. Each cycle takes as long as
// the engines' figures imply for the running streams, times a factor that stands for
// how evenly the experts are loaded.
type model struct {
	limits    []*Limit
	running   [][]stream // by entry
	engines   int
	random    *rand.Rand
	now       burdockclock.Millis
	late      int
	completed int
}

type stream struct {
	engine, left int
	late         bool
}

func newModel(entries int) *model {
	m := &model{engines: testEngines, random: rand.New(rand.NewPCG(1, 2)), running: make([][]stream, entries)}
	for range entries {
		m.limits = append(m.limits, New(Config{}, testEngine, testEngines, testMaxEventGap))
	}
	return m
}

func (m *model) total() int {
	n := 0
	for _, r := range m.running {
		n += len(r)
	}
	return n
}

// streamsAt returns how many streams an engine runs, in total and for one entry.
func (m *model) streamsAt(engine, entry int) (all, own int) {
	for e, running := range m.running {
		for _, s := range running {
			if s.engine == engine {
				all++
				if e == entry {
					own++
				}
			}
		}
	}
	return all, own
}

// cycle runs one cycle. wanted returns how many more streams an entry would start.
func (m *model) cycle(factor float64, wanted func(entry int) int) {
	gap := burdockclock.Millis(factor * testEngine.cycle(float64(m.total())/float64(m.engines)))
	m.now += gap
	for e := range m.running {
		m.advance(e, gap)
		for range wanted(e) {
			if len(m.running[e]) >= m.limits[e].MaxStreams(m.now, len(m.running[e])) {
				break
			}
			s := stream{engine: m.random.IntN(m.engines), left: testEvents}
			m.running[e] = append(m.running[e], s)
			all, own := m.streamsAt(s.engine, e)
			m.limits[e].Report(m.now, burdockid.Upstream(fmt.Sprint(s.engine)), all, own)
		}
	}
}

func (m *model) advance(e int, gap burdockclock.Millis) {
	var left []stream
	for _, s := range m.running[e] {
		m.limits[e].ObserveEventGap(m.now, gap)
		s.late = s.late || gap > testMaxEventGap
		if s.left--; s.left > 0 {
			left = append(left, s)
			continue
		}
		m.completed++
		if s.late {
			m.late++
		}
	}
	m.running[e] = left
}

// Five entries get far more streams than fit, one of them half of all. Callers must
// get event gaps that they accept, and hardly a slot may stay unused, although the
// entries' traffic is uneven.
func TestSaturationKeepsEventGapsShort(t *testing.T) {
	m := newModel(5)
	for m.now < 20*burdockclock.Second {
		m.cycle(1.4, func(entry int) int {
			if entry == 0 {
				return 20
			}
			return 5
		})
	}
	if got, maxWant := float64(m.late)/float64(m.completed), 0.05; got > maxWant {
		t.Errorf("late streams: got a share of %.2f of %d, want at most %.2f", got, m.completed, maxWant)
	}
	if got, minWant := m.total(), 100; got < minWant {
		t.Errorf("running streams: got %d, want at least %d", got, minWant)
	}
	if got, maxWant := m.total(), testEngines*testEngine.Slots; got > maxWant {
		t.Errorf("running streams: got %d, want at most %d", got, maxWant)
	}
}

// Any number of entries that don't communicate get many more streams than fit. With
// a fixed share of the remaining capacity for each, fifty entries start many times
// what fits before the first reports show it.
func TestSaturationAtAnyNumberOfEntries(t *testing.T) {
	for _, entries := range []int{1, 5, 53, 350} {
		m := newModel(entries)
		m.engines = 192
		for e := range m.limits {
			m.limits[e] = New(Config{}, testEngine, m.engines, testMaxEventGap)
		}
		peak := 0
		for m.now < 12*burdockclock.Second {
			m.cycle(1.4, func(entry int) int {
				if entry%2 == 0 {
					return 2 + 400/entries
				}
				return 1 + 100/entries
			})
			peak = max(peak, m.total())
		}
		capacity := int(m.limits[0].maxRequests() * float64(m.engines))
		if got := m.total(); got > capacity*11/10+entries/2 {
			t.Errorf("%d entries: got %d running streams, want at most a tenth more than the %d that fit", entries, got, capacity)
		}
		if got, minWant := m.total(), capacity*8/10; got < minWant {
			t.Errorf("%d entries: got %d running streams, want at least %d", entries, got, minWant)
		}
		t.Logf("%d entries: %d running at the end, %d at the peak, %d fit", entries, m.total(), peak, capacity)
	}
}

// The experts in demand change every three seconds, and for one second cycles are
// twice as long. A limit that follows each change is low when cycles are short again.
// It must stay steady, and callers get as many complete answers as the cycles allow.
func TestLimitIgnoresShortSlowdowns(t *testing.T) {
	m := newModel(5)
	lowest, highest := float64(testEngine.Slots), 0.0
	for m.now < 30*burdockclock.Second {
		factor := 1.3
		if m.now%(3*burdockclock.Second) < burdockclock.Second {
			factor = 2.6
		}
		m.cycle(factor, func(int) int { return 10 })
		if m.now > 10*burdockclock.Second {
			lowest, highest = min(lowest, m.limits[0].maxRequests()), max(highest, m.limits[0].maxRequests())
		}
	}
	if lowest < 0.75*highest {
		t.Errorf("requests per engine: got limits between %.1f and %.1f, want them within a factor of 0.75", lowest, highest)
	}
	if got, want := m.completed, 1000; got < want {
		t.Errorf("complete answers in 30 s: got %d, want at least %d", got, want)
	}
}

// The engines are so slow that even a few streams have longer event gaps than callers
// accept. Late answers are better than none, so the engines' slots are the limit.
func TestUnattainableEventGap(t *testing.T) {
	l := New(Config{}, testEngine, testEngines, testMaxEventGap)
	for now := burdockclock.Millis(0); now < 20*burdockclock.Second; now += 400 {
		l.MaxStreams(now, 16)
		l.ObserveEventGap(now, 400)
	}
	if got, want := l.maxRequests(), float64(testEngine.Slots); got != want {
		t.Errorf("requests per engine: got %.1f, want %.1f", got, want)
	}
}

// An entry has no streams while others fill the engines, so it receives no reports.
// It must not consider the engines full forever.
func TestOldReportsExpire(t *testing.T) {
	l := New(Config{}, testEngine, testEngines, testMaxEventGap)
	for e := range testEngines {
		l.Report(0, burdockid.Upstream(fmt.Sprint(e)), 12, 0)
	}
	if got, want := l.MaxStreams(1, 0), 1; got != want {
		t.Errorf("while the engines are full: got %d streams, want %d", got, want)
	}
	if got, minWant := l.MaxStreams(3*burdockclock.Second, 0), 10; got < minWant {
		t.Errorf("three seconds later: got %d streams, want at least %d", got, minWant)
	}
}

// After all entries have started, the first report that an entry receives shows only
// its own request. The entry must not conclude that it is nearly alone and fill the
// engines many times over.
func TestMaxStreamsNeverExceedsCapacity(t *testing.T) {
	l := New(Config{}, testEngine, testEngines, testMaxEventGap)
	l.MaxStreams(0, 1)
	l.Report(1, "0", 1, 1)
	got := l.MaxStreams(2, 1)
	if maxWant := int(l.State(2).MaxPerEngine*float64(testEngines)) + 1; got > maxWant {
		t.Errorf("after one report: got %d streams, want at most %d", got, maxWant)
	}
}

// An engine joins a service of 768 whose reports are all known: 1.9 ms with a search of
// the list for each report, 0.10 ms with a set, on one core of a shared machine.
func BenchmarkSetEngines(b *testing.B) {
	const engines = 768
	var all []burdockid.Upstream
	l := New(Config{}, testEngine, engines, testMaxEventGap)
	for e := range engines {
		all = append(all, burdockid.Upstream(fmt.Sprint("i-", e)))
		l.Report(0, all[e], 1, 0)
	}
	for b.Loop() {
		l.SetEngines(all)
	}
}

// The load of an engine that was restarted is not that of the process before.
func TestForgottenReportDoesNotCount(t *testing.T) {
	l := New(Config{}, testEngine, 2, testMaxEventGap)
	l.Report(0, "a", 8, 0)
	l.Report(0, "b", 2, 0)
	l.Forget("a")
	if got, want := l.State(1).Load, 2.0; got != want {
		t.Errorf("load: got %.1f, want %.1f", got, want)
	}
}
