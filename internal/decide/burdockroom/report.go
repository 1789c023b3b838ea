package burdockroom

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/joomcode/errorx"
)

// Priorities is the number of priorities. 0 is the most urgent.
const Priorities = 10

// Bounds of a Report. Their product with the number of entries bounds the memory and the time
// of a division.
const (
	MaxCustomers = 32
	MaxEngines   = 256
	maxName      = 256
	maxStreams   = 1_000_000
	maxSlowdown  = 1000.0
	maxCost      = burdockid.Tokens(1_000_000_000_000)
)

var namespace = errorx.NewNamespace("burdockroom")

// InvalidReport is the type of the errors of Divider.Handle. FieldOf returns which field of
// the Report is wrong.
var InvalidReport = namespace.NewType("invalidReport")

var fieldProperty = errorx.RegisterPrintableProperty("field")

// FieldOf returns the field of a Report that an error of type InvalidReport is about.
func FieldOf(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		if field, ok := typed.Property(fieldProperty); ok {
			return field.(string)
		}
	}
	return ""
}

func invalid(field, format string, args ...any) error {
	return InvalidReport.New(format, args...).WithProperty(fieldProperty, field)
}

// Report is what one entry runs, and what waits there.
type Report struct {
	Entry burdockid.VM
	// Process is a random number that differs by process of the entry.
	Process uint64
	// Sequence rises with each report of a process.
	Sequence uint64
	// Capacity is the number of streams that, as the entry measures it, all engines together
	// may run; 0 if it has no figure.
	Capacity float64
	// Slowdown is the entry's typical slowdown; 0 if it has measured none.
	Slowdown  float64
	Demands   []Demand         // at most one for each priority
	Customers []CustomerDemand // the largest waiting ones, at most MaxCustomers
	Engines   []EngineLoad     // streams in flight by engine, at most MaxEngines
}

// Demand is the number of streams and of waiting requests of one priority.
type Demand struct {
	Priority, Running, Waiting int
}

// CustomerDemand is one customer's waiting requests of one priority.
type CustomerDemand struct {
	Priority int
	Customer burdockid.Customer
	Waiting  int
	Cost     burdockid.Tokens // of all its waiting requests together
}

// EngineLoad is the number of streams at one engine.
type EngineLoad struct {
	Engine  burdockid.Upstream
	Streams int
}

// validate handles reports that no correct entry sends: it refuses what would make the
// division wrong for all entries, or unbounded in time or memory.
func (r *Report) validate(engines engineSet) error {
	switch {
	case r.Entry == "" || len(r.Entry) > maxName:
		return invalid("entry", "entry name has %d bytes, want 1 to %d", len(r.Entry), maxName)
	case !(r.Capacity >= 0 && r.Capacity <= maxStreams): // also true for NaN
		return invalid("capacity", "capacity %v is not from 0 to %d", r.Capacity, maxStreams)
	case !(r.Slowdown >= 0 && r.Slowdown <= maxSlowdown):
		return invalid("slowdown", "slowdown %v is not from 0 to %v", r.Slowdown, maxSlowdown)
	}
	if err := validateDemands(r.Demands); err != nil {
		return err
	}
	if err := validateCustomers(r.Customers); err != nil {
		return err
	}
	return engines.validate(r.Engines)
}

func validateDemands(demands []Demand) error {
	var seen [Priorities]bool
	for _, d := range demands {
		if err := validatePriority("demands.priority", d.Priority); err != nil {
			return err
		}
		if seen[d.Priority] {
			return invalid("demands.priority", "priority %d occurs twice", d.Priority)
		}
		seen[d.Priority] = true
		if err := validateStreams("demands.running", d.Running); err != nil {
			return err
		}
		if err := validateStreams("demands.waiting", d.Waiting); err != nil {
			return err
		}
	}
	return nil
}

func validateCustomers(customers []CustomerDemand) error {
	if len(customers) > MaxCustomers {
		return invalid("customers", "%d customers, limit %d", len(customers), MaxCustomers)
	}
	for i, c := range customers {
		if err := validatePriority("customers.priority", c.Priority); err != nil {
			return err
		}
		if err := validateStreams("customers.waiting", c.Waiting); err != nil {
			return err
		}
		same := func(o CustomerDemand) bool { return o.Priority == c.Priority && o.Customer == c.Customer }
		switch {
		case len(c.Customer) > maxName:
			return invalid("customers.customer", "customer name has %d bytes, limit %d", len(c.Customer), maxName)
		case slices.ContainsFunc(customers[:i], same):
			return invalid("customers.customer", "customer %q occurs twice with priority %d", c.Customer, c.Priority)
		case c.Cost < 0 || c.Cost > maxCost:
			return invalid("customers.cost", "cost %d is not from 0 to %d", c.Cost, maxCost)
		}
	}
	return nil
}

// engineSet holds the engines of one report. It is kept between reports, because it is
// expensive to make.
type engineSet map[burdockid.Upstream]bool

func (seen engineSet) validate(engines []EngineLoad) error {
	if len(engines) > MaxEngines {
		return invalid("engines", "%d engines, limit %d", len(engines), MaxEngines)
	}
	clear(seen)
	for _, l := range engines {
		switch {
		case l.Engine == "" || len(l.Engine) > maxName:
			return invalid("engines.engine", "engine name has %d bytes, want 1 to %d", len(l.Engine), maxName)
		case seen[l.Engine]:
			return invalid("engines.engine", "engine %q occurs twice", l.Engine)
		}
		seen[l.Engine] = true
		if err := validateStreams("engines.streams", l.Streams); err != nil {
			return err
		}
	}
	return nil
}

func validatePriority(field string, priority int) error {
	if priority < 0 || priority >= Priorities {
		return invalid(field, "priority %d is not from 0 to %d", priority, Priorities-1)
	}
	return nil
}

func validateStreams(field string, n int) error {
	if n < 0 || n > maxStreams {
		return invalid(field, "%d is not from 0 to %d", n, maxStreams)
	}
	return nil
}
