package burdockdirect

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"burdockbend.example/burdockbend/internal/decide/burdockretry"
)

// Guards against an empty success, which net/http sends for a handler that returns without
// an answer: the time is over while the request waits to be tried again.
func TestTimeOverBeforeRetryIsAnswered(t *testing.T) {
	own := &bufferedAnswer{status: http.StatusInternalServerError, header: http.Header{"X-Signed": {"1"}}, body: answerBody{pieces: [][]byte{[]byte("failed")}}}
	for _, c := range []struct {
		name    string
		paid    bool
		unknown *unknown
		want    int
	}{
		{"nothing ran", false, nil, http.StatusServiceUnavailable},
		{"nothing ran, retry paid", true, nil, http.StatusServiceUnavailable},
		{"outcome unknown", false, &unknown{reason: "no answer"}, http.StatusBadGateway},
		{"outcome unknown, retry paid", true, &unknown{reason: "no answer"}, http.StatusBadGateway},
		{"failed by the upstream", false, &unknown{errorAnswer: own}, http.StatusInternalServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, testTimeout)
			route, _ := f.site.Now().Config.Match("127.0.0.1", "/again/")
			w := httptest.NewRecorder()
			req := &request{route: route, service: "s", deadline: f.entry.now() + testTimeout}
			o := &offers{entry: f.entry, pool: f.entry.pool("s"), req: req, caller: &caller{entry: f.entry, w: w}, lastUnknown: c.unknown}
			o.retryPaid.Store(c.paid)
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			if ended := o.retryOrGiveUp(context.Background(), ctx, burdockretry.Failed{}); !ended {
				t.Error("the request goes on, want it ended")
			}
			if got := fmt.Sprint(w.Code, o.caller.answered); got != fmt.Sprint(c.want, true) {
				t.Errorf("got status and answered %s, want %d true", got, c.want)
			}
		})
	}
}

// Guards against an empty success to a caller that gave up waiting in the queue, but whose
// connection still stands.
func TestCallerThatLeavesTheQueueGetsNoSuccess(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answerOK(w, r)
	})
	f := newFixture(t, testTimeout, u)
	defer close(release)
	for range 40 {
		go f.post("/again/")
	}
	await(t, "the queue fills", func() bool { return f.entry.pool("s").gate.load().Queued > 0 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/again/", http.NoBody)
	r.Host = "127.0.0.1"
	r.Header.Set("X-Key", "key")
	w := httptest.NewRecorder()
	defer func() {
		if got := recover(); got != http.ErrAbortHandler {
			t.Errorf("got panic %v and status %d, want the connection aborted", got, w.Code)
		}
	}()
	f.entry.ServeHTTP(w, r)
}
