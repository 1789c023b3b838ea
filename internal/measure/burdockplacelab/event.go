package burdockplacelab

import (
	"container/heap"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
)

// event is something that happens at an instant: one of the types below.
type event interface{ event() }

// arrival is a request that reaches its entry.
type arrival struct {
	req *request
	// first tells a new conversation; the next one is drawn when it comes.
	first bool
}

// offer is a request that reaches a replica.
type offer struct {
	req     *request
	replica int
}

// refusal reaches the entry of a request.
type refusal struct {
	req     *request
	replica int
	report  burdockplace.Report
	outcome burdockretry.Outcome
}

// broken is a connection that breaks under a request.
type broken struct {
	req     *request
	replica int
}

// losing and returning are the ends of a data centre's outage.
type (
	losing    struct{}
	returning struct{}
)

// finish is the end of the work on a request at its replica.
type finish struct {
	req     *request
	replica int
	took    burdockclock.Millis
}

// hearing is a report that reaches an entry with an answer.
type hearing struct {
	entry   int
	replica int
	report  burdockplace.Report
	// ended is what the entry may judge the replica by once the answer has
	// ended, and nil before.
	ended *burdockeject.Completed
}

// sampling is the time to look at all loads.
type sampling struct{}

// refreshing is the time at which the loads that everyone sees are renewed.
type refreshing struct{}

func (arrival) event()    {}
func (offer) event()      {}
func (refusal) event()    {}
func (broken) event()     {}
func (losing) event()     {}
func (returning) event()  {}
func (finish) event()     {}
func (hearing) event()    {}
func (sampling) event()   {}
func (refreshing) event() {}

type timed struct {
	at    burdockclock.Millis
	order uint64 // of two at one instant, the one that was scheduled first
	event event
}

// agenda holds the events to come.
type agenda struct {
	list  timedHeap
	order uint64
}

func (a *agenda) add(at burdockclock.Millis, e event) {
	a.order++
	heap.Push(&a.list, timed{at: at, order: a.order, event: e})
}

func (a *agenda) next() timed { return heap.Pop(&a.list).(timed) }

// timedHeap implements heap.Interface.
type timedHeap []timed

// Len implements heap.Interface.
func (h timedHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timedHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h timedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timedHeap) Push(x any) { *h = append(*h, x.(timed)) }

// Pop implements heap.Interface.
func (h *timedHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
