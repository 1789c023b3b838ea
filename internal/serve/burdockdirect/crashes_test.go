package burdockdirect

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/decide/burdocksuspect"
)

// crashBoard hands what one entry tells to all of them.
type crashBoard struct {
	mu      sync.Mutex
	entries []*Entry
	told    []burdocksuspect.Crash
}

func (b *crashBoard) tell(all []burdocksuspect.Crash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = append(b.told, all...)
	for _, e := range b.entries {
		go e.AddCrashes(all)
	}
}

// crashFleet is some entries before the same upstreams, of which each that begins
// to run a request to a path ending in "crash" is gone.
type crashFleet struct {
	board    *crashBoard
	fixtures []*fixture
	mu       sync.Mutex
	crashes  int // of upstreams
}

func newCrashFleet(t *testing.T, entries, upstreams int) *crashFleet {
	t.Helper()
	f := &crashFleet{board: &crashBoard{}}
	for range entries {
		fixture := newFixture(t, usualTimeout)
		fixture.entry.crashes.publish = f.board.tell
		f.fixtures = append(f.fixtures, fixture)
		f.board.entries = append(f.board.entries, fixture.entry)
	}
	for range upstreams {
		f.startUpstream(t)
	}
	return f
}

func (f *crashFleet) startUpstream(t *testing.T) {
	t.Helper()
	var u *upstream
	gone := func() {
		// The listener first: who connects anew is refused, as by a dead process.
		_ = u.server.Listener.Close()
		u.server.CloseClientConnections()
	}
	u = newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "crash") {
			answerOK(w, r)
			return
		}
		f.mu.Lock()
		f.crashes++
		f.mu.Unlock()
		gone()
		panic(http.ErrAbortHandler)
	})
	for _, fixture := range f.fixtures {
		fixture.put(u)
	}
}

func (f *crashFleet) crashed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// Guards against a request that crashes one upstream after the other as it returns
// at ever another entry.
func TestCrashingRequestIsKeptFromUpstreamsByAllEntries(t *testing.T) {
	f := newCrashFleet(t, 12, 16)
	for i := range 36 {
		got := f.fixtures[i%12].send(t, context.Background(), "/again/crash", nil)
		if got.status == http.StatusOK {
			t.Fatalf("return %d: got status 200, want a failure", i)
		}
		time.Sleep(30 * time.Millisecond) // its caller doesn't come back at once
	}
	if got, most := f.crashed(), 3; got > most {
		t.Errorf("upstreams crashed: got %d, want %d at most", got, most)
	}
	got := f.fixtures[5].send(t, context.Background(), "/again/crash", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got status %d and Retry-After %q, want 503 and a time", got.status, got.header.Get("Retry-After"))
	}
	for i, fixture := range f.fixtures {
		if got := fixture.send(t, context.Background(), "/again/sound", nil); got.status != http.StatusOK {
			t.Errorf("a sound request at entry %d: got status %d, want 200", i, got.status)
		}
	}
	if got, want := len(f.fixtures[0].entry.CrashingRequests()), 1; got != want {
		t.Errorf("suspects shown: got %d, want %d", got, want)
	}
}

// Guards against quarantine of sound requests where connections break though the
// upstreams live.
func TestCrashingRequestsAreNotThoseOfBrokenConnections(t *testing.T) {
	a, b := newUpstream(t, cutConnection), newUpstream(t, cutConnection)
	f := newFixture(t, usualTimeout, a, b)
	for range 5 {
		f.send(t, context.Background(), "/again/", nil)
	}
	time.Sleep(upstreamDialTimeout)
	if got := f.entry.CrashingRequests(); len(got) != 0 {
		t.Errorf("suspects: got %v, want none", got)
	}
}

// Guards against sound requests that are kept from upstreams after a power cut, in
// which a good part of the upstreams is gone at a time.
func TestCrashingRequestsAreNotThoseOfAPowerCut(t *testing.T) {
	f := newCrashFleet(t, 1, 12)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { f.fixtures[0].send(t, context.Background(), fmt.Sprintf("/once/%dcrash", i), nil) })
	}
	wg.Wait()
	time.Sleep(upstreamDialTimeout)
	for _, s := range f.fixtures[0].entry.CrashingRequests() {
		if s.QuarantineRemainingMillis > 0 {
			t.Errorf("request %s: got %d ms of quarantine, want none", s.DigestText, s.QuarantineRemainingMillis)
		}
	}
}
