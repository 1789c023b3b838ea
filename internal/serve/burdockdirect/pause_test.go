package burdockdirect

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
)

// newPausingUpstream returns an upstream that refuses requests and asks for a pause as long as
// its text; it answers if that is empty.
func newPausingUpstream(t *testing.T, retryAfter string) *statingUpstream {
	t.Helper()
	return newStatingUpstream(t, retryAfter, func(w http.ResponseWriter, r *http.Request, text string) {
		if text == "" {
			answerOK(w, r)
			return
		}
		w.Header().Set("Retry-After", text)
		refuseNotRun(w, r)
	})
}

func TestPauseLeavesALineWhenItBegins(t *testing.T) {
	f := newFixture(t, testTimeout, newPausingUpstream(t, "2.5").upstream)
	logs := f.observeLog()
	f.send(t, context.Background(), "/again/", nil)
	lines := logs.FilterMessage("upstream asks for a pause").All()
	if len(lines) != 1 {
		t.Fatalf("lines: got %d, want 1", len(lines))
	}
	if line := lines[0].ContextMap(); line["upstream"] != "u0" || line["pauseMillis"] != int64(2500) || line["requestId"] != "id-1" {
		t.Errorf("line: got %v, want upstream u0, 2500 ms, told to id-1", line)
	}
	if got, want := f.entry.pool("s").pausing(), 1; got != want {
		t.Errorf("upstreams that pause: got %d, want %d", got, want)
	}
}

// Guards against a way to an upstream on which the pause that it asked for is not checked.
func TestEveryWayToAnUpstreamKeepsItsPause(t *testing.T) {
	for way := range ways {
		f := newFixture(t, testTimeout, newPausingUpstream(t, "300").upstream)
		f.send(t, context.Background(), "/again/", nil)
		if got, reason, ok := f.chooseBy(way); ok {
			t.Errorf("way %s in the pause: got %q by %q, want none", way, got, reason)
		}
	}
}

// Guards against a pause that is longer or shorter than what the upstream asked for.
func TestPauseEnds(t *testing.T) {
	u := newPausingUpstream(t, "0.4")
	f := newFixture(t, testTimeout, u.upstream)
	began := time.Now()
	f.send(t, context.Background(), "/again/", nil)
	u.text.Store("")
	for f.send(t, context.Background(), "/again/", nil).status != http.StatusOK {
		if time.Since(began) > 10*time.Second {
			t.Fatal("no answer in 10 s, want one after the pause")
		}
	}
	if took := time.Since(began); took < 400*time.Millisecond {
		t.Errorf("next request: got one after %v, want none in 400 ms", took)
	}
}

// Guards against callers that wait for upstreams that all pause, or are told to return
// before any of them takes requests.
func TestRequestWhileAllPauseIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, testTimeout, newPausingUpstream(t, "90").upstream, newPausingUpstream(t, "40").upstream)
	f.send(t, context.Background(), "/again/", nil)
	f.send(t, context.Background(), "/again/", nil)
	began := time.Now()
	got := f.send(t, context.Background(), "/again/", nil)
	if took := time.Since(began); got.status != http.StatusServiceUnavailable || took > burdockclock.Millis(testTimeout).Duration()/2 {
		t.Errorf("request while all pause: got status %d after %v, want 503 at once", got.status, took)
	}
	retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if err != nil || retryAfter < 30 {
		t.Errorf("Retry-After: got %q, want some 40 s at least", got.header.Get("Retry-After"))
	}
}

// Guards against the requests of upstreams that pause being added to those of the others.
func TestFewerRequestsRunWhileUpstreamsPause(t *testing.T) {
	u := newPausingUpstream(t, "60")
	f := newFixture(t, testTimeout, u.upstream, newUpstream(t, answerOK))
	gate := f.entry.pool("s").gate
	if got, want := gate.load().Slots, 8; got != want {
		t.Fatalf("slots of both: got %d, want %d", got, want)
	}
	f.sendUntilSeen(t, u.upstream)
	if got, want := gate.load().Slots, 4; got != want {
		t.Errorf("slots while one pauses: got %d, want %d", got, want)
	}
}

// Guards against slots that are lost after a pause.
func TestSlotsCountAgainAfterAPause(t *testing.T) {
	u := newPausingUpstream(t, "0.3")
	f := newFixture(t, testTimeout, u.upstream, newUpstream(t, answerOK))
	f.sendUntilSeen(t, u.upstream)
	await(t, "both may get requests", func() bool { return f.entry.pool("s").gate.load().Slots == 8 })
}

// sendUntilSeen sends requests until an upstream has received one.
func (f *fixture) sendUntilSeen(t *testing.T, u *upstream) {
	t.Helper()
	await(t, "the upstream has received a request", func() bool {
		f.send(t, context.Background(), "/again/", nil)
		return u.seen() > 0
	})
}

// Guards against a group that stays unused for the pause that its engines asked for while it
// was closed, and against a pause that is then ignored.
func TestGroupOpenedAllowsOneRequestInAPause(t *testing.T) {
	u := newPausingUpstream(t, "60")
	f := newFixture(t, testTimeout, u.upstream)
	f.send(t, context.Background(), "/again/", nil)
	u.text.Store("")
	for range 3 {
		f.entry.NotifyGroupOpened("g")
		for range 3 {
			f.send(t, context.Background(), "/again/", nil)
		}
	}
	if got, want := u.seen(), 2; got != want {
		t.Errorf("requests: got %d, want %d: the refused one and one after the group has opened", got, want)
	}
}

// Guards against engines that ask for a pause being taken for a closed group, which would
// keep callers from the others.
func TestPausingEnginesDoNotCloseTheirGroup(t *testing.T) {
	f := newFixture(t, testTimeout, newPausingUpstream(t, "60").upstream, newPausingUpstream(t, "60").upstream, newPausingUpstream(t, "60").upstream)
	f.lockStep(2000)
	for range 3 {
		f.send(t, context.Background(), "/stream/", nil)
	}
	if f.entry.pool("s").gate.openSignal() != nil {
		t.Error("got a closed group, want none")
	}
}

// Guards against a pause that is forgotten while the platform's list lacks the upstream.
func TestPauseOutlastsAGapInTheList(t *testing.T) {
	f := newFixture(t, testTimeout, newPausingUpstream(t, "60").upstream)
	f.send(t, context.Background(), "/again/", nil)
	u := f.site.Now().Members("s")[0]
	f.site.DropUpstream("u0")
	f.site.PutUpstream(u)
	if got, reason, ok := f.chooseBy(burdockplace.ReasonNoPrefix); ok {
		t.Errorf("after the gap: got %q by %q, want none", got, reason)
	}
	u.StartedAt = 7
	f.site.PutUpstream(u)
	u.StartedAt = 8
	f.site.PutUpstream(u)
	if got, _, ok := f.chooseBy(burdockplace.ReasonNoPrefix); !ok || got != "u0" {
		t.Errorf("after a restart: got %q, want u0", got)
	}
}

// Guards against a Retry-After that is taken for a pause though it is not the upstream's.
func TestPauseOfAnotherProcessDoesNotCount(t *testing.T) {
	for name, serve := range map[string]http.HandlerFunc{
		"misdirected": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.Header().Set("X-Not-Run", "1")
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(http.StatusMisdirectedRequest)
		},
		"for another request": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", "other")
			w.Header().Set("X-Not-Run", "1")
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"not a refusal": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		f := newFixture(t, testTimeout, newUpstream(t, serve))
		f.send(t, context.Background(), "/again/", nil)
		if got := f.entry.pool("s").pausing(); got != 0 {
			t.Errorf("%s: got %d upstreams that pause, want none", name, got)
		}
	}
}
