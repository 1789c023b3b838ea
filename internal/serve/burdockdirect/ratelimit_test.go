package burdockdirect

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// limitedUpstream is an upstream that names the rate limit that is set; "" for none.
type limitedUpstream struct {
	*upstream
	limit atomic.Value
}

func newLimitedUpstream(t *testing.T, limit string) *limitedUpstream {
	t.Helper()
	u := &limitedUpstream{}
	u.limit.Store(limit)
	u.upstream = newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		if text := u.limit.Load().(string); text != "" {
			w.Header().Set("X-Rate-Limit", text)
		}
		_, _ = io.WriteString(w, "whole answer")
	})
	return u
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
	u.limit.Store("many")
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
