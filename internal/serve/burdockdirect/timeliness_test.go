package burdockdirect

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/decide/burdocktimeliness"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// testGateSlots is the number of slots of a test gate's only upstream.
const testGateSlots = 40

// newTestGate returns the gate of a service without engines, in simulated time.
func newTestGate(shared bool) *gate {
	e := &Entry{deps: Deps{Clock: burdockclock.Wall(), Log: zap.NewNop()}, meters: newMeters(metrics.NewSet())}
	p := &pool{service: "s", entry: e, random: rand.New(rand.NewPCG(1, 2))}
	return newGate(e.deps.Clock, gateConfig{
		members: []burdocksite.Upstream{{ID: "u", Slots: testGateSlots}}, firstEventTimeout: 6000, shared: shared,
	}, p)
}

// A retry goes behind first attempts and is counted. Without shared admission nothing does.
func TestRetriesGoBehindFirstAttempts(t *testing.T) {
	for _, shared := range []bool{false, true} {
		g := newTestGate(shared)
		route := &burdocksite.Route{Name: "r", Stream: true, Objective: 800}
		rank := func(budget burdockclock.Millis) (burdockqueue.Class, *request) {
			now := g.clock.Boot()
			req := &request{CallerHeaders: CallerHeaders{TimeBudget: budget}, route: route, arrived: now, deadline: now + budget}
			queued := burdockqueue.Request{Class: 4}
			g.rank(req, &queued)
			return queued.Class, req
		}
		for range 64 {
			if got, _ := rank(3000); got != 4 {
				t.Fatalf("shared %v: class of a first attempt: got %d, want 4", shared, got)
			}
		}
		wantClass, wantCount := burdockqueue.Class(4), uint64(0)
		if shared {
			wantClass, wantCount = 5, 1
		}
		got, req := rank(3000 / 2)
		if got != wantClass {
			t.Errorf("shared %v: class of a retry: got %d, want %d", shared, got, wantClass)
		}
		if got := g.meters.retriesSeen.Get(); got != wantCount {
			t.Errorf("shared %v: retries seen: got %d, want %d", shared, got, wantCount)
		}
		if got := req.late == burdocktimeliness.ReasonRetry; got != shared {
			t.Errorf("shared %v: logged as a retry: got %v", shared, got)
		}
		g.mu.Lock()
		g.dispatch()
		g.mu.Unlock()
		if got := g.queueConfig().Classes[5].MaxRunning > 0; got != shared {
			t.Errorf("shared %v: late requests are bounded: got %v", shared, got)
		}
	}
}

// After the group of all engines was closed, callers that have waited start together at all
// entries; the limit must rise gradually then.
func TestRampBeginsAnewWhenTheGroupOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(true)
		g.reconfigure(gateConfig{
			engine:  &burdocksite.Engine{Slots: 200, StepsPerEvent: 4, BaseStepMillis: 4.5, StepMillisPerRequest: 0.01, Layers: 8},
			members: g.members, firstEventTimeout: 3000, maxEventGap: 120, shared: true,
		})
		for range 12 {
			g.limit.MaxStreams(g.clock.Boot(), g.ramp())
			time.Sleep(200 * time.Millisecond)
		}
		if got := g.currentRamp(); got != 0 {
			t.Fatalf("ramp: got %d, want it over", got)
		}
		for _, u := range []burdockid.Upstream{"u", "v", "u", "v"} {
			g.engineRefused(u, notRun{hadFreeSlots: true})
		}
		if g.openSignal() == nil {
			t.Fatal("the group isn't closed")
		}
		g.engineAccepted("u")
		if got, want := g.currentRamp(), 2; got != want {
			t.Errorf("ramp after the group opened: got %d, want %d", got, want)
		}
	})
}

// Guards against shared admission for services whose streams are equally urgent, and against
// none where the settings ask for it.
func TestSharedAdmissionSelection(t *testing.T) {
	engine := &burdocksite.Engine{Slots: 8}
	stream := func(priority int, objective burdockclock.Millis, service burdockid.Service) burdocksite.Route {
		return burdocksite.Route{Stream: true, Priority: priority, Objective: objective, Shares: []burdocksite.Share{{Service: service}}}
	}
	same := []burdocksite.Route{stream(1, 500, "s"), stream(1, 500, "s"), stream(2, 900, "other"), {Priority: 3, Shares: []burdocksite.Share{{Service: "s"}}}}
	priorities := []burdocksite.Route{stream(1, 500, "s"), stream(2, 500, "s")}
	objectives := []burdocksite.Route{stream(1, 500, "s"), stream(1, 900, "s")}
	for _, test := range []struct {
		name   string
		engine *burdocksite.Engine
		routes []burdocksite.Route
		mode   SharedAdmission
		want   bool
	}{
		{"same urgency", engine, same, "", false},
		{"priorities differ", engine, priorities, "", true},
		{"objectives differ", engine, objectives, SharedAdmissionAuto, true},
		{"switched on", engine, same, SharedAdmissionOn, true},
		{"switched off", engine, priorities, SharedAdmissionOff, false},
		{"plain service", nil, priorities, SharedAdmissionOn, false},
	} {
		snap := &burdocksite.Snapshot{Config: &burdocksite.Config{
			Routes: test.routes, Services: map[burdockid.Service]burdocksite.Service{"s": {Name: "s", Engine: test.engine}},
		}}
		if got := sharedAdmission(snap.Config, "s", test.mode); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
	if sharedAdmission(nil, "s", SharedAdmissionOn) {
		t.Error("without a configuration: got true, want false")
	}
}
