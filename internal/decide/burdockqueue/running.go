package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// runningSet holds the requests that have a slot, ordered by expected end.
type runningSet struct {
	byEnd indexedHeap[*item]
	cost  burdockid.Tokens
}

func newRunningSet() runningSet {
	return runningSet{byEnd: indexedHeap[*item]{
		less:  func(a, b *item) bool { return a.expectedEnd < b.expectedEnd },
		index: func(it *item) *int { return &it.runningIndex },
	}}
}

func (s *runningSet) len() int { return s.byEnd.Len() }

func (s *runningSet) add(it *item) {
	s.byEnd.add(it)
	s.cost += chargedCost(it.req.Cost)
}

func (s *runningSet) remove(it *item) {
	s.byEnd.remove(it)
	s.cost -= chargedCost(it.req.Cost)
}

// overrunExtension is the fraction of the running time by which the expected end of a
// request that has overrun its estimate is extended. As the extensions grow
// geometrically, one request is re-estimated only a logarithmic number of times.
const overrunExtension = 0.125

// nextEnd returns the time until the first expected end; 0 if nothing runs.
func (s *runningSet) nextEnd(now burdockclock.Millis) burdockclock.Millis {
	for {
		it, ok := s.byEnd.first()
		if !ok {
			return 0
		}
		if it.expectedEnd > now {
			return it.expectedEnd - now
		}
		it.expectedEnd = now + 1 + burdockclock.Millis(overrunExtension*float64(now-it.started))
		s.byEnd.fix(it)
	}
}

// snapshot returns a copy of the items, in an order that depends only on the calls made
// so far.
func (s *runningSet) snapshot() []*item { return append([]*item(nil), s.byEnd.items...) }
