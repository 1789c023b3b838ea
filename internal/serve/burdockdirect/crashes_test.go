package burdockdirect

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockcrash"
)

// crashBus passes the crashes that one entry publishes to all entries.
type crashBus struct {
	mu        sync.Mutex
	entries   []*Entry
	published []burdockcrash.Crash
}

func (b *crashBus) publish(all []burdockcrash.Crash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.published = append(b.published, all...)
	for _, e := range b.entries {
		go e.AddCrashes(all)
	}
}

// crashFleet is a number of entries in front of the same upstreams. An upstream that
// receives a request for a path ending in "crash" dies.
type crashFleet struct {
	bus      *crashBus
	fixtures []*fixture
	mu       sync.Mutex
	crashes  int // of upstreams
	starts   int
	keepID   bool // a new upstream has the ID of the one before
}

func newCrashFleet(t *testing.T, entries, upstreams int) *crashFleet {
	t.Helper()
	f := &crashFleet{bus: &crashBus{}}
	for range entries {
		fixture := newFixture(t, testTimeout)
		fixture.entry.crashes.publish = f.bus.publish
		f.fixtures = append(f.fixtures, fixture)
		f.bus.entries = append(f.bus.entries, fixture.entry)
	}
	for range upstreams {
		f.startUpstream(t)
	}
	return f
}

func (f *crashFleet) startUpstream(t *testing.T) {
	t.Helper()
	var u *upstream
	kill := func() {
		// The listener first, so that new connections are refused as by a dead process.
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
		kill()
		panic(http.ErrAbortHandler)
	})
	f.starts++
	for _, fixture := range f.fixtures {
		if f.keepID {
			fixture.upstreams = 0
		}
		fixture.putStarted(u, burdockclock.Millis(f.starts))
	}
}

func (f *crashFleet) crashed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// Guards against a request that crashes one upstream after the other because its caller
// retries it at a different entry each time.
func TestCrashingRequestIsQuarantinedByAllEntries(t *testing.T) {
	f := newCrashFleet(t, 12, 16)
	for i := range 36 {
		got := f.fixtures[i%12].send(t, context.Background(), "/again/crash", nil)
		if got.status == http.StatusOK {
			t.Fatalf("retry %d: got status 200, want a failure", i)
		}
		time.Sleep(30 * time.Millisecond) // its caller doesn't retry at once
	}
	if got, limit := f.crashed(), 3; got > limit {
		t.Errorf("upstreams crashed: got %d, want at most %d", got, limit)
	}
	got := f.fixtures[5].send(t, context.Background(), "/again/crash", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got status %d and Retry-After %q, want 503 and a time", got.status, got.header.Get("Retry-After"))
	}
	for i, fixture := range f.fixtures {
		if got := fixture.send(t, context.Background(), "/again/sound", nil); got.status != http.StatusOK {
			t.Errorf("a harmless request at entry %d: got status %d, want 200", i, got.status)
		}
	}
	if got, want := len(f.fixtures[0].entry.CrashingRequests()), 1; got != want {
		t.Errorf("crashing requests listed: got %d, want %d", got, want)
	}
}

// Guards against a request that goes on crashing the only upstream of a service, which comes back
// under its ID.
func TestRequestThatCrashesTheOnlyUpstreamIsQuarantined(t *testing.T) {
	f := newCrashFleet(t, 2, 0)
	f.keepID = true
	for i := range 8 {
		f.startUpstream(t)
		f.fixtures[i%2].send(t, context.Background(), "/again/crash", nil)
		time.Sleep(examinationWait)
	}
	if got, limit := f.crashed(), 3; got > limit {
		t.Errorf("crashes: got %d, want at most %d", got, limit)
	}
	for i, fixture := range f.fixtures {
		if got := fixture.send(t, context.Background(), "/again/sound", nil); got.status != http.StatusOK {
			t.Errorf("a harmless request at entry %d: got status %d, want 200", i, got.status)
		}
	}
}

// Guards against quarantining harmless requests whose connections break while the
// upstreams stay alive.
func TestBrokenConnectionAloneIsNoCrash(t *testing.T) {
	a, b := newUpstream(t, cutConnection), newUpstream(t, cutConnection)
	f := newFixture(t, testTimeout, a, b)
	for range 5 {
		f.send(t, context.Background(), "/again/", nil)
	}
	time.Sleep(upstreamDialTimeout)
	if got := f.entry.CrashingRequests(); len(got) != 0 {
		t.Errorf("crashing requests: got %v, want none", got)
	}
}

// Guards against quarantining harmless requests after a power cut, in which a large part
// of the upstreams goes down at the same time.
func TestPowerCutQuarantinesNoRequest(t *testing.T) {
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

// Guards against crashes whose common cause the log doesn't tell.
func TestCrashLeavesLinesWithPromptParts(t *testing.T) {
	f := newCrashFleet(t, 1, 2)
	logs := f.fixtures[0].observeLog()
	f.fixtures[0].entry.crashes.log = f.fixtures[0].entry.deps.Log
	f.fixtures[0].send(t, context.Background(), "/once/crash", map[string]string{"X-Parts": "a b"})
	await(t, "the examination leaves a line", func() bool { return logs.FilterMessage("upstream examined").Len() == 1 })
	examined := logs.FilterMessage("upstream examined").All()[0].ContextMap()
	if examined["found"] != string(verdictRefuses) || examined["requests"] != int64(1) || examined["massCrash"] != false {
		t.Errorf("examination: got %v, want one request, a refused connection and no mass crash", examined)
	}
	offer := logs.FilterMessage("offer ended").All()[0].ContextMap()
	if got, want := fmt.Sprint(offer["sharedParts"]), "[a b]"; got != want {
		t.Errorf("shared parts of the offer: got %v, want %v", got, want)
	}
}
