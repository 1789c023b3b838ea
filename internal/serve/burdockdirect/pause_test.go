package burdockdirect

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
)

// pausingUpstream refuses requests and asks for a pause as long as one is set; "" for none,
// in which case it answers.
type pausingUpstream struct {
	*upstream
	retryAfter atomic.Value
}

func newPausingUpstream(t *testing.T, retryAfter string) *pausingUpstream {
	t.Helper()
	u := &pausingUpstream{}
	u.retryAfter.Store(retryAfter)
	u.upstream = newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		text := u.retryAfter.Load().(string)
		if text == "" {
			answerOK(w, r)
			return
		}
		w.Header().Set("Retry-After", text)
		refuseNotRun(w, r)
	})
	return u
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
