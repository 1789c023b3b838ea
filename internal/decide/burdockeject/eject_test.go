package burdockeject

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

func upstreams(n int) []burdockid.Upstream {
	list := make([]burdockid.Upstream, n)
	for i := range list {
		list[i] = burdockid.Upstream(fmt.Sprintf("replica-%04d", i))
	}
	return list
}

func testTracker(n int, seed uint64) *Tracker {
	t := New(Config{}, rand.New(rand.NewPCG(seed, 1)))
	t.SetMembers(0, upstreams(n))
	return t
}

// answer is one answer of usual length, stretched by slow, with the variation
// of lengths that a healthy upstream shows.
func answer(rnd *rand.Rand, slow float64) Completed {
	work := 100 + rnd.IntN(400)
	took := 40 * float64(work) * slow * math.Exp2(0.25*rnd.NormFloat64())
	return Completed{Duration: burdockclock.Millis(took), Cost: burdockid.Tokens(work)}
}

func ExampleTracker() {
	t := New(Config{}, rand.New(rand.NewPCG(1, 1)))
	t.SetMembers(0, []burdockid.Upstream{"a", "b", "c", "d"})
	for range 6 {
		if change, ok := t.Observe(0, "a", Failed{}); ok {
			fmt.Println(change.Level, change.Weight, change.Cause)
		}
	}
	// Output:
	// half 0.5 failing
	// quarter 0.25 failing
}

// One upstream of 16 takes four times as long as its peers. Callers placed
// there wait; it must lose its work within some tens of its own answers, and
// none of the healthy ones may lose any for long.
func TestSlowUpstreamLosesItsWork(t *testing.T) {
	tracker := testTracker(16, 1)
	rnd := rand.New(rand.NewPCG(1, 2))
	all := upstreams(16)
	out := 0
	for i := range 4000 {
		now := burdockclock.Millis(i * 100)
		u := all[rnd.IntN(len(all))]
		slow := 1.0
		if u == all[3] {
			slow = 4
		}
		tracker.Observe(now, u, answer(rnd, slow))
		if out == 0 && tracker.Weight(all[3]) == 0 {
			out = i
		}
	}
	if out == 0 || out > 800 {
		t.Errorf("slow upstream out after %d answers of all, want within 800", out)
	}
	for _, u := range all {
		if got := tracker.Weight(u); u != all[3] && got != 1 {
			t.Errorf("weight of healthy %s = %v, want 1", u, got)
		}
	}
}

// An entry sees 18 answers a second of 3,800 upstreams, so each upstream once
// in three and a half minutes. One is slow. Its own answers are too few; the
// mean that its agent reports with each answer must do.
func TestFewSamplesSufficeWithTheAgentsOwnMean(t *testing.T) {
	tracker := testTracker(3800, 2)
	rnd := rand.New(rand.NewPCG(2, 2))
	all := upstreams(3800)
	for i := range 2000 {
		tracker.Observe(burdockclock.Millis(i*55), all[1+rnd.IntN(len(all)-1)], answer(rnd, 1))
	}
	seen := 0
	for ; tracker.Weight(all[0]) > 0 && seen < 50; seen++ {
		o := answer(rnd, 4)
		o.Samples = 30
		tracker.Observe(burdockclock.Millis(seen)*211*burdockclock.Second+burdockclock.Minute*2, all[0], o)
	}
	if got, want := seen, 4; got > want {
		t.Errorf("answers until out = %d, want at most %d", got, want)
	}
}

// One data centre of three is lost at once, or two regions of three are cut
// off: every offer there fails. Those upstreams must lose their work. The rest
// answers on and keeps its own.
func TestDataCentresLost(t *testing.T) {
	for _, n := range []int{5, 11} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { testLost(t, n) })
	}
}

func testLost(t *testing.T, n int) {
	tracker := testTracker(16, 3)
	rnd := rand.New(rand.NewPCG(3, 2))
	all := upstreams(16)
	lost := func(u burdockid.Upstream) bool { return u < all[n] }
	for i := range 1000 {
		u := all[rnd.IntN(len(all))]
		if lost(u) {
			tracker.Observe(burdockclock.Millis(i*100), u, ConnectFailed{})
			continue
		}
		tracker.Observe(burdockclock.Millis(i*100), u, answer(rnd, 1))
	}
	for _, u := range all {
		want := 1.0
		if lost(u) {
			want = 0
		}
		if got := tracker.Weight(u); got != want {
			t.Errorf("weight of %s = %v, want %v", u, got, want)
		}
	}
}

// This entry's own network fails, so that all upstreams seem to. Were all
// ejected, the entry would have nowhere to send its work when its network
// comes back; the cap leaves it some, and probes bring back the rest.
func TestCapHoldsWhenAllFail(t *testing.T) {
	tracker := testTracker(16, 4)
	all := upstreams(16)
	for i := range 2000 {
		tracker.Observe(burdockclock.Millis(i), all[i%16], Failed{})
	}
	weight := func() float64 {
		sum := 0.0
		for _, u := range all {
			sum += tracker.Weight(u)
		}
		return sum
	}
	if got, want := weight(), 16*(1-defaultFailureCap); got < want {
		t.Errorf("weight left = %v, want at least %v", got, want)
	}
	rnd := rand.New(rand.NewPCG(4, 2))
	for i := range 6000 {
		now := burdockclock.Minute + burdockclock.Millis(i*100)
		if u, ok := tracker.NextProbe(now); ok {
			tracker.Observe(now, u, answer(rnd, 1))
		}
		if u := all[i%16]; tracker.Weight(u) > 0 {
			tracker.Observe(now, u, answer(rnd, 1))
		}
	}
	if got, want := weight(), 16.0; got != want {
		t.Errorf("weight after all came back = %v, want %v", got, want)
	}
}

func TestProbesBackOff(t *testing.T) {
	tracker := testTracker(16, 5)
	for range 20 {
		tracker.Observe(0, "replica-0001", Failed{})
	}
	probes := 0
	for now := burdockclock.Millis(0); now < 10*burdockclock.Minute; now += 100 {
		if u, ok := tracker.NextProbe(now); ok {
			tracker.Observe(now, u, Failed{})
			probes++
		}
	}
	if probes < 8 || probes > 22 {
		t.Errorf("probes in ten minutes = %d, want between 8 and 22", probes)
	}
}

// An upstream takes every request and cuts every answer. Each caller loses an
// answer there; that the upstream can be reached must not keep it in use.
func TestUpstreamThatCutsAnswersFalls(t *testing.T) {
	tracker := testTracker(16, 8)
	cut := 0
	for ; tracker.Weight("replica-0001") > 0 && cut < 100; cut++ {
		tracker.Observe(0, "replica-0001", ResponseStarted{})
		tracker.Observe(0, "replica-0001", Failed{})
	}
	if got, want := cut, 10; got > want {
		t.Errorf("answers cut until out = %d, want at most %d", got, want)
	}
}

// An upstream answers every probe and then works at a quarter of the pace. Each
// return costs callers slow answers, so returns must become rare.
func TestSlowUnderLoadReturnsMoreAndMoreSeldom(t *testing.T) {
	tracker := testTracker(16, 10)
	rnd := rand.New(rand.NewPCG(10, 2))
	all := upstreams(16)
	returns := 0
	for now := burdockclock.Millis(0); now < 10*burdockclock.Minute; now += 50 {
		if u, ok := tracker.NextProbe(now); ok {
			if _, back := tracker.Observe(now, u, ProbeSucceeded{}); back {
				returns++
			}
		}
		tracker.Observe(now, all[1+rnd.IntN(15)], answer(rnd, 1))
		if tracker.Weight(all[0]) > 0 {
			tracker.Observe(now, all[0], answer(rnd, 4))
		}
	}
	if returns < 1 || returns > 20 {
		t.Errorf("returns in ten minutes = %d, want 1 to 20", returns)
	}
}

// A data centre of 380 upstreams is gone for an hour, and all are ejected. The
// entry has 18 requests a second; each probe costs a caller a detour. Probes
// must take no more than their gap allows, however many are due.
func TestProbesKeepTheirGap(t *testing.T) {
	tracker := testTracker(3800, 9)
	for _, u := range upstreams(380) {
		for range 10 {
			tracker.Observe(0, u, ConnectFailed{})
		}
	}
	probes := 0
	for now := burdockclock.Millis(0); now < burdockclock.Minute; now += 55 {
		if u, ok := tracker.NextProbe(now); ok {
			tracker.Observe(now, u, ConnectFailed{})
			probes++
		}
	}
	if got, want := probes, 100; got < want {
		t.Errorf("probes in a minute = %d, want at least %d of the 380 that are due", got, want)
	}
	if got, want := probes, int(burdockclock.Minute/defaultProbeGap)+probeBurst; got > want {
		t.Errorf("probes in a minute = %d, want at most %d", got, want)
	}
}

func TestLeavingGetsNothingAndIsNotProbed(t *testing.T) {
	tracker := testTracker(2, 6)
	if change, ok := tracker.MarkLeaving(0, "replica-0000"); !ok || change.Weight != 0 {
		t.Errorf("Leave = %+v, %t; want weight 0", change, ok)
	}
	rnd := rand.New(rand.NewPCG(6, 2))
	for now := burdockclock.Millis(0); now < burdockclock.Hour; now += burdockclock.Second {
		tracker.Observe(now, "replica-0000", answer(rnd, 1))
		if u, ok := tracker.NextProbe(now); ok {
			t.Fatalf("Probe = %s, want none", u)
		}
	}
	if got := tracker.Weight("replica-0000"); got != 0 {
		t.Errorf("Weight = %v, want 0", got)
	}
}

// Any order of answers, failures, probes, leaving and returning: the caps hold,
// the sums match the records, and each ejected upstream has its next probe.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "members")
		all := upstreams(n)
		tracker := testTracker(n, rapid.Uint64().Draw(t, "seed"))
		now := burdockclock.Second
		any := func(t *rapid.T) burdockid.Upstream { return rapid.SampledFrom(all).Draw(t, "upstream") }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { now += burdockclock.Millis(rapid.IntRange(0, 60_000).Draw(t, "ms")) },
			"answer": func(t *rapid.T) {
				took := burdockclock.Millis(rapid.IntRange(100, 20_000).Draw(t, "took"))
				tracker.Observe(now, any(t), Completed{Duration: took, Cost: 100})
			},
			"fail":   func(t *rapid.T) { tracker.Observe(now, any(t), Failed{}) },
			"miss":   func(t *rapid.T) { tracker.Observe(now, any(t), ConnectFailed{}) },
			"begin":  func(t *rapid.T) { tracker.Observe(now, any(t), ResponseStarted{}) },
			"reach":  func(t *rapid.T) { tracker.Observe(now, any(t), ProbeSucceeded{}) },
			"leave":  func(t *rapid.T) { tracker.MarkLeaving(now, any(t)) },
			"return": func(t *rapid.T) { tracker.Reset(now, any(t)) },
			"probe":  func(*rapid.T) { tracker.NextProbe(now) },
			"":       func(t *rapid.T) { checkTracker(t, tracker) },
		})
	})
}

func checkTracker(t *rapid.T, tracker *Tracker) {
	slow, failing := 0.0, 0.0
	for _, r := range tracker.records {
		tracker.verify(r)
		if r.cause == CauseSlow {
			slow += r.lost()
		} else {
			failing += r.lost()
		}
	}
	if slow != tracker.lostSlow || failing != tracker.lostFailing {
		t.Fatalf("lost = %v and %v, want %v and %v", tracker.lostSlow, tracker.lostFailing, slow, failing)
	}
	if got, want := slow+failing, tracker.most(tracker.cfg.FailureCap); got > want {
		t.Fatalf("lost = %v, want at most %v", got, want)
	}
}

func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{16, 3800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tracker := testTracker(n, 7)
			rnd := rand.New(rand.NewPCG(7, 2))
			all := upstreams(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := burdockclock.Millis(i)
				tracker.NextProbe(now)
				tracker.Observe(now, all[i%n], answer(rnd, 1))
			}
		})
	}
}
