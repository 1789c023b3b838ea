package burdockagent

import (
	"context"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

// ageMargin allows for the rounding of durations that two processes measured.
const ageMargin = burdockclock.Second

// Run implements burdockwire.AgentServiceHandler.
func (a *Agent) Run(ctx context.Context, req *connect.Request[burdockwire.RunRequest], stream *connect.ServerStream[burdockwire.RunEvent]) error {
	a.deps.OnConfigDigest(burdockconfig.Digest(req.Msg.GetConfigDigest()))
	j, final := a.admit(req.Msg)
	if final != nil {
		return stream.Send(final)
	}
	return a.streamJob(ctx, req.Msg.GetRequestId(), j, 0, stream)
}

// Attach implements burdockwire.AgentServiceHandler.
func (a *Agent) Attach(ctx context.Context, req *connect.Request[burdockwire.AttachRequest], stream *connect.ServerStream[burdockwire.RunEvent]) error {
	a.metrics.attachments.Inc()
	j, final := a.findForAttach(req.Msg)
	if final != nil {
		return stream.Send(final)
	}
	return a.streamJob(ctx, req.Msg.GetRequestId(), j, req.Msg.GetOffset(), stream)
}

// Cancel implements burdockwire.AgentServiceHandler.
func (a *Agent) Cancel(_ context.Context, req *connect.Request[burdockwire.CancelRequest]) (*connect.Response[burdockwire.CancelResponse], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Boot()
	id := burdockid.Request(req.Msg.GetRequestId())
	if j, ok := a.jobs[id]; ok {
		a.cancelJob(now, j, cancelCaller)
	} else if _, repeats := a.aliases[id]; !repeats && a.recent.status(id) == statusUnknown {
		// The cancellation overtook the request, which is refused if it still arrives.
		a.recent.record(now, id, statusWithdrawn)
	}
	return connect.NewResponse(&burdockwire.CancelResponse{}), nil
}

// Describe implements burdockwire.AgentServiceHandler.
func (a *Agent) Describe(ctx context.Context, _ *connect.Request[burdockwire.DescribeRequest]) (*connect.Response[burdockwire.DescribeResponse], error) {
	reachable := a.deps.Engine.Check(ctx) == nil
	return connect.NewResponse(&burdockwire.DescribeResponse{
		Upstream:          string(a.cfg.Upstream),
		Load:              a.load(),
		UpstreamReachable: reachable,
	}), nil
}

// admit decides about a request that an entry offers. It returns the job whose answer the
// entry gets, or the final event if there is no such job.
func (a *Agent) admit(req *burdockwire.RunRequest) (*job, *burdockwire.RunEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Boot()
	id := burdockid.Request(req.GetRequestId())
	a.counts.Offered++
	a.metrics.offered.Inc()
	a.applyConfig(now)
	if refusal := a.precheck(req, id); refusal != nil {
		a.countRefusal(refusal.reason)
		return nil, a.refusedEvent(req.GetRequestId(), *refusal)
	}
	if a.isDuplicate(id) {
		a.counts.Cut++
		a.metrics.cut.Inc()
		return nil, newCutEvent(req.GetRequestId(), duplicateOffer, a.loadLocked())
	}
	if req.GetIdempotencyKey() != "" {
		if decision := a.checkKey(req); decision != (keyDecision{}) {
			return a.replyForKey(now, req, decision)
		}
	}
	a.endPause(now)
	if refusal := a.pauseRefusal(now); refusal != nil {
		return nil, a.refuseNew(now, req, *refusal)
	}
	j := newJob(req, now, a.deps.Clock)
	queueRequest := burdockqueue.Request{
		ID:       id,
		Customer: burdockid.Customer(req.GetCustomer()),
		Class:    a.policy.class(req.GetPriorityClass()),
		Cost:     burdockid.Tokens(req.GetCostTokens()),
		Arrived:  now,
		Deadline: j.deadline,
	}
	j.priority = a.policy.enginePriority(queueRequest.Class)
	switch d := a.queue.Offer(now, queueRequest).(type) {
	case burdockqueue.Start:
		a.jobs[id] = j
		a.startJob(j)
	case burdockqueue.Wait:
		a.jobs[id] = j
		j.fire(burdockcharts.RequestEventEnqueue)
	case burdockqueue.Refuse:
		return nil, a.refuseNew(now, req, refused{reason: wireReason(d.Reason), retryAfter: d.RetryAfter, explanation: d.Reason.String()})
	}
	a.applyQueueEvents(now)
	return j, nil
}

// refuseNew refuses a request that has not been queued, and records that it has not run.
func (a *Agent) refuseNew(now burdockclock.Millis, req *burdockwire.RunRequest, refusal refused) *burdockwire.RunEvent {
	a.countRefusal(refusal.reason)
	a.recent.record(now, burdockid.Request(req.GetRequestId()), statusNotRun)
	a.recordKeyNotRun(req)
	return a.refusedEvent(req.GetRequestId(), refusal)
}

// duplicateOffer is the outcome of an offer that arrived before. A refusal would claim
// that the request did not run, although it may be running because of the first offer.
var duplicateOffer = cut{
	reason:      burdockwire.CutReason_CUT_REASON_UNKNOWN_REQUEST,
	explanation: "the same offer came before, and may have run",
}

// isDuplicate reports whether the offer of a request arrived before and may have run.
func (a *Agent) isDuplicate(id burdockid.Request) bool {
	return a.jobs[id] != nil || a.aliases[id] != nil || a.recent.status(id) == statusMayHaveRun
}

// replyForKey replies to a request that is not queued because of its key.
func (a *Agent) replyForKey(now burdockclock.Millis, req *burdockwire.RunRequest, decision keyDecision) (*job, *burdockwire.RunEvent) {
	id := burdockid.Request(req.GetRequestId())
	switch {
	case decision.job != nil:
		a.counts.Repeated++
		a.metrics.repeated.Inc()
		a.aliases[id] = decision.job
		return decision.job, nil
	case decision.refused != nil:
		a.countRefusal(decision.refused.reason)
		a.recent.record(now, id, statusNotRun)
		return nil, a.refusedEvent(req.GetRequestId(), *decision.refused)
	default:
		a.counts.Cut++
		a.metrics.cut.Inc()
		return nil, newCutEvent(req.GetRequestId(), *decision.cut, a.loadLocked())
	}
}

// precheck returns the refusal of a request that must not be queued, or nil.
func (a *Agent) precheck(req *burdockwire.RunRequest, id burdockid.Request) *refused {
	switch {
	case req.GetUpstream() != string(a.cfg.Upstream):
		// The address at which the entry looks for that upstream now belongs to this one.
		return &refused{reason: burdockwire.RefusedReason_REFUSED_REASON_WRONG_UPSTREAM, explanation: "this is upstream " + string(a.cfg.Upstream)}
	case a.recent.status(id) == statusWithdrawn:
		// The offer was delayed. The entry was told "not run" and may have offered the
		// request to another upstream.
		return &refused{reason: burdockwire.RefusedReason_REFUSED_REASON_WITHDRAWN, explanation: "the request was withdrawn"}
	case req.GetMaxLoad() > 0 && a.exceedsLoad(req.GetMaxLoad()):
		return &refused{reason: burdockwire.RefusedReason_REFUSED_REASON_BUSY, explanation: "loaded beyond the bound of the offer"}
	}
	return nil
}

// exceedsLoad reports whether one more request would raise the agent's load above the
// bound of an offer, in requests per engine slot.
func (a *Agent) exceedsLoad(bound float64) bool {
	l := a.queue.Load()
	total := l.Running + l.Queued + 1
	return float64(total) > bound*float64(max(l.Slots, 1))
}

func (a *Agent) refusedEvent(id string, refusal refused) *burdockwire.RunEvent {
	return newRefusedEvent(id, refusal, a.loadLocked())
}

func newRefusedEvent(id string, refusal refused, load *burdockwire.Load) *burdockwire.RunEvent {
	return &burdockwire.RunEvent{RequestId: id, Event: &burdockwire.RunEvent_Refused{Refused: &burdockwire.Refused{
		Reason:           refusal.reason,
		RetryAfterMillis: int64(refusal.retryAfter),
		Explanation:      refusal.explanation,
		Load:             load,
	}}}
}

func newCutEvent(id string, c cut, load *burdockwire.Load) *burdockwire.RunEvent {
	return &burdockwire.RunEvent{RequestId: id, Event: &burdockwire.RunEvent_Cut{Cut: &burdockwire.Cut{
		Reason:      c.reason,
		Explanation: c.explanation,
		Load:        load,
	}}}
}

// jobFor returns the job whose answer a request gets: its own job, or that of the first
// request with the same key.
func (a *Agent) jobFor(id burdockid.Request) (*job, bool) {
	if j, ok := a.jobs[id]; ok {
		return j, true
	}
	j, ok := a.aliases[id]
	return j, ok
}

// findForAttach returns the job to which an entry wants to attach, or the final event if
// there is no such job.
//
// If the connection of an offer breaks or stops responding before the first event, the
// entry does not know whether the request runs. If this agent has been up since before
// the offer, has kept all statuses since then and doesn't know the request, it never
// received it. It then records the request as withdrawn, so that a delayed offer does not
// run. Only then is "not run" certain to be true.
func (a *Agent) findForAttach(req *burdockwire.AttachRequest) (*job, *burdockwire.RunEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := burdockid.Request(req.GetRequestId())
	if j, ok := a.jobFor(id); ok {
		return j, nil
	}
	now := a.deps.Clock.Boot()
	offeredAt := now - burdockclock.Millis(req.GetAgeMillis()) - ageMargin
	status := a.recent.status(id)
	validAge := req.GetAgeMillis() >= 0 // with a negative age, the offer would be in the future
	if status == statusUnknown && validAge && offeredAt > a.started && a.recent.completeSince(offeredAt) {
		a.recent.record(now, id, statusWithdrawn)
		status = statusWithdrawn
	}
	if status == statusWithdrawn || status == statusNotRun {
		refusal := refused{reason: burdockwire.RefusedReason_REFUSED_REASON_WITHDRAWN, explanation: "never handed to the upstream"}
		return nil, a.refusedEvent(req.GetRequestId(), refusal)
	}
	c := cut{reason: burdockwire.CutReason_CUT_REASON_UNKNOWN_REQUEST, explanation: "this agent does not hold the request"}
	return nil, newCutEvent(req.GetRequestId(), c, a.loadLocked())
}

// streamJob sends a job's events, beginning at an offset of the answer, until the job has
// ended. The id is that of the entry's request, which differs from the job's if the
// request repeats a key.
func (a *Agent) streamJob(ctx context.Context, id string, j *job, offset int64, stream *connect.ServerStream[burdockwire.RunEvent]) error {
	r := j.addReader()
	defer j.removeReader(r)
	s := sender{agent: a, id: id, job: j, stream: stream, offset: offset}
	if err := s.sendAdmitted(); err != nil {
		return err
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		done, err := s.sendPending()
		if done || err != nil {
			return err
		}
		select {
		case <-r.wake:
		case <-heartbeat.C:
			if err := s.sendHeartbeat(); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
