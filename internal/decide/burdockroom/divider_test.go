package burdockroom

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/joomcode/errorx"
)

// learned returns a divider past its learning time.
func learned(t *testing.T, room float64) (*Divider, burdockclock.Millis) {
	d := New(Config{})
	handle(t, d, 0, Report{Entry: "first", Capacity: room})
	return d, defaultForgetAfter + 1 // the first entry is forgotten by then
}

// handle numbers a report by its time.
func handle(t *testing.T, d *Divider, now burdockclock.Millis, r Report) Part {
	t.Helper()
	r.Sequence = uint64(now) + 1
	part, err := d.Handle(now, r)
	if err != nil {
		t.Fatalf("Handle(%v): got error %v, want none", r, err)
	}
	return part
}

// Guards against reports of a faulty entry that spoil the division for all.
func TestInvalidReportsChangeNothing(t *testing.T) {
	figures := func(capacity, slowdown float64) func(r *Report) {
		return func(r *Report) { r.Capacity, r.Slowdown = capacity, slowdown }
	}
	demands := func(d ...Demand) func(r *Report) { return func(r *Report) { r.Demands = d } }
	customers := func(c ...CustomerDemand) func(r *Report) { return func(r *Report) { r.Customers = c } }
	engines := func(l ...EngineLoad) func(r *Report) { return func(r *Report) { r.Engines = l } }
	for field, spoil := range map[string][]func(r *Report){
		"entry":              {func(r *Report) { r.Entry = "" }},
		"sequence":           {func(r *Report) { r.Sequence-- }, func(*Report) {}},
		"process":            {func(r *Report) { r.Process = 1 }},
		"capacity":           {figures(math.NaN(), 1), figures(math.Inf(1), 1), figures(-1, 1), figures(1e9, 1)},
		"slowdown":           {figures(1, math.NaN()), figures(1, math.Inf(1)), figures(1, -1), figures(1, 1e9)},
		"demands.priority":   {demands(Demand{Priority: 10}), demands(Demand{Priority: -1}), demands(Demand{}, Demand{})},
		"demands.running":    {demands(Demand{Running: -1}), demands(Demand{Running: 1e9})},
		"demands.waiting":    {demands(Demand{Waiting: -1}), demands(Demand{Waiting: 1e9})},
		"customers":          {customers(make([]CustomerDemand, MaxCustomers+1)...)},
		"customers.priority": {customers(CustomerDemand{Priority: 10})},
		"customers.customer": {customers(CustomerDemand{Customer: "a"}, CustomerDemand{Customer: "a"})},
		"customers.waiting":  {customers(CustomerDemand{Waiting: -1}), customers(CustomerDemand{Waiting: 1e9})},
		"customers.cost":     {customers(CustomerDemand{Cost: -1}), customers(CustomerDemand{Cost: math.MaxInt64})},
		"engines":            {engines(make([]EngineLoad, MaxEngines+1)...)},
		"engines.engine":     {engines(EngineLoad{}), engines(EngineLoad{Engine: "a"}, EngineLoad{Engine: "a"})},
		"engines.streams":    {engines(EngineLoad{Engine: "a", Streams: -1}), engines(EngineLoad{Engine: "a", Streams: 1e9})},
	} {
		for i, change := range spoil {
			d := New(Config{})
			good := Report{
				Entry: "a", Process: 1, Sequence: 7, Capacity: 10, Demands: []Demand{{Running: 2, Waiting: 3}},
				Customers: []CustomerDemand{{Customer: "c", Waiting: 3}}, Engines: []EngineLoad{{Engine: "u", Streams: 2}},
			}
			for ; good.Process <= 2; good.Process++ {
				if _, err := d.Handle(1000, good); err != nil {
					t.Fatalf("valid report: got error %v, want none", err)
				}
			}
			bad := good
			bad.Process = 2
			if field != "sequence" {
				bad.Sequence++
			}
			change(&bad)
			before := d.State(1000)
			_, err := d.Handle(1600, bad)
			if got := FieldOf(err); !errorx.IsOfType(err, InvalidReport) || got != field {
				t.Errorf("%s, case %d: got error %v of field %q, want one of the field", field, i, err, got)
			}
			if got := d.State(1000); !reflect.DeepEqual(got, before) {
				t.Errorf("%s, case %d: got state %+v, want %+v", field, i, got, before)
			}
		}
	}
}

// Guards against room that is lost with an entry, or given out twice when it comes back.
func TestSilentEntryHoldsWhatItRan(t *testing.T) {
	d, now := learned(t, 100)
	silent := Report{Entry: "silent", Capacity: 100, Demands: []Demand{{Running: 20, Waiting: 500}}}
	busy := Report{Entry: "busy", Capacity: 100, Demands: []Demand{{Waiting: 1000}}}
	if got := handle(t, d, now, silent).Limits[0]; got < 80 {
		t.Errorf("limit of the only entry: got %d, want at least the 80 that it asks for", got)
	}
	for _, c := range []struct{ after, want burdockclock.Millis }{{100, 0}, {700, 80}, {defaultForgetAfter + 1, 100}} {
		if got := handle(t, d, now+c.after, busy).Limits[0]; got != int(c.want) {
			t.Errorf("limit %d ms after another entry fell silent: got %d, want %d", c.after, got, c.want)
		}
	}
	if got := handle(t, d, now+defaultForgetAfter+50, silent).Limits[0]; got > 0 {
		t.Errorf("limit of an entry that returns while another holds the room: got %d, want 0", got)
	}
}

// Guards against a surge of the least urgent that leaves nothing for urgent arrivals.
func TestRushOfLeastUrgentLeavesReserve(t *testing.T) {
	f := newFleet(t, 4, 100, map[int]float64{9: 300})
	f.run(3 * burdockclock.Second)
	if got := f.run(5 * burdockclock.Second); got > 95 || got < 90 {
		t.Errorf("streams of the least urgent: got %d, want 90 to 95 of 100", got)
	}
	f.entries[3].load[0] = 30
	f.run(300)
	if got := f.entries[3].served[0]; got < 5 {
		t.Errorf("urgent starts within 0.3 s: got %d, want at least 5", got)
	}
}

// Guards against places of less urgent streams that are used again while urgent work waits
// at another entry.
func TestEndedStreamsLeavePlacesToUrgentWork(t *testing.T) {
	d, now := learned(t, 100)
	rush := Report{Entry: "rush", Capacity: 100, Demands: []Demand{{Priority: 9, Running: 100, Waiting: 50}}}
	urgent := Report{Entry: "urgent", Capacity: 100, Demands: []Demand{{Waiting: 30}}}
	handle(t, d, now, rush)
	handle(t, d, now+1, urgent)
	if got := handle(t, d, now+100, rush).Limits[9]; got > 70 {
		t.Errorf("limit of the least urgent while 30 urgent requests wait elsewhere: got %d, want 70 at most", got)
	}
	rush.Demands[0].Running = 75
	handle(t, d, now+200, rush)
	if got := handle(t, d, now+201, urgent).Limits[0]; got < 20 {
		t.Errorf("limit of the urgent once 25 streams ended: got %d, want at least 20", got)
	}
}

// Guards against an entry whose demand grows but whose share stays small.
func TestGrowingDemandGetsUnusedRoom(t *testing.T) {
	f := newFleet(t, 16, 160, map[int]float64{5: 80})
	f.run(5 * burdockclock.Second)
	e := f.entries[0]
	e.load[5] = 1000
	f.run(300)
	if got := e.running; got < 40 {
		t.Errorf("streams 0.3 s after the demand of an entry grew, with half of 160 unused: got %d, want at least 40", got)
	}
}

// Guards against entries without demand that may start nothing, and reports that cost too much.
func TestIdleEntriesMayStart(t *testing.T) {
	d, now := learned(t, 700)
	for round := range burdockclock.Millis(4) {
		for i := range 350 {
			r := Report{Entry: burdockid.VM(fmt.Sprint("e", i)), Capacity: 700}
			if i > 100 {
				r.Demands = []Demand{{Running: 1}}
			}
			part := handle(t, d, now+round*300, r)
			if round == 3 && slices.Min(part.Limits) < 1 {
				t.Errorf("limits of entry %d: got %v, want at least 1", i, part.Limits)
			}
			if round == 3 && part.NextReport != 250 { // 249 busy ones at 1,200 reports a second less 202 of idle ones
				t.Fatalf("next report: got %d, want 250", part.NextReport)
			}
		}
	}
}

// Guards against sums over all entries that keep what an entry no longer reports.
func TestPartShowsAllEntries(t *testing.T) {
	d, now := learned(t, 100)
	report := func(entry burdockid.VM, running int, engines ...EngineLoad) Report {
		return Report{Entry: entry, Capacity: float64(running), Slowdown: float64(running), Demands: []Demand{{Running: running}}, Engines: engines}
	}
	handle(t, d, now, report("a", 30, EngineLoad{"u1", 10}, EngineLoad{"u2", 20}))
	handle(t, d, now, report("b", 10, EngineLoad{"u2", 10}))
	handle(t, d, now+100, report("a", 30, EngineLoad{"u2", 5}, EngineLoad{"u3", 25}))
	part := handle(t, d, now+101, report("b", 10, EngineLoad{"u2", 10}))
	if want := []EngineLoad{{"u2", 15}, {"u3", 25}}; !slices.Equal(part.Loads, want) {
		t.Errorf("loads: got %v, want %v", part.Loads, want)
	}
	if part.Room != 25 || part.Slowdown != 25 || part.Running != 40 {
		t.Errorf("room, slowdown, running: got %d, %v, %d, want 25, 25, 40", part.Room, part.Slowdown, part.Running)
	}
	part = handle(t, d, now+defaultForgetAfter+102, report("c", 10))
	if len(part.Loads) != 0 || part.Running != 10 {
		t.Errorf("loads and running when all others are forgotten: got %v, %d, want none, 10", part.Loads, part.Running)
	}
}

// Guards against a new coordinator that grants room which entries that it hasn't heard from
// use, and entries that use the whole room each when all of them restart.
func TestRestarts(t *testing.T) {
	const room = 640
	f := newFleet(t, 16, room, map[int]float64{0: 0.5 * room, 9: room})
	f.run(3 * burdockclock.Second)
	f.divider = New(Config{})
	if part := handle(t, f.divider, f.now, Report{Entry: "another", Capacity: room}); !part.Learning || part.Limits != nil {
		t.Errorf("first part: got learning %v, limits %v, want learning without limits", part.Learning, part.Limits)
	}
	if got := f.run(2 * burdockclock.Second); got > room*105/100 {
		t.Errorf("streams while a coordinator is replaced: got %d, want 1.05 of %d at most", got, room)
	}
	for _, e := range f.entries {
		e.Process, e.ends, e.limits, e.arriving = e.Process+1, [Priorities][]burdockclock.Millis{}, nil, nil
	}
	if got := f.run(burdockclock.Second); got > room*105/100 || f.running < room*85/100 {
		t.Errorf("streams after a restart of all entries: got %d at most, %d after a second, want 1.05 and 0.85 of %d", got, f.running, room)
	}
}

// Guards against a priority that never starts while more urgent work takes all of the room.
func TestStarvingPriorityGetsAStart(t *testing.T) {
	f := newFleet(t, 4, 20, map[int]float64{0: 60})
	f.entries[0].load = [Priorities]float64{9: 60}
	f.run(3 * burdockclock.Second)
	f.run(15 * burdockclock.Second)
	if got := f.entries[0].served[9]; got < 5 || got > 8 {
		t.Errorf("starts of the starving priority in 15 s: got %d, want 5 to 8", got)
	}
}

// Guards against an entry that keeps the room that it had when a surge began elsewhere.
func TestRoomPassesToAnEntryWithoutStreams(t *testing.T) {
	d, now := learned(t, 100)
	had := Report{Entry: "had", Capacity: 100, Demands: []Demand{{Running: 100, Waiting: 100}}}
	handle(t, d, now, had)
	handle(t, d, now+1, Report{Entry: "new", Capacity: 100, Demands: []Demand{{Waiting: 100}}})
	if got := handle(t, d, now+100, had).Limits[0]; got > 90 || got < 70 {
		t.Errorf("limit of the entry that runs 100 streams: got %d, want 70 to 90", got)
	}
}

// Guards against entries that never start anything because their part is less than a stream.
func TestPartsOfAStreamReachEachEntry(t *testing.T) {
	f := newFleet(t, 64, 120, map[int]float64{0: 640})
	f.run(60 * burdockclock.Second)
	for _, e := range f.entries {
		if e.served[0] == 0 {
			t.Errorf("starts of entry %s in 60 s: got 0, want some", e.Entry)
		}
	}
}

// Guards against a customer that gets a share at each of many entries, and one that keeps its
// share when another one comes that has had nothing.
func TestCustomersShareOverAllEntries(t *testing.T) {
	d, now := learned(t, 40)
	shares := func(at burdockclock.Millis, first, others burdockid.Customer) (own, other float64) {
		for i := range 9 {
			c := CustomerDemand{Customer: others, Waiting: 40, Cost: 4000}
			if i == 0 {
				c.Customer = first
			}
			handle(t, d, at, Report{Entry: burdockid.VM(fmt.Sprint("e", i)), Capacity: 40, Demands: []Demand{{Waiting: 40}}, Customers: []CustomerDemand{c}})
		}
		d.divide(at)
		return d.division.shares[0].of(d.entries["e0"], 0), d.division.shares[0].of(d.entries["e1"], 0)
	}
	shares(now, "a", "b")
	if one, each := shares(now+100, "a", "b"); one < 15 || each > 3 {
		t.Errorf("shares: got %.1f for one customer and %.1f for each of 8 entries of another, want about 20 and 2.5", one, each)
	}
	for at := now + 500; at < now+4000; at += 500 {
		shares(at, "a", "b")
	}
	if one, each := shares(now+4000, "new", "b"); one < 35 || each > 1 {
		t.Errorf("shares: got %.1f for a new customer and %.1f for each of 8 entries of another, want about 40 and 0", one, each)
	}
}
