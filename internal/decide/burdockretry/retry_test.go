package burdockretry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

func testBudget(seed uint64) *Budget {
	return New(Config{}, rand.New(rand.NewPCG(seed, 1)))
}

func ExampleBudget_Decide() {
	b := New(Config{}, rand.New(rand.NewPCG(1, 1)))
	attempt := Attempt{Outcome: Failed{}, Offers: 1}
	switch d := b.Decide(0, attempt).(type) {
	case Retry:
		fmt.Println("offer it again")
	case GiveUp:
		fmt.Println("answer now:", d.Reason)
	}
	// Output: answer now: unknownOutcome
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		attempt Attempt
		want    Reason // empty: retry
	}{
		{"refused once", Attempt{Outcome: Refused{}, Offers: 1}, ""},
		{"refused, no time left", Attempt{Outcome: Refused{}, Offers: 1, Deadline: 1100, MinResponseTime: 200}, ReasonDeadline},
		{"refused, offered often", Attempt{Outcome: Refused{}, Offers: 4}, ReasonMaxOffers},
		{"over the load bound is not charged", Attempt{Outcome: OverLoadBound{}, Offers: 5, OverLoadBound: 5}, ""},
		{"over the load bound too often", Attempt{Outcome: OverLoadBound{}, Offers: 9, OverLoadBound: 9}, ReasonMaxOffers},
		{"over the load bound, too late", Attempt{Outcome: OverLoadBound{}, Offers: 1, Deadline: 1000}, ReasonDeadline},
		{"leaving", Attempt{Outcome: Leaving{}, Offers: 1}, ""},
		{"leaving, too late", Attempt{Outcome: Leaving{}, Offers: 1, Deadline: 1000}, ReasonDeadline},
		{"never sent", Attempt{Outcome: ConnectFailed{}, Offers: 1}, ""},
		{"never sent, too often", Attempt{Outcome: ConnectFailed{}, Offers: 8}, ReasonMaxOffers},
		{"never sent, too late", Attempt{Outcome: ConnectFailed{}, Offers: 1, Deadline: 1000}, ReasonDeadline},
		{"unknown, idempotent", Attempt{Outcome: Failed{}, Offers: 1, Idempotent: true}, ""},
		{"unknown, not idempotent", Attempt{Outcome: Failed{}, Offers: 1}, ReasonUnknownOutcome},
	}
	for _, test := range tests {
		got := Reason("")
		if giveUp, ok := testBudget(1).Decide(1000, test.attempt).(GiveUp); ok {
			got = giveUp.Reason
		}
		if got != test.want {
			t.Errorf("%s: given up for %q, want %q", test.name, got, test.want)
		}
	}
}

// Many requests are queued at an agent that stops as planned, and all are refused at one
// instant. Each has to be offered to another upstream, however few responses the budget
// has counted.
func TestLeavingIsNotCharged(t *testing.T) {
	b := testBudget(1)
	for i := range 100 {
		if got, want := b.Decide(1000, Attempt{Outcome: Leaving{}, Offers: 1}), (Retry{}); got != want {
			t.Fatalf("request %d: got %#v, want %#v", i, got, want)
		}
	}
	if got, want := b.Decide(1000, Attempt{Outcome: Refused{}, Offers: 1}), (Retry{}); got != want {
		t.Errorf("the first refusal afterwards: got %#v, want %#v", got, want)
	}
}

// Every upstream refuses while callers send a hundred requests a second. Each caller has
// to be refused after one offer, as retries would only add load. First offers have to
// continue, so that the entry notices when the upstreams accept requests again.
func TestHighRefusalRateStopsRetries(t *testing.T) {
	b := testBudget(2)
	retries := 0
	for i := range 1000 {
		now := burdockclock.Millis(i * 10)
		switch d := b.Decide(now, Attempt{Outcome: Refused{RetryAfter: 2000}, Offers: 1}).(type) {
		case Retry:
			retries++
		case GiveUp:
			if d.RetryAfter < 2000 || d.RetryAfter > 6000 {
				t.Fatalf("RetryAfter = %d, want within 2000 and 6000", d.RetryAfter)
			}
		}
	}
	if got, want := retries, defaultMinRetries; got > want {
		t.Errorf("retries = %d, want at most %d", got, want)
	}
	for i := range 2000 {
		b.RecordSuccess(burdockclock.Millis(10_000 + i*10))
	}
	if _, ok := b.Decide(30_000, Attempt{Outcome: Refused{}, Offers: 1}).(Retry); !ok {
		t.Error("no retry once the upstreams accept requests again, want one")
	}
}

// A data centre recovers while many callers are refused. If all got the same Retry-After,
// they would return at one instant and be refused again. No tenth of the range may get
// more than twice its share of callers.
func TestRetryAfterIsSpread(t *testing.T) {
	const callers, parts = 1000, 10
	b := testBudget(3)
	counts := make([]int, parts)
	for range callers {
		after := b.GiveUpNoUpstream(0, 0).RetryAfter
		counts[min(int(after-defaultMinRetryAfter)*parts/int(defaultMinRetryAfter), parts-1)]++
	}
	for i, got := range counts {
		if want := 2 * callers / parts; got > want {
			t.Errorf("part %d of the range gets %d callers, want at most %d", i, got, want)
		}
	}
}

// For any order of successes and outcomes, retries stay within the budget: a tenth of
// recent successes, plus the minimum. None exceeds the deadline or repeats a request that
// may have run and is not idempotent.
func TestRetryBudgetHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := testBudget(rapid.Uint64().Draw(t, "seed"))
		now := burdockclock.Second
		t.Repeat(map[string]func(*rapid.T){
			"pass":    func(t *rapid.T) { now += burdockclock.Millis(rapid.IntRange(0, 3000).Draw(t, "ms")) },
			"succeed": func(*rapid.T) { b.RecordSuccess(now) },
			"end": func(t *rapid.T) {
				outcomes := []Outcome{Refused{}, Leaving{}, OverLoadBound{}, ConnectFailed{}, Failed{}}
				a := Attempt{
					Outcome:    rapid.SampledFrom(outcomes).Draw(t, "outcome"),
					Offers:     rapid.IntRange(1, 6).Draw(t, "offers"),
					Idempotent: rapid.Bool().Draw(t, "idempotent"),
					Deadline:   now + burdockclock.Millis(rapid.IntRange(1, 100).Draw(t, "left")),
				}
				retry, retried := b.Decide(now, a).(Retry)
				if retried && now+retry.Delay >= a.Deadline {
					t.Fatalf("retry after %d ms, want before the deadline", retry.Delay)
				}
				if _, failed := a.Outcome.(Failed); retried && failed && !a.Idempotent {
					t.Fatal("retried a request that may have run and is not idempotent, want no retry")
				}
			},
			"": func(*rapid.T) { b.checkInvariants(now) },
		})
	})
}
