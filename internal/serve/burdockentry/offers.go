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

// offers serves one request: it offers it to one upstream after another until
// it is answered or given up.
type offers struct {
	entry     *Entry
	pool      *pool
	req       *request
	caller    *caller
	made      int
	overBound int
	refusedBy map[burdockid.Upstream]bool
	// overBoundAt holds upstreams that refused only because of the bound. They
	// are asked again once no other is left.
	overBoundAt map[burdockid.Upstream]bool
	ending      ending
	// mayHaveRun is the latest offer of unknown outcome.
	mayHaveRun *unknown
	// homeTries counts how often the home of the request's key was not known or
	// had just moved.
	homeTries int
}

// result is how one offer ended.
type result interface{ isResult() }

// answered: the caller has the whole answer.
type answered struct {
	ran    burdockclock.Millis
	served burdockid.Tokens
}

// notRun: the agent refused, and the request was not handed on.
type notRun struct{ refusal *burdockwire.Refused }

// unreached: no connection could be made, so nothing was sent.
type unreached struct{}

// unknown: the request may have run, and nothing of an answer was passed on.
type unknown struct {
	reason   string
	deadline bool
	ran      bool // it ran to its end; only the answer is lost
	// byKey says that the key decided, which tells nothing of the upstream.
	byKey bool
}

// broken: the answer broke off after part of it was passed on.
type broken struct{ reason string }

// callerGone: the caller went away.
type callerGone struct{}

func (answered) isResult()   {}
func (notRun) isResult()     {}
func (unreached) isResult()  {}
func (unknown) isResult()    {}
func (broken) isResult()     {}
func (callerGone) isResult() {}

func newOffers(e *Entry, fleet *burdockfleet.Snapshot, req *request, c *caller) *offers {
	return &offers{
		entry:       e,
		pool:        e.pool(fleet, req.service),
		req:         req,
		caller:      c,
		refusedBy:   map[burdockid.Upstream]bool{},
		overBoundAt: map[burdockid.Upstream]bool{},
	}
}

func (o *offers) now() burdockclock.Millis { return o.entry.deps.Clock.Boot() }

func (o *offers) excluded(u burdockid.Upstream) bool { return o.refusedBy[u] || o.overBoundAt[u] }

// serve makes offers until one is answered or the request is given up.
func (o *offers) serve(ctx context.Context) {
	for {
		target, choice, ok := o.choose()
		if !ok && o.req.key != "" {
			if o.waitForHome(ctx) {
				continue
			}
			return
		}
		if !ok {
			o.giveUp(o.pool.noUpstream(o.now()), nil)
			return
		}
		o.made++
		o.ending.upstream, o.ending.offers = target.Name, o.made
		a := &attempt{offers: o, target: target, maxLoad: choice.MaxLoad, began: o.now()}
		res := a.follow(ctx)
		a.end()
		o.observe(target, res)
		if o.settle(ctx, target, res) {
			return
		}
	}
}

// choose places the next offer. When all that is left refused only because of
// the bound on its load, they are asked once more without one.
func (o *offers) choose() (burdockmember.Upstream, burdockplace.Choice, bool) {
	if o.req.key != "" {
		return o.home()
	}
	target, choice, ok := o.pool.choose(o.now(), o)
	if ok || len(o.overBoundAt) == 0 {
		return target, choice, ok
	}
	o.overBoundAt = map[burdockid.Upstream]bool{}
	target, choice, ok = o.pool.choose(o.now(), o)
	choice.MaxLoad = 0
	return target, choice, ok
}

// observe tells what the offer showed of the upstream's health.
func (o *offers) observe(target burdockmember.Upstream, res result) {
	switch res := res.(type) {
	case answered:
		o.pool.succeeded(o.now())
		o.pool.observe(o.now(), target.Name, burdockeject.Completed{Duration: res.ran, Cost: res.served})
	case notRun:
		o.entry.meters.refused(res.refusal.GetReason())
		if res.refusal.GetReason() == burdockwire.RefusedReason_REFUSED_REASON_UPSTREAM_DOWN {
			o.pool.observe(o.now(), target.Name, burdockeject.ConnectFailed{})
		}
	case unreached:
		o.pool.observe(o.now(), target.Name, burdockeject.ConnectFailed{})
	case unknown:
		if !res.deadline && !res.byKey {
			o.pool.observe(o.now(), target.Name, burdockeject.Failed{})
		}
	case broken:
		o.pool.observe(o.now(), target.Name, burdockeject.Failed{})
	case callerGone:
	}
}

// settle ends the request, or reports false when it is to be offered again.
func (o *offers) settle(ctx context.Context, target burdockmember.Upstream, res result) bool {
	switch res := res.(type) {
	case answered:
		o.ending.outcome = outcomeAnswered
		return true
	case callerGone:
		o.ending.outcome = outcomeGone
		return true
	case broken:
		o.ending.outcome, o.ending.reason = outcomeCut, res.reason
		o.caller.fail(&burdockapi.Problem{
			Status: http.StatusBadGateway, Code: burdockapi.CodeAnswerCut,
			Message: "the answer broke off: " + res.reason,
		})
		return true
	case notRun:
		if res.refusal.GetReason() == burdockwire.RefusedReason_REFUSED_REASON_BUSY {
			o.overBound++
			o.overBoundAt[target.Name] = true
			return o.again(ctx, burdockretry.OverLoadBound{}, res)
		}
		if o.req.key != "" {
			return o.againAtHome(ctx, res)
		}
		o.refusedBy[target.Name] = true
		return o.again(ctx, outcomeOf(res.refusal), res)
	case unreached:
		if o.req.key != "" {
			return !o.waitForHome(ctx)
		}
		o.refusedBy[target.Name] = true
		return o.again(ctx, burdockretry.ConnectFailed{}, res)
	case unknown:
		o.mayHaveRun = &res
		o.refusedBy[target.Name] = true
		return o.again(ctx, burdockretry.Failed{}, res)
	}
	panic("burdockentry: unknown result")
}

// outcomeOf says what a refusal means for another offer.
func outcomeOf(refusal *burdockwire.Refused) burdockretry.Outcome {
	if refusal.GetReason() == burdockwire.RefusedReason_REFUSED_REASON_LEAVING {
		return burdockretry.Leaving{}
	}
	return burdockretry.Refused{RetryAfter: burdockclock.Millis(refusal.GetRetryAfterMillis())}
}

// again asks the budget whether the request may be offered again.
func (o *offers) again(ctx context.Context, outcome burdockretry.Outcome, res result) bool {
	d := o.pool.decide(o.now(), burdockretry.Attempt{
		Outcome:       outcome,
		Offers:        o.made,
		OverLoadBound: o.overBound,
		Idempotent:    o.req.idempotent,
		Deadline:      o.req.deadline,
	})
	switch d := d.(type) {
	case burdockretry.Retry:
		o.entry.meters.retries.Inc()
		return !o.pause(ctx, d.Delay)
	case burdockretry.GiveUp:
		o.giveUp(d, res)
		return true
	}
	panic("burdockentry: unknown decision")
}

// pause waits before a retry. It reports false when the caller went away.
func (o *offers) pause(ctx context.Context, d burdockclock.Millis) bool {
	if d > 0 {
		timer := time.NewTimer(d.Duration())
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		o.ending.outcome = outcomeGone
		return false
	}
	return true
}

// giveUp gives the final answer, at once.
//
// Failure: a request that may be repeated has an offer of unknown outcome, and
// its next offer is refused. Symptom: the last refusal alone would tell the
// caller "not run" of what may have run. An unknown outcome stays one.
func (o *offers) giveUp(g burdockretry.GiveUp, res result) {
	if o.mayHaveRun != nil {
		res = *o.mayHaveRun
	}
	problem := problemOf(g, res)
	o.ending.outcome, o.ending.reason = outcomeRefused, problem.Message
	if !problem.NotRun {
		o.ending.outcome = outcomeUnknown
	}
	o.caller.fail(problem)
}
