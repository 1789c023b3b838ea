// Package burdockretry decides whether a request that got no response is offered again or
// given up.
//
// An entry keeps one Budget for each service. The package is pure: time and randomness
// are passed in. A Budget is not safe for concurrent use.
package burdockretry

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Outcome is how an offer ended: Refused, Leaving, OverLoadBound, ConnectFailed or
// Failed.
type Outcome interface{ outcome() }

// Refused is a refusal by an upstream's agent. The request was not passed to the
// upstream.
type Refused struct {
	// RetryAfter is the time after which the agent asks the caller to return; 0 if none.
	RetryAfter burdockclock.Millis
}

// Leaving is a refusal by an upstream that is stopping as planned, for a request that was
// queued there or had just arrived.
type Leaving struct{}

// OverLoadBound is a refusal of an offer that carried a bound on the upstream's load. The
// upstream has room, but another may have more.
type OverLoadBound struct{}

// ConnectFailed is an offer that was never sent because no connection could be made. It
// is certain that the request did not run.
type ConnectFailed struct{}

// Failed is an offer whose connection broke or whose response never came. The request may
// have run.
type Failed struct{}

func (Refused) outcome()       {}
func (Leaving) outcome()       {}
func (OverLoadBound) outcome() {}
func (ConnectFailed) outcome() {}
func (Failed) outcome()        {}

// Attempt describes a request after one of its offers ended.
type Attempt struct {
	// Outcome is how the latest offer ended.
	Outcome Outcome
	// Offers is the number of offers so far, including the latest.
	Offers int
	// OverLoadBound is the number of offers that ended in OverLoadBound.
	OverLoadBound int
	// Idempotent reports whether the request may run twice.
	Idempotent bool
	// Deadline is the time at which the caller stops waiting; 0 if unknown.
	Deadline burdockclock.Millis
	// MinResponseTime is the minimum time to produce a useful response; 0 if unknown.
	MinResponseTime burdockclock.Millis
}

// Decision is what to do next: Retry or GiveUp.
type Decision interface{ decision() }

// Retry asks for another offer, to another upstream if there is one.
type Retry struct {
	// Delay is how long to wait first. It is 0 unless the offer failed.
	Delay burdockclock.Millis
}

// GiveUp ends the request with a final response, sent at once. It is never delayed; the
// caller is asked to return later instead.
type GiveUp struct {
	Reason Reason
	// RetryAfter is the time after which the caller should return, jitter included; 0 if
	// it should not.
	RetryAfter burdockclock.Millis
}

func (Retry) decision()  {}
func (GiveUp) decision() {}

// Reason is why a request was given up.
type Reason string

// Reasons for giving up.
const (
	// ReasonUnknownOutcome: the request may have run and is not idempotent.
	ReasonUnknownOutcome Reason = "unknownOutcome"
	// ReasonDeadline: no response is possible before the caller's deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonMaxOffers: the request has reached its maximum number of offers.
	ReasonMaxOffers Reason = "offers"
	// ReasonHighRefusalRate: most recent offers were refused.
	ReasonHighRefusalRate Reason = "mostRefuse"
	// ReasonBudget: the retry budget is used up.
	ReasonBudget Reason = "budget"
	// ReasonGroupClosed: the engine group was closed and did not open in time.
	ReasonGroupClosed Reason = "groupClosed"
	// ReasonCrashes: the request has crashed the upstreams that ran it.
	ReasonCrashes Reason = "crashes"
	// ReasonStop: the process stops before an answer could be complete.
	ReasonStop Reason = "stopping"
	// ReasonNoUpstream: no upstream was available.
	ReasonNoUpstream Reason = "noUpstream"
)

// Budget limits the retries of one service at one entry.
type Budget struct {
	cfg       Config
	rnd       *rand.Rand
	successes rate
	retries   rate
	offers    rate
	refusals  rate
	givenUp   map[Reason]uint64
}

// New returns a full budget. The source rnd must be used by nothing else; zero fields of
// cfg take their defaults.
func New(cfg Config, rnd *rand.Rand) *Budget {
	return &Budget{cfg: cfg.withDefaults(), rnd: rnd, givenUp: make(map[Reason]uint64)}
}
