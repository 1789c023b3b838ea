package burdockentry

import (
	"context"
	"net/http"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
	"burdockbend.example/burdockbend/internal/serve/burdockapi"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// dispatcher serves one request. It offers the request to one upstream after another
// until one answers it or the request is given up. An offer is one attempt to run the
// request on one upstream, through the upstream's agent.
type dispatcher struct {
	entry         *Entry
	pool          *pool
	req           *request
	response      *response
	offersMade    int
	overLoadBound int
	failedAt      map[burdockid.Upstream]bool
	// overLoadBoundAt holds the upstreams that refused only because of the offer's load
	// bound. Unlike those in failedAt, they are tried again once no other upstream is
	// left.
	overLoadBoundAt map[burdockid.Upstream]bool
	requestEnd      requestEnd
	// mayHaveRun is the latest offer whose outcome is unknown; nil when there is none.
	mayHaveRun *unknownOutcome
	// ownerTries counts how often the owner of the request's idempotency key was
	// unknown, unreachable or leaving, or no longer owned the key.
	ownerTries int
}

// result is how one offer ended.
type result interface{ isResult() }

// answered means that the caller received the complete response.
type answered struct {
	duration     burdockclock.Millis
	servedTokens burdockid.Tokens
}

// refused means that the agent refused the offer and did not run the request.
type refused struct{ refusal *burdockwire.Refused }

// connectFailed means that no connection could be made, so nothing was sent.
type connectFailed struct{}

// unknownOutcome means that the request may have run, but no part of a response reached
// the caller.
type unknownOutcome struct {
	reason           string
	deadlineExceeded bool
	completed        bool // the request ran to its end; only its response is lost
	// fromKeyRecord is set when the agent decided by its record of the idempotency key.
	// Such a result says nothing about the upstream's health.
	fromKeyRecord bool
}

// truncated means that the response is incomplete or inconsistent. Part of it may have
// reached the caller.
type truncated struct{ reason string }

// callerGone means that the caller went away.
type callerGone struct{}

func (answered) isResult()       {}
func (refused) isResult()        {}
func (connectFailed) isResult()  {}
func (unknownOutcome) isResult() {}
func (truncated) isResult()      {}
func (callerGone) isResult()     {}

func newDispatcher(e *Entry, fleet *burdockfleet.Snapshot, req *request, resp *response) *dispatcher {
	return &dispatcher{
		entry:           e,
		pool:            e.pool(fleet, req.service),
		req:             req,
		response:        resp,
		failedAt:        map[burdockid.Upstream]bool{},
		overLoadBoundAt: map[burdockid.Upstream]bool{},
	}
}

func (d *dispatcher) now() burdockclock.Millis { return d.entry.deps.Clock.Boot() }

func (d *dispatcher) excluded(u burdockid.Upstream) bool {
	return d.failedAt[u] || d.overLoadBoundAt[u]
}

// serve makes offers until the request is answered or given up.
func (d *dispatcher) serve(ctx context.Context) {
	for {
		target, choice, ok := d.choose()
		if !ok && d.req.idempotencyKey != "" {
			if d.waitForOwner(ctx) {
				continue
			}
			return
		}
		if !ok {
			d.giveUp(d.pool.giveUpNoUpstream(d.now()), nil)
			return
		}
		d.offersMade++
		d.requestEnd.upstream, d.requestEnd.offers = target.Name, d.offersMade
		a := &attempt{dispatcher: d, target: target, maxLoad: choice.MaxLoad, startedAt: d.now()}
		res := a.run(ctx)
		a.endOffer()
		d.observeHealth(target, res)
		if d.handleResult(ctx, target, res) {
			return
		}
	}
}

// choose selects the upstream for the next offer. When every upstream that is left
// refused only because of the load bound, they are tried once more without it.
func (d *dispatcher) choose() (burdockmember.Upstream, burdockplace.Choice, bool) {
	if d.req.idempotencyKey != "" {
		return d.owner()
	}
	target, choice, ok := d.pool.choose(d.now(), d)
	if ok || len(d.overLoadBoundAt) == 0 {
		return target, choice, ok
	}
	d.overLoadBoundAt = map[burdockid.Upstream]bool{}
	target, choice, ok = d.pool.choose(d.now(), d)
	choice.MaxLoad = 0
	return target, choice, ok
}

// observeHealth reports to the pool what the offer showed about the upstream's health.
func (d *dispatcher) observeHealth(target burdockmember.Upstream, res result) {
	switch res := res.(type) {
	case answered:
		d.pool.recordSuccess(d.now())
		d.pool.observeHealth(d.now(), target.Name, burdockeject.Completed{Duration: res.duration, Cost: res.servedTokens})
	case refused:
		d.entry.meters.offerRefused(res.refusal.GetReason())
		if res.refusal.GetReason() == burdockwire.RefusedReason_REFUSED_REASON_UPSTREAM_DOWN {
			d.pool.observeHealth(d.now(), target.Name, burdockeject.ConnectFailed{})
		}
	case connectFailed:
		d.pool.observeHealth(d.now(), target.Name, burdockeject.ConnectFailed{})
	case unknownOutcome:
		if !res.deadlineExceeded && !res.fromKeyRecord {
			d.pool.observeHealth(d.now(), target.Name, burdockeject.Failed{})
		}
	case truncated:
		d.pool.observeHealth(d.now(), target.Name, burdockeject.Failed{})
	case callerGone:
	}
}

// handleResult ends the request and returns true, or returns false when another offer
// is to be made.
func (d *dispatcher) handleResult(ctx context.Context, target burdockmember.Upstream, res result) bool {
	switch res := res.(type) {
	case answered:
		d.requestEnd.outcome = outcomeAnswered
		return true
	case callerGone:
		d.requestEnd.outcome = outcomeGone
		return true
	case truncated:
		d.requestEnd.outcome, d.requestEnd.reason = outcomeCut, res.reason
		d.response.fail(&burdockapi.Problem{
			Status: http.StatusBadGateway, Code: burdockapi.CodeAnswerCut,
			Message: "the answer broke off: " + res.reason,
		})
		return true
	case refused:
		if res.refusal.GetReason() == burdockwire.RefusedReason_REFUSED_REASON_BUSY {
			d.overLoadBound++
			d.overLoadBoundAt[target.Name] = true
			return d.retryOrGiveUp(ctx, burdockretry.OverLoadBound{}, res)
		}
		if d.req.idempotencyKey != "" {
			return d.retryAtOwner(ctx, res)
		}
		d.failedAt[target.Name] = true
		return d.retryOrGiveUp(ctx, retryOutcome(res.refusal), res)
	case connectFailed:
		if d.req.idempotencyKey != "" {
			return !d.waitForOwner(ctx)
		}
		d.failedAt[target.Name] = true
		return d.retryOrGiveUp(ctx, burdockretry.ConnectFailed{}, res)
	case unknownOutcome:
		d.mayHaveRun = &res
		d.failedAt[target.Name] = true
		return d.retryOrGiveUp(ctx, burdockretry.Failed{}, res)
	}
	panic("burdockentry: unknown result")
}

// retryOutcome returns the outcome that a refusal has for the retry budget.
func retryOutcome(refusal *burdockwire.Refused) burdockretry.Outcome {
	if refusal.GetReason() == burdockwire.RefusedReason_REFUSED_REASON_LEAVING {
		return burdockretry.Leaving{}
	}
	return burdockretry.Refused{RetryAfter: burdockclock.Millis(refusal.GetRetryAfterMillis())}
}

// retryOrGiveUp asks the retry budget whether another offer may be made. It then waits
// for the retry delay or gives the request up, and reports whether the request has
// ended.
func (d *dispatcher) retryOrGiveUp(ctx context.Context, outcome burdockretry.Outcome, res result) bool {
	decision := d.pool.decide(d.now(), burdockretry.Attempt{
		Outcome:       outcome,
		Offers:        d.offersMade,
		OverLoadBound: d.overLoadBound,
		Idempotent:    d.req.idempotent,
		Deadline:      d.req.deadline,
	})
	switch decision := decision.(type) {
	case burdockretry.Retry:
		d.entry.meters.retries.Inc()
		return !d.pause(ctx, decision.Delay)
	case burdockretry.GiveUp:
		d.giveUp(decision, res)
		return true
	}
	panic("burdockentry: unknown decision")
}

// pause waits before a retry. It reports false when the caller went away.
func (d *dispatcher) pause(ctx context.Context, delay burdockclock.Millis) bool {
	if delay > 0 {
		timer := time.NewTimer(delay.Duration())
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		d.requestEnd.outcome = outcomeGone
		return false
	}
	return true
}

// giveUp writes the final error response.
//
// An idempotent request is offered again after an offer of unknown outcome, and that
// next offer may be refused. The error reports the unknown outcome all the same: "not
// run" is only true of the last offer, and the request may have run.
func (d *dispatcher) giveUp(g burdockretry.GiveUp, res result) {
	if d.mayHaveRun != nil {
		res = *d.mayHaveRun
	}
	problem := problemFor(g, res)
	d.requestEnd.outcome, d.requestEnd.reason = outcomeRefused, problem.Message
	if !problem.NotRun {
		d.requestEnd.outcome = outcomeUnknown
	}
	d.response.fail(problem)
}
