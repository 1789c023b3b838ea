// Package burdockretry decides whether a request that was not answered is
// offered again, or is given up with its final answer at once.
//
// An entry keeps one Budget for each service. The package is pure: time and
// randomness are passed in. A Budget is not safe for concurrent use.
package burdockretry

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Outcome is how an offer ended: one of Refused, Leaving, OverLoadBound, ConnectFailed
// and Failed.
type Outcome interface{ outcome() }

// Refused is a refusal by an upstream's agent, which never handed the request
// to its upstream.
type Refused struct {
	// RetryAfter is the time to come back that the refusal told; 0 if none.
	RetryAfter burdockclock.Millis
}

// Leaving is a refusal by an upstream that is stopped as planned, of a request
// that waited there or had just come.
type Leaving struct{}

// OverLoadBound is a refusal only because the offer carried a bound on the load.
// The upstream has room; another may have more.
type OverLoadBound struct{}

// ConnectFailed is an offer that was never sent, since no connection could be made.
// The entry itself knows that the request did not run.
type ConnectFailed struct{}

// Failed is an offer whose outcome is unknown: the connection broke, or the
// answer never came. The request may have run.
type Failed struct{}

func (Refused) outcome()       {}
func (Leaving) outcome()       {}
func (OverLoadBound) outcome() {}
func (ConnectFailed) outcome() {}
func (Failed) outcome()        {}

// Attempt is what is known of a request after one of its offers ended.
type Attempt struct {
	// Outcome is how the latest offer ended.
	Outcome Outcome
	// Offers counts the offers made so far, the latest included.
	Offers int
	// OverLoadBound counts those of them that ended in OverLoadBound.
	OverLoadBound int
	// Idempotent reports whether running the request twice does no harm.
	Idempotent bool
	// Deadline is the instant at which the caller stops waiting; 0 if unknown.
	Deadline burdockclock.Millis
	// MinResponseTime is the least time in which an answer is of use; 0 if unknown.
	MinResponseTime burdockclock.Millis
}

// Decision is what to do next: Retry or GiveUp.
type Decision interface{ decision() }

// Retry asks for another offer, to another upstream where there is one.
type Retry struct {
	// Delay is how long to wait first. It is 0 unless the offer failed.
	Delay burdockclock.Millis
}

// GiveUp asks for the final answer to the caller, now. It is never held back:
// the caller is told when to come back instead.
type GiveUp struct {
	Reason Reason
	// RetryAfter is the time to come back, already spread.
	RetryAfter burdockclock.Millis
}

func (Retry) decision()  {}
func (GiveUp) decision() {}

// Reason says why a request was given up.
type Reason string

// Reasons for giving up.
const (
	// ReasonUnknownOutcome: the request may have run and may not run twice.
	ReasonUnknownOutcome Reason = "unknownOutcome"
	// ReasonDeadline: no answer could come before the caller stops waiting.
	ReasonDeadline Reason = "deadline"
	// ReasonMaxOffers: the request has been offered often enough.
	ReasonMaxOffers Reason = "offers"
	// ReasonHighRefusalRate: most upstreams refuse, so one more would too.
	ReasonHighRefusalRate Reason = "mostRefuse"
	// ReasonBudget: retries have used up their share of the work.
	ReasonBudget Reason = "budget"
	// ReasonGroupClosed: the group of engines runs nothing, and did not begin to while
	// the request could wait.
	ReasonGroupClosed Reason = "groupClosed"
	// ReasonCrashes: the request has crashed the upstreams that ran it.
	ReasonCrashes Reason = "crashes"
	// ReasonNoUpstream: there was no upstream to offer the request to.
	ReasonNoUpstream Reason = "noUpstream"
)

// Budget bounds the retries of one service at one entry.
type Budget struct {
	cfg       Config
	rnd       *rand.Rand
	successes rate
	retries   rate
	offers    rate
	refusals  rate
	given     map[Reason]uint64
}

// New returns a budget that nothing has been charged to. The source rnd must
// be used by nothing else; fields of cfg that are zero take their defaults.
func New(cfg Config, rnd *rand.Rand) *Budget {
	return &Budget{cfg: cfg.withDefaults(), rnd: rnd, given: make(map[Reason]uint64)}
}
