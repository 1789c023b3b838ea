package burdockagent

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"go.uber.org/zap"
)

// cancelCause says why a job was given up.
type cancelCause string

// Causes of giving a job up.
const (
	cancelCaller   cancelCause = "the caller went away"
	cancelOrphaned cancelCause = "nobody came back for the answer"
)

// OutcomeCounts counts the requests of an agent since its start. At rest, Offered is
// the sum of the others.
type OutcomeCounts struct {
	Offered   int `json:"offered"`
	Repeated  int `json:"repeated"` // got the answer of an earlier request with their key
	Answered  int `json:"answered"`
	Refused   int `json:"refused"`
	Cut       int `json:"cut"`
	Cancelled int `json:"cancelled"`
}

// finish records the end of a job that ran, and frees its slot.
func (a *Agent) finish(j *job, o outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Boot()
	j.step(endingEvent(o))
	first := j.settle(o)
	if _, whole := o.(ended); whole && first {
		a.queue.Finish(now, j.id, j.served)
	} else {
		// An answer that broke off says nothing of the service rate.
		a.queue.Cancel(now, j.id)
	}
	if first {
		a.account(now, j, o)
	}
	a.drive(now)
}

// endingEvent is the chart's event for an outcome of a job that had a slot.
func endingEvent(o outcome) burdockcharts.RequestEvent {
	switch o := o.(type) {
	case ended:
		return burdockcharts.RequestEventAnswerEnds
	case refused:
		return burdockcharts.RequestEventRefuse
	case cut:
		return cutEvent(o.reason)
	}
	panic("burdockagent: unknown outcome")
}

func cutEvent(reason burdockwire.CutReason) burdockcharts.RequestEvent {
	switch reason {
	case burdockwire.CutReason_CUT_REASON_DEADLINE:
		return burdockcharts.RequestEventTimeout
	case burdockwire.CutReason_CUT_REASON_CANCELLED:
		return burdockcharts.RequestEventSlotFreed
	default:
		return burdockcharts.RequestEventUpstreamLost
	}
}

// dropJob ends a job that the queue gave up. It gets its final answer at once.
func (a *Agent) dropJob(now burdockclock.Millis, j *job, d burdockqueue.Dropped) {
	o := refused{reason: reasonOf(d.Reason), retryAfter: d.RetryAfter, explanation: d.Reason.String()}
	j.step(burdockcharts.RequestEventRefuse)
	if j.settle(o) {
		a.account(now, j, o)
	}
}

// cancelJob gives a job up. One that runs keeps its slot until the engine has
// let go of it; one that waits is gone at once. The agent's lock is held.
func (a *Agent) cancelJob(now burdockclock.Millis, j *job, cause cancelCause) {
	if j.worthFinishing() {
		return
	}
	o := cut{reason: burdockwire.CutReason_CUT_REASON_CANCELLED, explanation: string(cause)}
	if !j.settle(o) {
		return
	}
	j.step(burdockcharts.RequestEventCancel)
	a.account(now, j, o)
	if j.cancelFunc() == nil {
		a.forgetKey(j.request) // it waited: nothing of it was handed over
	}
	if cancel := j.cancelFunc(); cancel != nil {
		cancel()
		return
	}
	a.queue.Cancel(now, j.id)
	a.drive(now)
}

// account counts, remembers and logs the end of a job.
func (a *Agent) account(now burdockclock.Millis, j *job, o outcome) {
	f := fateMayHaveRun
	fields := []zap.Field{
		zap.String("requestId", string(j.id)),
		zap.String("customer", j.request.GetCustomer()),
		zap.Int64("waitMillis", int64(j.waited(now))),
		zap.Int64("totalMillis", int64(now-j.arrived)),
	}
	switch o := o.(type) {
	case ended:
		a.counts.Answered++
		a.meters.answered.Inc()
		fields = append(fields, zap.String("outcome", "answered"), zap.Int64("bytes", o.total))
	case refused:
		a.countRefusal(o.reason)
		f = fateNotRun
		fields = append(fields, zap.String("outcome", "refused"), zap.String("reason", o.explanation))
	case cut:
		if o.reason == burdockwire.CutReason_CUT_REASON_CANCELLED {
			a.counts.Cancelled++
			a.meters.cancelled.Inc()
		} else {
			a.counts.Cut++
			a.meters.cut.Inc()
		}
		fields = append(fields, zap.String("outcome", "cut"), zap.String("reason", o.explanation))
	}
	a.meters.ran(j)
	a.memory.remember(now, j.id, f)
	a.endKey(j, o)
	a.deps.Log.Info("request ended", fields...)
}

var queueReasons = map[burdockqueue.Reason]burdockwire.RefusedReason{
	burdockqueue.ReasonQueueFull:    burdockwire.RefusedReason_REFUSED_REASON_QUEUE_FULL,
	burdockqueue.ReasonDeadline:     burdockwire.RefusedReason_REFUSED_REASON_DEADLINE,
	burdockqueue.ReasonOverShare:    burdockwire.RefusedReason_REFUSED_REASON_OVER_SHARE,
	burdockqueue.ReasonWaitExceeded: burdockwire.RefusedReason_REFUSED_REASON_WAITED_TOO_LONG,
	burdockqueue.ReasonDisplaced:    burdockwire.RefusedReason_REFUSED_REASON_DISPLACED,
	burdockqueue.ReasonDraining:     burdockwire.RefusedReason_REFUSED_REASON_LEAVING,
}

func reasonOf(r burdockqueue.Reason) burdockwire.RefusedReason { return queueReasons[r] }

// load is what the agent says of itself on each answer.
func (a *Agent) load() *burdockwire.Load {
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

// lockedLoad is load for callers that don't hold the lock.
func (a *Agent) lockedLoad() *burdockwire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load()
}
