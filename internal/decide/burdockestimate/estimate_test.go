package burdockestimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"pgregory.net/rapid"
)

func Example() {
	e := New()
	fmt.Println(e.Estimate("chat", 100, 400), e.Estimate("chat", 0, 400))
	for i := range 20 {
		customer := burdockid.Customer(fmt.Sprint("customer-", i))
		e.Observe("chat", Ended{Customer: customer, Hint: 100, Maximum: 400, Actual: 150})
	}
	fmt.Println(e.Estimate("chat", 100, 400), e.Estimate("other", 100, 400))
	// Output:
	// 100 400
	// 150 100
}

// noisy returns a request whose hint is exact at the median of a factor, and often far off.
func noisy(random *rand.Rand, customer int, factor float64) Ended {
	hint := burdockid.Tokens(50 + random.IntN(200))
	actual := float64(hint) * factor * math.Exp(0.8*random.NormFloat64())
	const maximum = 1000
	return Ended{
		Customer: burdockid.Customer(fmt.Sprint("customer-", customer)),
		Hint:     hint, Maximum: maximum, Actual: burdockid.Tokens(min(max(actual, 1), maximum)),
	}
}

// The estimate must follow hints that are off by a common factor, though single hints are
// off by more.
func TestLearnsTheCommonFactor(t *testing.T) {
	for _, factor := range []float64{0.5, 1, 1.5} {
		random := rand.New(rand.NewPCG(1, 2))
		e := New()
		for i := range 500 {
			e.Observe("chat", noisy(random, i%10, factor))
		}
		if got := e.Ratio("chat"); got < 0.7*factor || got > 1.3*factor {
			t.Errorf("ratio at factor %g: got %.2f, want within 0.3 of it", factor, got)
		}
	}
}

// One customer that sends nine requests in ten with wrong hints must not change what the
// requests of others are estimated to cost.
func TestWrongHintsOfOneCustomerHardlyMoveOthers(t *testing.T) {
	for _, actual := range []burdockid.Tokens{1, 1000} {
		for _, others := range []int{1, 3, 10} {
			random := rand.New(rand.NewPCG(3, 4))
			honest, mixed := New(), New()
			for i := range 2000 {
				if i%10 > 0 {
					hint := burdockid.Tokens(1)
					if actual == 1 {
						hint = 1000
					}
					mixed.Observe("chat", Ended{Customer: "hostile", Hint: hint, Maximum: 1000, Actual: actual})
					continue
				}
				r := noisy(random, i/10%others, 1)
				honest.Observe("chat", r)
				mixed.Observe("chat", r)
			}
			want, got := honest.Estimate("chat", 100, 1000), mixed.Estimate("chat", 100, 1000)
			t.Logf("%d others, answers of %d tokens: estimate %d, without them %d", others, actual, got, want)
			if float64(got) < 0.6*float64(want) || float64(got) > 1.67*float64(want) {
				t.Errorf("estimate with wrong hints: got %d, want within 1.67 times of %d", got, want)
			}
		}
	}
}

// Whatever callers send, an estimate is within 1 and the maximum, and a hint that says
// nothing gives the maximum and teaches nothing.
func TestAnyHintGivesAnEstimateInBounds(t *testing.T) {
	tokens := func(t *rapid.T, name string) burdockid.Tokens {
		return burdockid.Tokens(rapid.OneOf(rapid.Int64(), rapid.Int64Range(-2, 2000)).Draw(t, name))
	}
	rapid.Check(t, func(t *rapid.T) {
		e := New()
		for range rapid.IntRange(0, 100).Draw(t, "ended") {
			before := e.Ratio("chat")
			r := Ended{Customer: burdockid.Customer(rapid.StringN(0, 1, 1).Draw(t, "customer")), Hint: tokens(t, "hint"), Maximum: tokens(t, "maximum"), Actual: tokens(t, "actual")}
			e.Observe("chat", r)
			if (r.Hint <= 0 || r.Hint > r.Maximum) && e.Ratio("chat") != before {
				t.Fatalf("hint %d of at most %d: got another ratio, want the same", r.Hint, r.Maximum)
			}
		}
		hint, maximum := tokens(t, "hint"), tokens(t, "maximum")
		got := e.Estimate("chat", hint, maximum)
		switch {
		case hint <= 0 || hint > maximum:
			if got != maximum {
				t.Fatalf("estimate by hint %d: got %d, want the maximum %d", hint, got, maximum)
			}
		case got < 1 || got > maximum:
			t.Fatalf("estimate by hint %d: got %d, want 1 to %d", hint, got, maximum)
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	random := rand.New(rand.NewPCG(5, 6))
	e := New()
	for i := 0; b.Loop(); i++ {
		e.Observe("chat", noisy(random, i%100, 1))
	}
}
