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

// completed returns a completed request whose typical duration is multiplied by slow, with
// the variation that a healthy upstream shows.
func completed(rnd *rand.Rand, slow float64) Completed {
	cost := 100 + rnd.IntN(400)
	duration := 40 * float64(cost) * slow * math.Exp2(0.25*rnd.NormFloat64())
	return Completed{Duration: burdockclock.Millis(duration), Cost: burdockid.Tokens(cost)}
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

// One upstream of 16 takes four times as long as its peers, and its callers wait. It has
// to be ejected within some tens of its own responses, and no healthy upstream may stay
// at a reduced weight.
func TestSlowUpstreamIsEjected(t *testing.T) {
	tracker := testTracker(16, 1)
	rnd := rand.New(rand.NewPCG(1, 2))
	all := upstreams(16)
	ejectedAfter := 0
	for i := range 4000 {
		now := burdockclock.Millis(i * 100)
		u := all[rnd.IntN(len(all))]
		slow := 1.0
		if u == all[3] {
			slow = 4
		}
		tracker.Observe(now, u, completed(rnd, slow))
		if ejectedAfter == 0 && tracker.Weight(all[3]) == 0 {
			ejectedAfter = i
		}
	}
	if ejectedAfter == 0 || ejectedAfter > 800 {
		t.Errorf("slow upstream ejected after %d responses of all upstreams, want within 800", ejectedAfter)
	}
	for _, u := range all {
		if got := tracker.Weight(u); u != all[3] && got != 1 {
			t.Errorf("weight of healthy %s = %v, want 1", u, got)
		}
	}
}

// An entry with 18 responses a second from 3,800 upstreams sees each upstream once in
// three and a half minutes. Its own samples of a slow upstream are too few; the mean that
// the upstream's agent reports with each response has to be enough.
func TestReportedMeanMakesUpForFewSamples(t *testing.T) {
	tracker := testTracker(3800, 2)
	rnd := rand.New(rand.NewPCG(2, 2))
	all := upstreams(3800)
	for i := range 2000 {
		tracker.Observe(burdockclock.Millis(i*55), all[1+rnd.IntN(len(all)-1)], completed(rnd, 1))
	}
	responses := 0
	for ; tracker.Weight(all[0]) > 0 && responses < 50; responses++ {
		o := completed(rnd, 4)
		o.Samples = 30
		tracker.Observe(burdockclock.Millis(responses)*211*burdockclock.Second+burdockclock.Minute*2, all[0], o)
	}
	if got, want := responses, 4; got > want {
		t.Errorf("responses until ejected = %d, want at most %d", got, want)
	}
}

// One data centre of three fails, or two regions of three are cut off, and every offer
// there fails. Those upstreams have to be ejected; the others keep their full weight.
func TestDataCentreFailure(t *testing.T) {
	for _, n := range []int{5, 11} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { testDataCentreFailure(t, n) })
	}
}

func testDataCentreFailure(t *testing.T, n int) {
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
		tracker.Observe(burdockclock.Millis(i*100), u, completed(rnd, 1))
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

// This entry's own network fails, so all upstreams seem to fail. If all were ejected, the
// entry would have no upstream to use when its network recovers. The cap keeps some in
// use, and probes bring back the rest.
func TestFailureCapHoldsWhenAllFail(t *testing.T) {
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
			tracker.Observe(now, u, completed(rnd, 1))
		}
		if u := all[i%16]; tracker.Weight(u) > 0 {
			tracker.Observe(now, u, completed(rnd, 1))
		}
	}
	if got, want := weight(), 16.0; got != want {
		t.Errorf("weight after the network recovered = %v, want %v", got, want)
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

// An upstream accepts every request and cuts every response. It has to be ejected
// although it is reachable.
func TestUpstreamThatCutsResponsesIsEjected(t *testing.T) {
	tracker := testTracker(16, 8)
	cut := 0
	for ; tracker.Weight("replica-0001") > 0 && cut < 100; cut++ {
		tracker.Observe(0, "replica-0001", ResponseStarted{})
		tracker.Observe(0, "replica-0001", Failed{})
	}
	if got, want := cut, 10; got > want {
		t.Errorf("cut responses until ejected = %d, want at most %d", got, want)
	}
}

// An upstream passes every probe, but is four times slower than its peers under load.
// Each return costs callers slow responses, so its returns have to become rare.
func TestSlowUnderLoadReturnsLessAndLessOften(t *testing.T) {
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
		tracker.Observe(now, all[1+rnd.IntN(15)], completed(rnd, 1))
		if tracker.Weight(all[0]) > 0 {
			tracker.Observe(now, all[0], completed(rnd, 4))
		}
	}
	if returns < 1 || returns > 20 {
		t.Errorf("returns in ten minutes = %d, want 1 to 20", returns)
	}
}

// A data centre of 380 upstreams is ejected for an hour. The entry has 18 requests a
// second, and each probe costs a caller a detour. The probe interval has to hold however
// many probes are due.
func TestMinProbeIntervalHolds(t *testing.T) {
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
	if got, want := probes, int(burdockclock.Minute/defaultMinProbeInterval)+probeBurst; got > want {
		t.Errorf("probes in a minute = %d, want at most %d", got, want)
	}
}

func TestLeavingUpstreamGetsNoRequestsOrProbes(t *testing.T) {
	tracker := testTracker(2, 6)
	if change, ok := tracker.MarkLeaving(0, "replica-0000"); !ok || change.Weight != 0 {
		t.Errorf("Leave = %+v, %t; want weight 0", change, ok)
	}
	rnd := rand.New(rand.NewPCG(6, 2))
	for now := burdockclock.Millis(0); now < burdockclock.Hour; now += burdockclock.Second {
		tracker.Observe(now, "replica-0000", completed(rnd, 1))
		if u, ok := tracker.NextProbe(now); ok {
			t.Fatalf("Probe = %s, want none", u)
		}
	}
	if got := tracker.Weight("replica-0000"); got != 0 {
		t.Errorf("Weight = %v, want 0", got)
	}
}

// For any order of observations, probes, leaving and restarts, the caps hold, the sums
// match the records, and each ejected upstream has a scheduled probe.
func TestInvariantsHoldInAnyOrder(t *testing.T) {
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
			"":       func(t *rapid.T) { checkSums(t, tracker) },
		})
	})
}

func checkSums(t *rapid.T, tracker *Tracker) {
	slow, failing := 0.0, 0.0
	for _, r := range tracker.records {
		tracker.checkInvariants(r)
		if r.cause == CauseSlow {
			slow += r.removed()
		} else {
			failing += r.removed()
		}
	}
	if slow != tracker.removedSlow || failing != tracker.removedFailing {
		t.Fatalf("removed weight = %v slow and %v failing, want %v and %v", tracker.removedSlow, tracker.removedFailing, slow, failing)
	}
	if got, want := slow+failing, tracker.maxRemoved(tracker.cfg.FailureCap); got > want {
		t.Fatalf("removed weight = %v, want at most %v", got, want)
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
				tracker.Observe(now, all[i%n], completed(rnd, 1))
			}
		})
	}
}
