package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// flow is one customer's work in one class.
type flow struct {
	customer burdockid.Customer
	weight   float64
	// virtual is the start tag of the flow's next work: service so far in
	// tokens over weight.
	virtual    float64
	head, tail *item // queued work, oldest first
	queued     int
	queuedCost burdockid.Tokens
	running    int
	// departed is the cost of all work that has left the flow's queue.
	departed burdockid.Tokens

	startIndex, tailIndex, idleIndex int
}

func newFlow(customer burdockid.Customer, weight, virtual float64) *flow {
	return &flow{
		customer:   customer,
		weight:     weight,
		virtual:    virtual,
		startIndex: notInHeap,
		tailIndex:  notInHeap,
		idleIndex:  notInHeap,
	}
}

// tailTag is the virtual time at which all queued work of f would be served.
func (f *flow) tailTag() float64 {
	return f.virtual + f.inVirtual(f.queuedCost)
}

// inVirtual converts tokens to the flow's virtual time.
func (f *flow) inVirtual(tokens burdockid.Tokens) float64 {
	return float64(tokens) / f.weight
}

// charged is what work of this cost adds to the accounts. Free work would let
// one customer start without bound, so each request counts as a token at least.
func charged(cost burdockid.Tokens) burdockid.Tokens { return max(cost, 1) }

func (f *flow) append(it *item) {
	it.ahead = f.departed + f.queuedCost
	it.prev, it.next = f.tail, nil
	if f.tail == nil {
		f.head = it
	} else {
		f.tail.next = it
	}
	f.tail = it
	f.queued++
	f.queuedCost += charged(it.work.Cost)
}

func (f *flow) unlink(it *item) {
	if it.prev == nil {
		f.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
	f.queued--
	f.queuedCost -= charged(it.work.Cost)
	f.departed += charged(it.work.Cost)
}

// startTag is the virtual time at which queued work starts, at the latest: work
// behind it that was cancelled counts as if it had been before it.
func (f *flow) startTag(it *item) float64 {
	return f.virtual + f.inVirtual(max(it.ahead-f.departed, 0))
}
