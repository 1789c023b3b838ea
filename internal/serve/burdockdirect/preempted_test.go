package burdockdirect

import (
	"context"
	"net/http"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// Guards against cutting a stream that can't be resumed because its engine preempts it for a while.
func TestPausedStreamThatCannotBeResumedGoesOn(t *testing.T) {
	const pause = 2 * time.Second // two silence timeouts
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Header.Get("X-Id") == "paused" {
			writeEvents(w, 1, 2)
			time.Sleep(pause)
			writeEvents(w, 3, 4)
			return
		}
		for i := range 60 {
			writeEvents(w, i+1, i+1)
			time.Sleep(50 * time.Millisecond)
		}
	})
	f := newFixture(t, testTimeout, u)
	f.apply(2, burdocksite.Route{
		Name: "single", Host: "127.0.0.1", Prefix: "/stream/", Timeout: testTimeout, Objective: 200, MaxEventGap: 100, Stream: true,
		MaxAttempts: 2, Shares: []burdocksite.Share{{Service: "s", Weight: 1}},
	})
	other := make(chan reply, 1)
	go func() { other <- f.send(t, context.Background(), "/stream/", map[string]string{"X-Id": "other"}) }()
	got := f.send(t, context.Background(), "/stream/", map[string]string{"X-Id": "paused"})
	if got.status != http.StatusOK || got.err != nil || got.body != eventsOf(1, 4) {
		t.Errorf("paused stream: got status %d err %v body %q, want 200 and events 1 to 4", got.status, got.err, got.body)
	}
	if got := <-other; got.err != nil || got.body != eventsOf(1, 60) {
		t.Errorf("other stream: got err %v and %d bytes, want it whole", got.err, len(got.body))
	}
}
