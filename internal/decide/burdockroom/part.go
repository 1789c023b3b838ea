package burdockroom

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Part is what one entry may run.
type Part struct {
	// Sequence is that of the report which the part answers.
	Sequence uint64
	// ValidFor counts from when the entry sent that report.
	ValidFor burdockclock.Millis
	// Learning reports that the Divider doesn't know all entries yet. Limits is then empty.
	Learning bool
	// Limits has a limit for each priority, which doesn't increase with it. A request of
	// priority p may start while the entry runs fewer streams, of all priorities, than
	// Limits[p].
	Limits []int
	// NextReport is when the entry should report again; 0 for its usual interval.
	NextReport burdockclock.Millis
	Room       int     // of all entries
	Running    int     // of all entries
	Slowdown   float64 // mean of all entries' measurements, weighted by what they run
	// Loads is the number of streams at each engine over all entries.
	Loads []EngineLoad
}

// roundingError is the error of sums of parts of a stream.
const roundingError = 1e-6

// part returns the part of an entry that has just reported.
func (d *Divider) part(now burdockclock.Millis, e *entry) Part {
	v := &d.division
	part := Part{
		Sequence: e.sequence, ValidFor: d.cfg.ValidFor, Learning: d.learning(now), NextReport: d.reportInterval(),
		Room: v.room, Running: v.totals.allRunning, Slowdown: v.slowdown, Loads: v.loads,
	}
	e.grant(0, 0)
	if part.Learning {
		return part
	}
	limits := d.limits(now, e)
	e.grant(limits[0], limits[max(v.least, 0)])
	d.observeGrant(now, e, limits)
	part.Limits = limits[:]
	return part
}

// limits returns the limits of an entry, within what the ledger leaves.
func (d *Divider) limits(now burdockclock.Millis, e *entry) (limits [Priorities]int) {
	headroom, reserve := d.division.extraFor(e)
	e.rounding = fractionOf(e.rounding + math.Phi)
	sum := float64(e.totalRunning) + headroom
	for p := range Priorities {
		sum += d.division.shares[p].of(e, p) - float64(e.running[p])
		limit := sum
		if p < d.division.least {
			limit += reserve
		}
		limits[p] = int(max(math.Floor(limit+e.rounding+roundingError), 0))
	}
	a := d.accountOf(now, e)
	d.bound(e, a, &limits)
	d.relieve(now, e, a, &limits)
	return descending(limits)
}

// descending lets more urgent requests start wherever less urgent ones may.
func descending(limits [Priorities]int) [Priorities]int {
	for p := Priorities - 2; p >= 0; p-- {
		limits[p] = max(limits[p], limits[p+1])
	}
	return limits
}

// relieve allows one start of a priority that waits for too long. An entry where more urgent
// requests wait would start those, so it is asked only when no other entry took the start in
// a round of reports. Its queue then has to give the place to the overdue priority.
func (d *Divider) relieve(now burdockclock.Millis, e *entry, a account, limits *[Priorities]int) {
	ahead := 0
	for p, waiting := range e.waiting {
		bound := d.cfg.MaxStarvation
		if ahead > 0 {
			bound += d.cfg.ValidFor / 2
		}
		if waiting > 0 && d.starving.overdue(now, p, bound) {
			limits[p] = max(limits[p], min(e.totalRunning+1, a.left))
		}
		ahead += waiting
	}
}

// observeGrant records the starts that limits allow.
func (d *Divider) observeGrant(now burdockclock.Millis, e *entry, limits [Priorities]int) {
	ahead := e.totalRunning
	for p, waiting := range e.waiting {
		if waiting > 0 && limits[p] > ahead {
			d.starving.since[p] = now
		}
		ahead += waiting
	}
}
