// Package burdockroom divides the room of a service, the number of streams that its
// engines may run at once, among the entries.
package burdockroom

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Report is what one entry reports to the coordinator.
type Report struct {
	Entry     burdockid.VM
	Process   uint64           // random, differs by process of the entry
	Sequence  uint64           // rises with each report of a process
	Capacity  float64          // streams that, as the entry measures it, all engines together may run
	Slowdown  float64          // its typical slowdown; 0 if it has measured none
	Demands   []Demand         // one per priority, 0 (most urgent) to 9
	Customers []CustomerDemand // the largest waiting ones, at most 32
	Engines   []EngineLoad     // its streams in flight by engine, at most 256
}

// Demand is the demand of one priority at one entry.
type Demand struct{ Priority, Running, Waiting int }

// CustomerDemand is what one customer has waiting at one entry.
type CustomerDemand struct {
	Priority int
	Customer burdockid.Customer
	Waiting  int
	Cost     burdockid.Tokens
}

// EngineLoad is a number of streams at one engine.
type EngineLoad struct {
	Engine  burdockid.Upstream
	Streams int
}

// Part is the part of the room that one entry may use.
type Part struct {
	Sequence   uint64              // of the report that it answers
	ValidFor   burdockclock.Millis // counted from when the entry sent its report
	Learning   bool                // the coordinator doesn't know all entries yet: Limits carry no information
	Limits     []int               // by priority 0..9: a request of priority p may start while the entry runs fewer streams than Limits[p]
	NextReport burdockclock.Millis // when the entry should report again; 0 for the usual interval
	Room       int                 // of all entries
	Running    int                 // of all entries
	Slowdown   float64             // mean of all entries' measurements
	Loads      []EngineLoad        // streams at each engine over all entries
}

// Config configures a Divider.
type Config struct{}

// Divider divides the room of one service.
type Divider struct{ latest Report }

// New returns a divider that knows no entry.
func New(Config) *Divider { return &Divider{} }

// Handle answers a report.
func (d *Divider) Handle(_ burdockclock.Millis, r Report) (Part, error) {
	d.latest = r
	return Part{Sequence: r.Sequence, ValidFor: 600, Learning: true}, nil
}
