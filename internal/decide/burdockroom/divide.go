package burdockroom

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// reserveAtEntries is the fraction of the reserve that entries hold, so that urgent requests
// start at once. The rest stays in the ledger for those that wait where nothing is left.
const reserveAtEntries = 0.5

// division is how the room is divided at one time.
type division struct {
	at       burdockclock.Millis
	room     int
	slowdown float64
	totals   totals
	entries  int     // that aren't silent
	recent   float64 // sum of their weights
	active   int     // entries with demand
	// least is the least urgent priority that has demand; -1 if none has.
	least  int
	shares [Priorities]share
	// reserve is room for priorities more urgent than least, headroom for all.
	reserve, headroom float64
	loads             []EngineLoad
}

// totals are sums over all entries.
type totals struct {
	running, waiting, unlisted [Priorities]int
	allRunning                 int
}

// share is what the entries get for one priority.
type share struct {
	// kept is the fraction of an entry's streams whose places it may use again.
	kept float64
	// waiting is what its waiting requests get besides.
	waiting level
}

// of returns how many streams of priority p an entry may run.
func (s share) of(e *entry, p int) float64 {
	return s.kept*float64(e.running[p]) + s.waiting.starts(e, p)
}

// divide computes the division from the latest reports.
func (d *Divider) divide(now burdockclock.Millis) {
	d.customers.sweep(now, d.cfg.ServiceHalfLife)
	v := division{at: now, least: -1}
	var room, slowdown mean
	for _, e := range d.all {
		if d.silent(now, e) {
			d.dropWaiting(e)
		} else {
			v.entries++
			v.recent += e.weight()
		}
		v.count(e)
		room.add(e.capacity, e.totalRunning)
		slowdown.add(e.slowdown, e.totalRunning)
	}
	v.room, v.slowdown = int(room.value()+roundingError), slowdown.value()
	d.starving.observeWaiting(now, v.totals.waiting)
	v.loads = d.loads.list()
	d.assign(now, &v)
	d.division = v
}

// count adds an entry to the sums.
func (v *division) count(e *entry) {
	for p := range Priorities {
		v.totals.running[p] += e.running[p]
		v.totals.waiting[p] += e.waiting[p]
		v.totals.unlisted[p] += e.unlisted[p]
		if e.running[p]+e.waiting[p] > 0 {
			v.least = max(v.least, p)
		}
	}
	v.totals.allRunning += e.totalRunning
	if e.totalDemand > 0 {
		v.active++
	}
}

// weight is the entry's weight in the distribution of headroom. An entry without demand of
// late has some, too, so that its next request can start at once.
func (e *entry) weight() float64 { return e.recent + 1 }

// assign divides the room in the order of priorities.
func (d *Divider) assign(now burdockclock.Millis, v *division) {
	room := float64(v.room)
	for p := range Priorities {
		if d.starving.overdue(now, p, d.cfg.MaxStarvation) {
			room = max(room-1, 0)
		}
	}
	reserve := 0.0
	if v.least > d.cfg.MostUrgent {
		reserve = math.Ceil(d.cfg.ReserveFraction * room)
	}
	wanted := v.wanted(room, reserve)
	used, behind := 0.0, float64(v.totals.allRunning)
	for p := range Priorities {
		behind -= float64(v.totals.running[p])
		free := room - used - behind
		if p == v.least {
			free -= reserve
		}
		got := min(float64(v.demand(p)), max(free, 0))
		used += got
		v.shares[p] = d.share(v, p, min(got, wanted[p]))
	}
	v.reserve = min(reserve, max(room-used, 0))
	v.headroom = max(room-used-v.reserve, 0)
}

// wanted returns what each priority would have if running streams could be preempted. A
// priority never gets more, so places of less urgent streams that end are left to more
// urgent work that waits, at whichever entry.
func (v *division) wanted(room, reserve float64) (wanted [Priorities]float64) {
	for p := range Priorities {
		free := room
		if p == v.least {
			free -= reserve
		}
		wanted[p] = min(float64(v.demand(p)), max(free, 0))
		room -= wanted[p]
	}
	return wanted
}

func (v *division) demand(p int) int { return v.totals.running[p] + v.totals.waiting[p] }

// share divides what a priority gets between places that entries keep and waiting requests
// at all entries. It handles an entry that had most of the room when a surge began
// elsewhere: with each report it passes on some of its places.
func (d *Divider) share(v *division, p int, got float64) share {
	running, waiting := float64(v.totals.running[p]), float64(v.totals.waiting[p])
	starts := min(waiting, max(got-(1-d.cfg.Turnover)*running, 0))
	s := share{waiting: everything}
	if running > 0 {
		s.kept = (got - starts) / running
	}
	if starts < waiting {
		s.waiting = d.customers.levelFor(p, v.totals.unlisted[p], starts)
	}
	return s
}

// extraFor returns an entry's part of the headroom and of the reserve. Each entry gets one
// stream of headroom first, if there is one for each.
func (v *division) extraFor(e *entry) (headroom, reserve float64) {
	weight := e.weight() / max(v.recent, e.weight())
	reserve = reserveAtEntries * v.reserve * weight
	if each := float64(v.entries); v.headroom >= each {
		return 1 + (v.headroom-each)*weight, reserve
	}
	return v.headroom * weight, reserve
}

// mean is a mean that is weighted by streams, or a plain one while none run.
type mean struct {
	weighted, weights, plain float64
	n                        int
}

func (m *mean) add(value float64, weight int) {
	if value <= 0 { // not measured
		return
	}
	m.weighted += value * float64(weight)
	m.weights += float64(weight)
	m.plain += value
	m.n++
}

func (m *mean) value() float64 {
	switch {
	case m.weights > 0:
		return m.weighted / m.weights
	case m.n > 0:
		return m.plain / float64(m.n)
	}
	return 0
}
