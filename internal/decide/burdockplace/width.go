package burdockplace

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// widths stores the width of each hot prefix: the number of upstreams that it is
// spread over.
//
// A system prompt that a tenth of all requests begin with needs hundreds of
// upstreams. Each refusal of a prefix by one of its upstreams doubles its width, so
// a dozen refusals reach any width, and the width decays by half-lives. An entry
// uses only the refusals that it received itself. Entries with different widths
// still share upstreams, because every width begins at the same first position.
//
// The memory is a fixed array. A prefix may replace another one with the same
// index, whose width then takes a few refusals to learn again.
type widths struct {
	entries [widthEntries]prefixWidth
}

const (
	widthEntries = 1024
	maxWidth     = 4096
)

type prefixWidth struct {
	key       uint64
	updatedAt burdockclock.Millis
	width     float32 // at updatedAt
}

func (w *widths) get(now, halfLife burdockclock.Millis, key uint64, owners int) int {
	entry := &w.entries[key%widthEntries]
	if entry.key != key {
		return owners
	}
	return max(owners, int(entry.now(now, halfLife)))
}

func (w *widths) widen(now, halfLife burdockclock.Millis, key uint64, owners int) {
	entry := &w.entries[key%widthEntries]
	if entry.key != key && entry.now(now, halfLife) >= 2*float64(owners) {
		// The prefix stored here is still hot and is kept until its width decays.
		return
	}
	doubled := 2 * w.get(now, halfLife, key, owners)
	*entry = prefixWidth{key: key, updatedAt: now, width: float32(min(doubled, maxWidth))}
}

func (w *prefixWidth) now(now, halfLife burdockclock.Millis) float64 {
	age := float64(max(now-w.updatedAt, 0)) / float64(halfLife)
	return float64(w.width) * math.Exp2(-age)
}

// jumpHash distributes keys evenly over 0 to n-1 (jump consistent hash, Lamping and
// Veach 2014). Widths change and differ between entries. For two widths, jumpHash
// gives the same position to a share of keys equal to the smaller width divided by
// the larger one. With key modulo n hardly any key keeps its position, and
// conversations lose their caches.
func jumpHash(key uint64, n int) int {
	position, next := 0, 0
	for next < n {
		position = next
		key = key*2862933555777941757 + 1
		const span = 1 << 31
		next = int(float64(position+1) * (span / float64(key>>33+1)))
	}
	return position
}
