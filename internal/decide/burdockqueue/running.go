package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// runningSet holds the work that has a slot, the first that is expected to end
// on top.
type runningSet struct {
	byEnd indexedHeap[*item]
	cost  burdockid.Tokens
}

func newRunningSet() runningSet {
	return runningSet{byEnd: indexedHeap[*item]{
		less:  func(a, b *item) bool { return a.ends < b.ends },
		index: func(it *item) *int { return &it.runningIndex },
	}}
}

func (s *runningSet) len() int { return s.byEnd.Len() }

func (s *runningSet) add(it *item) {
	s.byEnd.add(it)
	s.cost += charged(it.work.Cost)
}

func (s *runningSet) remove(it *item) {
	s.byEnd.remove(it)
	s.cost -= charged(it.work.Cost)
}

// overrunPart is the part of its time so far for which work that has outrun its
// estimate is expected to go on. Since each new expectation is later by a
// factor, one request is looked at again only a logarithmic number of times.
const overrunPart = 0.125

// nextEnd returns the span to the first expected end; 0 when nothing runs.
func (s *runningSet) nextEnd(now burdockclock.Millis) burdockclock.Millis {
	for {
		it, ok := s.byEnd.first()
		if !ok {
			return 0
		}
		if it.ends > now {
			return it.ends - now
		}
		it.ends = now + 1 + burdockclock.Millis(overrunPart*float64(now-it.started))
		s.byEnd.fix(it)
	}
}

// inOrder returns the items, in an order that the same calls always give.
func (s *runningSet) inOrder() []*item { return append([]*item(nil), s.byEnd.items...) }
