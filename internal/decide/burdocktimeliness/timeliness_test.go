package burdocktimeliness

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

const testBudget burdockclock.Millis = 4000

// observe passes n budgets of which a share are retries. It returns how many first
// attempts were taken for retries and how many retries were found.
func observe(tr *Tracker, rnd *rand.Rand, n int, usual burdockclock.Millis, share float64) (wrong, found, retries int) {
	for range n {
		isRetry := rnd.Float64() < share
		budget := burdockclock.Millis(float64(usual) * (0.85 + 0.3*rnd.Float64()))
		if isRetry {
			retries++
			budget = burdockclock.Millis(float64(usual) * (0.1 + 0.6*rnd.Float64()))
		}
		tr.ObserveBudget("r", budget)
		switch got := tr.IsRetry("r", budget); {
		case got && isRetry:
			found++
		case got:
			wrong++
		}
	}
	return wrong, found, retries
}

// Most requests are retries during overload. If the usual budget falls with them, retries
// are taken for first attempts and start before requests that could be in time.
func TestRetriesAreFoundAmongMoreRetries(t *testing.T) {
	for _, share := range []float64{0, 0.3, 0.67} {
		tr := New(Config{})
		rnd := rand.New(rand.NewPCG(1, 2))
		observe(tr, rnd, 64, testBudget, 0)
		const n = 5000
		wrong, found, retries := observe(tr, rnd, n, testBudget, share)
		if wrong > n/50 {
			t.Errorf("share %.2f: got %d of %d first attempts taken for retries, want at most %d", share, wrong, n-retries, n/50)
		}
		if found < retries*95/100 {
			t.Errorf("share %.2f: found %d of %d retries, want at least 95 in 100", share, found, retries)
		}
	}
}

// Callers are replaced by ones that wait half as long. They must not count as retries for
// longer than it takes to see some of them.
func TestChangedBudgetIsLearned(t *testing.T) {
	tr := New(Config{})
	rnd := rand.New(rand.NewPCG(1, 2))
	observe(tr, rnd, 200, testBudget, 0)
	observe(tr, rnd, budgetSamples, testBudget/2, 0)
	if wrong, _, _ := observe(tr, rnd, 200, testBudget/2, 0); wrong > 0 {
		t.Errorf("got %d of 200 first attempts taken for retries, want none", wrong)
	}
}

// Guards against retries, and requests past their objective, that start before those that
// can still be in time.
func TestRank(t *testing.T) {
	tr := New(Config{InitialFirstEvent: 100})
	for range 64 {
		tr.ObserveBudget("r", testBudget)
	}
	tests := []struct {
		name string
		now  burdockclock.Millis
		req  Request
		want Rank
	}{
		{"first attempt", 10000, Request{Route: "r", Arrived: 10000, Budget: 3400, Objective: 1000}, Rank{LateAt: 10900}},
		{"has waited", 10900, Request{Route: "r", Arrived: 10000, Budget: 4000, Objective: 1000}, Rank{Late, ReasonObjective, 10900}},
		{"retry", 10000, Request{Route: "r", Arrived: 10000, Budget: 3000, Objective: 2000}, Rank{Late, ReasonRetry, 10900}},
		{"no budget", 10000, Request{Route: "r", Arrived: 10000, Objective: 1000}, Rank{LateAt: 10900}},
		{"negative budget", 10000, Request{Route: "r", Arrived: 10000, Budget: -1, Objective: 1000}, Rank{LateAt: 10900}},
		{"unknown route", 10000, Request{Route: "s", Arrived: 10000, Budget: 10, Objective: 1000}, Rank{LateAt: 10900}},
		{"no objective", 10000, Request{Route: "r", Arrived: 10000, Budget: 10}, Rank{}},
	}
	for _, test := range tests {
		if got := tr.Rank(test.now, test.req); got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}

// A retry with 0.8 of the usual budget left counts as a first attempt and takes the place of
// one, so callers are asked to wait until theirs is known.
func TestRetryFrom(t *testing.T) {
	tr := New(Config{})
	if got, want := tr.RetryFrom(Request{Route: "r", Arrived: 10000, Budget: testBudget}), burdockclock.Millis(10000); got != want {
		t.Errorf("without a usual budget: got %d, want %d", got, want)
	}
	for range 64 {
		tr.ObserveBudget("r", testBudget)
	}
	for _, test := range []struct{ budget, want burdockclock.Millis }{{4000, 10961}, {4600, 11561}, {3000, 10000}, {0, 10000}} {
		req := Request{Route: "r", Arrived: 10000, Budget: test.budget}
		if got := tr.RetryFrom(req); got != test.want {
			t.Errorf("budget %d: got %d, want %d", test.budget, got, test.want)
		}
		if left := test.budget - (test.want - 10000); left > 0 && !tr.IsRetry("r", left) {
			t.Errorf("budget %d: a retry with %d ms left isn't known", test.budget, left)
		}
	}
}

// With the mean time to a first event, half of the streams that start at the last moment
// are late. A single slow stream must not make all others late either.
func TestFirstEventIsAHighPercentile(t *testing.T) {
	tr := New(Config{})
	for i := range burdockclock.Millis(firstEventSamples) {
		tr.ObserveFirstEvent(10 * (i + 1))
	}
	if got, want := tr.FirstEvent(), burdockclock.Millis(290); got != want {
		t.Errorf("first event: got %d ms, want %d", got, want)
	}
	for range firstEventSamples - 1 {
		tr.ObserveFirstEvent(50)
	}
	tr.ObserveFirstEvent(9000)
	if got, want := tr.FirstEvent(), burdockclock.Millis(50); got != want {
		t.Errorf("first event after one slow stream: got %d ms, want %d", got, want)
	}
}

// A burst must be served in order of arrival, and a backlog that stands newest first, until
// the oldest request that waits is a young one.
func TestBacklog(t *testing.T) {
	var b Backlog
	const objective = 1000
	for _, s := range []struct {
		now, wait burdockclock.Millis
		want      bool
	}{
		{0, 0, false}, {100, 300, false}, {250, 400, false}, {280, 100, false},
		{300, 250, false}, {499, 400, false}, {500, 400, true}, {600, 900, true}, {700, 249, false}, {750, 260, false},
	} {
		if got := b.Observe(s.now, s.wait, objective); got != s.want {
			t.Errorf("at %d, oldest wait %d: got %v, want %v", s.now, s.wait, got, s.want)
		}
	}
}

// Configurations with other routes follow each other, and the memory must stay bounded.
func TestRoutesAreBounded(t *testing.T) {
	tr := New(Config{})
	for i := range 10 * maxRoutes {
		tr.ObserveBudget(fmt.Sprint(i), 1000)
	}
	if got := len(tr.routes); got > maxRoutes {
		t.Errorf("routes: got %d, want at most %d", got, maxRoutes)
	}
}

// One decision, with the budget and a first event observed: the gate makes it with its
// lock held.
func BenchmarkRank(b *testing.B) {
	tr := New(Config{})
	for b.Loop() {
		tr.ObserveBudget("r", testBudget)
		tr.ObserveFirstEvent(100)
		tr.Rank(0, Request{Route: "r", Budget: testBudget, Objective: 1000})
	}
}
