package burdocksharedrate

import (
	"fmt"
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"pgregory.net/rapid"
)

// The platform's bound on the requests in any window, of all entries together.
const (
	window       = 4 * burdockclock.Second
	boundFactor  = 1.5
	boundSlack   = 5
	maxClockSkew = 5 * burdockclock.Second
	// watchDelay is the longest time until a change of the entries is known to all.
	watchDelay = burdockclock.Second
)

// fleet is some entries that share the rate of one upstream, and what they sent to it.
type fleet struct {
	rate    Rate
	names   []burdockid.VM
	entries []*Entries
	buckets []*Bucket
	sent    []burdockclock.Millis
}

// newFleet returns n entries that learn the rate at time 0.
func newFleet(n int, rate Rate, offset func(i int) burdockclock.Millis) *fleet {
	f := &fleet{rate: rate}
	for i := range n {
		f.names = append(f.names, burdockid.VM(fmt.Sprint("edge-hall-", i)))
		e := &Entries{ClockOffset: offset(i)}
		f.entries = append(f.entries, e)
		f.buckets = append(f.buckets, NewBucket(0, e, "u", rate, OthersTakeTurns))
	}
	for i := range f.entries {
		f.setEntries(0, i, f.names)
	}
	return f
}

func (f *fleet) setEntries(now burdockclock.Millis, i int, all []burdockid.VM) {
	f.entries[i].Set(now, Listing{All: all, Self: f.names[i]})
	f.buckets[i].Update(now)
}

// sendAll makes an entry send whatever it is allowed to.
func (f *fleet) sendAll(now burdockclock.Millis, i int) {
	for f.buckets[i].Allows(now) {
		f.buckets[i].Take(now)
		f.sent = append(f.sent, now)
	}
}

// sendAllEntries makes all entries send whatever they are allowed to.
func (f *fleet) sendAllEntries(now burdockclock.Millis) {
	for i := range f.buckets {
		f.sendAll(now, i)
	}
}

// mostInWindow returns the largest number of requests in one window.
func (f *fleet) mostInWindow() int {
	most, from := 0, 0
	for to, at := range f.sent {
		for at-f.sent[from] > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

func (f *fleet) check(t interface {
	Errorf(format string, args ...any)
}) {
	bound := boundFactor*float64(f.rate)*float64(window/burdockclock.Second) + boundSlack
	if got := f.mostInWindow(); float64(got) > bound {
		t.Errorf("%d entries, rate %v: got %d requests in 4 s, want %v at most", len(f.buckets), f.rate, got, bound)
	}
}

func drawRate(t *rapid.T) Rate {
	return Rate(rapid.OneOf(
		rapid.SampledFrom([]float64{0, 0.01, 0.05, 0.2, 0.5, 0.999, 1, 1.5, 2, 10, 100}),
		rapid.Float64Range(0, 100),
	).Draw(t, "rate"))
}

func drawOffset(t *rapid.T) burdockclock.Millis {
	return burdockclock.Millis(rapid.Int64Range(0, int64(maxClockSkew)).Draw(t, "clock")) + burdockclock.Hour
}

// Guards against entries that send more than a rate allows together: idle ones that all send
// at one instant, and ones that always have requests.
func TestNoArrivalsExceedTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 3, 4, 5, 16, 60, 350}).Draw(t, "entries")
		f := newFleet(n, drawRate(t), func(int) burdockclock.Millis { return drawOffset(t) })
		now := burdockclock.Millis(0)
		for range rapid.IntRange(1, 5).Draw(t, "bursts") {
			now += burdockclock.Millis(rapid.Int64Range(0, 120_000).Draw(t, "idle"))
			step := burdockclock.Millis(rapid.Int64Range(1, 2000).Draw(t, "step"))
			for end := now + 2*window; now < end; now += step {
				f.sendAllEntries(now)
			}
		}
		f.check(t)
	})
}

// Guards against more requests than a rate allows while entries come and go and are known to
// the others at different times.
func TestChangedEntriesDoNotExceedTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 4, 5, 16, 60}).Draw(t, "entries")
		f := newFleet(n, drawRate(t), func(int) burdockclock.Millis { return drawOffset(t) })
		running := slices.Clone(f.names)
		now := burdockclock.Millis(0)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			changed := rapid.IntRange(0, n-1).Draw(t, "changed")
			if at := slices.Index(running, f.names[changed]); at >= 0 {
				running = slices.Delete(slices.Clone(running), at, at+1)
			} else {
				running = append(slices.Clone(running), f.names[changed])
			}
			now = f.spread(t, now, running)
		}
		f.check(t)
	})
}

// spread plays a span in which each entry learns of a new set of entries, after watchDelay at
// the latest. It returns the end of the span.
func (f *fleet) spread(t *rapid.T, now burdockclock.Millis, running []burdockid.VM) burdockclock.Millis {
	learnAt := make([]burdockclock.Millis, len(f.buckets))
	for i := range learnAt {
		learnAt[i] = now + burdockclock.Millis(rapid.Int64Range(0, int64(watchDelay)).Draw(t, "delay"))
	}
	step := burdockclock.Millis(rapid.Int64Range(50, 1000).Draw(t, "step"))
	end := now + burdockclock.Millis(rapid.Int64Range(2000, 30_000).Draw(t, "span"))
	for ; now < end; now += step {
		for i := range f.buckets {
			if learnAt[i] <= now {
				f.setEntries(now, i, running)
				learnAt[i] = end
			}
			f.sendAll(now, i)
		}
	}
	return now
}

// Guards against a rate of which most is never used.
func TestSteadyRequestsUseTheRate(t *testing.T) {
	const span = 3 * burdockclock.Minute
	for _, n := range []int{1, 4, 5, 16, 60} {
		for _, rate := range []Rate{0.2, 1, 2.5, 20, 100} {
			f := newFleet(n, rate, func(int) burdockclock.Millis { return burdockclock.Hour })
			for now := burdockclock.Millis(0); now < span; now += 5 {
				f.sendAllEntries(now)
			}
			want := float64(rate) * float64(span/burdockclock.Second)
			if got := float64(len(f.sent)); got < 0.9*want || got > 1.01*want+boundSlack {
				t.Errorf("%d entries, rate %v: got %v requests in 3 min, want %v", n, rate, got, want)
			}
		}
	}
}

// Guards against entries without a part in a rate that never hear that it has ended.
func TestEachEntrySendsAtTimes(t *testing.T) {
	for _, n := range []int{1, 4, 16, 40} {
		for _, rate := range []Rate{0, 0.01, 0.2, 1, 10} {
			f := newFleet(n, rate, func(int) burdockclock.Millis { return burdockclock.Hour })
			sent := make([]int, n)
			for now := burdockclock.Millis(0); now < burdockclock.Hour; now += 500 {
				for i := range f.buckets {
					before := len(f.sent)
					f.sendAll(now, i)
					sent[i] += len(f.sent) - before
				}
			}
			if got := slices.Min(sent); got == 0 {
				t.Errorf("%d entries, rate %v: got an entry without a request in an hour, want at least one of each", n, rate)
			}
		}
	}
}
