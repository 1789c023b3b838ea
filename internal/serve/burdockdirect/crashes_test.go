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
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockcrash"
)

// crashBus passes the crashes and answers that one entry publishes to all entries.
type crashBus struct {
	mu        sync.Mutex
	entries   []*Entry
	published []burdockcrash.Crash
	answers   int
}

func (b *crashBus) publishAnswer(a burdockcrash.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers++
	for _, e := range b.entries {
		go e.AddAnswers([]burdockcrash.Answer{a})
	}
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
		fixture.entry.crashes.publishAnswer = f.bus.publishAnswer
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
			if strings.HasSuffix(r.URL.Path, "slow") {
				time.Sleep(slowAnswer)
			}
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

// slowAnswer is how long an upstream takes for a path that ends in "slow".
const slowAnswer = 200 * time.Millisecond

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

// Guards against refusing frequent harmless requests for minutes, since they run wherever others
// crash upstreams.
func TestFrequentRequestsAreServedBesideCrashes(t *testing.T) {
	const crashes = 5
	f := newCrashFleet(t, 2, 4)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for i := range 24 {
		load.Go(func() {
			for ctx.Err() == nil {
				f.fixtures[i%2].send(t, ctx, fmt.Sprintf("/again/%dslow", i%3), nil)
			}
		})
	}
	for i := range crashes {
		time.Sleep(2 * slowAnswer)
		f.fixtures[i%2].send(t, context.Background(), fmt.Sprintf("/once/%dcrash", i), nil)
		f.startUpstream(t)
	}
	stop()
	load.Wait()
	await(t, "the answers are told", func() bool {
		served := 0
		for i := range 6 {
			if f.fixtures[i%2].send(t, context.Background(), fmt.Sprintf("/again/%dslow", i%3), nil).status == http.StatusOK {
				served++
			}
		}
		return served == 6
	})
}

// Guards against an entry that goes on refusing a request which another entry gets answered.
func TestAnswerAtAnotherEntryEndsQuarantine(t *testing.T) {
	f := newCrashFleet(t, 2, 2)
	newRequest := func() *request { return &request{method: http.MethodPost, target: "/again/x"} }
	digest := newRequest().digest()
	first, second := f.fixtures[0].entry.crashes, f.fixtures[1].entry.crashes
	first.answered(newRequest()) // before any crash
	now := first.clock.now()
	f.bus.publish([]burdockcrash.Crash{
		{Request: digest, Process: burdockid.Process{Upstream: "a", StartedAt: 1}, At: now},
		{Request: digest, Process: burdockid.Process{Upstream: "b", StartedAt: 1}, At: now},
	})
	await(t, "the second entry keeps the request", func() bool { return second.quarantined(newRequest()) > 0 })
	await(t, "the first entry has read the crashes", func() bool { return !first.empty() })
	if got := first.quarantined(newRequest()); got != 0 {
		t.Errorf("quarantine at the entry that had an answer: got %d ms, want none", got)
	}
	await(t, "the second entry serves the request", func() bool { return second.quarantined(newRequest()) == 0 })
	if got, want := f.bus.answers, 1; got != want {
		t.Errorf("answers told: got %d, want %d", got, want)
	}
}

// Guards against a request that crashes another upstream because it was in the queue when it was
// quarantined.
func TestQueuedRequestIsRefusedWhenItIsQuarantined(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answerOK(w, r)
	})
	f := newFixture(t, 20_000, u)
	var done sync.WaitGroup
	for i := range 4 {
		done.Go(func() { f.send(t, context.Background(), fmt.Sprintf("/again/%d", i), nil) })
	}
	await(t, "all slots are taken", func() bool { return u.seen() == 4 })
	var queued reply
	done.Go(func() { queued = f.send(t, context.Background(), "/again/bad", nil) })
	gate := f.entry.pool("s").gate
	await(t, "the request is queued", func() bool { return gate.load().Queued == 1 })
	crashes := f.entry.crashes
	digest := (&request{service: "s", method: http.MethodPost, target: "/again/bad", customer: "acme", body: []byte("question")}).digest()
	now := crashes.clock.now()
	f.entry.AddCrashes([]burdockcrash.Crash{
		{Request: digest, Process: burdockid.Process{Upstream: "a", StartedAt: 1}, At: now},
		{Request: digest, Process: burdockid.Process{Upstream: "b", StartedAt: 1}, At: now},
	})
	close(release)
	done.Wait()
	if queued.status != http.StatusServiceUnavailable || queued.header.Get("Retry-After") == "" {
		t.Errorf("queued request: got status %d and Retry-After %q, want 503 and a time", queued.status, queued.header.Get("Retry-After"))
	}
	if got, want := u.seen(), 4; got != want {
		t.Errorf("offers: got %d, want %d", got, want)
	}
}

// Guards against error answers that are taken for a sign that a request crashes nothing.
func TestOnlySuccessClearsARequest(t *testing.T) {
	for _, c := range []struct {
		status int
		want   bool
	}{{http.StatusOK, true}, {http.StatusNotFound, false}, {http.StatusInternalServerError, false}} {
		f := newFixture(t, testTimeout, newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.WriteHeader(c.status)
		}))
		f.send(t, context.Background(), "/once/", nil)
		req := &request{service: "s", method: http.MethodPost, target: "/once/", customer: "acme", body: []byte("question")}
		crashes := f.entry.crashes
		await(t, "the offer has ended", f.entry.Idle)
		if got := crashes.recent.LastAt(crashes.recentKey(req)) != 0; got != c.want {
			t.Errorf("status %d: got remembered as success %v, want %v", c.status, got, c.want)
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
