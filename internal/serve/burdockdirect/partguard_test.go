package burdockdirect

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockparts"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// withBad are the headers of a request with the part that is quarantined in tests.
var withBad = map[string]string{"X-Parts": "c0 bad"}

// reportCrashes reports crashes of n upstreams, a second apart, as other entries do.
func reportCrashes(e *Entry, n int, part burdockid.PromptPart) {
	var all []burdockparts.Crash
	for i := range n {
		all = append(all, burdockparts.Crash{
			Process: burdockid.Process{Upstream: burdockid.Upstream(fmt.Sprint("gone", i))}, Service: "s",
			At: e.parts.now() - burdockclock.Millis(n-i)*burdockclock.Second, Members: 16,
			Parts: []burdockparts.PartStarts{{Part: part}, {Part: "c0", Starts: 100}}, Starts: 100,
		})
	}
	e.AddPartCrashes(all)
}

func (f *fixture) quarantine(t *testing.T) {
	t.Helper()
	reportCrashes(f.entry, 3, "bad")
	if got, want := f.entry.parts.quarantinedParts(), 1; got != want {
		t.Fatalf("quarantined parts: got %d, want %d", got, want)
	}
}

// wantPartRefusal checks that a reply is the refusal of a request with the quarantined part.
func wantPartRefusal(t *testing.T, what string, got reply) {
	t.Helper()
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "bad") || got.header.Get("Retry-After") == "" {
		t.Errorf("%s: got status %d, body %q and Retry-After %q, want 503 that names the part and a time", what, got.status, got.body, got.header.Get("Retry-After"))
	}
}

// Guards against requests with a quarantined part that reach an upstream, and sound ones that
// don't.
func TestQuarantinedPartIsRefusedAtOnce(t *testing.T) {
	u := newUpstream(t, answerOK)
	f := newFixture(t, testTimeout, u)
	f.quarantine(t)
	for _, path := range []string{"/again/", "/once/", "/stream/"} {
		wantPartRefusal(t, path, f.send(t, context.Background(), path, withBad))
	}
	resumed := map[string]string{"X-Parts": "c0 bad", "Last-Event-Id": "3"}
	wantPartRefusal(t, "resumed stream", f.send(t, context.Background(), "/stream/", resumed))
	if got := u.seen(); got != 0 {
		t.Errorf("offers with the part: got %d, want none", got)
	}
	for _, parts := range []string{"", "c0", "c0 other"} {
		if got := f.send(t, context.Background(), "/again/", map[string]string{"X-Parts": parts}); got.status != http.StatusOK {
			t.Errorf("request with parts %q: got status %d, want 200", parts, got.status)
		}
	}
}

// Guards against requests that passed the check at their arrival and wait in the queue.
func TestQueuedRequestIsRefusedWhenItsPartIsQuarantined(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answerOK(w, r)
	})
	f := newFixture(t, 20_000, u)
	var done sync.WaitGroup
	for range 4 {
		done.Go(func() { f.send(t, context.Background(), "/again/", nil) })
	}
	await(t, "all slots are taken", func() bool { return u.seen() == 4 })
	var queued reply
	done.Go(func() { queued = f.send(t, context.Background(), "/again/", withBad) })
	gate := f.entry.pool("s").gate
	await(t, "the request is queued", func() bool { return gate.load().Queued == 1 })
	f.quarantine(t)
	await(t, "the queue is empty", func() bool { return gate.load().Queued == 0 })
	close(release)
	done.Wait()
	wantPartRefusal(t, "queued request", queued)
	if got, want := u.seen(), 4; got != want {
		t.Errorf("offers: got %d, want %d", got, want)
	}
}

// Guards against requests that wait for a group to open, as they do after each crash.
func TestRequestThatWaitsForItsGroupIsRefused(t *testing.T) {
	g := &lockStepGroup{}
	f := newFixture(t, 30_000, newUpstream(t, g.serve), newUpstream(t, g.serve), newUpstream(t, g.serve))
	f.lockStep(20 * burdockclock.Second)
	gate := f.entry.pool("s").gate
	var done sync.WaitGroup
	replies := make([]reply, 3)
	for i := range replies {
		done.Go(func() { replies[i] = f.send(t, context.Background(), "/stream/", withBad) })
	}
	await(t, "all wait", func() bool {
		load := gate.load()
		return load.Queued+load.Running == len(replies) && gate.openSignal() != nil
	})
	f.quarantine(t)
	done.Wait()
	for i, got := range replies {
		if got.status == http.StatusBadGateway {
			continue // its offer was under way, so "not run" would not be certain
		}
		wantPartRefusal(t, fmt.Sprint("waiting request ", i), got)
	}
	g.open.Store(true)
	f.entry.NotifyGroupOpened("")
	if got := f.send(t, context.Background(), "/stream/", nil); got.status != http.StatusOK {
		t.Errorf("sound request after the group has opened: got status %d, want 200", got.status)
	}
	if got, want := g.started.Load(), int64(1); got != want {
		t.Errorf("streams that began: got %d, want %d", got, want)
	}
}

// Guards against error answers that are taken for a sign that a part crashes nothing.
func TestOnlySuccessClearsParts(t *testing.T) {
	for _, c := range []struct {
		status int
		want   int
	}{{http.StatusOK, 1}, {http.StatusNotFound, 0}, {http.StatusInternalServerError, 0}} {
		f := newFixture(t, testTimeout, newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.WriteHeader(c.status)
		}))
		f.send(t, context.Background(), "/once/", withBad)
		await(t, "the offer has ended", f.entry.Idle)
		guard := f.entry.parts
		guard.mu.Lock()
		guard.tracker.Settle(guard.now() + burdockparts.SettleTime)
		_, got := guard.tracker.Starts("s", nil)
		guard.mu.Unlock()
		if got != c.want {
			t.Errorf("status %d: got %d answers that began, want %d", c.status, got, c.want)
		}
	}
}

// Guards against requests that an engine has queued and that crash it later.
func TestRequestAtAnEngineIsCancelledWhenItsPartIsQuarantined(t *testing.T) {
	var left atomic.Bool
	u := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		left.Store(true)
	})
	other := newUpstream(t, answerOK)
	f := newFixture(t, 20_000, u)
	var done sync.WaitGroup
	var got reply
	done.Go(func() { got = f.send(t, context.Background(), "/stream/", withBad) })
	await(t, "the request is at the engine", func() bool { return u.seen() == 1 })
	f.put(other)
	f.quarantine(t)
	done.Wait()
	// It may have run, so "not run" would be wrong.
	if got.status != http.StatusBadGateway {
		t.Errorf("got status %d, want 502", got.status)
	}
	await(t, "the offer is cancelled", left.Load)
	if got := other.seen(); got != 0 {
		t.Errorf("offers to another engine: got %d, want none", got)
	}
}

// Guards against cutting streams that have begun, and have shown that they crash nothing.
func TestStreamThatHasBegunGoesOn(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvents(w, 1, 1)
		<-release
		writeEvents(w, 2, 3)
	})
	f := newFixture(t, 20_000, u)
	var done sync.WaitGroup
	var got reply
	done.Go(func() { got = f.send(t, context.Background(), "/stream/", withBad) })
	await(t, "the stream has begun", func() bool {
		f.entry.parts.mu.Lock()
		defer f.entry.parts.mu.Unlock()
		return f.entry.parts.tracker.HasUnsettled()
	})
	time.Sleep(burdockparts.SettleTime.Duration() + 10*time.Millisecond)
	var all []burdockparts.Crash
	for i := range 6 {
		all = append(all, burdockparts.Crash{
			Process: burdockid.Process{Upstream: burdockid.Upstream(fmt.Sprint("gone", i))}, Service: "s",
			At: f.entry.parts.now(), Members: 16, Parts: []burdockparts.PartStarts{{Part: "bad"}}, Starts: 100,
		})
	}
	f.entry.AddPartCrashes(all)
	await(t, "the part is quarantined", func() bool { return f.entry.parts.quarantinedParts() == 1 })
	close(release)
	done.Wait()
	if got.status != http.StatusOK || got.body != eventsOf(1, 3) {
		t.Errorf("got status %d and body %q, want the whole stream", got.status, got.body)
	}
}

// Guards against a retry that starts before it is known what crashed the first upstream.
func TestRetryIsRefusedWhenThePartIsQuarantined(t *testing.T) {
	var f *fixture
	failing := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		reportCrashes(f.entry, 3, "bad")
		cutConnection(w, r)
	})
	f = newFixture(t, testTimeout, failing)
	var got reply
	var done sync.WaitGroup
	done.Go(func() { got = f.send(t, context.Background(), "/again/", withBad) })
	await(t, "first offer", func() bool { return failing.seen() == 1 })
	sound := newUpstream(t, answerOK)
	f.put(sound)
	done.Wait()
	if got.status != http.StatusBadGateway || sound.seen()+failing.seen() != 1 {
		t.Errorf("got status %d and %d offers, want 502 after one", got.status, sound.seen()+failing.seen())
	}
}

// partBus passes what one entry finds out about parts to all others.
type partBus struct {
	mu      sync.Mutex
	entries []*Entry
	claimed map[burdockparts.Key]int // the latest trial
}

// busNews is the bus as one entry uses it.
type busNews struct {
	bus  *partBus
	self *fixture
}

func (n busNews) tell(do func(*Entry)) {
	n.bus.mu.Lock()
	defer n.bus.mu.Unlock()
	for _, e := range n.bus.entries {
		if e != n.self.entry {
			go do(e)
		}
	}
}

func (n busNews) PublishPartCrash(c burdockparts.Crash) {
	n.tell(func(e *Entry) { e.AddPartCrashes([]burdockparts.Crash{c}) })
}

func (n busNews) PublishPartSound(s burdockparts.Sound) {
	n.tell(func(e *Entry) { e.AddPartSounds([]burdockparts.Sound{s}) })
}

func (n busNews) ClaimPartTrial(trial burdockparts.Trial, done func(bool)) {
	n.bus.mu.Lock()
	first := trial.Number > n.bus.claimed[trial.Key]
	n.bus.claimed[trial.Key] = max(trial.Number, n.bus.claimed[trial.Key])
	n.bus.mu.Unlock()
	if first {
		n.tell(func(e *Entry) { e.AddPartTrials([]burdockparts.Trial{trial}) })
	}
	done(first)
}

// Guards against streams with one part in common that crash one upstream after the other,
// through different entries.
func TestStreamsWithAFatalPartCrashFewUpstreams(t *testing.T) {
	bus := &partBus{claimed: map[burdockparts.Key]int{}}
	var fixtures []*fixture
	for range 6 {
		f := newFixture(t, testTimeout)
		f.entry.parts.news = busNews{bus, f}
		fixtures, bus.entries = append(fixtures, f), append(bus.entries, f.entry)
	}
	var crashes atomic.Int64
	for range 24 {
		u := newFatalUpstream(t, &crashes)
		for _, f := range fixtures {
			f.put(u)
		}
	}
	send := func(i int, parts string) reply {
		return fixtures[i%len(fixtures)].send(t, context.Background(), fmt.Sprint("/stream/", i), map[string]string{"X-Parts": parts, "X-Id": fmt.Sprint(i)})
	}
	for i := range 60 {
		send(i, fmt.Sprint("c0 s", i%7))
	}
	time.Sleep(burdockparts.SettleTime.Duration())
	for i := range 8 {
		send(100+i, "c0 bad")
		send(i+1, fmt.Sprint("c0 s", i%7))
		time.Sleep(burdockparts.DecideAfter.Duration())
	}
	// Three crashes tell the cause; each request may crash as many upstreams as it has offers.
	if got := crashes.Load(); got < 3 || got > 5 {
		t.Errorf("crashed upstreams: got %d, want 3 to 5", got)
	}
	wantPartRefusal(t, "request with the part", send(2, "c0 bad"))
	for i := range 14 {
		if got := send(i, fmt.Sprint("c0 s", i%7)); got.status != http.StatusOK {
			t.Errorf("sound request %d: got status %d %q, want 200", i, got.status, got.body)
		}
	}
}

// newFatalUpstream returns an upstream that dies after the head of an answer to a request with
// the part that is bad.
func newFatalUpstream(t *testing.T, crashes *atomic.Int64) *upstream {
	var u *upstream
	u = newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		if !strings.Contains(r.Header.Get("X-Parts"), "bad") {
			writeEvents(w, 1, 3)
			return
		}
		crashes.Add(1)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "id: 1\nda")
		_ = u.server.Listener.Close()
		u.server.CloseClientConnections()
		panic(http.ErrAbortHandler)
	})
	return u
}

// Guards against a quarantined part that is tried again by every entry, or more than once.
func TestOneRequestOfOneEntryIsTheTrial(t *testing.T) {
	clock := burdockclock.NewManual(1_000_000)
	bus := &partBus{claimed: map[burdockparts.Key]int{}}
	var guards []*partGuard
	for range 5 {
		f := &fixture{entry: &Entry{}}
		f.entry.parts = newPartGuard(Deps{Clock: clock.Clock(), Log: zap.NewNop(), PartNews: busNews{bus, f}}, newMeters(metrics.NewSet()))
		guards, bus.entries = append(guards, f.entry.parts), append(bus.entries, f.entry)
		reportCrashes(f.entry, 3, "bad")
	}
	passed := 0
	for range 100 {
		clock.Advance(burdockclock.Second)
		for _, g := range guards {
			req := &request{CallerHeaders: CallerHeaders{SharedParts: []burdockid.PromptPart{"bad"}}, service: "s"}
			if g.refusalFor(req) == nil {
				passed++
			}
		}
		time.Sleep(2 * time.Millisecond) // claims run in the background
	}
	if got, want := passed, 1; got != want {
		t.Errorf("requests let through in 100 s: got %d, want %d", got, want)
	}
}

// Guards against a part that operators can't free.
func TestOperatorFreesAPart(t *testing.T) {
	u := newUpstream(t, answerOK)
	f := newFixture(t, testTimeout, u)
	f.quarantine(t)
	if got := f.entry.SuspectedParts(); len(got) != 2 || got[0].Part != "bad" || !got[0].Quarantined || len(got[0].Crashed) != 3 || got[1].Quarantined {
		t.Errorf("suspected parts: got %+v, want bad with three crashes first, and c0", got)
	}
	if f.entry.FreePart(burdockparts.Key{Service: "s", Part: "other"}) {
		t.Error("freed a part that isn't quarantined: got true, want false")
	}
	if !f.entry.FreePart(burdockparts.Key{Service: "s", Part: "bad"}) {
		t.Error("freed: got false, want true")
	}
	if got := f.send(t, context.Background(), "/again/", withBad); got.status != http.StatusOK {
		t.Errorf("request with the part: got status %d, want 200", got.status)
	}
}
