package burdockeject

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const notScheduled = -1

// record holds the evidence against one upstream. A healthy upstream has none.
type record struct {
	upstream burdockid.Upstream
	level    Level
	cause    Cause
	leaving  bool
	probing  bool
	// score is the evidence for being slow or failing, as of scoredAt. It is a cumulative
	// sum that never falls below 0, as in a CUSUM test. That finds a lasting change with
	// the fewest samples, and a good history does not outvote new failures.
	score     float64
	scoredAt  burdockclock.Millis
	changedAt burdockclock.Millis
	probeAt   burdockclock.Millis
	// failures counts failed probes, and ejections after a trial, since the upstream last
	// had its full weight. They lengthen the backoff: an upstream that is slow only under
	// load passes every probe and would otherwise be back on trial every other second.
	failures  int
	heapIndex int // in the probe heap, or notScheduled
}

func (r *record) decay(now, halfLife burdockclock.Millis) {
	age := max(now-r.scoredAt, 0)
	r.score *= math.Exp2(-float64(age) / float64(halfLife))
	r.scoredAt = max(now, r.scoredAt)
}

// removed returns the weight taken from the upstream.
func (r *record) removed() float64 {
	if r.leaving {
		return 0
	}
	return 1 - r.level.Weight()
}
