package burdockdirect

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
)

// Guards against slow requests that are accepted late in a planned stop, because the answers of
// their service are quick on average, and cut off at its end.
func TestNoRequestIsAcceptedThatAStopMayCut(t *testing.T) {
	u := newUpstream(t, answerOK)
	f := newFixture(t, testTimeout, u)
	for range 64 { // sets the typical time of an answer to almost nothing
		f.send(t, context.Background(), "/again/", nil)
	}
	for _, c := range []struct {
		path          string
		stoppingSince burdockclock.Millis
		budget        string
		want          int
	}{
		{"/once/", 5500, "", http.StatusServiceUnavailable},
		{"/again/", 5500, "", http.StatusServiceUnavailable},
		{"/stream/", 5500, "", http.StatusServiceUnavailable},
		{"/once/", 5500, "1500", http.StatusOK},
		{"/again/", 5500, "1500", http.StatusOK},
		{"/once/", 4000, "3000", http.StatusOK},
		{"/once/", 100, "", http.StatusOK},
		{"/again/", 100, "", http.StatusOK},
	} {
		t.Run(fmt.Sprint(c.path, c.stoppingSince, c.budget), func(t *testing.T) {
			f.entry.drainingAt.Store(int64(f.entry.now() - c.stoppingSince))
			before := u.seen()
			got := f.send(t, context.Background(), c.path, map[string]string{"X-Budget": c.budget})
			if got.status != c.want {
				t.Errorf("got status %d, want %d", got.status, c.want)
			}
			if got, want := u.seen()-before, boolInt(c.want == http.StatusOK); got != want {
				t.Errorf("requests at the upstream: got %d, want %d", got, want)
			}
		})
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against requests that may run once and are accepted early in a planned stop although
// they may take longer than it.
func TestRequestsThatRunOnceNeedTheirWholeTimeInAStop(t *testing.T) {
	u := newUpstream(t, answerOK)
	f := newFixture(t, 20_000, u)
	f.entry.Drain()
	if got, want := f.send(t, context.Background(), "/once/", nil).status, http.StatusServiceUnavailable; got != want {
		t.Errorf("request that may run once: got status %d, want %d", got, want)
	}
	if got, want := f.send(t, context.Background(), "/again/", nil).status, http.StatusOK; got != want {
		t.Errorf("idempotent request: got status %d, want %d", got, want)
	}
}

// Guards against retries during a planned stop whose answers its end would cut off.
func TestNoRetryStartsLateInStop(t *testing.T) {
	var f *fixture
	refuse := func(w http.ResponseWriter, r *http.Request) {
		f.entry.drainingAt.CompareAndSwap(0, int64(f.entry.now()-5500))
		refuseNotRun(w, r)
	}
	a, b := newUpstream(t, refuse), newUpstream(t, refuse)
	f = newFixture(t, testTimeout, a, b)
	got := f.send(t, context.Background(), "/once/", nil)
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "stopping") {
		t.Errorf("got status %d body %q, want 503 because of the stop", got.status, got.body)
	}
	if got, want := a.seen()+b.seen(), 1; got != want {
		t.Errorf("offers: got %d, want %d", got, want)
	}
}

// sendUntilReached sends a request again while a busy machine keeps its upstream out of reach.
func (f *fixture) sendUntilReached(t *testing.T, path string) reply {
	t.Helper()
	for {
		got := f.send(t, context.Background(), path, nil)
		if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, string(burdockretry.ReasonNoUpstream)) {
			return got
		}
	}
}

// Guards against connections that end without an answer when a planned stop runs out of time.
func TestEndOfStopAnswersOpenRequests(t *testing.T) {
	u := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f := newFixture(t, testTimeout, u)
	const slots = 4
	replies := make(chan reply)
	for range slots + 1 {
		go func() { replies <- f.sendUntilReached(t, "/once/") }()
	}
	await(t, "one request waits, the others run", func() bool {
		load := f.entry.pool("s").gate.load()
		return load.Queued == 1 && u.seen() == slots
	})
	f.entry.EndRequests()
	byStatus := map[int]int{}
	for range slots + 1 {
		byStatus[(<-replies).status]++
	}
	if byStatus[http.StatusBadGateway] != slots || byStatus[http.StatusServiceUnavailable] != 1 {
		t.Errorf("replies by status: got %v, want %d of 502 and one of 503", byStatus, slots)
	}
	if got, want := f.entry.meters.stopped.Get(), uint64(slots+1); got != want {
		t.Errorf("requests ended by the stop: got %d, want %d", got, want)
	}
}

// Guards against 502, which tells the caller that its request may have run, for one that is ended
// before any upstream got it.
func TestRequestEndedBeforeItsFirstOfferHasNotRun(t *testing.T) {
	u := newUpstream(t, answerOK)
	f := newFixture(t, testTimeout, u)
	route, _ := f.site.Now().Config.Match("127.0.0.1", "/once/")
	target, _, ok := f.entry.pool("s").choose(f.entry.now(), &request{route: route}, nil, "")
	if !ok {
		t.Fatal("no upstream to choose")
	}
	for _, cause := range []error{errStopped, errPartQuarantined} {
		t.Run(cause.Error(), func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(context.Background())
			cancel(cause)
			w := httptest.NewRecorder()
			req := &request{
				route: route, service: "s", method: http.MethodPost, target: "/once/", header: http.Header{}, deadline: f.entry.now() + testTimeout,
			}
			o := newOffers(f.entry.pool("s"), req, &caller{entry: f.entry, w: w}, f.entry.parts.watch(req, cancel), cancel)
			res := (&attempt{offers: o, target: target}).run(ctx)
			if _, ok := res.(ended); !ok {
				t.Errorf("offer: got %#v, want ended", res)
			}
			o.run(context.Background(), ctx)
			if got, want := w.Code, http.StatusServiceUnavailable; got != want {
				t.Errorf("got status %d body %q, want %d", got, w.Body, want)
			}
		})
	}
	if got := u.seen(); got != 0 {
		t.Errorf("requests at the upstream: got %d, want none", got)
	}
}
