package burdockeject

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const noPlace = -1

// record is what the tracker keeps for an upstream that it has evidence
// against. One that has always done well has none.
type record struct {
	upstream burdockid.Upstream
	level    Level
	cause    Cause
	leaving  bool
	probing  bool
	// score is the evidence for being slow or failing, as of scoredAt. It is a
	// cumulative sum that never falls below 0, as in a CUSUM test: it finds a
	// lasting change with the fewest samples, and forgets an old good record,
	// which would otherwise outvote the new failures.
	score     float64
	scoredAt  burdockclock.Millis
	changedAt burdockclock.Millis
	probeAt   burdockclock.Millis
	// failures counts the probes that failed and the trials after which it was
	// ejected again, since it last had all its work. They lengthen the backoff:
	// an upstream that is slow only under load passes every probe, and would
	// otherwise be back on trial every other second.
	failures int
	place    int // in the heap of probes, or noPlace
}

func (r *record) fade(now, halfLife burdockclock.Millis) {
	age := max(now-r.scoredAt, 0)
	r.score *= math.Exp2(-float64(age) / float64(halfLife))
	r.scoredAt = max(now, r.scoredAt)
}

// lost returns how much of the upstream's work has been taken away.
func (r *record) lost() float64 {
	if r.leaving {
		return 0
	}
	return 1 - r.level.Weight()
}
