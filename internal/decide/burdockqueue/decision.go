package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Decision is the answer to an offered request: Start, Wait or Refuse.
type Decision interface{ isDecision() }

// Start means that the request holds a slot from now on. The caller passes it to the
// engine.
type Start struct{}

// Wait means that the request is queued. A later Event reports whether it is started or
// dropped.
type Wait struct {
	// Position is the request's place in the queue in the worst case, counted from 1:
	// behind everything that is now queued in its class and in more urgent ones.
	Position int
	// Expected is the expected wait at the measured service rate; 0 while no rate is
	// known.
	Expected burdockclock.Millis
}

// Refuse means that the request was not run and is not queued.
type Refuse struct {
	Reason Reason
	// RetryAfter is the time after which the caller may retry.
	RetryAfter burdockclock.Millis
}

func (Start) isDecision()  {}
func (Wait) isDecision()   {}
func (Refuse) isDecision() {}

// Event reports what happened to a queued request: Started or Dropped.
type Event interface{ isEvent() }

// Started means that a queued request holds a slot from now on.
type Started struct{ ID burdockid.Request }

// Dropped means that a request was removed from the queue and was not run. It is final.
type Dropped struct {
	ID         burdockid.Request
	Reason     Reason
	RetryAfter burdockclock.Millis
}

func (Started) isEvent() {}
func (Dropped) isEvent() {}
