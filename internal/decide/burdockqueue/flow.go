package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// flow holds the requests of one customer in one class.
type flow struct {
	customer burdockid.Customer
	weight   float64
	// virtualTime is the start tag of the flow's next request: the service so far in
	// tokens over weight.
	virtualTime float64
	head, tail  *item // queued requests, oldest first
	queued      int
	queuedCost  burdockid.Tokens
	running     int
	// dequeuedCost is the total cost of the requests that have left the flow's queue.
	dequeuedCost burdockid.Tokens

	startTagIndex, finishTagIndex, idleIndex int
}

func newFlow(customer burdockid.Customer, weight, virtualTime float64) *flow {
	return &flow{
		customer:       customer,
		weight:         weight,
		virtualTime:    virtualTime,
		startTagIndex:  notInHeap,
		finishTagIndex: notInHeap,
		idleIndex:      notInHeap,
	}
}

// finishTag returns the virtual time at which everything queued in f has been served.
func (f *flow) finishTag() float64 {
	return f.virtualTime + f.toVirtualTime(f.queuedCost)
}

// toVirtualTime converts tokens to virtual time of this flow.
func (f *flow) toVirtualTime(tokens burdockid.Tokens) float64 {
	return float64(tokens) / f.weight
}

// chargedCost returns the cost used for accounting, which is at least one token. With a
// cost of 0 a customer could start any number of requests.
func chargedCost(cost burdockid.Tokens) burdockid.Tokens { return max(cost, 1) }

func (f *flow) append(it *item) {
	it.costOffset = f.dequeuedCost + f.queuedCost
	it.prev, it.next = f.tail, nil
	if f.tail == nil {
		f.head = it
	} else {
		f.tail.next = it
	}
	f.tail = it
	f.queued++
	f.queuedCost += chargedCost(it.req.Cost)
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
	f.queuedCost -= chargedCost(it.req.Cost)
	f.dequeuedCost += chargedCost(it.req.Cost)
}

// startTag returns the virtual time at which a queued request starts. Cost that was
// cancelled behind the request is deducted as if it had been ahead of it, so the tag may
// be too low.
func (f *flow) startTag(it *item) float64 {
	return f.virtualTime + f.toVirtualTime(max(it.costOffset-f.dequeuedCost, 0))
}
