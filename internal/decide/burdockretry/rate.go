package burdockretry

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// rate is a count of events that decays exponentially.
type rate struct {
	value float64
	at    burdockclock.Millis
}

func (r *rate) add(now, window burdockclock.Millis) {
	r.value = r.get(now, window) + 1
	r.at = max(r.at, now)
}

func (r *rate) get(now, window burdockclock.Millis) float64 {
	age := max(now-r.at, 0)
	return r.value * math.Exp(-float64(age)/float64(window))
}
