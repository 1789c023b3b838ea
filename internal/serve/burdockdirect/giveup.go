package burdockdirect

import (
	"context"
	"errors"
	"net/http"

	"burdockbend.example/burdockbend/internal/decide/burdockretry"
	"go.uber.org/zap"
)

// finish ends a request whose time is over, whose caller has gone, or whose entry stops.
func (o *offers) finish(caller, ctx context.Context) {
	switch {
	case caller.Err() != nil:
		// Nobody is left to read an answer.
		o.caller.abort()
	case o.caller.headWritten:
		o.caller.abort()
	case wasStopped(ctx):
		o.giveUp(burdockretry.GiveUp{Reason: burdockretry.ReasonStop, RetryAfter: stopRetryAfter})
	case errors.Is(context.Cause(ctx), errPartQuarantined):
		o.giveUp(burdockretry.GiveUp{Reason: burdockretry.ReasonCrashes, RetryAfter: minPartRetryAfter})
	default:
		o.caller.refuse(o.req, refusal{status: http.StatusGatewayTimeout, reason: "no answer within the time allowed"})
	}
}

// refusedForStop ends the request, and reports true, if the process stops before the offer that
// is due would be answered. A stream that has begun goes on: its caller loses nothing by that.
func (o *offers) refusedForStop() bool {
	if o.caller.headWritten || !o.entry.tooLate(o.pool, o.req) {
		return false
	}
	o.giveUp(burdockretry.GiveUp{Reason: burdockretry.ReasonStop, RetryAfter: stopRetryAfter})
	return true
}

// refusedForPart ends the request, and reports true, if a part of its prompt is quarantined. It
// is the last check before an offer, whichever way the request came there.
func (o *offers) refusedForPart() bool {
	rejection := o.entry.parts.refusalFor(o.req)
	if rejection == nil {
		return false
	}
	o.refuseQuarantined(*rejection)
	return true
}

// refusedForCrashes ends the request, and reports true, if it is quarantined as a whole. It is
// called before each offer: the request may have waited since it was admitted.
func (o *offers) refusedForCrashes() bool {
	rejection := o.entry.crashRefusalFor(o.req)
	if rejection == nil {
		return false
	}
	o.refuseQuarantined(*rejection)
	return true
}

// refuseQuarantined ends a request that is kept from upstreams.
func (o *offers) refuseQuarantined(rejection refusal) {
	if o.caller.headWritten || o.lastUnknown != nil {
		o.giveUp(burdockretry.GiveUp{Reason: burdockretry.ReasonCrashes, RetryAfter: rejection.retryAfter})
		return
	}
	o.caller.refuse(o.req, rejection)
}

// giveUp ends the request with its final answer, at once.
//
// An earlier offer with an unknown outcome decides the answer. If a later offer is
// refused, that refusal alone would tell the caller "not run" about a request that may
// have run.
func (o *offers) giveUp(g burdockretry.GiveUp) {
	switch {
	case o.caller.headWritten:
		o.caller.abort()
	case o.lastUnknown != nil && o.lastUnknown.errorAnswer != nil:
		o.caller.writeBuffered(o.lastUnknown.errorAnswer)
		o.entry.logEnd(o.req, "failed by upstream", zap.Int("status", o.lastUnknown.errorAnswer.status))
	case o.lastUnknown != nil:
		o.caller.refuse(o.req, refusal{status: http.StatusBadGateway, reason: "outcome unknown: " + o.lastUnknown.reason})
	default:
		o.caller.refuse(o.req, refusal{http.StatusServiceUnavailable, "not run: " + string(g.Reason), g.RetryAfter})
	}
}
