package burdockcold

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const testRate = 26

// newEntries returns the limiters of entries that all know an upstream to be cold from
// time 0 on.
func newEntries(n int, until burdockclock.Millis) []*Limiter {
	var all []*Limiter
	for i := range n {
		l := New(rand.New(rand.NewPCG(1, uint64(i))))
		l.SetRate(testRate)
		l.SetEntries(n)
		l.SetCold(0, "u", until)
		all = append(all, l)
	}
	return all
}

// All entries want to send everything to a cold upstream. Together they must not send much
// more in any second than it accepts, or it crashes, however many entries there are.
func TestEntriesTogetherKeepTheRate(t *testing.T) {
	for _, entries := range []int{1, 6, 16, 212, 424} {
		const length = 10 * burdockclock.Second
		all := newEntries(entries, length)
		sent := make([]int, length)
		for now := range length {
			for _, l := range all {
				if l.Allows(now, "u") {
					l.Sent(now, "u")
					sent[now]++
				}
			}
		}
		window, most, total := 0, 0, 0
		for now, n := range sent {
			window += n
			total += n
			if now >= millisPerSecond {
				window -= sent[now-millisPerSecond]
			}
			most = max(most, window)
		}
		if limit := testRate*3/2 + 5; most > limit {
			t.Errorf("%d entries: got %d requests in one second, want %d at most", entries, most, limit)
		}
		if least := testRate * 8; total < least {
			t.Errorf("%d entries: got %d requests in ten seconds, want %d at least", entries, total, least)
		}
	}
}

// An entry that was frozen must not send all that it could have sent meanwhile.
func TestPausedEntryDoesNotCatchUp(t *testing.T) {
	l := newEntries(1, burdockclock.Minute)[0]
	sent := 0
	for range 10 {
		if l.Allows(30_000, "u") {
			l.Sent(30_000, "u")
			sent++
		}
	}
	if got, want := sent, 1; got != want {
		t.Errorf("requests at once after 30 s: got %d, want %d", got, want)
	}
}

func TestWarmUpstreamsAreNotLimited(t *testing.T) {
	l := newEntries(16, 3000)[0]
	for _, c := range []struct {
		now  burdockclock.Millis
		u    burdockid.Upstream
		want bool
	}{{0, "u", false}, {0, "other", true}, {3000, "u", true}} {
		l.Sent(c.now, c.u)
		if got := l.Allows(c.now, c.u); got != c.want {
			t.Errorf("%s at %d ms: allowed %t, want %t", c.u, c.now, got, c.want)
		}
	}
	unpublished := New(rand.New(rand.NewPCG(1, 2)))
	unpublished.SetCold(0, "u", 3000)
	for range 5 {
		unpublished.Sent(1, "u")
	}
	if !unpublished.Allows(1, "u") {
		t.Error("without a published rate: got a limit, want none")
	}
}

func ExampleLimiter() {
	l := New(rand.New(rand.NewPCG(1, 2)))
	l.SetRate(10)
	l.SetEntries(2) // each may send five a second
	l.SetCold(0, "u", 5000)
	sent := 0
	for now := burdockclock.Millis(0); now < 2000; now += 10 {
		if l.Allows(now, "u") {
			l.Sent(now, "u")
			sent++
		}
	}
	fmt.Println(sent)
	// Output: 10
}
