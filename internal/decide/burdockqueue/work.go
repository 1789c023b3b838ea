package burdockqueue

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Class numbers a priority class. 0 is the most urgent.
type Class int

// Request is one request as the queue sees it.
type Request struct {
	ID       burdockid.Request
	Customer burdockid.Customer
	Class    Class // one beyond the last configured class counts as the last
	// Cost is the estimate of prompt and output tokens. Finish corrects it.
	Cost burdockid.Tokens
	// Arrived is the instant the caller asked; 0 takes the time of the offer.
	Arrived burdockclock.Millis
	// Deadline is the instant after which the answer is of no use; 0 is none.
	Deadline burdockclock.Millis
}

// place says which of the queue's containers holds an item.
type place int

const (
	placeNone place = iota
	placeQueued
	placeRunning
)

// item is one admitted request.
type item struct {
	work    Request
	place   place
	flow    *flow
	started burdockclock.Millis
	ends    burdockclock.Millis // expected while running
	// judgeAt is the instant at which queued work is judged again, and expires
	// the first at which it is dropped in any case.
	judgeAt      burdockclock.Millis
	expires      burdockclock.Millis
	expiryReason Reason
	expiryIndex  int
	runningIndex int
	// ahead is the cost that was before it in its flow when it came, counted
	// from the flow's beginning.
	ahead      burdockid.Tokens
	prev, next *item // neighbours in the flow while queued
}

// maxCost bounds the tokens of one request, far beyond any context. An estimate
// without sense must not overflow the sums over the queue.
const maxCost burdockid.Tokens = 1 << 32

// maxSpan bounds every expected span, for the same reason.
const maxSpan = 1000 * burdockclock.Hour

// millisOf rounds a computed span up.
func millisOf(span float64) burdockclock.Millis {
	return burdockclock.Millis(min(math.Ceil(span), float64(maxSpan)))
}

// never is an instant that no clock reaches.
const never burdockclock.Millis = math.MaxInt64
