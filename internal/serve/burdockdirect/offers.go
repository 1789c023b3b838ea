package burdockdirect

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockparts"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// offers serves one request: it offers the request to one upstream after another until it
// is answered or given up.
type offers struct {
	entry     *Entry
	pool      *pool
	req       *request
	caller    *caller
	offered   int // offers so far, whatever became of them
	sent      int // offers that an upstream may have received
	unreached int
	excluded  map[burdockid.Upstream]bool
	// lastUnknown is the latest offer with an unknown outcome; nil if there was none.
	lastUnknown *unknown
	// preferred is the upstream that gets the request again because it refused while its
	// group was closed. owedRetries counts the retries that the budget has not been
	// charged for yet.
	preferred   burdockid.Upstream
	owedRetries int
	// retryPaid reports that the budget has already been charged for the next offer.
	retryPaid atomic.Bool
	// watch cancels the request if a part of its prompt is quarantined.
	watch          *partWatch
	cancel         context.CancelCauseFunc // ends the request
	lastEventID    string
	eventCount     int
	admittedAt     burdockclock.Millis // when the request was admitted
	firstEventTime burdockclock.Millis // from the offer to its first event
	// maxEventGap is the longest time between two events of the stream so far.
	maxEventGap burdockclock.Millis
}

// newOffers returns the offers of a request that has just been admitted.
func newOffers(p *pool, req *request, c *caller, w *partWatch, cancel context.CancelCauseFunc) *offers {
	return &offers{
		entry: p.entry, pool: p, req: req, caller: c, excluded: map[burdockid.Upstream]bool{},
		watch: w, cancel: cancel, lastEventID: req.LastEventID, admittedAt: p.entry.now(),
	}
}

// maxUnreached bounds the offers of one request for which no connection was established.
const maxUnreached = 6

// serve admits a request and sees it through to its end.
func (e *Entry) serve(r *http.Request, req *request, c *caller) {
	p := e.pool(req.service)
	if rejection := e.refusalFor(p, req); rejection != nil {
		c.refuse(req, *rejection)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), (req.deadline - req.arrived).Duration())
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopEnd := context.AfterFunc(e.ending, func() { cancel(errStopped) })
	defer stopEnd()
	defer func() {
		if wasStopped(ctx) {
			e.recordStopped(req)
		}
	}()
	watch := e.parts.watch(req, cancel)
	defer watch.end()
	// Callers choose their IDs, so two requests may have the same one. The queue needs
	// unique IDs.
	id := burdockid.NewRequest()
	refuse, err := p.gate.admit(ctx, req, id)
	switch {
	case err != nil && r.Context().Err() != nil:
		e.logEnd(req, "caller gone while waiting")
		return
	case err != nil:
		c.refuse(req, e.refusalInQueue(ctx, req))
		return
	case refuse != nil:
		c.refuse(req, refusal{http.StatusServiceUnavailable, "not run: " + refuse.Reason.String(), p.gate.retryAfter(req, refuse.RetryAfter)})
		return
	}
	e.meters.waits.Update((e.now() - req.arrived).Duration().Seconds())
	o := newOffers(p, req, c, watch, cancel)
	served := burdockid.Tokens(0)
	defer func() { p.gate.finish(id, served) }()
	defer o.dropErrorAnswer()
	if o.run(r.Context(), ctx) {
		served = o.servedCost()
		p.gate.observeStream(e.now() - o.admittedAt)
	}
}

// refusalFor returns the refusal of a request that can't be served at any load; nil if it
// can.
func (e *Entry) refusalFor(p *pool, req *request) *refusal {
	if e.tooLate(p, req) {
		rejection := stopRefusal()
		return &rejection
	}
	if rejection := e.crashRefusalFor(req); rejection != nil {
		return rejection
	}
	return e.parts.refusalFor(req)
}

// refusalInQueue returns the refusal of a request whose context ended while it waited.
func (e *Entry) refusalInQueue(ctx context.Context, req *request) refusal {
	if wasStopped(ctx) {
		return stopRefusal()
	}
	if rejection := e.parts.refusalFor(req); rejection != nil {
		return *rejection
	}
	return refusal{http.StatusServiceUnavailable, "not run: no time left", 0}
}

// run makes offers until one is answered or the request is given up. It reports whether
// the caller has its answer.
func (o *offers) run(caller, ctx context.Context) bool {
	for {
		ready := o.awaitMembers(ctx) && o.awaitGroupOpen(ctx)
		if o.entry.ending.Err() != nil {
			o.cancel(errStopped) // its turn may come before the end reaches its context
		}
		if o.refusedForPart() || o.refusedForCrashes() || o.refusedForStop() {
			return false
		}
		if ctx.Err() != nil {
			o.finish(caller, ctx)
			return false
		}
		if !ready {
			o.giveUp(o.pool.giveUpGroupClosed(o.entry.now()))
			return false
		}
		target, reason, ok := o.pool.choose(o.entry.now(), o.req, o.excluded, o.preferred)
		if !ok {
			o.entry.logEnd(o.req, "no upstream takes requests", o.pool.barredMembers(o.entry.now(), o.req)...)
			o.giveUp(o.pool.giveUpNoUpstream(o.entry.now(), o.req))
			return false
		}
		began := o.entry.now()
		att := &attempt{offers: o, target: target, startedAt: began, earlier: o.offered}
		o.offered++
		res := att.run(ctx)
		o.pool.offerEnded(o.entry.now(), target.ID, o.req.cost)
		o.observe(target, res, began)
		if o.req.sharedAdmission() && failedAtOnce(res) {
			o.pool.holdFailed(target.ID)
		}
		o.logOffer(att, reason, res)
		if _, ok := res.(answered); ok {
			if att.succeeded() {
				o.entry.crashes.answered(o.req)
			}
			return true
		}
		o.entry.parts.endTrial(o.req)
		if o.decideNext(caller, ctx, att, res) {
			return false
		}
	}
}

// failedAtOnce reports whether an offer ended without an answer from the upstream, so that the
// upstream looks less loaded than it would with an answer.
func failedAtOnce(res result) bool {
	switch res.(type) {
	case unknown, unreached:
		return true
	}
	return false
}

// observe records what the offer showed about the upstream's health. A stream that broke
// shows nothing: all ranks of a group stall when one of them fails.
func (o *offers) observe(target burdocksite.Upstream, res result, began burdockclock.Millis) {
	now := o.entry.now()
	switch res := res.(type) {
	case answered:
		o.pool.recordSuccess(now, now-began)
		if o.req.route.Stream {
			o.pool.observe(now, target.ID, burdockeject.ResponseStarted{})
			return
		}
		o.pool.observe(now, target.ID, burdockeject.Completed{Duration: now - began, Cost: 1})
	case notRun:
		if res.replaced {
			o.pool.markReplaced(now, target.ID)
		}
	case ended:
		if now-began > hangFactor*o.req.route.Objective {
			o.pool.recordFailure(now, target.ID)
		}
	case unreached:
		o.pool.recordFailure(now, target.ID)
		o.pool.observe(now, target.ID, burdockeject.ConnectFailed{})
	case unknown:
		if res.errorAnswer == nil {
			o.pool.recordFailure(now, target.ID)
		}
		if !o.req.route.Stream || res.errorAnswer != nil {
			o.pool.observe(now, target.ID, burdockeject.Failed{})
		}
	}
}

// decideNext ends the request, or reports false if it is to be offered again.
func (o *offers) decideNext(caller, ctx context.Context, att *attempt, res result) bool {
	target := att.target
	o.excluded[target.ID] = true
	if caller.Err() == nil {
		o.examine(ctx, att, res)
	}
	switch res := res.(type) {
	case ended:
		o.finish(caller, ctx)
		return true
	case notRun:
		if o.pool.gate.engineRefused(target.ID, res) {
			o.preferred = ""
			if !res.replaced && o.pool.gate.openSignal() != nil {
				delete(o.excluded, target.ID)
				o.preferred = target.ID
			}
			o.owedRetries++
			return false
		}
		o.sent++
		return o.retryOrGiveUp(caller, ctx, burdockretry.Refused{})
	case unreached:
		o.unreached++
		return o.retryOrGiveUp(caller, ctx, burdockretry.ConnectFailed{})
	case unknown:
		o.sent++
		o.dropErrorAnswer()
		o.lastUnknown = &res
		return o.retryOrGiveUp(caller, ctx, burdockretry.Failed{})
	case broken:
		o.sent++
		if !o.req.route.Resumable {
			o.caller.abort()
		}
		return o.retryOrGiveUp(caller, ctx, burdockretry.Failed{})
	}
	return true
}

// dropErrorAnswer gives back the memory of an error answer that is kept.
func (o *offers) dropErrorAnswer() {
	if o.lastUnknown != nil && o.lastUnknown.errorAnswer != nil {
		o.lastUnknown.errorAnswer.body.held.release()
	}
}

// examine has the upstream examined if its connection broke, and waits for a moment: the
// request must not go to the next upstream while it may be what crashed this one.
func (o *offers) examine(ctx context.Context, att *attempt, res result) {
	broke, silent := connectionBroke(res), brokeAfterSilence(res)
	if !broke && !silent {
		return
	}
	pending := brokenRequest{silent: silent}
	if broke {
		digest := o.req.digest()
		pending.digest = &digest
	}
	if att.isPending() {
		pending.parts = o.req.SharedParts
	}
	known := o.entry.crashes.connectionBroke(att.target, pending)
	if !o.req.route.Repeatable() {
		return
	}
	timer := time.NewTimer(examinationWait)
	defer timer.Stop()
	select {
	case <-known:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// isPending reports whether the answer has not begun yet, or so shortly before that it may have
// crashed the upstream.
func (a *attempt) isPending() bool {
	began := a.startedAt + a.offers.firstEventTime
	return !a.gotFirstEvent || a.offers.entry.now()-began < burdockparts.SettleTime
}

// connectionBroke reports whether the upstream's connection broke while it ran the
// request.
func connectionBroke(res result) bool {
	switch res := res.(type) {
	case unknown:
		return res.connectionBroke
	case broken:
		return res.connectionBroke
	}
	return false
}

// brokeAfterSilence reports whether the upstream's connection broke after the stream had no
// event for long.
func brokeAfterSilence(res result) bool {
	switch res := res.(type) {
	case unknown:
		return res.brokeAfterSilence
	case broken:
		return res.brokeAfterSilence
	}
	return false
}
