package burdockcrash

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

func digest(n int) Digest { return DigestOf("s", "POST", "/a", "acme", fmt.Append(nil, n)) }

func crashOf(d Digest, u burdockid.Upstream, at burdockclock.Millis) Crash {
	return Crash{Request: d, Process: burdockid.Process{Upstream: u}, At: at}
}

func wantQuarantine(t *testing.T, tracker *Tracker, what string, now burdockclock.Millis, d Digest, want burdockclock.Millis) {
	t.Helper()
	if got := tracker.QuarantineRemaining(now, d); got != want {
		t.Errorf("%s: got %d ms of quarantine left, want %d", what, got, want)
	}
}

// A request that crashes upstreams has to be quarantined, but not for ever, as it may be
// a healthy one.
func TestCrashingRequestIsQuarantinedAfterTwoIsolatedCrashes(t *testing.T) {
	tracker := New(Config{TTL: 10_000})
	tracker.Add(1000, crashOf(digest(1), "a", 1000))
	tracker.Add(1000, crashOf(digest(2), "a", 1000))
	wantQuarantine(t, tracker, "after one crash", 1000, digest(1), 0)
	tracker.Add(1050, crashOf(digest(1), "b", 1050))
	wantQuarantine(t, tracker, "after the second crash", 1050, digest(1), 10_000)
	wantQuarantine(t, tracker, "other request at the first crash", 1050, digest(2), 0)
	if tracker.Add(1060, crashOf(digest(1), "b", 1055)) {
		t.Error("crash reported twice is new: got true, want false")
	}
	wantQuarantine(t, tracker, "before the TTL ends", 9050, digest(1), 2000)
	wantQuarantine(t, tracker, "after the TTL", 11_050, digest(1), 0)
}

// Guards against a request that goes on crashing the only upstream of a service, which comes back
// under its ID.
func TestCrashesOfProcessesUnderOneIDCount(t *testing.T) {
	for _, c := range []struct {
		name           string
		first, second  burdockclock.Millis // start times of the processes
		after          burdockclock.Millis
		wantQuarantine bool
	}{
		{"two processes", 100, 4000, 5000, true},
		{"one process, seen late by another entry", 100, 100, 5000, false},
		{"one process, seen by an entry that doesn't know its start", 100, 0, 300, false},
		{"second process, seen by an entry that doesn't know its start", 100, 0, 5000, true},
		{"starts unknown, at the same time", 0, 0, 300, false},
		{"starts unknown, one after the other", 0, 0, 5000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := New(Config{})
			now := 1000 + c.after
			tracker.Add(now, Crash{digest(1), burdockid.Process{Upstream: "a", StartedAt: c.first}, 1000})
			tracker.Add(now, Crash{digest(1), burdockid.Process{Upstream: "a", StartedAt: c.second}, now})
			if got := tracker.QuarantineRemaining(now, digest(1)) > 0; got != c.wantQuarantine {
				t.Errorf("quarantined: got %v, want %v", got, c.wantQuarantine)
			}
		})
	}
}

// Guards against a request that crashes upstreams unnoticed because others fill the tracker.
func TestNewCrashesCountBesideManyRequests(t *testing.T) {
	tracker := New(Config{MaxRequests: 100})
	for i := range 1000 {
		tracker.Add(10, crashOf(digest(i), "u", 10))
	}
	tracker.Add(2000, crashOf(digest(5000), "v", 2000))
	for i := range 1000 {
		tracker.Add(2500, crashOf(digest(10_000+i), "w", 2500))
	}
	tracker.Add(4000, crashOf(digest(5000), "x", 4000))
	tracker.Add(4000, crashOf(digest(5000), "y", 4000))
	wantQuarantine(t, tracker, "after new crashes", 4000, digest(5000), defaultTTL)
	if got := tracker.Dropped(); got == 0 {
		t.Error("dropped crashes: got 0, want some")
	}
}

// Healthy requests that were running during two power cuts must not be quarantined.
func TestCrashingRequestsExcludeThoseOfTwoPowerCuts(t *testing.T) {
	tracker := New(Config{})
	for i := range 10 {
		u := burdockid.Upstream(fmt.Sprint("u", i))
		tracker.Add(1000, crashOf(digest(i), u, 1000))
		tracker.Add(4000, crashOf(digest(i), "again "+u, 4000))
	}
	for i := range 10 {
		wantQuarantine(t, tracker, "after two power cuts", 4000, digest(i), 0)
	}
	tracker.Add(9000, crashOf(digest(3), "c", 9000))
	wantQuarantine(t, tracker, "after a third crash", 9000, digest(3), defaultTTL)
}

// The number of recorded requests is bounded, and expired ones are removed.
func TestTrackerIsBounded(t *testing.T) {
	tracker := New(Config{MaxRequests: 100, TTL: 1000})
	for i := range 1000 {
		tracker.Add(10, crashOf(digest(i), "u", 10))
	}
	if got, want := len(tracker.CrashingRequests(10)), 100; got != want {
		t.Errorf("recorded requests: got %d, want %d", got, want)
	}
	tracker.Add(5000, crashOf(digest(1), "v", 5000))
	if got, want := len(tracker.CrashingRequests(5000)), 1; got != want {
		t.Errorf("recorded requests after the TTL: got %d, want %d", got, want)
	}
}

// A sixth of all upstreams crashes at once, repeatedly, with ten requests at each. Only
// healthy requests that meet three crashes may be quarantined, which is less than one in
// a hundred.
func TestCrashingRequestsRarelyIncludeHealthyOnes(t *testing.T) {
	const (
		seed, upstreams, slots = 1, 63, 10
		rounds, crashes        = 200, 3 // rounds of requests, and crashes during each
	)
	rnd := rand.New(rand.NewPCG(seed, seed))
	tracker := New(Config{})
	quarantined, healthy := 0, 0
	now := burdockclock.Millis(0)
	for range rounds {
		requests := make([]Digest, upstreams*slots)
		for i := range requests {
			requests[i] = DigestOf("s", "POST", "/", "acme", fmt.Append(nil, rnd.Uint64()))
		}
		for range crashes {
			now += 3 * burdockclock.Second
			down := rnd.Perm(upstreams)[:upstreams/6]
			for i, at := range rnd.Perm(upstreams * slots) {
				for _, u := range down {
					if at%upstreams == u {
						tracker.Add(now, crashOf(requests[i], burdockid.Upstream(fmt.Sprint(u, " ", now)), now))
					}
				}
			}
		}
		for _, d := range requests {
			healthy++
			if tracker.QuarantineRemaining(now, d) > 0 {
				quarantined++
			}
		}
	}
	if limit := healthy / 100; quarantined > limit {
		t.Errorf("healthy requests quarantined: got %d of %d, want at most %d", quarantined, healthy, limit)
	}
}

func TestParseDigest(t *testing.T) {
	d := digest(7)
	got, err := ParseDigest(d.String())
	if err != nil || got != d {
		t.Errorf("got %v and error %v, want %v", got, err, d)
	}
	for _, malformed := range []string{"", "zz", "00"} {
		if _, err := ParseDigest(malformed); err == nil {
			t.Errorf("%q: got no error, want one", malformed)
		}
	}
}

// Guards against an answer of one service that clears a request of its crashes at another's
// upstreams.
func TestServicesHaveDigestsOfTheirOwn(t *testing.T) {
	if a, b := DigestOf("a", "POST", "/", "acme", nil), DigestOf("b", "POST", "/", "acme", nil); a == b {
		t.Errorf("same content for two services: got the same digest %v, want two", a)
	}
	r := NewRecentAnswers()
	if a, b := r.Key("a", "POST", "/", "acme", nil), r.Key("b", "POST", "/", "acme", nil); a == b {
		t.Errorf("same content for two services: got the same key %v, want two", a)
	}
}

// Two requests have the same digest only if all of their parts are the same.
func FuzzCrashingRequestDigest(f *testing.F) {
	f.Add("POST", "/a", "acme", []byte("x"), "POST", "/a", "acme", []byte("y"))
	f.Add("POST", "/a", "b", []byte("c"), "POST", "/ab", "", []byte("c"))
	f.Fuzz(func(t *testing.T, m1, p1, c1 string, b1 []byte, m2, p2, c2 string, b2 []byte) {
		one := DigestOf("s", m1, p1, burdockid.Customer(c1), b1)
		two := DigestOf("s", m2, p2, burdockid.Customer(c2), b2)
		same := m1 == m2 && p1 == p2 && c1 == c2 && string(b1) == string(b2)
		if (one == two) != same {
			t.Errorf("same digest: got %v, want %v", one == two, same)
		}
	})
}
