package burdockroom

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// heldBy returns what an entry holds that was granted a number of streams.
func (d *Divider) heldBy(now burdockclock.Millis, e *entry, granted int) int {
	if d.silent(now, e) {
		return e.totalRunning
	}
	return max(granted, e.totalRunning)
}

// held returns how many streams an entry may run as far as the Divider knows: what it was
// granted, or what it runs if that is more. An entry whose part has expired holds what it
// last ran.
func (d *Divider) held(now burdockclock.Millis, e *entry) int { return d.heldBy(now, e, e.granted) }

// grant records the limits of an entry's part for the most and the least urgent priority
// with demand, and which waiting requests they leave out.
func (e *entry) grant(most, least int) {
	e.granted, e.grantedToLeast = most, least
	free := max(most-e.totalRunning, 0)
	for p, waiting := range e.waiting {
		free -= waiting
		e.pending[p] = max(-free, 0)
	}
}

// account is what the ledger says about all entries but one.
type account struct {
	left int // of the room
	// leftToLeast is what the least urgent priority with demand may use of that.
	leftToLeast int
	// pending counts, for each priority, the waiting requests of it and more urgent ones
	// that were granted nothing yet.
	pending [Priorities]int
}

func (d *Divider) accountOf(now burdockclock.Millis, e *entry) account {
	a := account{left: d.division.room, leftToLeast: d.division.room - int(math.Ceil(d.division.reserve))}
	for _, other := range d.all {
		if other == e {
			continue
		}
		a.left -= d.held(now, other)
		a.leftToLeast -= d.heldBy(now, other, other.grantedToLeast)
		if other.pending[Priorities-1] == 0 || d.silent(now, other) {
			continue
		}
		for p, n := range other.pending {
			a.pending[p] += n
		}
	}
	a.left = max(a.left, 0)
	return a
}

// bound reduces limits to what the ledger leaves.
//
// It handles the time in which room passes from one entry to another. The one that has it
// must hear of it at its next report before the other may use it, or both would. What is
// free meanwhile is little, so it first goes to the most urgent requests that wait at any
// entry, and only then to less urgent ones and to headroom of the entries that report first.
func (d *Divider) bound(e *entry, a account, limits *[Priorities]int) {
	need, ahead := e.totalRunning, 0
	for p := range limits {
		need += e.waiting[p]
		if p == d.division.least {
			// Limits are rounded, so only the ledger keeps the reserve exactly.
			a.left = min(a.left, max(a.leftToLeast, e.totalRunning))
		}
		limit := min(limits[p], a.left, max(a.left-ahead, e.totalRunning))
		ahead = a.pending[p]
		if limit > need {
			limit = max(need, min(limit, a.left-ahead))
		}
		limits[p] = limit
	}
}
