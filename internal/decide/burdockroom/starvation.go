package burdockroom

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// starvation records since when each priority waits without a start at any entry. It handles
// more urgent work that takes all of the room for good.
type starvation struct {
	since [Priorities]burdockclock.Millis
	waits [Priorities]bool
}

// observeStarts records the starts that two reports of an entry show. A start at the place
// of a stream that ended doesn't show there; part records those that a limit allows.
func (s *starvation) observeStarts(now burdockclock.Millis, before, after [Priorities]int) {
	for p := range after {
		if after[p] > before[p] {
			s.since[p] = now
		}
	}
}

// observeWaiting records which priorities wait.
func (s *starvation) observeWaiting(now burdockclock.Millis, waiting [Priorities]int) {
	for p, n := range waiting {
		if n > 0 && !s.waits[p] {
			s.since[p] = now
		}
		s.waits[p] = n > 0
	}
}

// overdue reports whether a priority waits for longer than the bound while more urgent ones
// wait. Without those it is the first to start anyway.
func (s *starvation) overdue(now burdockclock.Millis, p int, bound burdockclock.Millis) bool {
	return s.waits[p] && now-s.since[p] > bound && slices.Contains(s.waits[:p], true)
}
