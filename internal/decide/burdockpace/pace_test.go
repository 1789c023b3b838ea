package burdockpace

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

var testEngine = Engine{Slots: 12, StepsPerEvent: 4, BaseStepMillis: 4.5, StepMillisPerRequest: 0.9}

const (
	testEngines                     = 16
	testPause   burdockclock.Millis = 120
	// testEvents is the number of events of a stream: with passes of 60 ms one
	// lasts about a second and a half.
	testEvents = 24
)

// model is a group in lock-step before some entries: each pass lasts as long as
// the engines' figures say for the streams that run, times a factor that the
// evenness of its experts gives.
type model struct {
	limits  []*Limit
	running [][]stream // by entry
	engines int
	random  *rand.Rand
	now     burdockclock.Millis
	late    int
	whole   int
}

type stream struct {
	engine, left int
	late         bool
}

func newModel(entries int) *model {
	m := &model{engines: testEngines, random: rand.New(rand.NewPCG(1, 2)), running: make([][]stream, entries)}
	for range entries {
		m.limits = append(m.limits, New(Config{}, testEngine, testEngines, testPause))
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

// at returns how many streams an engine runs, in all and of one entry.
func (m *model) at(engine, entry int) (all, own int) {
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

// pass runs one pass; wanted is how many more streams each entry would start.
func (m *model) pass(factor float64, wanted func(entry int) int) {
	took := burdockclock.Millis(factor * testEngine.pass(float64(m.total())/float64(m.engines)))
	m.now += took
	for e := range m.running {
		m.advance(e, took)
		for range wanted(e) {
			if len(m.running[e]) >= m.limits[e].MaxStreams(m.now, len(m.running[e])) {
				break
			}
			s := stream{engine: m.random.IntN(m.engines), left: testEvents}
			m.running[e] = append(m.running[e], s)
			all, own := m.at(s.engine, e)
			m.limits[e].Report(m.now, burdockid.Upstream(fmt.Sprint(s.engine)), all, own)
		}
	}
}

func (m *model) advance(e int, took burdockclock.Millis) {
	var left []stream
	for _, s := range m.running[e] {
		m.limits[e].ObserveEventGap(m.now, took)
		s.late = s.late || took > testPause
		if s.left--; s.left > 0 {
			left = append(left, s)
			continue
		}
		m.whole++
		if s.late {
			m.late++
		}
	}
	m.running[e] = left
}

// Far more streams are asked for than fit, at five entries of which one gets
// half of all. Callers see pauses that they accept, and hardly a place is left
// unused, however uneven the entries' traffic is.
func TestSaturationKeepsPausesShort(t *testing.T) {
	m := newModel(5)
	for m.now < 20*burdockclock.Second {
		m.pass(1.4, func(entry int) int {
			if entry == 0 {
				return 20
			}
			return 5
		})
	}
	if got, most := float64(m.late)/float64(m.whole), 0.05; got > most {
		t.Errorf("late streams: got a share of %.2f of %d, want %.2f at most", got, m.whole, most)
	}
	if got, least := m.total(), 100; got < least {
		t.Errorf("running streams: got %d, want %d at least", got, least)
	}
	if got, most := m.total(), testEngines*testEngine.Slots; got > most {
		t.Errorf("running streams: got %d, want %d at most", got, most)
	}
}

// Many more streams are asked for than fit, at any number of entries that don't
// talk to each other. If each took up a fixed part of what is left, fifty of them
// would start many times what fits before the first reports show it.
func TestSaturationAtAnyNumberOfEntries(t *testing.T) {
	for _, entries := range []int{1, 5, 53, 350} {
		m := newModel(entries)
		m.engines = 192
		for e := range m.limits {
			m.limits[e] = New(Config{}, testEngine, m.engines, testPause)
		}
		most := 0
		for m.now < 12*burdockclock.Second {
			m.pass(1.4, func(entry int) int {
				if entry%2 == 0 {
					return 2 + 400/entries
				}
				return 1 + 100/entries
			})
			most = max(most, m.total())
		}
		fits := int(m.limits[0].fitting() * float64(m.engines))
		if got := m.total(); got > fits*11/10+entries/2 {
			t.Errorf("%d entries: got %d running streams, want a tenth more than the %d that fit at most", entries, got, fits)
		}
		if got, least := m.total(), fits*8/10; got < least {
			t.Errorf("%d entries: got %d running streams, want %d at least", entries, got, least)
		}
		t.Logf("%d entries: %d run, %d at most, %d fit", entries, m.total(), most, fits)
	}
}

// The experts in demand turn every three seconds, and for a second passes are
// twice as long. The bound must not follow each turn: it would be low while
// passes are short again. Callers get as many whole answers as the passes allow.
func TestTurnsDoNotSwingTheBound(t *testing.T) {
	m := newModel(5)
	least, most := float64(testEngine.Slots), 0.0
	for m.now < 30*burdockclock.Second {
		factor := 1.3
		if m.now%(3*burdockclock.Second) < burdockclock.Second {
			factor = 2.6
		}
		m.pass(factor, func(int) int { return 10 })
		if m.now > 10*burdockclock.Second {
			least, most = min(least, m.limits[0].fitting()), max(most, m.limits[0].fitting())
		}
	}
	if least < 0.75*most {
		t.Errorf("requests for each engine: got a bound between %.1f and %.1f, want within a factor of 0.75", least, most)
	}
	if got, want := m.whole, 1000; got < want {
		t.Errorf("whole answers in 30 s: got %d, want %d at least", got, want)
	}
}

// Engines are so slow that not even a few streams would have pauses that callers
// accept. Late answers are better than none: as many run as the engines take.
func TestHopelessPauses(t *testing.T) {
	l := New(Config{}, testEngine, testEngines, testPause)
	for now := burdockclock.Millis(0); now < 20*burdockclock.Second; now += 400 {
		l.MaxStreams(now, 16)
		l.ObserveEventGap(now, 400)
	}
	if got, want := l.fitting(), float64(testEngine.Slots); got != want {
		t.Errorf("requests for each engine: got %.1f, want %.1f", got, want)
	}
}

// An entry has no stream left while others filled the engines, so it hears of
// none. It must not believe for ever that they are full.
func TestSilentEntryStartsAgain(t *testing.T) {
	l := New(Config{}, testEngine, testEngines, testPause)
	for e := range testEngines {
		l.Report(0, burdockid.Upstream(fmt.Sprint(e)), 12, 0)
	}
	if got, want := l.MaxStreams(1, 0), 1; got != want {
		t.Errorf("while the engines are full: got %d streams, want %d", got, want)
	}
	if got, least := l.MaxStreams(3*burdockclock.Second, 0), 10; got < least {
		t.Errorf("three seconds later: got %d streams, want %d at least", got, least)
	}
}

// Guards against an entry that takes itself for nearly the only one, as when the first
// report after a start of all shows its own request alone, and fills the engines many
// times over.
func TestBoundIsNeverMoreThanFits(t *testing.T) {
	l := New(Config{}, testEngine, testEngines, testPause)
	l.MaxStreams(0, 1)
	l.Report(1, "0", 1, 1)
	got := l.MaxStreams(2, 1)
	if most := int(l.State(2).MaxPerEngine*float64(testEngines)) + 1; got > most {
		t.Errorf("after one report: got %d streams, want %d at most", got, most)
	}
}
