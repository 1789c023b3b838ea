package burdockqueue

import "burdockbend.example/burdockbend/internal/base/burdockid"

// runningSet holds the work that has a slot, and the sum of its costs.
type runningSet struct {
	items []*item
	cost  burdockid.Tokens
}

func (s *runningSet) len() int { return len(s.items) }

func (s *runningSet) add(it *item) {
	it.runningIndex = len(s.items)
	s.items = append(s.items, it)
	s.cost += charged(it.work.Cost)
}

func (s *runningSet) remove(it *item) {
	i, last := it.runningIndex, len(s.items)-1
	s.items[i] = s.items[last]
	s.items[i].runningIndex = i
	s.items[last] = nil
	s.items = s.items[:last]
	s.cost -= charged(it.work.Cost)
}

// inOrder returns the items, in an order that the same calls always give.
func (s *runningSet) inOrder() []*item { return append([]*item(nil), s.items...) }
