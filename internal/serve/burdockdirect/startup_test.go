package burdockdirect

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// startEmpty starts an entry that has read nothing from the store.
func startEmpty(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{site: burdocksite.New()}
	f.entry = New(Config{DataCentre: "a", GraceMillis: 8000}, Deps{
		Clock: burdockclock.System(), Site: f.site, Dialect: testDialect{}, Log: zap.NewNop(), Metrics: metrics.NewSet(), Seed: 1,
	})
	f.site.Subscribe(f.entry.ApplySnapshot)
	f.web = httptest.NewServer(f.entry)
	t.Cleanup(f.web.Close)
	return f
}

// All VMs are back after a power cut, and their callers return before the entries have read
// the configuration and the upstreams. They must be served once both are there, and the
// entry must not call itself ready before.
func TestCallersWaitWhileEntryStarts(t *testing.T) {
	f := startEmpty(t)
	got := make(chan reply)
	go func() { got <- f.send(t, context.Background(), "/once/", nil) }()
	await(t, "the caller waits", func() bool { return f.entry.starting.Load() == 1 })
	if f.entry.Ready() == "" {
		t.Error("without a configuration: got the entry ready")
	}
	f.configure(1, testTimeout)
	if f.entry.Ready() == "" {
		t.Error("without upstreams: got the entry ready")
	}
	u := newUpstream(t, answerOK)
	f.put(u)
	f.site.Update(func(b *burdocksite.Batch) { b.SetUpstreamsListed() })
	if got := <-got; got.status != http.StatusOK || got.body != "whole answer" {
		t.Errorf("got status %d body %q, want the answer", got.status, got.body)
	}
	if got, want := strings.Join(u.bodies, ","), "question"; got != want {
		t.Errorf("body at the upstream: got %q, want %q", got, want)
	}
	if got := f.entry.Ready(); got != "" {
		t.Errorf("afterwards: got not ready, %q", got)
	}
}

// The store doesn't answer. Callers are refused truthfully and in time to go elsewhere, and
// a flood of them does not fill the entry's memory.
func TestStartingEntryRefusesInTime(t *testing.T) {
	f := startEmpty(t)
	got := f.send(t, context.Background(), "/once/", map[string]string{"X-Budget": "100"})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, want 503 and a time", got.status, got.header.Get("Retry-After"))
	}
	f.entry.starting.Store(maxStartupWaiting)
	if got := f.send(t, context.Background(), "/once/", nil); got.status != http.StatusServiceUnavailable {
		t.Errorf("with too many waiting: got status %d, want 503", got.status)
	}
}
