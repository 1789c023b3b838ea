package burdockdirect

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/decide/burdockroom"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// newRoomEntry returns an entry with a service "plain" without engines, and services
// "even" and "mixed" with engines, of which the second has streams of two priorities.
func newRoomEntry(mode SharedAdmission, clock burdockclock.Clock) *Entry {
	site := burdocksite.New()
	engine := &burdocksite.Engine{Slots: 4, StepsPerEvent: 1, BaseStepMillis: 5, StepMillisPerRequest: 1}
	route := func(service burdockid.Service, priority int) burdocksite.Route {
		return burdocksite.Route{Stream: true, Priority: priority, MaxEventGap: 100, EventTimeout: 1000, Shares: []burdocksite.Share{{Service: service, Weight: 1}}}
	}
	site.SetConfig(burdocksite.Config{
		Version:  1,
		Services: map[burdockid.Service]burdocksite.Service{"plain": {}, "even": {Engine: engine}, "mixed": {Engine: engine}, "silent": {Engine: engine}},
		Routes:   []burdocksite.Route{route("plain", 0), route("plain", 1), route("even", 2), route("mixed", 0), route("mixed", 5)},
	})
	for i := range 2 {
		site.PutUpstream(burdocksite.Upstream{ID: burdockid.Upstream(fmt.Sprint("m", i)), Service: "mixed", Address: fmt.Sprint("10.0.0.1:", i)})
	}
	return New(Config{SharedAdmission: mode}, Deps{Clock: clock, Site: site, Dialect: testDialect{}, Log: zap.NewNop(), Metrics: metrics.NewSet(), Seed: 1})
}

// Guards against shared admission for services that are to be served as before.
func TestSharedServicesFollowTheSetting(t *testing.T) {
	for mode, want := range map[SharedAdmission]string{"": "[mixed]", SharedAdmissionOff: "[]", SharedAdmissionAuto: "[mixed]", SharedAdmissionOn: "[even mixed]"} {
		if got := fmt.Sprint(newRoomEntry(mode, burdockclock.System()).SharedServices()); got != want {
			t.Errorf("%q: got %s, want %s", mode, got, want)
		}
	}
}

// Guards against a report that leaves out late requests of a priority, which wait in a
// queue class of their own, or that lists more than the coordinator accepts.
func TestRoomReportSumsDemandByPriority(t *testing.T) {
	e := newRoomEntry(SharedAdmissionOn, burdockclock.NewManual(burdockclock.Hour).Clock())
	g := e.pool("mixed").gate
	capacity := e.RoomReport("mixed").Capacity
	if capacity <= 0 {
		t.Fatalf("capacity: got %v, want more than 0", capacity)
	}
	g.mu.Lock()
	offer := func(id string, class burdockqueue.Class, customer string, cost burdockid.Tokens) {
		g.queue.Offer(g.clock.Boot(), burdockqueue.Request{ID: burdockid.Request(id), Customer: burdockid.Customer(customer), Class: class, Cost: cost})
	}
	for i := range g.slots {
		offer(fmt.Sprint("running", i), 0, "acme", 1)
	}
	offer("in time", 10, "acme", 70)
	offer("late", 11, "acme", 20)
	g.timeliness.lateRoom[5] = g.slots + 1
	for i := range burdockroom.MaxCustomers {
		offer(fmt.Sprint("waiting", i), 18, fmt.Sprint("customer", i), 30)
	}
	slots := g.slots
	g.mu.Unlock()
	p := e.pool("mixed")
	p.mu.Lock()
	for i := range burdockroom.MaxEngines + 1 {
		p.inFlight[burdockid.Upstream(fmt.Sprint("e", i))] = 1 + i%2
	}
	p.mu.Unlock()

	r := e.RoomReport("mixed")
	for i, d := range r.Demands {
		want := map[int]burdockroom.Demand{0: {Running: slots}, 5: {Waiting: 2}, 9: {Waiting: burdockroom.MaxCustomers}}[i]
		want.Priority = i
		if d != want {
			t.Errorf("demand: got %+v, want %+v", d, want)
		}
	}
	if got, want := r.Customers[0], (burdockroom.CustomerDemand{Priority: 5, Customer: "acme", Waiting: 2, Cost: 90}); got != want || len(r.Customers) != burdockroom.MaxCustomers {
		t.Errorf("customers: got %+v first of %d, want %+v of %d", got, len(r.Customers), want, burdockroom.MaxCustomers)
	}
	if got := r.Engines[len(r.Engines)-1]; len(r.Engines) != burdockroom.MaxEngines || r.Engines[0].Streams != 2 || got.Streams != 1 {
		t.Errorf("engines: got %d, want the %d with most streams", len(r.Engines), burdockroom.MaxEngines)
	}
	g.timeliness.lateRoom[5] = g.slots
	if got := e.RoomReport("mixed").Demands[5].Waiting; got != 1 {
		t.Errorf("waiting with no room left for late requests: got %d, want 1", got)
	}
	if r.Slowdown != 0 {
		t.Errorf("slowdown: got %v, want 0 before any was measured", r.Slowdown)
	}
}

// Guards against a new coordinator, which knows nothing yet, that voids a valid part, and
// against a part that outlasts its end.
func TestLearningPartKeepsValidOne(t *testing.T) {
	clock := burdockclock.NewManual(burdockclock.Hour)
	e := newRoomEntry(SharedAdmissionOn, clock.Clock())
	g := e.pool("mixed").gate
	check := func(what string, want []int) {
		t.Helper()
		g.mu.Lock()
		defer g.mu.Unlock()
		if got := g.roomLimits(g.clock.Boot()); !slices.Equal(got, want) {
			t.Errorf("%s: got limits %v, want %v", what, got, want)
		}
	}
	check("none yet", nil)
	e.SetRoomPart("mixed", burdockroom.Part{Limits: []int{7, 5}}, burdockclock.Hour+600)
	e.SetRoomPart("mixed", burdockroom.Part{Learning: true}, burdockclock.Hour+700)
	check("learning", []int{7, 5})
	clock.Advance(600)
	check("expired", nil)
	e.SetRoomPart("mixed", burdockroom.Part{Learning: true}, burdockclock.Hour+1200)
	check("learning after the end", nil)
	e.SetRoomPart("mixed", burdockroom.Part{Limits: []int{9, 9}}, burdockclock.Hour+1300)
	check("learned", []int{9, 9})
}

// Guards against a part that bounds only the entry's total: a request of a priority with no
// room left would start in a slot that is kept for more urgent ones.
func TestPartBoundsEachPriority(t *testing.T) {
	e := newRoomEntry(SharedAdmissionOn, burdockclock.NewManual(burdockclock.Hour).Clock())
	g := e.pool("mixed").gate
	e.SetRoomPart("mixed", burdockroom.Part{Limits: []int{3, 3, 3, 3, 3, 1, 1, 1, 1, 1}}, burdockclock.Hour+600)
	g.mu.Lock()
	defer g.mu.Unlock()
	offer := func(id string, priority int) bool {
		class := burdockqueue.Class(queueClassesPerPriority * priority)
		_, started := g.queue.Offer(g.clock.Boot(), burdockqueue.Request{ID: burdockid.Request(id), Class: class}).(burdockqueue.Start)
		return started
	}
	for i, c := range []struct {
		priority int
		want     bool
	}{{5, true}, {5, false}, {0, true}, {0, true}, {0, false}} {
		if got := offer(fmt.Sprint("r", i), c.priority); got != c.want {
			t.Errorf("request %d of priority %d started: got %t, want %t", i, c.priority, got, c.want)
		}
	}
}

// Guards against an engine that cuts off every request at once: it looks idle, so that it
// would get most of all requests where the least loaded engine is chosen.
func TestFailedOffersCountAsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newRoomEntry(SharedAdmissionOn, burdockclock.System()).pool("mixed")
		p.holdFailed("m0")
		if got := p.takeEngineLoads(); len(got) != 1 || got[0].Streams != failedWeight {
			t.Errorf("reported after a failure: got %v, want m0 with %d", got, failedWeight)
		}
		req := &request{service: "mixed", route: &burdocksite.Route{Stream: true}}
		p.setRoomLoads(p.entry.now(), []burdockroom.EngineLoad{{Engine: "m0", Streams: failedWeight}, {Engine: "m1", Streams: 2}})
		if u, _, ok := p.choose(p.entry.now(), req, nil, ""); !ok || u.ID != "m1" {
			t.Errorf("chosen: got %q, want the other engine", u.ID)
		}
		time.Sleep(p.typicalAnswerTime().Duration())
		synctest.Wait()
		for _, l := range p.takeEngineLoads() {
			if l.Engine == "m0" {
				t.Errorf("reported after the time of an answer: got %v, want nothing for m0", l)
			}
		}
	})
}

// Guards against counting an entry's own streams twice: those that it has started since its
// report, and those that the coordinator has from it.
func TestRoomLoadsAddOnlyOthersStreams(t *testing.T) {
	p := newRoomEntry(SharedAdmissionOn, burdockclock.System()).pool("mixed")
	p.mu.Lock()
	p.inFlight["m0"], p.inFlight["m1"] = 3, 1
	p.mu.Unlock()
	p.takeEngineLoads()
	p.mu.Lock()
	p.inFlight["m0"] = 1
	p.mu.Unlock()
	// m0 has 3 of this entry's as reported and 1 now; m1 has 3 of others.
	p.setRoomLoads(p.entry.now(), []burdockroom.EngineLoad{{Engine: "m0", Streams: 3}, {Engine: "m1", Streams: 4}})
	if u, _, ok := p.choose(p.entry.now(), &request{service: "mixed", route: &burdocksite.Route{Stream: true}}, nil, ""); !ok || u.ID != "m0" {
		t.Errorf("chosen: got %q, want m0, which has one stream", u.ID)
	}
}

// Guards against less urgent requests that never start while urgent ones wait at every entry:
// the division grants a start to the priority that has waited too long, and the queue of the
// entry would give it to an urgent request.
func TestStarvedPriorityGetsTheStart(t *testing.T) {
	clock := burdockclock.NewManual(burdockclock.Hour)
	e := newRoomEntry(SharedAdmissionOn, clock.Clock())
	g := e.pool("mixed").gate
	limits := func(n int) {
		e.SetRoomPart("mixed", burdockroom.Part{Limits: slices.Repeat([]int{n}, numPriorities)}, g.clock.Boot()+600)
	}
	offer := func(id string, priority int) {
		class := burdockqueue.Class(queueClassesPerPriority * priority)
		g.queue.Offer(g.clock.Boot(), burdockqueue.Request{ID: burdockid.Request(id), Class: class})
	}
	limits(1)
	g.mu.Lock()
	offer("running", 0)
	offer("batch", 5)
	g.mu.Unlock()
	// No request waits for as long as the bound, but one always does.
	clock.Advance(starvationBound * 3 / 4)
	g.mu.Lock()
	offer("batch again", 5)
	g.mu.Unlock()
	clock.Advance(starvationBound / 4)
	g.mu.Lock()
	offer("urgent", 0)
	g.mu.Unlock()
	limits(2)
	if got := e.RoomReport("mixed").Demands[5]; got.Running != 1 {
		t.Errorf("batch requests: got %+v, want one running", got)
	}
}
