package burdockdirect

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// newEngines returns an entry in front of the engines of one group.
func newEngines(t *testing.T, upstreams ...*upstream) *fixture {
	t.Helper()
	f := newFixture(t, testTimeout, upstreams...)
	cfg := *f.site.Now().Config
	cfg.Version++
	cfg.Services = map[burdockid.Service]burdocksite.Service{"s": {Name: "s", Engine: &burdocksite.Engine{
		Slots: 12, StepsPerEvent: 4, BaseStepMillis: 4.5, StepMillisPerRequest: 0.9, ExpertShare: 0.85,
	}}}
	f.site.SetConfig(cfg)
	return f
}

// slow sets the speed of an upstream's engine.
func (f *fixture) slow(u *upstream, speed burdockspeed.Speed) {
	f.entry.SetSpeeds(map[string]burdockspeed.Speed{strings.TrimPrefix(u.server.URL, "http://"): speed})
}

// serveStream writes the remaining events of a stream of six.
func serveStream(w http.ResponseWriter, r *http.Request) {
	sign(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	writeEvents(w, last+1, 6)
}

// One engine of a group becomes slow, and all ranks wait for what runs on it, so every
// stream of the group is late. New streams must go elsewhere until the engine is fast
// again.
func TestSlowEngineGetsNoNewStreams(t *testing.T) {
	engines := []*upstream{newUpstream(t, serveStream), newUpstream(t, serveStream), newUpstream(t, serveStream)}
	f := newEngines(t, engines...)
	send := func(n int) {
		for i := range n {
			if got := f.send(t, context.Background(), "/stream/", map[string]string{"X-Id": fmt.Sprint(i)}); got.body != eventsOf(1, 6) {
				t.Fatalf("got body %q, want events 1 to 6", got.body)
			}
		}
	}
	const streams = 60
	f.slow(engines[0], 1/2.8)
	send(streams)
	if got, limit := engines[0].seen(), streams/10; got > limit {
		t.Errorf("streams at the slow engine: got %d, want at most %d of %d", got, limit, streams)
	}
	before := engines[0].seen()
	f.entry.SetSpeeds(nil)
	send(streams)
	if got := engines[0].seen() - before; got == 0 {
		t.Errorf("streams at the engine that has recovered: got none of %d", streams)
	}
}

// All engines of a group become equally slow. None is worse than the others, so the entry
// must still place streams on all of them.
func TestUniformlySlowGroupHasEqualWeights(t *testing.T) {
	members := map[burdockid.Upstream]burdocksite.Upstream{"a": {ID: "a", Address: "1:1"}, "b": {ID: "b", Address: "2:1"}}
	engine := &burdocksite.Engine{BaseStepMillis: 4.5, StepMillisPerRequest: 0.9, ExpertShare: 0.85}
	if got := speedWeights(engine, members, map[string]burdockspeed.Speed{"1:1": 0.25, "2:1": 0.25}, 7); len(got) != 0 {
		t.Errorf("weights: got %v, want none below 1", got)
	}
}

// An engine becomes slow while a stream runs on it. Until that stream ends, all streams of
// the group wait for its rank in each step. The stream resumes at another engine after its
// last event, and its caller gets each event once.
func TestStreamsLeaveAnEngineThatTurnsSlow(t *testing.T) {
	began, first := make(chan *http.Request, 1), sync.Once{}
	serve := func(w http.ResponseWriter, r *http.Request) {
		held := false
		first.Do(func() { held = true })
		if !held {
			serveStream(w, r)
			return
		}
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvents(w, 1, 3)
		began <- r
		<-r.Context().Done()
	}
	engines := []*upstream{newUpstream(t, serve), newUpstream(t, serve)}
	f := newEngines(t, engines...)
	done := make(chan reply, 1)
	go func() { done <- f.send(t, context.Background(), "/stream/", nil) }()
	slowed := engines[0]
	if r := <-began; r.Host != "" && engines[1].seen() > 0 {
		slowed = engines[1]
	}
	f.slow(slowed, 1/2.8)
	got := <-done
	if got.status != http.StatusOK || got.err != nil || got.body != eventsOf(1, 6) {
		t.Errorf("got status %d err %v body %q, want 200 and events 1 to 6", got.status, got.err, got.body)
	}
	if got, want := slowed.seen(), 1; got != want {
		t.Errorf("offers at the slow engine: got %d, want %d", got, want)
	}
}

// Guards against streams that stay at a slow engine until their deadline because their watch had
// not run yet when the engine turned slow.
func TestStreamLeavesAnEngineThatTurnsSlowBeforeItsWatchRuns(t *testing.T) {
	f := newEngines(t, newUpstream(t, serveStream), newUpstream(t, serveStream))
	p := f.entry.pool("s")
	route, _ := f.site.Now().Config.Match("127.0.0.1", "/stream/")
	o := &offers{entry: f.entry, pool: p, req: &request{route: route, service: "s"}}
	cancelled := make(chan error, 1)
	w := newOfferWatch(&attempt{offers: o, target: p.members["u0"]}, func(cause error) { cancelled <- cause })
	defer close(w.done)
	p.mu.Lock()
	p.migrations.migrate("u0")
	p.mu.Unlock()
	go w.run()
	select {
	case cause := <-cancelled:
		if cause != errEngineSlow {
			t.Errorf("cause: got %v, want %v", cause, errEngineSlow)
		}
	case <-time.After(5 * time.Second):
		t.Error("the stream stays at the slow engine")
	}
}

// A request that may run only once has been offered to an engine that becomes slow. It
// can't be offered again, so it stays and its caller gets the answer late.
func TestRequestsThatRunOnceStayAtASlowEngine(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	serve := func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-release
		answerOK(w, r)
	}
	u := newUpstream(t, serve)
	f := newEngines(t, u)
	done := make(chan reply, 1)
	go func() { done <- f.send(t, context.Background(), "/once/", nil) }()
	<-began
	f.slow(u, 0.1)
	close(release)
	if got := <-done; got.status != http.StatusOK || got.body != "whole answer" {
		t.Errorf("got status %d body %q, want 200 and the answer", got.status, got.body)
	}
}

// More streams run on an engine that becomes slow than the retry budget allows to move at
// once. A stream that is cut and then given up is lost to its caller, so those beyond the
// budget must stay, and every caller gets its whole stream.
func TestStreamsBeyondTheBudgetStayAtASlowEngine(t *testing.T) {
	const streams = 20
	began, release := make(chan struct{}, streams), make(chan struct{})
	slowed := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvents(w, 1, 3)
		began <- struct{}{}
		select {
		case <-release:
			writeEvents(w, 4, 6)
		case <-r.Context().Done():
		}
	})
	f := newEngines(t, slowed)
	cfg := *f.site.Now().Config
	cfg.Version++
	cfg.Services = map[burdockid.Service]burdocksite.Service{"s": {Name: "s", Engine: &burdocksite.Engine{
		Slots: 10 * streams, StepsPerEvent: 1, BaseStepMillis: 0.1, StepMillisPerRequest: 0.001, ExpertShare: 0.85,
	}}}
	f.site.SetConfig(cfg)
	done := make(chan reply, streams)
	for i := range streams {
		go func() { done <- f.send(t, context.Background(), "/stream/", map[string]string{"X-Id": fmt.Sprint(i)}) }()
	}
	await(t, "all streams run", func() bool { return len(began) == streams })
	fast := newUpstream(t, serveStream)
	f.put(fast)
	f.slow(slowed, 1/2.8)
	await(t, "some streams resume at the fast engine", func() bool { return fast.seen() > 0 })
	close(release)
	for range streams {
		if got := <-done; got.status != http.StatusOK || got.err != nil || got.body != eventsOf(1, 6) {
			t.Errorf("got status %d err %v body %q, want 200 and events 1 to 6", got.status, got.err, got.body)
		}
	}
	if got := fast.seen(); got >= streams {
		t.Errorf("streams that left: got all %d, want no more than the budget allows", got)
	}
}
