package burdockroom

import (
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const benchEntries = 350

// benchReports returns a report of each of 350 entries, with 10 priorities, 64 engines and
// 3,800 customers in all, of the one priority for which the room is too small.
func benchReports() (reports []Report) {
	for i := range benchEntries {
		r := Report{Entry: burdockid.VM(fmt.Sprint("e", i)), Process: 1, Capacity: 5000}
		for p := range Priorities {
			r.Demands = append(r.Demands, Demand{Priority: p, Running: i % 3, Waiting: 20 + i%7})
		}
		for c := range 22 {
			name := burdockid.Customer(fmt.Sprint("c", (i*11+c)%3800))
			r.Customers = append(r.Customers, CustomerDemand{Customer: name, Waiting: 1, Cost: burdockid.Tokens(100 + 37*c + i)})
		}
		for u := range 64 {
			r.Engines = append(r.Engines, EngineLoad{Engine: burdockid.Upstream(fmt.Sprint("u", u)), Streams: 1 + (i+u)%2})
		}
		reports = append(reports, r)
	}
	return reports
}

func benchDivider(b *testing.B) (*Divider, []Report) {
	d, reports := New(Config{}), benchReports()
	for i := range reports {
		reports[i].Sequence++
		if _, err := d.Handle(0, reports[i]); err != nil {
			b.Fatal(err)
		}
	}
	return d, reports
}

// BenchmarkDivide is one division.
func BenchmarkDivide(b *testing.B) {
	d, _ := benchDivider(b)
	for b.Loop() {
		d.divide(600)
	}
	if s := d.division.shares[0].waiting; len(d.customers.byKey) != 3800 || s.tokens <= 0 || s == everything {
		b.Errorf("got %d customers, level %v, want 3800 of which some start", len(d.customers.byKey), s)
	}
}

// BenchmarkHandle is one report, with its part of the divisions, at 1,200 reports a second.
func BenchmarkHandle(b *testing.B) {
	d, reports := benchDivider(b)
	for n := 0; b.Loop(); n++ {
		r := &reports[n%benchEntries]
		r.Sequence++
		if _, err := d.Handle(600+burdockclock.Millis(n)*burdockclock.Second/1200, *r); err != nil {
			b.Fatal(err)
		}
	}
}
