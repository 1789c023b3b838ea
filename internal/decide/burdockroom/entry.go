package burdockroom

import (
	"math"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// entry is what the Divider knows of one entry by its latest report.
type entry struct {
	name               burdockid.VM
	process, replaced  uint64
	sequence           uint64
	receivedAt         burdockclock.Millis
	capacity, slowdown float64
	running, waiting   [Priorities]int
	// unlisted counts the waiting requests of customers that the report doesn't list.
	unlisted     [Priorities]int
	totalRunning int
	totalDemand  int
	customers    []customerWaiting
	engines      []engineStreams
	// recent is the demand of late, which falls slowly and rises at once.
	recent float64
	// granted is Limits[0] of the last Part; 0 if that was for learning.
	granted int
	// grantedToLeast is the limit of the least urgent priority with demand.
	grantedToLeast int
	// pending counts, for each priority, the waiting requests of it and more urgent ones
	// that exceed what was granted.
	pending [Priorities]int
	// rounding is added to a limit before it is rounded down. It differs from report to
	// report, so that parts of less than one stream reach each entry in turn.
	rounding float64
}

// entryOf returns the entry that a valid report is from. It changes no state.
func (d *Divider) entryOf(r *Report) (*entry, error) {
	e, ok := d.entries[r.Entry]
	switch {
	case !ok && len(d.entries) >= d.cfg.MaxEntries:
		return nil, invalid("entry", "%d entries are known, limit %d", len(d.entries), d.cfg.MaxEntries)
	case !ok:
		// Entries that start together differ in their rounding by the golden ratio.
		return &entry{name: r.Entry, process: r.Process, replaced: r.Process, rounding: fractionOf(float64(len(d.entries)) * math.Phi)}, nil
	case r.Process == e.process && r.Sequence <= e.sequence:
		return nil, invalid("sequence", "sequence %d is not above %d", r.Sequence, e.sequence)
	case r.Process != e.process && r.Process == e.replaced:
		return nil, invalid("process", "process %d was replaced by %d", r.Process, e.process)
	}
	return e, nil
}

// record replaces what is known of an entry. A new process replaces the old one, whose
// streams have ended with it.
func (d *Divider) record(now burdockclock.Millis, e *entry, r *Report) {
	if r.Process != e.process {
		e.replaced, e.process, e.recent = e.process, r.Process, 0
	}
	d.charge(now, e)
	d.customers.detach(e)
	decay := math.Exp(-float64(max(now-e.receivedAt, 0)) / float64(d.cfg.RecentTime))
	e.sequence, e.receivedAt = r.Sequence, now
	e.capacity, e.slowdown = r.Capacity, r.Slowdown
	before := e.running
	e.setDemands(r.Demands)
	e.recent = max(e.recent*decay, float64(e.totalDemand))
	d.starving.observeStarts(now, before, e.running)
	d.customers.attach(e, r.Customers)
	d.loads.replace(e, r.Engines)
	if d.entries[e.name] == nil {
		d.entries[e.name] = e
		d.all = append(d.all, e)
	}
}

func (e *entry) setDemands(demands []Demand) {
	e.running, e.waiting = [Priorities]int{}, [Priorities]int{}
	e.totalRunning, e.totalDemand = 0, 0
	for _, demand := range demands {
		e.running[demand.Priority], e.waiting[demand.Priority] = demand.Running, demand.Waiting
		e.totalRunning += demand.Running
		e.totalDemand += demand.Running + demand.Waiting
	}
}

// forgetSilent handles entries that are gone for good, so that they hold no room forever.
func (d *Divider) forgetSilent(now burdockclock.Millis) {
	d.all = slices.DeleteFunc(d.all, func(e *entry) bool {
		if now-e.receivedAt <= d.cfg.ForgetAfter {
			return false
		}
		d.customers.detach(e)
		d.loads.replace(e, nil)
		delete(d.entries, e.name)
		return true
	})
}

// silent reports whether an entry's part has expired.
func (d *Divider) silent(now burdockclock.Millis, e *entry) bool {
	return now-e.receivedAt > d.cfg.ValidFor
}

// dropWaiting drops the waiting work of a silent entry: it must not keep room from others,
// because nobody knows whether it still waits.
func (d *Divider) dropWaiting(e *entry) {
	d.customers.detach(e)
	e.waiting, e.unlisted, e.totalDemand = [Priorities]int{}, [Priorities]int{}, e.totalRunning
}

func fractionOf(x float64) float64 { return x - math.Floor(x) }
