package burdockplace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// The load of hardload.md: 64 members with 10 slots run 9.3 streams each, and 16 entries
// start 200 streams a second and learn of each other's starts and ends late.
const (
	compareMembers = 64
	compareSlots   = 10
	compareEntries = 16
	compareLag     = 100 * burdockclock.Millis(1)
	compareStep    = 5 * burdockclock.Millis(1) // between two starts
	compareLength  = 2976 * burdockclock.Millis(1)
	compareWarmUp  = 10 * burdockclock.Second
	compareEnd     = 60 * burdockclock.Second
)

// compareSim plays the load and counts the starts at each member.
type compareSim struct {
	placers []*Placer
	names   []burdockid.Upstream
	running [compareMembers]int                 // now
	own     [compareEntries][compareMembers]int // by the entry that started them
	known   [compareMembers]int                 // as of compareLag ago
	knownBy [compareEntries][compareMembers]int // of those, by entry
	events  map[burdockclock.Millis][]compareEvent
	starts  [compareMembers]int
	full    int // starts at a member without a free slot
	total   int
}

// compareEvent is an end of a stream, or the news of a start or an end.
type compareEvent struct {
	entry, member, change int
	news                  bool
}

func newCompareSim(weight0 float64) *compareSim {
	s := &compareSim{events: make(map[burdockclock.Millis][]compareEvent)}
	members := testMembers(compareMembers)
	for i := range members {
		members[i].DataCentre = ""
		s.names = append(s.names, members[i].Upstream)
	}
	members[0].Weight = weight0
	for i := range compareEntries {
		p := New(Config{}, rand.New(rand.NewPCG(uint64(i), 20)))
		p.SetMembers(0, members)
		s.placers = append(s.placers, p)
		for member := range members {
			s.report(0, i, member)
		}
	}
	return s
}

func (s *compareSim) run(compare int) {
	random := rand.New(rand.NewPCG(1, 21))
	for now := burdockclock.Millis(0); now < compareEnd; now++ {
		for _, e := range s.events[now] {
			s.apply(now, e)
		}
		delete(s.events, now)
		if now%compareStep != 0 {
			continue
		}
		entry := random.IntN(compareEntries)
		choice, _ := s.placers[entry].Choose(now, Request{Compare: compare})
		member := slices.Index(s.names, choice.Upstream)
		if now >= compareWarmUp {
			s.total++
			s.starts[member]++
			if s.running[member] >= compareSlots {
				s.full++
			}
		}
		s.change(now, entry, member, 1)
		length := compareLength/2 + burdockclock.Millis(random.Int64N(int64(compareLength)))
		s.events[now+length] = append(s.events[now+length], compareEvent{entry: entry, member: member, change: -1})
	}
}

func (s *compareSim) apply(now burdockclock.Millis, e compareEvent) {
	if !e.news {
		s.change(now, e.entry, e.member, e.change)
		return
	}
	s.known[e.member] += e.change
	s.knownBy[e.entry][e.member] += e.change
	for i := range s.placers {
		s.report(now, i, e.member)
	}
}

func (s *compareSim) change(now burdockclock.Millis, entry, member, change int) {
	s.running[member] += change
	s.own[entry][member] += change
	s.report(now, entry, member)
	s.events[now+compareLag] = append(s.events[now+compareLag], compareEvent{entry: entry, member: member, change: change, news: true})
}

// report tells an entry what the others run as of compareLag ago and what it runs now.
func (s *compareSim) report(now burdockclock.Millis, entry, member int) {
	running := s.known[member] - s.knownBy[entry][member] + s.own[entry][member]
	s.placers[entry].Report(now, s.names[member], Report{Running: running, Slots: compareSlots})
}

// With two random candidates a quarter of the streams begin at a full engine while other
// engines have free slots, and their first events are late.
func TestCompareAvoidsFullMembers(t *testing.T) {
	share := func(compare int) float64 {
		s := newCompareSim(1)
		s.run(compare)
		t.Logf("compare %d: %d of %d streams began at a full member", compare, s.full, s.total)
		return float64(s.full) / float64(s.total)
	}
	two, few, many := share(0), share(6), share(12)
	if few > 0.65*two {
		t.Errorf("with 6 compared %.3f of the streams began at a full member, want at most 0.65 of %.3f", few, two)
	}
	// Entries that compare more agree more often on the same member within the lag.
	if many > 0.8*two {
		t.Errorf("with 12 compared %.3f of the streams began at a full member, want at most 0.8 of %.3f", many, two)
	}
}

// A member that returns from ejection with a reduced weight is the least loaded of any
// sample. Comparison by load alone would give it a full share at once.
func TestCompareKeepsShareOfReducedWeight(t *testing.T) {
	for _, weight := range []float64{0.1, 0.3, 0.6} {
		s := newCompareSim(weight)
		s.run(12)
		got := float64(s.starts[0]) / (float64(s.total) / compareMembers)
		t.Logf("weight %g: share %.2f", weight, got)
		// One stream more than the share is a tenth of a member's slots.
		if got < weight/2 || got > weight+0.12 {
			t.Errorf("share at weight %g = %.2f, want %.2f to %.2f", weight, got, weight/2, weight+0.12)
		}
	}
}

// The more candidates a choice has, the more often an excluded or ejected one is drawn.
func TestCompareLeavesOutExcluded(t *testing.T) {
	p := testPlacer(16, 22)
	for i := range 16 {
		p.Report(0, burdockid.Upstream(fmt.Sprintf("replica-%04d", i)), Report{Running: i, Slots: 16})
	}
	p.SetWeight("replica-0000", 0)
	exclude := func(u burdockid.Upstream) bool { return u == "replica-0001" }
	for range 1000 {
		choice, ok := p.Choose(0, Request{Compare: 99, Exclude: exclude})
		if !ok || choice.Upstream == "replica-0000" || choice.Upstream == "replica-0001" {
			t.Fatalf("Choose = %q, %t; want one that is neither ejected nor excluded", choice.Upstream, ok)
		}
	}
}

// Equal loads must not send the requests of all entries to the same member.
func TestCompareBreaksTiesAtRandom(t *testing.T) {
	p := testPlacer(64, 23)
	counts := make(map[burdockid.Upstream]int)
	for range 6400 {
		choice, _ := p.Choose(0, Request{Compare: 12, DataCentre: "hall-0"})
		counts[choice.Upstream]++
	}
	// A third of the members are in the same data centre, which the penalty prefers.
	for i := range 22 {
		u := burdockid.Upstream(fmt.Sprintf("replica-%04d", 3*i))
		if got := counts[u]; got < 200 || got > 400 {
			t.Errorf("%s chosen %d times of 6400, want 200 to 400", u, got)
		}
	}
}
