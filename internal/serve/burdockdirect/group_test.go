package burdockdirect

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocklockstep"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// lockStep configures a fixture's upstreams as lock-step engines, whose callers wait for a
// first event for the given time.
func (f *fixture) lockStep(firstEventTimeout burdockclock.Millis) {
	cfg := *f.site.Now().Config
	cfg.Version++
	for i := range cfg.Routes {
		if cfg.Routes[i].Stream {
			cfg.Routes[i].EventTimeout = firstEventTimeout
		}
	}
	cfg.Services = map[burdockid.Service]burdocksite.Service{"s": {Name: "s", Engine: &burdocksite.Engine{
		Slots: 12, StepsPerEvent: 4, BaseStepMillis: 4.5, StepMillisPerRequest: 0.9, Layers: 2,
	}}}
	f.site.SetConfig(cfg)
}

// lockStepGroup simulates engines that refuse everything until their group opens, and send
// no events while it is stalled.
type lockStepGroup struct {
	open, stalled atomic.Bool
	started       atomic.Int64 // streams
}

func (g *lockStepGroup) serve(w http.ResponseWriter, r *http.Request) {
	if !g.open.Load() {
		refuseNotRun(w, r)
		return
	}
	g.started.Add(1)
	sign(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 3; i++ {
		for g.stalled.Load() {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(time.Millisecond):
			}
		}
		writeEvents(w, i, i)
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against refusing callers during the second in which a group forms again. Those
// whose first attempt was cut off by the failure have no retry left. There are no more
// callers than the retries that an entry always has, since each may find out once that the
// group is closed.
func TestCallersWaitWhileGroupForms(t *testing.T) {
	const callers = minRetries - 2
	g := &lockStepGroup{}
	f := newFixture(t, 30_000, newUpstream(t, g.serve), newUpstream(t, g.serve), newUpstream(t, g.serve))
	f.lockStep(20 * burdockclock.Second)
	gate := f.entry.pool("s").gate
	replies := f.sendMany(t, callers, func() {
		await(t, "all wait", func() bool {
			load := gate.load()
			return load.Queued+load.Running == callers && gate.openSignal() != nil
		})
		g.open.Store(true)
	})
	for i, got := range replies {
		if got.status != http.StatusOK || got.body != eventsOf(1, 3) {
			t.Errorf("caller %d: got status %d body %q, want 200 and the whole stream", i, got.status, got.body)
		}
	}
}

// sendMany sends streams from several callers, 10 ms apart, calls meanwhile, and returns
// the responses.
func (f *fixture) sendMany(t *testing.T, callers int, meanwhile func()) []reply {
	t.Helper()
	replies := make([]reply, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			replies[i] = f.send(t, context.Background(), "/stream/", map[string]string{"X-Id": fmt.Sprint("id-", i)})
		})
	}
	meanwhile()
	wg.Wait()
	return replies
}

// Guards against holding callers until their time is over if the group doesn't open. They
// are refused with a Retry-After.
func TestCallersAreRefusedIfGroupStaysClosed(t *testing.T) {
	g := &lockStepGroup{}
	f := newFixture(t, 30_000, newUpstream(t, g.serve), newUpstream(t, g.serve))
	f.lockStep(2 * burdockclock.Second)
	for i, got := range f.sendMany(t, 10, func() {}) {
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("caller %d: got status %d and Retry-After %q, want 503 and a time", i, got.status, got.header.Get("Retry-After"))
		}
	}
}

// Guards against filling stalled engines. When the group resumes, every stream would be
// late.
func TestNoStreamStartsWhileGroupIsStalled(t *testing.T) {
	g := &lockStepGroup{}
	g.open.Store(true)
	f := newFixture(t, 30_000, newUpstream(t, g.serve), newUpstream(t, g.serve))
	f.lockStep(20 * burdockclock.Second)
	gate := f.entry.pool("s").gate
	state := func() burdocklockstep.State {
		gate.mu.Lock()
		defer gate.mu.Unlock()
		return gate.updateGroupState(gate.clock.Boot())
	}
	f.sendMany(t, 12, func() {
		time.Sleep(30 * time.Millisecond)
		g.stalled.Store(true)
		await(t, "the group is found stalled", func() bool { return state() == burdocklockstep.Stalled })
		before := g.started.Load()
		replies := make(chan reply)
		go func() { replies <- f.send(t, context.Background(), "/stream/", nil) }()
		await(t, "the caller waits", func() bool { return gate.load().Queued == 1 })
		if got := g.started.Load(); got != before {
			t.Errorf("streams started while the group is stalled: got %d, want none", got-before)
		}
		g.stalled.Store(false)
		if got := <-replies; got.status != http.StatusOK {
			t.Errorf("the waiting caller: got status %d, want 200", got.status)
		}
	})
}
