package burdockqueue

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Class is the index of a priority class; 0 is the most urgent.
type Class int

// Request is one request that is offered to the queue.
type Request struct {
	ID       burdockid.Request
	Customer burdockid.Customer
	Class    Class // values beyond the last configured class count as the last
	// Cost is the estimated number of prompt and output tokens. Finish corrects it.
	Cost burdockid.Tokens
	// Arrived is the time at which the caller sent the request; 0 means the time of the
	// offer.
	Arrived burdockclock.Millis
	// Deadline is the time after which the answer is useless; 0 means none.
	Deadline burdockclock.Millis
}

// itemPhase is the phase of an item, which determines the container that holds it.
type itemPhase int

const (
	phaseNone itemPhase = iota
	phaseQueued
	phaseRunning
)

// item is one admitted request.
type item struct {
	req         Request
	phase       itemPhase
	flow        *flow
	started     burdockclock.Millis
	expectedEnd burdockclock.Millis // set while running
	// recheckAt is when a queued request is next checked for expiry, and expiresAt the
	// first time at which it is dropped in any case.
	recheckAt    burdockclock.Millis
	expiresAt    burdockclock.Millis
	expiryReason Reason
	expiryIndex  int
	runningIndex int
	// costOffset is the total cost that the flow had ever queued ahead of this item.
	// Subtracting the flow's dequeuedCost gives the cost still ahead of it.
	costOffset burdockid.Tokens
	prev, next *item // neighbours in the flow while queued
}

// maxCost bounds the cost of one request, far beyond any context length, so that an
// absurd estimate cannot overflow the sums.
const maxCost burdockid.Tokens = 1 << 32

// maxDuration bounds every computed duration, for the same reason.
const maxDuration = 1000 * burdockclock.Hour

// ceilMillis rounds a computed duration up to whole milliseconds.
func ceilMillis(millis float64) burdockclock.Millis {
	return burdockclock.Millis(min(math.Ceil(millis), float64(maxDuration)))
}

// never is a time that no clock reaches.
const never burdockclock.Millis = math.MaxInt64
