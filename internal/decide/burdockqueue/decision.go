package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Decision is the answer to an offer: Start, Wait or Refuse.
type Decision interface{ isDecision() }

// Start means that the work holds a slot from now on: hand it to the engine.
type Start struct{}

// Wait means that the work is queued; an Event will tell what becomes of it.
type Wait struct {
	// Position is the most work that is started before this one, plus one, if
	// no more arrives.
	Position int
	// Expected is the expected wait at the measured service rate; 0 while no
	// rate is known.
	Expected burdockclock.Millis
}

// Refuse means that the work was not run and is not queued.
type Refuse struct {
	Reason Reason
	// RetryAfter is the span after which the caller may come back.
	RetryAfter burdockclock.Millis
}

func (Start) isDecision()  {}
func (Wait) isDecision()   {}
func (Refuse) isDecision() {}

// Event tells what became of queued work: Started or Dropped.
type Event interface{ isEvent() }

// Started means that queued work holds a slot from now on.
type Started struct{ ID burdockid.Request }

// Dropped means that queued work left the queue and was not run. It is final.
type Dropped struct {
	ID         burdockid.Request
	Reason     Reason
	RetryAfter burdockclock.Millis
}

func (Started) isEvent() {}
func (Dropped) isEvent() {}
