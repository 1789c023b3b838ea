package burdocksuspect

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

func digest(n int) Digest { return DigestOf("POST", "/a", "acme", fmt.Append(nil, n)) }

func wantLeft(t *testing.T, l *Tracker, what string, now burdockclock.Millis, d Digest, want burdockclock.Millis) {
	t.Helper()
	if got := l.QuarantineRemaining(now, d); got != want {
		t.Errorf("%s: got %d ms left, want %d", what, got, want)
	}
}

// Guards against a request that goes on crashing upstreams, and against holding
// back for ever one that was taken for it.
func TestCrashingRequestIsKeptAfterTwoLoneCrashes(t *testing.T) {
	l := New(Config{TTL: 10_000})
	l.Add(1000, Crash{digest(1), "a", 1000})
	l.Add(1000, Crash{digest(2), "a", 1000})
	wantLeft(t, l, "after one crash", 1000, digest(1), 0)
	l.Add(1050, Crash{digest(1), "b", 1050})
	wantLeft(t, l, "after the second", 1050, digest(1), 10_000)
	wantLeft(t, l, "beside the first", 1050, digest(2), 0)
	if l.Add(1060, Crash{digest(1), "b", 1055}) {
		t.Error("a crash told twice is news: got true, want false")
	}
	wantLeft(t, l, "as time passes", 9050, digest(1), 2000)
	wantLeft(t, l, "after the memory", 11_050, digest(1), 0)
}

// Guards against keeping sound requests that met two power cuts.
func TestCrashingRequestsAreNotThoseOfTwoPowerCuts(t *testing.T) {
	l := New(Config{})
	for i := range 10 {
		u := burdockid.Upstream(fmt.Sprint("u", i))
		l.Add(1000, Crash{digest(i), u, 1000})
		l.Add(4000, Crash{digest(i), "again " + u, 4000})
	}
	for i := range 10 {
		wantLeft(t, l, "after two cuts", 4000, digest(i), 0)
	}
	l.Add(9000, Crash{digest(3), "c", 9000})
	wantLeft(t, l, "after a third crash", 9000, digest(3), defaultMemory)
}

// Guards against memory that grows with the crashes of a fleet's life.
func TestLedgerIsBounded(t *testing.T) {
	l := New(Config{MaxRequests: 100, TTL: 1000})
	for i := range 1000 {
		l.Add(10, Crash{digest(i), "u", 10})
	}
	if got, want := len(l.CrashingRequests(10)), 100; got != want {
		t.Errorf("requests remembered: got %d, want %d", got, want)
	}
	l.Add(5000, Crash{digest(1), "v", 5000})
	if got, want := len(l.CrashingRequests(5000)), 1; got != want {
		t.Errorf("requests remembered later: got %d, want %d", got, want)
	}
}

// How often sound requests are kept where a sixth of all upstreams crashes at once,
// again and again, with ten requests at each: never, but for those that meet three.
func TestCrashingRequestsAreRarelySoundOnes(t *testing.T) {
	const (
		seed, upstreams, slots = 1, 63, 10
		rounds, alive          = 200, 3 // crashes, and how many of them a request lives through
	)
	rnd := rand.New(rand.NewPCG(seed, seed))
	l := New(Config{})
	kept, sound := 0, 0
	now := burdockclock.Millis(0)
	for range rounds {
		requests := make([]Digest, upstreams*slots)
		for i := range requests {
			requests[i] = DigestOf("POST", "/", "acme", fmt.Append(nil, rnd.Uint64()))
		}
		for range alive {
			now += 3 * burdockclock.Second
			down := rnd.Perm(upstreams)[:upstreams/6]
			for i, at := range rnd.Perm(upstreams * slots) {
				for _, u := range down {
					if at%upstreams == u {
						l.Add(now, Crash{requests[i], burdockid.Upstream(fmt.Sprint(u, " ", now)), now})
					}
				}
			}
		}
		for _, d := range requests {
			sound++
			if l.QuarantineRemaining(now, d) > 0 {
				kept++
			}
		}
	}
	if most := sound / 100; kept > most {
		t.Errorf("sound requests kept from upstreams: got %d of %d, want %d at most", kept, sound, most)
	}
}

func TestDigestIsRead(t *testing.T) {
	d := digest(7)
	got, err := ParseDigest(d.String())
	if err != nil || got != d {
		t.Errorf("got %v and error %v, want %v", got, err, d)
	}
	for _, wrong := range []string{"", "zz", "00"} {
		if _, err := ParseDigest(wrong); err == nil {
			t.Errorf("%q: got no error, want one", wrong)
		}
	}
}

// Two requests have one digest only if all of their parts are the same.
func FuzzCrashingRequestDigest(f *testing.F) {
	f.Add("POST", "/a", "acme", []byte("x"), "POST", "/a", "acme", []byte("y"))
	f.Add("POST", "/a", "b", []byte("c"), "POST", "/ab", "", []byte("c"))
	f.Fuzz(func(t *testing.T, m1, p1, c1 string, b1 []byte, m2, p2, c2 string, b2 []byte) {
		one := DigestOf(m1, p1, burdockid.Customer(c1), b1)
		two := DigestOf(m2, p2, burdockid.Customer(c2), b2)
		same := m1 == m2 && p1 == p2 && c1 == c2 && string(b1) == string(b2)
		if (one == two) != same {
			t.Errorf("same digest: got %v, want %v", one == two, same)
		}
	})
}
