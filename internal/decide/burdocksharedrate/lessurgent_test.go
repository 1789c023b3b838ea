package burdocksharedrate

import (
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"pgregory.net/rapid"
)

// Guards against more requests than a rate allows when urgent and less urgent ones are
// mixed in any way.
func TestMixedUrgencyDoesNotExceedTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 5, 16, 60}).Draw(t, "entries")
		f := newFleet(n, drawRate(t), func(int) burdockclock.Millis { return drawOffset(t) })
		step := burdockclock.Millis(rapid.Int64Range(1, 2000).Draw(t, "step"))
		for now := burdockclock.Millis(0); now < 4*window; now += step {
			for i, b := range f.buckets {
				allowed := b.Allows(now)
				lessUrgent := b.AllowsLessUrgent(now)
				if lessUrgent && !allowed {
					t.Fatal("less urgent request allowed where an urgent one isn't")
				}
				if rapid.Bool().Draw(t, "urgent") {
					f.sendAll(now, i)
				} else if lessUrgent {
					b.Take(now)
					f.sent = append(f.sent, now)
				}
			}
		}
		f.check(t)
	})
}

// playMix plays urgent requests that come at irregular times, half as many as the rate
// allows, beside less urgent ones that take whatever allows reports. It returns the share of
// the urgent ones that could be sent when they came, and how many less urgent were sent.
func playMix(allows func(*Bucket, burdockclock.Millis) bool) (share float64, lessUrgent int) {
	f := newFleet(1, 10, func(int) burdockclock.Millis { return burdockclock.Hour })
	b := f.buckets[0]
	random := rand.New(rand.NewPCG(1, 2))
	came, sent, nextAt := 0, 0, burdockclock.Millis(3000)
	for now := burdockclock.Millis(3000); now < 10*burdockclock.Minute; now++ {
		if now == nextAt {
			nextAt += burdockclock.Millis(1 + random.Int64N(399)) // 200 on average
			came++
			if b.Allows(now) {
				b.Take(now)
				sent++
			}
		}
		if allows(b, now) {
			b.Take(now)
			lessUrgent++
		}
	}
	return float64(sent) / float64(came), lessUrgent
}

// Less urgent work that takes each token at once leaves none for urgent requests, which come
// at irregular times.
func TestUrgentRequestsFindAToken(t *testing.T) {
	equal, all := playMix((*Bucket).Allows)
	reserved, lessUrgent := playMix((*Bucket).AllowsLessUrgent)
	t.Logf("urgent requests that found a token: %.3f, %.3f with equal treatment; less urgent ones sent: %d, %d", reserved, equal, lessUrgent, all)
	// With no less urgent requests at all it is 0.78: a bucket holds a single token.
	if reserved < 0.45 || equal > 0.05 {
		t.Errorf("urgent requests that found a token: got %.3f, %.3f with equal treatment, want 0.45 at least and 0.05 at most", reserved, equal)
	}
	if lessUrgent == 0 {
		t.Error("less urgent requests: got none sent, want some between the urgent ones")
	}
}

// Without urgent requests, the reservation costs half of the rate and no more.
func TestLessUrgentAloneUseHalfTheRate(t *testing.T) {
	f := newFleet(1, 10, func(int) burdockclock.Millis { return burdockclock.Hour })
	b, sent := f.buckets[0], 0
	for now := burdockclock.Millis(0); now < burdockclock.Minute; now++ {
		at, known := b.NextAtLessUrgent(now)
		if b.AllowsLessUrgent(now) != (known && at == now) {
			t.Fatalf("at %d: allowed at another time than %d", now, at)
		}
		if b.AllowsLessUrgent(now) {
			b.Take(now)
			sent++
		}
	}
	if sent < 280 || sent > 300 {
		t.Errorf("less urgent requests in a minute at 10 a second: got %d, want some 290", sent)
	}
}
