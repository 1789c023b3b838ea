package burdockdirect

import (
	"context"
	"errors"
	"net/http"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"go.uber.org/zap"
)

const (
	// stopStartWindow is how long after the start of a planned stop requests are accepted by
	// an estimate of their duration. New connections arrive for two to three seconds, until
	// the balancer has checked readiness twice.
	stopStartWindow burdockclock.Millis = 2700
	// stopDurationFactor and stopSlack give the time that such a request must have left: a
	// multiple of the typical time of an answer, and a slack on top.
	stopDurationFactor                     = 2
	stopSlack          burdockclock.Millis = 300
)

// errStopped is the cancel cause of a request that is still open at the end of a planned stop.
var errStopped = errors.New("this entry stopped")

// Drain begins a planned stop: from now on, responses close their connections.
func (e *Entry) Drain() { e.drainingAt.CompareAndSwap(0, int64(e.now())) }

// EndRequests ends the requests that are still open. Those that no upstream has got are
// refused as not run, those that may have run fail, and streams that have begun are broken
// off.
func (e *Entry) EndRequests() { e.endRequests() }

// Idle reports whether no request is in flight.
func (e *Entry) Idle() bool { return e.active.Load() == 0 }

// tooLate reports whether a planned stop might cut off the answer of a request that is offered
// now. A caller that is refused goes to another entry at once; one whose answer is cut off
// doesn't know whether its request has run.
//
// Only the deadline bounds for certain how long a request takes: the answers of one service may
// differ by any factor, so the mean tells nothing about one of them.
func (e *Entry) tooLate(p *pool, req *request) bool {
	began := burdockclock.Millis(e.drainingAt.Load())
	end := began + e.cfg.GraceMillis
	switch {
	case began == 0 || req.deadline < end:
		return false
	case !req.route.Repeatable() || req.arrived-began > stopStartWindow:
		return true
	}
	return end-e.now() < stopDurationFactor*p.typicalAnswerTime()+stopSlack
}

// stopRefusal is the answer to a request that comes too late in a planned stop.
func stopRefusal() refusal {
	return refusal{status: http.StatusServiceUnavailable, reason: "not run: this entry stops", retryAfter: stopRetryAfter}
}

// wasStopped reports whether a request was ended by the end of a planned stop.
func wasStopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }

// recordStopped records a request that the end of a planned stop has ended.
func (e *Entry) recordStopped(req *request) {
	e.meters.stopped.Inc()
	began := burdockclock.Millis(e.drainingAt.Load())
	e.logEnd(req, "ended by the planned stop", zap.Int64("arrivedAfterMillis", int64(req.arrived-began)),
		zap.Int64("deadlineAfterEndMillis", int64(req.deadline-began-e.cfg.GraceMillis)))
}
