package burdockplace

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// widths remembers over how many upstreams each hot prefix is spread.
//
// Made for: a system prompt that a tenth of all requests begin with, which
// would need hundreds of upstreams. Each refusal of a prefix by one of its
// upstreams doubles its width, so a dozen refusals reach any width, and the
// width halves again in time. An entry learns this from its own refusals
// alone; entries that have learned differently still meet on the same
// upstreams, since every width counts from the same first position.
//
// The memory is a fixed array: a prefix may push out another with the same
// place, which then costs a few refusals to learn again.
type widths struct {
	places [widthPlaces]width
}

const (
	widthPlaces = 1024
	maxWidth    = 4096
)

type width struct {
	key   uint64
	at    burdockclock.Millis
	value float32 // as of at
}

func (w *widths) get(now, halfLife burdockclock.Millis, key uint64, home int) int {
	place := &w.places[key%widthPlaces]
	if place.key != key {
		return home
	}
	return max(home, int(place.now(now, halfLife)))
}

func (w *widths) widen(now, halfLife burdockclock.Millis, key uint64, home int) {
	place := &w.places[key%widthPlaces]
	if place.key != key && place.now(now, halfLife) >= 2*float64(home) {
		// The older one is still hot; it fades in time.
		return
	}
	doubled := 2 * w.get(now, halfLife, key, home)
	*place = width{key: key, at: now, value: float32(min(doubled, maxWidth))}
}

func (w *width) now(now, halfLife burdockclock.Millis) float64 {
	age := float64(max(now-w.at, 0)) / float64(halfLife)
	return float64(w.value) * math.Exp2(-age)
}

// jump spreads keys evenly over positions from 0 to n-1 (jump consistent
// hashing, Lamping and Veach 2014). Entries learn different widths, and widths
// change: of two widths, jump gives the same position to as large a share of
// keys as the smaller width is of the larger. By a remainder hardly any key
// would keep its position, and no conversation its cache.
func jump(key uint64, n int) int {
	position, next := 0, 0
	for next < n {
		position = next
		key = key*2862933555777941757 + 1
		const span = 1 << 31
		next = int(float64(position+1) * (span / float64(key>>33+1)))
	}
	return position
}
