package burdockagent

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"go.uber.org/zap"
)

// cancelCause is the reason for which a job was cancelled.
type cancelCause string

// Causes of a cancellation.
const (
	cancelCaller   cancelCause = "the caller went away"
	cancelOrphaned cancelCause = "nobody came back for the answer"
)

// OutcomeCounts counts an agent's requests by outcome since its start. While no request
// is queued or running, Offered is the sum of the other counts.
type OutcomeCounts struct {
	Offered   int `json:"offered"`
	Repeated  int `json:"repeated"` // got the answer of an earlier request with the same key
	Answered  int `json:"answered"`
	Refused   int `json:"refused"`
	Cut       int `json:"cut"`
	Cancelled int `json:"cancelled"`
}

// finish records the end of a job that ran, and frees its engine slot.
func (a *Agent) finish(j *job, o outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Boot()
	j.fire(outcomeChartEvent(o))
	first := j.setOutcome(o)
	if _, whole := o.(ended); whole && first {
		a.queue.Finish(now, j.id, j.servedTokens)
	} else {
		// The queue must not learn its service rate from an incomplete answer.
		a.queue.Cancel(now, j.id)
	}
	if first {
		a.recordEnd(now, j, o)
	}
	a.applyQueueEvents(now)
}

// outcomeChartEvent returns the event of the request's state chart for the outcome of a
// job that had an engine slot.
func outcomeChartEvent(o outcome) burdockcharts.RequestEvent {
	switch o := o.(type) {
	case ended:
		return burdockcharts.RequestEventAnswerEnds
	case refused:
		return burdockcharts.RequestEventRefuse
	case cut:
		return cutChartEvent(o.reason)
	}
	panic("burdockagent: unknown outcome")
}

func cutChartEvent(reason burdockwire.CutReason) burdockcharts.RequestEvent {
	switch reason {
	case burdockwire.CutReason_CUT_REASON_DEADLINE:
		return burdockcharts.RequestEventTimeout
	case burdockwire.CutReason_CUT_REASON_CANCELLED:
		return burdockcharts.RequestEventSlotFreed
	default:
		return burdockcharts.RequestEventUpstreamLost
	}
}

// dropJob refuses a job that the queue dropped.
func (a *Agent) dropJob(now burdockclock.Millis, j *job, d burdockqueue.Dropped) {
	o := refused{reason: wireReason(d.Reason), retryAfter: d.RetryAfter, explanation: d.Reason.String()}
	j.fire(burdockcharts.RequestEventRefuse)
	if j.setOutcome(o) {
		a.recordEnd(now, j, o)
	}
}

// cancelJob cancels a job unless it has started and has an idempotency key. A running
// job keeps its engine slot until the engine has released it; a queued one leaves the
// queue at once. The agent's lock must be held.
func (a *Agent) cancelJob(now burdockclock.Millis, j *job, cause cancelCause) {
	if j.startedWithKey() {
		return
	}
	o := cut{reason: burdockwire.CutReason_CUT_REASON_CANCELLED, explanation: string(cause)}
	if !j.setOutcome(o) {
		return
	}
	j.fire(burdockcharts.RequestEventCancel)
	a.recordEnd(now, j, o)
	if j.cancelFunc() == nil {
		a.recordKeyNotRun(j.request) // it was queued; nothing was sent to the upstream
	}
	if cancel := j.cancelFunc(); cancel != nil {
		cancel()
		return
	}
	a.queue.Cancel(now, j.id)
	a.applyQueueEvents(now)
}

// recordEnd counts, records and logs the end of a job.
func (a *Agent) recordEnd(now burdockclock.Millis, j *job, o outcome) {
	status := statusMayHaveRun
	fields := []zap.Field{
		zap.String("requestId", string(j.id)),
		zap.String("customer", j.request.GetCustomer()),
		zap.Int64("waitMillis", int64(j.queueWait(now))),
		zap.Int64("totalMillis", int64(now-j.arrived)),
	}
	switch o := o.(type) {
	case ended:
		a.counts.Answered++
		a.metrics.answered.Inc()
		fields = append(fields, zap.String("outcome", "answered"), zap.Int64("bytes", o.totalBytes))
	case refused:
		a.countRefusal(o.reason)
		status = statusNotRun
		fields = append(fields, zap.String("outcome", "refused"), zap.String("reason", o.explanation))
	case cut:
		if o.reason == burdockwire.CutReason_CUT_REASON_CANCELLED {
			a.counts.Cancelled++
			a.metrics.cancelled.Inc()
		} else {
			a.counts.Cut++
			a.metrics.cut.Inc()
		}
		fields = append(fields, zap.String("outcome", "cut"), zap.String("reason", o.explanation))
	}
	a.metrics.observe(j)
	a.recent.record(now, j.id, status)
	a.recordKeyOutcome(j, o)
	a.deps.Log.Info("request ended", fields...)
}

var wireReasons = map[burdockqueue.Reason]burdockwire.RefusedReason{
	burdockqueue.ReasonQueueFull:    burdockwire.RefusedReason_REFUSED_REASON_QUEUE_FULL,
	burdockqueue.ReasonDeadline:     burdockwire.RefusedReason_REFUSED_REASON_DEADLINE,
	burdockqueue.ReasonOverShare:    burdockwire.RefusedReason_REFUSED_REASON_OVER_SHARE,
	burdockqueue.ReasonWaitExceeded: burdockwire.RefusedReason_REFUSED_REASON_WAITED_TOO_LONG,
	burdockqueue.ReasonDisplaced:    burdockwire.RefusedReason_REFUSED_REASON_DISPLACED,
	burdockqueue.ReasonDraining:     burdockwire.RefusedReason_REFUSED_REASON_LEAVING,
}

func wireReason(r burdockqueue.Reason) burdockwire.RefusedReason { return wireReasons[r] }

// loadLocked returns the load that the agent reports with each reply. The agent's lock
// must be held.
func (a *Agent) loadLocked() *burdockwire.Load {
	l := a.queue.Load()
	return &burdockwire.Load{
		Running:            int32(l.Running),
		Queued:             int32(l.Queued),
		Slots:              int32(l.Slots),
		QueuedCostTokens:   int64(l.QueuedCost),
		ExpectedWaitMillis: int64(l.ExpectedWait),
		Leaving:            a.draining,
		ConfigDigest:       uint64(a.deps.Fleet.Now().Digest),
		Incarnation:        string(a.incarnation),
	}
}

// load is loadLocked for callers that don't hold the lock.
func (a *Agent) load() *burdockwire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadLocked()
}
