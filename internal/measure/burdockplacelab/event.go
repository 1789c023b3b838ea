package burdockplacelab

import (
	"container/heap"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
)

// event is a simulated event, one of the types below.
type event interface{ event() }

// arrival is the arrival of a request at its entry.
type arrival struct {
	req *request
	// startsConversation is set on the first turn of a conversation that starts during
	// the run. Its arrival schedules the next new conversation.
	startsConversation bool
}

// offer is the arrival of a request at a replica.
type offer struct {
	req     *request
	replica int
}

// refusal is the arrival of a replica's refusal at the request's entry.
type refusal struct {
	req     *request
	replica int
	report  burdockplace.Report
	outcome burdockretry.Outcome
}

// connectionLost tells a request's entry that the connection to the replica broke.
type connectionLost struct {
	req     *request
	replica int
}

// outageStart and outageEnd delimit the outage of a data centre.
type (
	outageStart struct{}
	outageEnd   struct{}
)

// finish is the completion of a request at its replica.
type finish struct {
	req      *request
	replica  int
	duration burdockclock.Millis
}

// loadReport is the arrival at an entry of the load report that an answer carries.
type loadReport struct {
	entry   int
	replica int
	report  burdockplace.Report
	// answered is the observation of a completed answer. It is nil for the report
	// sent when the answer begins.
	answered *burdockeject.Completed
}

// sampleTick records the loads of all replicas.
type sampleTick struct{}

// refreshTick renews the snapshot of loads that the simple policies use.
type refreshTick struct{}

func (arrival) event()        {}
func (offer) event()          {}
func (refusal) event()        {}
func (connectionLost) event() {}
func (outageStart) event()    {}
func (outageEnd) event()      {}
func (finish) event()         {}
func (loadReport) event()     {}
func (sampleTick) event()     {}
func (refreshTick) event()    {}

type scheduledEvent struct {
	at    burdockclock.Millis
	seq   uint64 // orders events at the same instant by when they were scheduled
	event event
}

// eventQueue holds the pending events in order of time.
type eventQueue struct {
	pending eventHeap
	seq     uint64
}

func (q *eventQueue) add(at burdockclock.Millis, e event) {
	q.seq++
	heap.Push(&q.pending, scheduledEvent{at: at, seq: q.seq, event: e})
}

func (q *eventQueue) next() scheduledEvent { return heap.Pop(&q.pending).(scheduledEvent) }

// eventHeap implements heap.Interface.
type eventHeap []scheduledEvent

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}
