package burdockdirect

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

// result is how one offer ended.
type result interface{ isResult() }

// answered: the caller has the whole answer.
type answered struct{}

// notRun: the upstream refused and will never run the request.
type notRun struct {
	status int
	// hasRoom says that the upstream had places free as it refused.
	hasRoom bool
	// replaced says that another process has the upstream's address.
	replaced bool
}

// unreached: no connection could be made, so nothing was sent.
type unreached struct{ err error }

// unknown: the request may have run; nothing of an answer was passed on.
type unknown struct {
	reason string
	// failure is the upstream's own answer, if it failed the request.
	failure *whole
	// cut says that the upstream's connection broke.
	cut bool
}

// broken: a stream broke off after part of it was passed on.
type broken struct {
	reason string
	cut    bool // the upstream's connection broke
}

// ended: the time is over, or the caller went away.
type ended struct{}

func (answered) isResult()  {}
func (notRun) isResult()    {}
func (unreached) isResult() {}
func (unknown) isResult()   {}
func (broken) isResult()    {}
func (ended) isResult()     {}

// offers serves one request: it offers it to one upstream after another until
// it is answered or given up.
type offers struct {
	entry     *Entry
	pool      *pool
	req       *request
	caller    *caller
	sent      int // offers that an upstream may have seen
	unreached int
	refusedBy map[burdockid.Upstream]bool
	// mayHaveRun is the latest offer of unknown outcome.
	mayHaveRun *unknown
	// stay is the upstream that is offered the request again, as it refused while
	// its group was closed; owed counts the retries for which nothing is paid yet.
	stay burdockid.Upstream
	owed int
	// paid says that the next offer has been taken from the budget already.
	paid       atomic.Bool
	lastEvent  string
	events     int
	started    burdockclock.Millis // when the request was admitted
	firstEvent burdockclock.Millis // from the offer to its first event
	// longestPause is between two events of the stream.
	longestPause burdockclock.Millis
}

// mostUnreached bounds the offers of one request that could not be sent.
const mostUnreached = 6

// serve admits a request and follows it to its end.
func (e *Entry) serve(r *http.Request, req *request, c *caller) {
	p := e.pool(req.service)
	if no := e.refuses(p, req); no != nil {
		c.refuse(req, *no)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), (req.deadline - req.arrived).Duration())
	defer cancel()
	// Callers choose their ids, so two may come with one; the queue tells its
	// work apart by an id of the entry's own.
	id := burdockid.NewRequest()
	refuse, err := p.gate.enter(ctx, req, id)
	switch {
	case err != nil && r.Context().Err() != nil:
		e.logEnd(req, "caller gone while waiting")
		return
	case err != nil:
		c.refuse(req, refusal{http.StatusServiceUnavailable, "not run: no time left", 0})
		return
	case refuse != nil:
		c.refuse(req, refusal{http.StatusServiceUnavailable, "not run: " + refuse.Reason.String(), refuse.RetryAfter})
		return
	}
	e.meters.waits.Update((e.now() - req.arrived).Duration().Seconds())
	o := &offers{started: e.now(), entry: e, pool: p, req: req, caller: c, refusedBy: map[burdockid.Upstream]bool{}, lastEvent: req.LastEventID}
	served := burdockid.Tokens(0)
	defer func() { p.gate.leave(id, served) }()
	if o.run(r.Context(), ctx) {
		served = req.cost
	}
}

// refuses returns why a request is refused whatever the load; nil if it isn't.
func (e *Entry) refuses(p *pool, req *request) *refusal {
	if e.tooLate(p, req) {
		return &refusal{http.StatusServiceUnavailable, "not run: this entry stops", stopRetry}
	}
	if left := e.crashes.quarantined(req); left > 0 {
		return &refusal{http.StatusServiceUnavailable, "not run: it has crashed the upstreams that ran it", left}
	}
	return nil
}

// run makes offers until one is answered or the request is given up. It
// reports whether the caller has its answer.
func (o *offers) run(caller, ctx context.Context) bool {
	for {
		if !o.awaitOpening(ctx) {
			o.leave(caller, ctx)
			return false
		}
		target, reason, ok := o.pool.choose(o.entry.now(), o.req, o.refusedBy, o.stay)
		if !ok {
			o.giveUp(o.pool.noUpstream(o.entry.now()))
			return false
		}
		began := o.entry.now()
		res := (&attempt{offers: o, target: target, began: began}).follow(ctx)
		o.pool.done(o.entry.now(), target.ID, o.req.cost)
		o.observe(target, res, began)
		o.log(target, reason, res, began)
		if _, good := res.(answered); good {
			return true
		}
		if o.settle(caller, ctx, target, res) {
			return false
		}
	}
}

// outcome names how an offer ended, for logs and metrics.
type outcome string

// Outcomes.
const (
	outcomeAnswered  outcome = "answered"
	outcomeNotRun    outcome = "notRun"
	outcomeUnreached outcome = "unreached"
	outcomeUnknown   outcome = "unknown"
	outcomeBroken    outcome = "broken"
	outcomeEnded     outcome = "ended" // the caller left, or the time is over
)

// describe returns the outcome of a result and what is known of its cause.
func describe(res result) (outcome, string) {
	switch res := res.(type) {
	case notRun:
		return outcomeNotRun, http.StatusText(res.status)
	case unreached:
		return outcomeUnreached, res.err.Error()
	case unknown:
		return outcomeUnknown, res.reason
	case broken:
		return outcomeBroken, res.reason
	case ended:
		return outcomeEnded, ""
	}
	return outcomeAnswered, ""
}

// log writes the line of an offer.
func (o *offers) log(target burdocksite.Upstream, reason burdockplace.Reason, res result, began burdockclock.Millis) {
	took := o.entry.now() - began
	outcome, cause := describe(res)
	o.entry.meters.ended(o.req.service, outcome, took)
	load := o.pool.gate.load()
	o.entry.logEnd(o.req, "offer ended", zap.String("outcome", string(outcome)), zap.String("cause", cause),
		zap.String("upstream", string(target.ID)), zap.String("placed", string(reason)), zap.Int("offers", o.sent+o.unreached+1),
		zap.Int64("waitMillis", int64(o.started-o.req.arrived)), zap.Int64("firstEventMillis", int64(o.firstEvent)),
		zap.Int64("offerMillis", int64(took)), zap.Int("events", o.events), zap.Int64("longestPauseMillis", int64(o.longestPause)),
		zap.Int("running", load.Running), zap.Int("waiting", load.Queued), zap.Int("limit", load.Slots))
}

// observe tells what the offer showed of the upstream's health. A stream that
// broke shows nothing: all ranks of a group stall when one of them fails.
func (o *offers) observe(target burdocksite.Upstream, res result, began burdockclock.Millis) {
	now := o.entry.now()
	switch res := res.(type) {
	case answered:
		o.pool.succeeded(now, now-began)
		if o.req.route.Stream {
			o.pool.observe(now, target.ID, burdockeject.ResponseStarted{})
			return
		}
		o.pool.observe(now, target.ID, burdockeject.Completed{Duration: now - began, Cost: 1})
	case notRun:
		if res.replaced {
			o.pool.replaced(now, target.ID)
		}
	case ended:
		if now-began > hangsAfter*o.req.route.Objective {
			o.pool.doubt(now, target.ID)
		}
	case unreached:
		o.pool.doubt(now, target.ID)
		o.pool.observe(now, target.ID, burdockeject.ConnectFailed{})
	case unknown:
		if res.failure == nil {
			o.pool.doubt(now, target.ID)
		}
		if !o.req.route.Stream || res.failure != nil {
			o.pool.observe(now, target.ID, burdockeject.Failed{})
		}
	}
}

// settle ends the request, or reports false when it is to be offered again.
func (o *offers) settle(caller, ctx context.Context, target burdocksite.Upstream, res result) bool {
	o.refusedBy[target.ID] = true
	if cut(res) && caller.Err() == nil {
		o.entry.crashes.cut(target, o.req.digest())
	}
	switch res := res.(type) {
	case ended:
		o.end(caller)
		return true
	case notRun:
		if o.pool.gate.refused(target.ID, res) {
			o.stay = ""
			if !res.replaced {
				delete(o.refusedBy, target.ID)
				o.stay = target.ID
			}
			o.owed++
			return false
		}
		o.sent++
		return o.again(ctx, burdockretry.Refused{})
	case unreached:
		o.unreached++
		return o.again(ctx, burdockretry.ConnectFailed{})
	case unknown:
		o.sent++
		o.mayHaveRun = &res
		return o.again(ctx, burdockretry.Failed{})
	case broken:
		o.sent++
		if !o.req.route.Resumable {
			o.caller.abort()
		}
		return o.again(ctx, burdockretry.Failed{})
	}
	return true
}

// cut reports whether the upstream's connection broke as it ran the request.
func cut(res result) bool {
	switch res := res.(type) {
	case unknown:
		return res.cut
	case broken:
		return res.cut
	}
	return false
}

// end is the end of a request whose time is over or whose caller has gone.
func (o *offers) end(caller context.Context) {
	switch {
	case caller.Err() != nil:
		// Nobody reads an answer.
		o.caller.abort()
	case o.caller.begun:
		o.caller.abort()
	default:
		o.caller.refuse(o.req, refusal{status: http.StatusGatewayTimeout, reason: "no answer within the time allowed"})
	}
}

// leave ends a request that waited in vain for its engines' group to open.
func (o *offers) leave(caller, ctx context.Context) {
	if ctx.Err() != nil {
		o.end(caller)
		return
	}
	o.giveUp(o.pool.groupClosed(o.entry.now()))
}

// again asks the budget whether the request may be offered again.
func (o *offers) again(ctx context.Context, outcome burdockretry.Outcome) bool {
	if o.paid.Swap(false) {
		o.entry.meters.retries.Inc()
		return ctx.Err() != nil
	}
	_, reached := outcome.(burdockretry.ConnectFailed)
	d := o.pool.decide(o.entry.now(), burdockretry.Attempt{
		Outcome: outcome, Offers: o.sent + o.unreached,
		Idempotent: o.req.route.Repeatable(), Deadline: o.req.deadline,
	})
	retry, ok := d.(burdockretry.Retry)
	if !ok {
		o.giveUp(d.(burdockretry.GiveUp))
		return true
	}
	if o.sent >= o.req.route.Attempts || reached && o.unreached >= mostUnreached {
		o.giveUp(burdockretry.GiveUp{Reason: burdockretry.ReasonMaxOffers, RetryAfter: retrySpread})
		return true
	}
	o.entry.meters.retries.Inc()
	if !pause(ctx, retry.Delay) {
		return true
	}
	if o.entry.crashes.quarantined(o.req) > 0 {
		o.giveUp(burdockretry.GiveUp{Reason: burdockretry.ReasonCrashes})
		return true
	}
	return false
}

// pause waits before a retry. It reports false when the time is over.
func pause(ctx context.Context, d burdockclock.Millis) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// giveUp gives the final answer, at once.
//
// Failure: a request that may be repeated has an offer of unknown outcome, and
// its next offer is refused. Symptom: the last refusal alone would tell the
// caller "not run" of what may have run. An unknown outcome stays one.
func (o *offers) giveUp(g burdockretry.GiveUp) {
	switch {
	case o.caller.begun:
		o.caller.abort()
	case o.mayHaveRun != nil && o.mayHaveRun.failure != nil:
		o.caller.whole(o.mayHaveRun.failure)
		o.entry.logEnd(o.req, "failed by upstream", zap.Int("status", o.mayHaveRun.failure.status))
	case o.mayHaveRun != nil:
		o.caller.refuse(o.req, refusal{status: http.StatusBadGateway, reason: "outcome unknown: " + o.mayHaveRun.reason})
	default:
		o.caller.refuse(o.req, refusal{http.StatusServiceUnavailable, "not run: " + string(g.Reason), g.RetryAfter})
	}
}
