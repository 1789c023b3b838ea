package burdockcold

import (
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
)

const testRate = 26

// knownSince is when the entries of a test came to know each other.
const knownSince = -burdockclock.Minute

// newEntries returns the limiters of entries that all know an upstream to be cold from
// time 0 on.
func newEntries(n int, rate burdocksharedrate.Rate, until burdockclock.Millis) []*Limiter {
	var names []burdockid.VM
	for i := range n {
		names = append(names, burdockid.VM(fmt.Sprint("entry-", i)))
	}
	var all []*Limiter
	for _, name := range names {
		entries := &burdocksharedrate.Entries{}
		entries.Set(knownSince, burdocksharedrate.Listing{All: names, Self: name})
		l := New(entries)
		l.SetRate(0, rate)
		l.SetCold(0, "u", until)
		all = append(all, l)
	}
	return all
}

// sendAll makes all entries send what they may, from one time to another, and returns how many
// requests were sent at each.
func sendAll(all []*Limiter, from, to burdockclock.Millis) []int {
	sent := make([]int, to)
	for now := from; now < to; now++ {
		for _, l := range all {
			for l.Allows(now, "u") && sent[now] < 10_000 {
				l.Sent(now, "u")
				sent[now]++
			}
		}
	}
	return sent
}

// mostPerSecond returns the largest number of requests in any second.
func mostPerSecond(sent []int) int {
	window, most := 0, 0
	for now, n := range sent {
		window += n
		if now >= int(burdockclock.Second) {
			window -= sent[now-int(burdockclock.Second)]
		}
		most = max(most, window)
	}
	return most
}

// All entries want to send everything to a cold upstream. Together they must not send much
// more in any second than it accepts, or it crashes, however many entries there are.
func TestEntriesTogetherKeepTheRate(t *testing.T) {
	for _, entries := range []int{1, 6, 16, 212, 424} {
		const length = 10 * burdockclock.Second
		sent := sendAll(newEntries(entries, testRate, length), 0, length)
		total := 0
		for _, n := range sent {
			total += n
		}
		if got, limit := mostPerSecond(sent), testRate*3/2+5; got > limit {
			t.Errorf("%d entries: got %d requests in one second, want %d at most", entries, got, limit)
		}
		if least := testRate * 8; total < least {
			t.Errorf("%d entries: got %d requests in ten seconds, want %d at least", entries, total, least)
		}
	}
}

// Guards against entries that have sent a cold upstream nothing for a while and then all send
// at once.
func TestIdleEntriesKeepTheRate(t *testing.T) {
	for _, entries := range []int{1, 6, 16, 212, 424} {
		for _, rate := range []burdocksharedrate.Rate{1, 4, testRate} {
			sent := sendAll(newEntries(entries, rate, burdockclock.Minute), 10*burdockclock.Second, 12*burdockclock.Second)
			if got, limit := mostPerSecond(sent), int(1.5*float64(rate))+5; got > limit {
				t.Errorf("%d entries, rate %v: got %d requests in one second, want %d at most", entries, rate, got, limit)
			}
		}
	}
}

// An entry that was frozen must not send all that it could have sent meanwhile.
func TestPausedEntryDoesNotCatchUp(t *testing.T) {
	l := newEntries(1, testRate, burdockclock.Minute)[0]
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

// Guards against an entry that takes the rate of all for its own before it knows the others.
func TestUnknownEntriesGetNothing(t *testing.T) {
	l := New(&burdocksharedrate.Entries{})
	l.SetRate(0, testRate)
	l.SetCold(0, "u", burdockclock.Minute)
	if l.Allows(30_000, "u") {
		t.Error("before the entries are known: got a request allowed, want none")
	}
}

func TestWarmUpstreamsAreNotLimited(t *testing.T) {
	l := newEntries(16, testRate, 3000)[0]
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
	unpublished := New(&burdocksharedrate.Entries{})
	unpublished.SetCold(0, "u", 3000)
	for range 5 {
		unpublished.Sent(1, "u")
	}
	if !unpublished.Allows(1, "u") {
		t.Error("without a published rate: got a limit, want none")
	}
}

func ExampleLimiter() {
	entries := &burdocksharedrate.Entries{}
	entries.Set(-60_000, burdocksharedrate.Listing{All: []burdockid.VM{"a", "b"}, Self: "a"})
	l := New(entries)
	l.SetRate(0, 10) // each may send five a second
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
