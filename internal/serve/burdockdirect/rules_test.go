package burdockdirect

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

const testTimeout = 5000

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("X-Other", "kept")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "a body")
	})
	f := newFixture(t, testTimeout, u)
	got := f.send(t, context.Background(), "/once/a%2Fb?q=%20x", nil)
	if got.status != http.StatusTeapot || got.body != "a body" || got.header.Get("X-Other") != "kept" {
		t.Errorf("got status %d body %q header %q, want 418, %q and %q", got.status, got.body, got.header.Get("X-Other"), "a body", "kept")
	}
	run := u.runs[0]
	if got, want := run.RequestURI, "/once/a%2Fb?q=%20x"; got != want {
		t.Errorf("path at the upstream: got %q, want %q", got, want)
	}
	if got, want := u.bodies[0], "question"; got != want {
		t.Errorf("body at the upstream: got %q, want %q", got, want)
	}
}

// A caller claims a customer other than that of its key. The upstream gets the customer of
// the key, and never the key itself.
func TestKeyDecidesTheCustomer(t *testing.T) {
	u := newUpstream(t, answerOK)
	f := newFixture(t, testTimeout, u)
	f.send(t, context.Background(), "/once/", map[string]string{"X-Customer": "someone else"})
	run := u.runs[0]
	if got, want := run.Header.Get("X-Customer"), "acme"; got != want {
		t.Errorf("customer at the upstream: got %q, want %q", got, want)
	}
	if got, want := run.Header.Get("X-Key"), ""; got != want {
		t.Errorf("key at the upstream: got %q, want none", got)
	}
}

func TestEntryRefusals(t *testing.T) {
	u := newUpstream(t, answerOK)
	for _, c := range []struct {
		name, path, key string
		want            int
	}{
		{"no route", "/elsewhere/", "key", http.StatusNotFound},
		{"unknown key", "/once/", "wrong", http.StatusUnauthorized},
	} {
		f := newFixture(t, testTimeout, u)
		if got := f.send(t, context.Background(), c.path, map[string]string{"X-Key": c.key}); got.status != c.want {
			t.Errorf("%s: got status %d, want %d", c.name, got.status, c.want)
		}
	}
	if got := u.seen(); got != 0 {
		t.Errorf("requests at the upstream: got %d, want 0", got)
	}
}

// An entry that has just started knows no route. "Not found" would be final for the caller
// although every configuration has the route, so the entry asks the caller to retry later.
func TestRefusalBeforeConfigurationHasRetryAfter(t *testing.T) {
	f := startFixture(t)
	got := f.send(t, context.Background(), "/once/", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got status %d and Retry-After %q, want 503 and a time", got.status, got.header.Get("Retry-After"))
	}
}

// An upstream has run a request and its answer is lost. A request that may run only once
// must not be sent again, and its caller must not be told that it has not run. A
// repeatable request is offered to another upstream.
func TestLostAnswer(t *testing.T) {
	for _, c := range []struct {
		path       string
		wantStatus int
		wantRuns   int
	}{
		{"/once/", http.StatusBadGateway, 1},
		{"/again/", http.StatusBadGateway, 2}, // all answers are lost
	} {
		a, b := newUpstream(t, cutConnection), newUpstream(t, cutConnection)
		f := newFixture(t, testTimeout, a, b)
		got := f.send(t, context.Background(), c.path, nil)
		if got.status != c.wantStatus {
			t.Errorf("%s: got status %d, want %d", c.path, got.status, c.wantStatus)
		}
		if got := a.seen() + b.seen(); got != c.wantRuns {
			t.Errorf("%s: got %d runs, want %d", c.path, got, c.wantRuns)
		}
	}
}

// One upstream loses its answer, and the next refuses the request as not run. The refusal
// covers only the second offer; the first may have run, so the caller must be told that
// the outcome is unknown.
func TestUnknownOutcomeStaysUnknown(t *testing.T) {
	var offers atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		if offers.Add(1) == 1 {
			cutConnection(w, r)
		}
		refuseNotRun(w, r)
	}
	f := newFixture(t, testTimeout, newUpstream(t, serve), newUpstream(t, serve))
	got := f.send(t, context.Background(), "/again/", nil)
	if got, want := got.status, http.StatusBadGateway; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}

// A request that an upstream refuses without running it goes to another one, even if it
// may run only once, up to the route's number of attempts. Then the caller is told at once
// that it has not run, and when to retry.
func TestRefusedRequestIsRetriedElsewhere(t *testing.T) {
	full, free := newUpstream(t, refuseNotRun), newUpstream(t, answerOK)
	for i := range 6 { // the first upstream is chosen at random
		f := newFixture(t, testTimeout, full, free)
		if got := f.send(t, context.Background(), "/once/", nil); got.status != http.StatusOK {
			t.Errorf("entry %d: got status %d, want 200", i, got.status)
		}
	}
	if got := free.seen(); got != 6 {
		t.Errorf("answers: got %d, want 6", got)
	}

	none := []*upstream{newUpstream(t, refuseNotRun), newUpstream(t, refuseNotRun), newUpstream(t, refuseNotRun)}
	f := newFixture(t, testTimeout, none...)
	began := time.Now()
	got := f.send(t, context.Background(), "/once/", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("all full: got status %d Retry-After %q, want 503 and a time", got.status, got.header.Get("Retry-After"))
	}
	if took := time.Since(began); took > testTimeout*time.Millisecond/2 {
		t.Errorf("all full: refused after %v, want at once", took)
	}
	if got, limit := none[0].seen()+none[1].seen()+none[2].seen(), 2; got > limit {
		t.Errorf("upstreams offered to: got %d, want at most %d", got, limit)
	}
}

// A second answer to an earlier request arrives where the answer to the next one is due.
// The caller must not get it, since its ID belongs to another request.
func TestAnswerOfAnotherRequest(t *testing.T) {
	misrouted := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Id", "of another")
		w.Header().Set("X-Signed", "1")
		_, _ = io.WriteString(w, "not yours")
	})
	f := newFixture(t, testTimeout, misrouted)
	got := f.send(t, context.Background(), "/once/", nil)
	if got.status != http.StatusBadGateway || strings.Contains(got.body, "not yours") {
		t.Errorf("got status %d body %q, want 502 and nothing of the other answer", got.status, got.body)
	}
}

// An answer with a length breaks off. The caller must not take the part for the whole: a
// repeatable request is offered again, the other ends with an unknown outcome.
func TestTruncatedAnswer(t *testing.T) {
	short := func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	}
	f := newFixture(t, testTimeout, newUpstream(t, short))
	if got := f.send(t, context.Background(), "/once/", nil); got.status != http.StatusBadGateway {
		t.Errorf("once: got status %d, want 502", got.status)
	}
	var offers atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		if offers.Add(1) == 1 {
			short(w, r)
			return
		}
		answerOK(w, r)
	}
	f = newFixture(t, testTimeout, newUpstream(t, serve), newUpstream(t, serve))
	if got := f.send(t, context.Background(), "/again/", nil); got.status != http.StatusOK || got.body != "whole answer" {
		t.Errorf("again: got status %d body %q, want 200 and the whole answer", got.status, got.body)
	}
}

// An upstream answers 503 without stating that it has not run the request. Passed on, the
// status would tell the caller just that.
func TestStatusClaimingNotRunNeedsHeader(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f := newFixture(t, testTimeout, u)
	if got := f.send(t, context.Background(), "/once/", nil); got.status != http.StatusBadGateway {
		t.Errorf("got status %d, want 502", got.status)
	}
}

// An upstream is told how long the caller still waits, not how long it waited at the
// start.
func TestTimeBudgetIsRemainingTime(t *testing.T) {
	var offers atomic.Int32
	budgets := make(chan int, 2)
	serve := func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.Atoi(r.Header.Get("X-Budget"))
		budgets <- n
		if offers.Add(1) == 1 {
			time.Sleep(300 * time.Millisecond)
			refuseNotRun(w, r)
			return
		}
		answerOK(w, r)
	}
	f := newFixture(t, testTimeout, newUpstream(t, serve), newUpstream(t, serve))
	f.send(t, context.Background(), "/once/", map[string]string{"X-Budget": "2000"})
	first, second := <-budgets, <-budgets
	if first > 2000 || first < 1000 {
		t.Errorf("first offer: got a budget of %d ms, want little less than 2000", first)
	}
	if second > first-300 {
		t.Errorf("second offer: got a budget of %d ms after %d, want at least 300 less", second, first)
	}
}

// The caller disconnects while an upstream works. The upstream must notice soon, since its
// connection is closed.
func TestCallerDisconnectCancelsUpstream(t *testing.T) {
	began, stopped := make(chan struct{}), make(chan struct{})
	u := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(stopped)
	})
	f := newFixture(t, testTimeout, u)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-began; cancel() }()
	f.send(t, ctx, "/again/", nil)
	select {
	case <-stopped:
	case <-time.After(3 * time.Second):
		t.Error("the upstream still works 3 s after its caller left")
	}
	await(t, "nothing in flight", f.entry.Idle)
}

// No answer arrives within the route's timeout. The caller gets its final answer then, and
// isn't held until its own deadline.
func TestRouteTimeout(t *testing.T) {
	u := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f := newFixture(t, 300, u)
	began := time.Now()
	got := f.send(t, context.Background(), "/once/", map[string]string{"X-Budget": "60000"})
	took := time.Since(began)
	switch got.status {
	case http.StatusGatewayTimeout:
	case http.StatusServiceUnavailable:
		// On a busy machine the time may be over before the request is offered.
		time.Sleep(time.Second)
		if u.seen() > 0 {
			t.Error("got status 503 for a request that has run, want 504")
		}
	default:
		t.Errorf("got status %d, want 504, or 503 if it has not run", got.status)
	}
	if took < 300*time.Millisecond || took > 3*time.Second {
		t.Errorf("answered after %v, want soon after 300 ms", took)
	}
}

// Guards against a "not run" for a request whose time was over just as it was offered.
func TestRefusedAtTheRouteTimeoutHasNotRun(t *testing.T) {
	u := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f := newFixture(t, 2, u)
	refused := map[string]bool{}
	for i := range 100 {
		id := fmt.Sprint("id-", i)
		switch got := f.send(t, context.Background(), "/once/", map[string]string{"X-Id": id}); got.status {
		case http.StatusGatewayTimeout:
		case http.StatusServiceUnavailable:
			refused[id] = true
		default:
			t.Errorf("request %s: got status %d, want 504, or 503 if it has not run", id, got.status)
		}
	}
	time.Sleep(time.Second)
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.runs {
		if id := r.Header.Get("X-Id"); refused[id] {
			t.Errorf("request %s: got status 503 and has run, want 504", id)
		}
	}
	t.Logf("%d of 100 refused, %d reached the upstream", len(refused), len(u.runs))
}

// writeEvents writes the events with IDs from through to, and flushes each.
func writeEvents(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func eventsOf(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// An upstream dies within an event. The stream resumes at another one after the last
// complete event, so that its caller gets each event once and no part of one.
func TestStreamIsResumedAfterTheLastWholeEvent(t *testing.T) {
	var offers atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		if offers.Add(1) == 1 {
			writeEvents(w, 1, 3)
			_, _ = io.WriteString(w, "id: 4\ndata: tok")
			_ = http.NewResponseController(w).Flush()
			cutConnection(w, r)
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		writeEvents(w, last+1, 6)
	}
	f := newFixture(t, testTimeout, newUpstream(t, serve), newUpstream(t, serve))
	got := f.send(t, context.Background(), "/stream/", nil)
	if got.status != http.StatusOK || got.err != nil || got.body != eventsOf(1, 6) {
		t.Errorf("got status %d err %v body %q, want 200 and events 1 to 6", got.status, got.err, got.body)
	}
}

// No upstream can resume a stream that broke off. The caller must not take it for
// complete, so its connection ends without the end of the body.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	var offers atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		if offers.Add(1) > 1 {
			refuseNotRun(w, r)
			return
		}
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvents(w, 1, 2)
		cutConnection(w, r)
	}
	f := newFixture(t, testTimeout, newUpstream(t, serve), newUpstream(t, serve))
	got := f.send(t, context.Background(), "/stream/", nil)
	if got.err == nil || got.body != eventsOf(1, 2) {
		t.Errorf("got err %v body %q, want an error after events 1 and 2", got.err, got.body)
	}
}

// A planned stop begins while a stream runs. The stream is finished and its connection
// closed afterwards. When little time is left, requests on open connections are refused as
// not run, and go elsewhere.
func TestPlannedStop(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvents(w, 1, 1)
		<-release
		writeEvents(w, 2, 2)
	})
	f := newFixture(t, testTimeout, u)
	done := make(chan reply)
	go func() { done <- f.send(t, context.Background(), "/stream/", nil) }()
	await(t, "the stream has begun", func() bool { return u.seen() == 1 })
	f.entry.Drain()
	if got := f.entry.Ready(); got == "" {
		t.Error("a stopping entry reports that it is ready")
	}
	close(release)
	if got := <-done; got.body != eventsOf(1, 2) || got.err != nil {
		t.Errorf("stream during a stop: got body %q err %v, want both events", got.body, got.err)
	}
	f.entry.drainingAt.Store(int64(f.entry.now() - f.entry.cfg.GraceMillis + 500))
	got := f.send(t, context.Background(), "/stream/", map[string]string{"X-Id": "late"})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("late in the stop: got status %d, want 503 and a time", got.status)
	}
	if got := u.seen(); got != 1 {
		t.Errorf("requests at the upstream: got %d, want 1", got)
	}
}

// An upstream of another service may have taken over an address. The offer names the
// upstream that is meant, so that the other one can refuse without running the request.
func TestOfferNamesExpectedUpstream(t *testing.T) {
	u := newUpstream(t, answerOK)
	f := newFixture(t, testTimeout, u)
	f.send(t, context.Background(), "/once/", nil)
	if got, want := u.runs[0].Header.Get("X-Upstream"), "u0"; got != want {
		t.Errorf("upstream that is meant: got %q, want %q", got, want)
	}
}

// Guards against streams that start late in a planned stop and are cut off at its end.
func TestNoStreamStartsLateInStop(t *testing.T) {
	u := newUpstream(t, answerOK)
	f := newFixture(t, testTimeout, u)
	for range 64 { // sets the typical time of an answer to almost nothing
		f.send(t, context.Background(), "/again/", nil)
	}
	f.entry.drainingAt.Store(int64(f.entry.now() - 3000))
	if got := f.send(t, context.Background(), "/stream/", nil); got.status != http.StatusServiceUnavailable {
		t.Errorf("stream: got status %d, want 503", got.status)
	}
	if got := f.send(t, context.Background(), "/again/", map[string]string{"X-Budget": "4000"}); got.status != http.StatusOK {
		t.Errorf("plain request: got status %d, want 200", got.status)
	}
}

// An upstream was restarted, and its record still shows the old process. The new process
// refuses requests that name the old one. After the first refusal, all requests must go to
// another upstream.
func TestReplacedUpstreamGetsNoMoreRequests(t *testing.T) {
	other := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	f := newFixture(t, testTimeout, other, newUpstream(t, answerOK))
	for range 30 {
		if got := f.send(t, context.Background(), "/once/", nil); got.status != http.StatusOK {
			t.Errorf("got status %d, want 200", got.status)
		}
	}
	if got, limit := other.seen(), 1; got > limit {
		t.Errorf("requests at the new process: got %d, want at most %d", got, limit)
	}
}

// An upstream's VM freezes: it accepts connections and answers nothing, while others send
// events. Callers must not wait there until they give up: waiting streams go to another
// upstream, and nothing new is placed at this one.
func TestStreamsLeaveFrozenUpstream(t *testing.T) {
	frozen := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	healthy := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 40 {
			if r.Context().Err() != nil {
				return
			}
			writeEvents(w, i+1, i+1)
			time.Sleep(50 * time.Millisecond)
		}
	})
	f := newFixture(t, 8000, frozen, healthy)
	done := make(chan reply)
	const streams = 12
	for i := range streams {
		go func() { done <- f.send(t, context.Background(), "/stream/", map[string]string{"X-Id": fmt.Sprint(i)}) }()
	}
	for range streams {
		if got := <-done; got.status != http.StatusOK || got.body != eventsOf(1, 40) {
			t.Errorf("got status %d and %d bytes, want 200 and all events", got.status, len(got.body))
		}
	}
}

// A whole group stalls for some seconds, with all its streams, and then resumes. No
// upstream is silent while others send events, so no stream must leave.
func TestStalledGroupIsNotSilent(t *testing.T) {
	p := newFixture(t, testTimeout).entry.pool("s")
	p.lastContact["slow"], p.lastContact["quick"] = contact{at: 1, isEvent: true}, contact{at: 1, isEvent: true}
	p.recordEvent(1000, "quick")
	p.recordEvent(1000, "slow")
	p.recordEvent(5000, "quick") // the group resumes
	if p.isSilent(5010, "slow") {
		t.Error("silent right after the group resumed")
	}
	for now := burdockclock.Millis(5000); now < 6500; now += 60 {
		p.recordEvent(now, "quick")
	}
	if !p.isSilent(6500, "slow") {
		t.Error("not silent though the other has had events for a second and a half")
	}
	if p.isSilent(6500, "quick") {
		t.Error("silent though it has events")
	}
}

// All engines are full, and a stream's first event waits in its engine's queue for more
// than a second while other streams have events. Taking that for a lost connection gives
// callers "outcome unknown". Where first events typically take that long, it is a queue;
// elsewhere, it is the connection.
func TestSlowFirstEventsRaiseSilenceLimit(t *testing.T) {
	tests := []struct {
		name    string
		typical burdockclock.Millis // time to a first event
		wait    burdockclock.Millis
		want    bool
	}{
		{"typical first events, a second", 200, 1000, false},
		{"typical first events, well over a second", 200, 1300, true},
		{"late first events, well over a second", 600, 1300, false},
		{"late first events, as callers begin to give up", 600, 2300, true},
	}
	for _, test := range tests {
		p := newFixture(t, testTimeout).entry.pool("s")
		p.setFirstEventTimeout(2400)
		for range 200 {
			p.recordFirstEvent("other", test.typical)
		}
		const sent burdockclock.Millis = 5000
		p.lastContact["full"] = contact{at: sent}
		for now := sent - 1000; now <= sent+test.wait; now += 50 {
			p.recordEvent(now, "other")
		}
		if got := p.isSilent(sent+test.wait, "full"); got != test.want {
			t.Errorf("%s: silent: got %t, want %t", test.name, got, test.want)
		}
	}
}

// Operators change the event gap that callers accept, and the engines' figures. The limit
// on running streams must follow while the entry runs.
func TestStreamLimitFollowsConfiguration(t *testing.T) {
	f := newFixture(t, testTimeout, newUpstream(t, answerOK))
	p := f.entry.pool("s")
	plain := p.gate.load().Slots
	cfg := *f.site.Now().Config
	cfg.Version++
	cfg.Services = map[burdockid.Service]burdocksite.Service{"s": {Name: "s", Engine: &burdocksite.Engine{
		Slots: 12, StepsPerEvent: 4, BaseStepMillis: 4.5, StepMillisPerRequest: 0.9,
	}}}
	f.site.SetConfig(cfg)
	if got := p.gate.limit; got == nil {
		t.Fatal("no limit from the engines' figures")
	}
	if got := p.gate.load().Slots; got == plain {
		t.Errorf("streams that may run: got %d as before", got)
	}
	before := p.gate.limit.State(f.entry.now()).MaxPerEngine
	cfg.Version++
	cfg.Routes = slices.Clone(cfg.Routes)
	for i := range cfg.Routes {
		if cfg.Routes[i].Stream {
			cfg.Routes[i].MaxEventGap = cfg.Routes[i].MaxEventGap * 8 / 10
		}
	}
	f.site.SetConfig(cfg)
	if got := p.gate.limit.State(f.entry.now()).MaxPerEngine; got >= before {
		t.Errorf("requests at each engine with a shorter gap: got %.1f, want less than %.1f", got, before)
	}
}
