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
	for field, spoil := range map[string][]func(r *Report){
		"entry":    {func(r *Report) { r.Entry = "" }},
		"sequence": {func(r *Report) { r.Sequence-- }, func(*Report) {}},
		"process":  {func(r *Report) { r.Process = 1 }},
		"capacity": {
			func(r *Report) { r.Capacity = math.NaN() }, func(r *Report) { r.Capacity = math.Inf(1) },
			func(r *Report) { r.Capacity = -1 }, func(r *Report) { r.Capacity = 1e9 },
		},
		"slowdown": {func(r *Report) { r.Slowdown = math.NaN() }, func(r *Report) { r.Slowdown = -1 }, func(r *Report) { r.Slowdown = 1e9 }},
		"demands.priority": {
			func(r *Report) { r.Demands = []Demand{{Priority: 10}} }, func(r *Report) { r.Demands = []Demand{{Priority: -1}} },
			func(r *Report) { r.Demands = []Demand{{Priority: 3}, {Priority: 3}} },
		},
		"demands.running":    {func(r *Report) { r.Demands = []Demand{{Running: -1}} }, func(r *Report) { r.Demands = []Demand{{Running: 1e9}} }},
		"demands.waiting":    {func(r *Report) { r.Demands = []Demand{{Waiting: -1}} }, func(r *Report) { r.Demands = []Demand{{Waiting: 1e9}} }},
		"customers":          {func(r *Report) { r.Customers = make([]CustomerDemand, MaxCustomers+1) }},
		"customers.priority": {func(r *Report) { r.Customers = []CustomerDemand{{Priority: 10}} }},
		"customers.customer": {func(r *Report) { r.Customers = []CustomerDemand{{Customer: "a"}, {Customer: "a"}} }},
		"customers.waiting":  {func(r *Report) { r.Customers = []CustomerDemand{{Waiting: -1}} }},
		"customers.cost":     {func(r *Report) { r.Customers = []CustomerDemand{{Cost: -1}} }, func(r *Report) { r.Customers = []CustomerDemand{{Cost: math.MaxInt64}} }},
		"engines":            {func(r *Report) { r.Engines = make([]EngineLoad, MaxEngines+1) }},
		"engines.engine":     {func(r *Report) { r.Engines = []EngineLoad{{}} }, func(r *Report) { r.Engines = []EngineLoad{{Engine: "a"}, {Engine: "a"}} }},
		"engines.streams":    {func(r *Report) { r.Engines = []EngineLoad{{Engine: "a", Streams: -1}} }},
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

// Guards against a new coordinator that grants room which entries that it hasn't heard from use.
func TestReplacedCoordinatorLearnsFirst(t *testing.T) {
	room := 100.0
	f := newFleet(t, 16, int(room), map[int]float64{0: 0.5 * room, 9: room})
	f.run(5 * burdockclock.Second)
	f.divider = New(Config{})
	if part := handle(t, f.divider, f.now, Report{Entry: "another", Capacity: room}); !part.Learning || part.Limits != nil {
		t.Errorf("first part: got learning %v, limits %v, want learning without limits", part.Learning, part.Limits)
	}
	if got := f.run(2 * burdockclock.Second); float64(got) > 1.05*room {
		t.Errorf("streams while a coordinator is replaced: got %d, want %v at most", got, 1.05*room)
	}
}

// Guards against room that is lost with an entry, or given out twice when it comes back.
func TestSilentEntryHoldsWhatItRan(t *testing.T) {
	d, now := learned(t, 100)
	silent := Report{Entry: "silent", Capacity: 100, Demands: []Demand{{Running: 20, Waiting: 60}}}
	busy := Report{Entry: "busy", Capacity: 100, Demands: []Demand{{Waiting: 1000}}}
	if got := handle(t, d, now, silent).Limits[0]; got < 80 {
		t.Errorf("limit of the only entry: got %d, want at least the 80 that it asks for", got)
	}
	for _, c := range []struct{ after, want burdockclock.Millis }{{100, 0}, {700, 80}, {defaultForgetAfter + 1, 100}} {
		if got := handle(t, d, now+c.after, busy).Limits[0]; got != int(c.want) && c.after > 100 || got > 20 && c.after == 100 {
			t.Errorf("limit %d ms after another entry fell silent: got %d, want %d", c.after, got, c.want)
		}
	}
	if got := handle(t, d, now+defaultForgetAfter+50, silent).Limits[0]; got > 0 {
		t.Errorf("limit of an entry that returns while another holds the room: got %d, want 0", got)
	}
}

// Guards against a priority that never starts while more urgent work takes all of the room.
func TestStarvingPriorityGetsAStart(t *testing.T) {
	f := newFleet(t, 4, 20, map[int]float64{0: 60})
	f.entries[0].load, f.entries[0].load[9] = [Priorities]float64{}, 60
	f.run(3 * burdockclock.Second)
	for i := range 5 {
		f.count(3 * burdockclock.Second)
		if got := f.entries[0].served[9]; got < 1 || got > 4 {
			t.Errorf("starts of the starving priority in span %d of 3 s: got %d, want 1 to 4", i, got)
		}
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
	handle(t, d, now, Report{Entry: "urgent", Capacity: 100, Demands: []Demand{{Waiting: 30}}})
	part := handle(t, d, now+1, Report{Entry: "rush", Capacity: 100, Demands: []Demand{{Priority: 9, Running: 100, Waiting: 50}}})
	if got := part.Limits[9]; got > 70 {
		t.Errorf("limit of the least urgent while 30 urgent requests wait elsewhere: got %d, want 70 at most", got)
	}
	handle(t, d, now+100, Report{Entry: "rush", Capacity: 100, Demands: []Demand{{Priority: 9, Running: 75, Waiting: 50}}})
	if got := handle(t, d, now+101, Report{Entry: "urgent", Capacity: 100, Demands: []Demand{{Waiting: 30}}}).Limits[0]; got < 20 {
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

// Guards against a customer that gets a share at each of many entries.
func TestCustomersShareOverAllEntries(t *testing.T) {
	d, now := learned(t, 40)
	report := func(i int) Report {
		r := Report{Entry: burdockid.VM(fmt.Sprint("e", i)), Capacity: 40, Demands: []Demand{{Waiting: 40}}}
		r.Customers = []CustomerDemand{{Customer: "everywhere", Waiting: 40, Cost: 4000}}
		if i == 0 {
			r.Customers[0].Customer = "one"
		}
		return r
	}
	for round := range burdockclock.Millis(6) {
		for i := range 9 {
			handle(t, d, now+round*100, report(i))
		}
	}
	own, others := d.division.shares[0].of(d.entries["e0"], 0), d.division.shares[0].of(d.entries["e1"], 0)
	if own < 10 || others > 4 {
		t.Errorf("shares of the entries: got %.1f for one customer and %.1f for each of 8 of another, want about 20 and 2.5", own, others)
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
			if want := burdockclock.Millis(208); round == 3 && part.NextReport != want {
				t.Fatalf("next report with 249 busy entries: got %d, want %d", part.NextReport, want)
			}
		}
	}
}
