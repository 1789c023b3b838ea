package burdockdirect

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockbackpressure"
	"burdockbend.example/burdockbend/internal/decide/burdockratelimit"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// testDialect is a dialect with its own header names.
type testDialect struct{}

func (testDialect) ParseRequest(h http.Header) CallerHeaders {
	budget, _ := strconv.ParseInt(h.Get("X-Budget"), 10, 64)
	maximum, _ := strconv.ParseInt(h.Get("X-Max"), 10, 64)
	hint, _ := strconv.ParseInt(h.Get("X-Hint"), 10, 64)
	var shared []burdockid.PromptPart
	for _, part := range strings.Fields(h.Get("X-Parts")) {
		shared = append(shared, burdockid.PromptPart(part))
	}
	return CallerHeaders{
		SharedParts: shared,
		ID:          burdockid.Request(h.Get("X-Id")), APIKey: h.Get("X-Key"),
		TimeBudget: burdockclock.Millis(budget), LastEventID: h.Get("Last-Event-Id"),
		MaxOutputTokens: burdockid.Tokens(maximum), LengthHint: burdockid.Tokens(hint),
	}
}

func (testDialect) Prepare(h http.Header, out UpstreamHeaders) {
	h.Del("X-Key")
	h.Del("X-Priority")
	if out.Priority != nil {
		h.Set("X-Priority", strconv.Itoa(*out.Priority))
	}
	h.Set("X-Customer", string(out.Customer))
	h.Set("X-Upstream", string(out.ExpectedUpstream))
	h.Set("X-Budget", strconv.FormatInt(int64(out.TimeBudget), 10))
	if out.LastEventID != "" {
		h.Set("Last-Event-Id", out.LastEventID)
	}
}

func (testDialect) ParseResponse(status int, h http.Header) ResponseHeaders {
	res := ResponseHeaders{
		RequestID: burdockid.Request(h.Get("X-Id")), NotRun: h.Get("X-Not-Run") != "", FromUpstream: h.Get("X-Signed") != "",
		RateLimit: burdockratelimit.Parse(h.Get("X-Rate-Limit")), Leaving: h.Get("X-Leaving") != "",
	}
	if res.NotRun && status == http.StatusServiceUnavailable {
		res.Pause = burdockbackpressure.ParseRetryAfter(h.Get("Retry-After"), h.Get("Date"))
	}
	var load Load
	if n, _ := fmt.Sscanf(h.Get("X-Load"), "%d,%d,%d", &load.Running, &load.Waiting, &load.Slots); n == 3 {
		res.Load = &load
	}
	return res
}

// upstream is a fake upstream. It records the requests that it received.
type upstream struct {
	server *httptest.Server
	// address is used in place of that of a server.
	address string
	mu      sync.Mutex
	runs    []*http.Request
	bodies  []string
}

func (u *upstream) seen() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.runs)
}

func newUpstream(t *testing.T, serve http.HandlerFunc) *upstream {
	t.Helper()
	u := &upstream{}
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		u.mu.Lock()
		u.runs = append(u.runs, r)
		u.bodies = append(u.bodies, string(body))
		u.mu.Unlock()
		serve(w, r)
	}))
	t.Cleanup(u.server.Close)
	return u
}

// sign echoes a request's ID and marks the response as the upstream's own.
func sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signed", "1")
}

// statingUpstream is an upstream whose handler gets a text that tests set.
type statingUpstream struct {
	*upstream
	text atomic.Value
}

func newStatingUpstream(t *testing.T, text string, serve func(w http.ResponseWriter, r *http.Request, text string)) *statingUpstream {
	t.Helper()
	u := &statingUpstream{}
	u.text.Store(text)
	u.upstream = newUpstream(t, func(w http.ResponseWriter, r *http.Request) { serve(w, r, u.text.Load().(string)) })
	return u
}

func answerOK(w http.ResponseWriter, r *http.Request) {
	sign(w, r)
	_, _ = io.WriteString(w, "whole answer")
}

func refuseNotRun(w http.ResponseWriter, r *http.Request) {
	sign(w, r)
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// cutConnection resets the connection instead of answering.
func cutConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Positions of the routes in the fixture's configuration.
const (
	routeOnce = iota
	routeAgain
	routeStream
)

// fixture is an entry in front of some upstreams, with three routes: /once/ runs a request
// at most once, /again/ is idempotent, /stream/ has streams that may be resumed.
type fixture struct {
	entry *Entry
	site  *burdocksite.Site
	web   *httptest.Server
	// upstreams counts the upstreams added so far.
	upstreams int
}

func newFixture(t *testing.T, timeout burdockclock.Millis, upstreams ...*upstream) *fixture {
	t.Helper()
	f := startFixture(t)
	f.configure(1, timeout)
	for _, u := range upstreams {
		f.put(u)
	}
	return f
}

// put adds an upstream; the first is named u0.
func (f *fixture) put(u *upstream) { f.putStarted(u, 0) }

// putStarted is put for an upstream whose start time is known.
func (f *fixture) putStarted(u *upstream, startedAt burdockclock.Millis) {
	name := fmt.Sprint("u", f.upstreams)
	f.upstreams++
	address := u.address
	if u.server != nil {
		address = strings.TrimPrefix(u.server.URL, "http://")
	}
	f.site.PutUpstream(burdocksite.Upstream{
		ID: burdockid.Upstream(name), Service: "s", Address: address, DataCentre: "a", Slots: 4,
		StartedAt: startedAt,
	})
}

// startFixture starts an entry without configuration.
func startFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{site: burdocksite.New()}
	f.entry = New(Config{DataCentre: "a", GraceMillis: 8000}, Deps{
		Clock: burdockclock.System(), Site: f.site, Dialect: testDialect{}, Log: zap.NewNop(), Metrics: metrics.NewSet(), Seed: 1,
	})
	f.site.Subscribe(f.entry.ApplySnapshot)
	f.site.Update(func(b *burdocksite.Batch) { b.SetUpstreamsListed() })
	f.web = httptest.NewServer(f.entry)
	t.Cleanup(f.web.Close)
	return f
}

func (f *fixture) configure(version burdockid.Version, timeout burdockclock.Millis) {
	share := []burdocksite.Share{{Service: "s", Weight: 1}}
	f.apply(version,
		burdocksite.Route{Name: "once", Host: "127.0.0.1", Prefix: "/once/", Timeout: timeout, Objective: 200, Repeat: burdocksite.RepeatNever, MaxAttempts: 2, Shares: share},
		burdocksite.Route{Name: "again", Host: "127.0.0.1", Prefix: "/again/", Timeout: timeout, Objective: 200, Repeat: burdocksite.RepeatAlways, MaxAttempts: 2, Shares: share},
		burdocksite.Route{Name: "stream", Host: "127.0.0.1", Prefix: "/stream/", Timeout: timeout, Objective: 200, MaxEventGap: 100, Stream: true, Resumable: true, MaxAttempts: 2, Shares: share},
	)
}

// configureHost applies a configuration whose only route is /again/ of a host.
func (f *fixture) configureHost(version burdockid.Version, host string) {
	f.configurePrefix(version, host, "/again/")
}

// configurePrefix applies a configuration with one idempotent route.
func (f *fixture) configurePrefix(version burdockid.Version, host, prefix string) {
	f.apply(version, burdocksite.Route{
		Name: "again", Host: host, Prefix: prefix, Timeout: testTimeout, Objective: 200,
		Repeat: burdocksite.RepeatAlways, MaxAttempts: 2, Shares: []burdocksite.Share{{Service: "s", Weight: 1}},
	})
}

func (f *fixture) apply(version burdockid.Version, routes ...burdocksite.Route) {
	f.site.SetConfig(burdocksite.Config{
		Version: version, Routes: routes,
		Services:  map[burdockid.Service]burdocksite.Service{"s": {Name: "s"}},
		Customers: []burdocksite.Customer{{Name: "acme", Keys: []string{"key"}}},
	})
}

// reply is a caller's response.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (f *fixture) send(t *testing.T, ctx context.Context, path string, header map[string]string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.web.URL+path, strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Id", "id-1")
	req.Header.Set("X-Key", "key")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(body), err: err}
}

// post sends a request and drops its response.
func (f *fixture) post(path string) {
	req, err := http.NewRequest(http.MethodPost, f.web.URL+path, strings.NewReader("question"))
	if err != nil {
		return
	}
	req.Header.Set("X-Key", "key")
	if res, err := http.DefaultTransport.RoundTrip(req); err == nil {
		_ = res.Body.Close()
	}
}

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met: %s", what)
		}
	}
}
