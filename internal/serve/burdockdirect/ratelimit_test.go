package burdockdirect

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// newLimitedUpstream returns an upstream that names its text as its rate limit; none if that
// is empty.
func newLimitedUpstream(t *testing.T, limit string) *statingUpstream {
	t.Helper()
	return newStatingUpstream(t, limit, func(w http.ResponseWriter, r *http.Request, text string) {
		if text != "" {
			w.Header().Set("X-Rate-Limit", text)
		}
		answerOK(w, r)
	})
}

// observeLog makes the entry log to what is returned.
func (f *fixture) observeLog() *observer.ObservedLogs {
	core, logs := observer.New(zap.InfoLevel)
	f.entry.deps.Log = zap.New(core)
	return logs
}

func TestRateLimitLeavesALineWhenItChanges(t *testing.T) {
	u := newLimitedUpstream(t, "2.5")
	f := newFixture(t, testTimeout, u.upstream)
	logs := f.observeLog()
	f.send(t, context.Background(), "/again/", nil)
	u.text.Store("many")
	f.send(t, context.Background(), "/again/", nil)
	if got, want := logs.FilterMessage("rate limit of upstream changed").Len(), 1; got != want {
		t.Fatalf("lines: got %d, want %d", got, want)
	}
	line := logs.FilterMessage("rate limit of upstream changed").All()[0].ContextMap()
	if line["upstream"] != "u0" || line["to"] != 2.5 || line["from"] != "none" || line["requestId"] != "id-1" || line["refused"] != false {
		t.Errorf("line: got %v, want upstream u0 from none to 2.5, told in the answer of id-1", line)
	}
	if got, want := f.entry.pool("s").rateLimited(), 1; got != want {
		t.Errorf("upstreams with a limit: got %d, want %d", got, want)
	}
}

// ways are the ways in which choose comes to select the only upstream, by their reasons.
var ways = map[burdockplace.Reason]struct {
	ejected   bool
	route     int
	preferred burdockid.Upstream
}{
	burdockplace.ReasonNoPrefix: {route: routeAgain},
	reasonStay:                  {route: routeStream, preferred: "u0"},
	reasonProbe:                 {ejected: true, route: routeAgain},
	reasonLastResort:            {ejected: true, route: routeOnce},
}

// chooseBy returns the upstream and the reason of a choice that is made in one of the ways.
func (f *fixture) chooseBy(way burdockplace.Reason) (burdockid.Upstream, burdockplace.Reason, bool) {
	p, w := f.entry.pool("s"), ways[way]
	now := f.entry.now()
	if w.ejected {
		// The only upstream of a service isn't ejected.
		f.site.PutUpstream(burdocksite.Upstream{ID: "other", Service: "s", Address: "127.0.0.1:1"})
		for range 40 {
			p.observe(now, "u0", burdockeject.ConnectFailed{})
		}
		f.site.DropUpstream("other")
		now += burdockclock.Minute
	}
	target, reason, ok := p.choose(now, &request{route: &f.site.Now().Config.Routes[w.route]}, nil, w.preferred)
	return target.ID, reason, ok
}

// Guards against a way to an upstream on which its rate limit is not checked.
func TestEveryWayToAnUpstreamKeepsItsRateLimit(t *testing.T) {
	for way := range ways {
		f := newFixture(t, testTimeout, newLimitedUpstream(t, "1").upstream)
		if got, reason, ok := f.chooseBy(way); !ok || got != "u0" || reason != way {
			t.Errorf("way %s without a limit: got %q by %q, want u0", way, got, reason)
		}
		f = newFixture(t, testTimeout, newLimitedUpstream(t, "1").upstream)
		f.send(t, context.Background(), "/again/", nil)
		if got, reason, ok := f.chooseBy(way); ok {
			t.Errorf("way %s beyond the limit: got %q by %q, want none", way, got, reason)
		}
	}
}

// Guards against a second try that exceeds the limit of the upstream that is left.
func TestSecondTryKeepsTheRateLimit(t *testing.T) {
	limited := newLimitedUpstream(t, "1")
	failing := newUpstream(t, cutConnection)
	f := newFixture(t, testTimeout, limited.upstream)
	f.send(t, context.Background(), "/again/", nil)
	f.put(failing)
	for range 20 {
		f.send(t, context.Background(), "/again/", nil)
	}
	if got, want := limited.seen(), 1; got != want {
		t.Errorf("requests at the limited upstream: got %d, want %d", got, want)
	}
}

// Guards against a request that is refused because the upstream that should get it again is
// limited, while another one takes requests.
func TestRetryLeavesALimitedUpstream(t *testing.T) {
	f := newFixture(t, testTimeout, newLimitedUpstream(t, "1").upstream)
	f.send(t, context.Background(), "/again/", nil)
	f.put(newUpstream(t, answerOK))
	if got, _, ok := f.chooseBy(reasonStay); !ok || got != "u1" {
		t.Errorf("got %q, want u1", got)
	}
}

// Guards against requests that wait for an upstream with a rate limit until their time is
// over, or are told to return before it takes any.
func TestRequestBeyondAllRateLimitsIsRefusedAtOnce(t *testing.T) {
	limited := newLimitedUpstream(t, "0.05")
	f := newFixture(t, testTimeout, limited.upstream)
	f.entry.SetEntries(burdocksharedrate.Listing{All: []burdockid.VM{"a"}, Self: "a"})
	f.send(t, context.Background(), "/again/", nil)
	p := f.entry.pool("s")
	p.mu.Lock()
	next := p.nextRequestAt(f.entry.now())
	p.mu.Unlock()
	began := time.Now()
	got := f.send(t, context.Background(), "/again/", nil)
	if took := time.Since(began); got.status != http.StatusServiceUnavailable || took > burdockclock.Millis(testTimeout).Duration()/2 {
		t.Errorf("request beyond the limit: got status %d after %v, want 503 at once", got.status, took)
	}
	retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if want := (next - f.entry.now()).Duration().Seconds(); err != nil || retryAfter < want || want < 1 {
		t.Errorf("Retry-After: got %q, want %.3f s at least", got.header.Get("Retry-After"), want)
	}
}

// Guards against a limit that is taken for that of another process, or of whatever answers
// in an upstream's place.
func TestRateLimitOfAnotherProcessDoesNotCount(t *testing.T) {
	for name, serve := range map[string]http.HandlerFunc{
		"unsigned": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Rate-Limit", "1")
		},
		"misdirected": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.Header().Set("X-Not-Run", "1")
			w.Header().Set("X-Rate-Limit", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		},
		"for another request": func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.Header().Set("X-Id", "other")
			w.Header().Set("X-Rate-Limit", "1")
		},
	} {
		f := newFixture(t, testTimeout, newUpstream(t, serve))
		f.send(t, context.Background(), "/again/", nil)
		if got := f.entry.pool("s").rateLimited(); got != 0 {
			t.Errorf("%s: got %d limited upstreams, want none", name, got)
		}
	}
}

// Guards against a limit that outlives its end or the process that named it.
func TestRateLimitEnds(t *testing.T) {
	limited := newLimitedUpstream(t, "100")
	f := newFixture(t, testTimeout, limited.upstream)
	f.entry.SetEntries(burdocksharedrate.Listing{All: []burdockid.VM{"a"}, Self: "a"})
	f.send(t, context.Background(), "/again/", nil)
	limited.text.Store("")
	await(t, "limit ended", func() bool {
		f.send(t, context.Background(), "/again/", nil)
		return f.entry.pool("s").rateLimited() == 0
	})
	limited.text.Store("1")
	f.send(t, context.Background(), "/again/", nil)
	u := f.site.Now().Members("s")[0]
	u.StartedAt = 7
	f.site.PutUpstream(u)
	u.StartedAt = 8
	f.site.PutUpstream(u)
	if got := f.entry.pool("s").rateLimited(); got != 0 {
		t.Errorf("after a restart: got %d limited upstreams, want none", got)
	}
}

// Guards against a limit that is forgotten while the platform's list lacks the upstream.
func TestRateLimitOutlastsAGapInTheList(t *testing.T) {
	limited := newLimitedUpstream(t, "1")
	f := newFixture(t, testTimeout, limited.upstream)
	f.send(t, context.Background(), "/again/", nil)
	u := f.site.Now().Members("s")[0]
	f.site.DropUpstream("u0")
	f.site.PutUpstream(u)
	if got, reason, ok := f.chooseBy(burdockplace.ReasonNoPrefix); ok {
		t.Errorf("after the gap: got %q by %q, want none", got, reason)
	}
}
