package burdockdirect

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/decide/burdockratelimit"
	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// slotRate is what the upstream of a slotFixture accepts a second.
const slotRate = 10

// slotFixture is an entry in front of one upstream that is cold or has a rate limit.
type slotFixture struct {
	*fixture
	now burdockclock.Millis
}

func newSlotFixture(t *testing.T, cold bool, routes ...burdocksite.Route) *slotFixture {
	t.Helper()
	f := &slotFixture{fixture: startFixture(t)}
	cfg := mixedConfig(routes...)
	service := cfg.Services["s"]
	service.ColdRate = slotRate
	cfg.Services["s"] = service
	f.site.SetConfig(*cfg)
	u := burdocksite.Upstream{ID: "u", Service: "s", Address: "10.0.0.2:80"}
	if cold {
		f.beOnlyEntry()
		u.ColdFor = burdockclock.Minute
	}
	f.site.PutUpstream(u)
	f.now = f.entry.now()
	if !cold {
		f.limitRate(u.ID)
	}
	return f
}

// limitRate makes the entry know a rate limit of an upstream, all of which is for it.
func (f *slotFixture) limitRate(u burdockid.Upstream) {
	f.beOnlyEntry()
	f.entry.pool("s").rateLimits.Observe(f.now, u, burdockratelimit.Response{Statement: burdockratelimit.Limited{Rate: slotRate}})
}

func (f *slotFixture) beOnlyEntry() {
	f.entry.SetEntries(burdocksharedrate.Listing{All: []burdockid.VM{"a"}, Self: "a", Known: true})
}

// place reports whether a request of a route is placed, and ends it.
func (f *slotFixture) place(route int) bool {
	cfg := f.site.Now().Config
	req := &request{route: &cfg.Routes[route], service: "s"}
	req.enginePriority = enginePriority(cfg, "s", SharedAdmissionAuto, burdockqueue.Class(req.route.Priority))
	p := f.entry.pool("s")
	u, _, ok := p.choose(f.now, req, nil, "")
	if ok {
		p.offerEnded(f.now, u.ID, req.cost)
	}
	return ok
}

// play offers requests of the less urgent route 1 all the time for 10 s, and one of route 0
// each urgentGap; 0 for none. It returns how many of each were placed.
func (f *slotFixture) play(urgentGap burdockclock.Millis) (urgent, lessUrgent int) {
	for at := burdockclock.Millis(0); at < 10*burdockclock.Second; at += 5 {
		f.now += 5
		if urgentGap > 0 && at%urgentGap == 0 && f.place(0) {
			urgent++
		}
		if f.place(1) {
			lessUrgent++
		}
	}
	return urgent, lessUrgent
}

// Less urgent work that takes each slot of a cold or rate-limited upstream as soon as there
// is one leaves none for urgent requests.
func TestUrgentRequestsGetTheSlotsFirst(t *testing.T) {
	for name, cold := range map[string]bool{"cold": true, "rate-limited": false} {
		f := newSlotFixture(t, cold, streamRoute("urgent", 0), streamRoute("batch", 7))
		urgent, lessUrgent := f.play(155) // 65 requests
		t.Logf("%s: %d urgent requests of 65 placed, %d less urgent", name, urgent, lessUrgent)
		if urgent < 58 {
			t.Errorf("%s: got %d urgent requests of 65 placed, want 58 at least", name, urgent)
		}
		// One each starvationBound, even if urgent requests could use all slots.
		if lessUrgent < 4 {
			t.Errorf("%s: got %d less urgent requests placed, want 4 at least", name, lessUrgent)
		}
		if got, most := urgent+lessUrgent, 10*slotRate+2; got > most {
			t.Errorf("%s: got %d requests in 10 s, want %d at most", name, got, most)
		}
	}
}

// Slots that nobody more urgent wants must not stay unused.
func TestLessUrgentUseTheWholeRateAlone(t *testing.T) {
	f := newSlotFixture(t, true, streamRoute("urgent", 0), streamRoute("batch", 7))
	f.place(0)
	f.now += urgentWindow
	if _, got := f.play(0); got < 10*slotRate-2 {
		t.Errorf("less urgent requests in 10 s: got %d, want %d at least", got, 10*slotRate-2)
	}
}

// A service without requests of mixed urgency must be served exactly as before.
func TestSlotsAreEqualWithoutMixedUrgency(t *testing.T) {
	f := newSlotFixture(t, true, streamRoute("first", 3), streamRoute("second", 3))
	_, got := f.play(burdockclock.Minute)
	if got < 10*slotRate-3 {
		t.Errorf("requests of the second route in 10 s: got %d, want %d at least", got, 10*slotRate-3)
	}
}

// A less urgent request that is refused must be told to return when it may get a slot, not
// when the next one comes.
func TestLessUrgentReturnsWhenASlotIsLeft(t *testing.T) {
	f := newSlotFixture(t, false, streamRoute("urgent", 0), streamRoute("batch", 7))
	f.place(1)
	f.now += burdockclock.Second
	f.place(0)
	f.now += 100
	req := &request{route: &f.site.Now().Config.Routes[1], service: "s", enginePriority: new(7)}
	p := f.entry.pool("s")
	if got := p.giveUpNoUpstream(f.now, req).RetryAfter; got < 100 {
		t.Errorf("retry of a less urgent request: got %d ms, want 100 at least", got)
	}
}
