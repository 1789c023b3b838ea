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

// clockMargin covers the rounding of spans that two processes measured.
const clockMargin = burdockclock.Second

// Run implements burdockwire.AgentServiceHandler.
func (a *Agent) Run(ctx context.Context, req *connect.Request[burdockwire.RunRequest], stream *connect.ServerStream[burdockwire.RunEvent]) error {
	a.deps.OnConfigDigest(burdockconfig.Digest(req.Msg.GetConfigDigest()))
	j, no := a.admit(req.Msg)
	if no != nil {
		return stream.Send(no)
	}
	return a.follow(ctx, req.Msg.GetRequestId(), j, 0, stream)
}

// Attach implements burdockwire.AgentServiceHandler.
func (a *Agent) Attach(ctx context.Context, req *connect.Request[burdockwire.AttachRequest], stream *connect.ServerStream[burdockwire.RunEvent]) error {
	a.meters.attachments.Inc()
	j, no := a.find(req.Msg)
	if no != nil {
		return stream.Send(no)
	}
	return a.follow(ctx, req.Msg.GetRequestId(), j, req.Msg.GetOffset(), stream)
}

// Cancel implements burdockwire.AgentServiceHandler.
func (a *Agent) Cancel(_ context.Context, req *connect.Request[burdockwire.CancelRequest]) (*connect.Response[burdockwire.CancelResponse], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Boot()
	id := burdockid.Request(req.Msg.GetRequestId())
	if j, ok := a.jobs[id]; ok {
		a.cancelJob(now, j, cancelCaller)
	} else if _, repeats := a.aliases[id]; !repeats && a.memory.fate(id) == fateNone {
		// The cancellation overtook the request. If it comes, it is refused.
		a.memory.remember(now, id, fateWithdrawn)
	}
	return connect.NewResponse(&burdockwire.CancelResponse{}), nil
}

// Describe implements burdockwire.AgentServiceHandler.
func (a *Agent) Describe(ctx context.Context, _ *connect.Request[burdockwire.DescribeRequest]) (*connect.Response[burdockwire.DescribeResponse], error) {
	reachable := a.deps.Engine.Check(ctx) == nil
	return connect.NewResponse(&burdockwire.DescribeResponse{
		Upstream:          string(a.cfg.Upstream),
		Load:              a.lockedLoad(),
		UpstreamReachable: reachable,
	}), nil
}

// admit decides about a request that an entry offers. It returns the job to
// follow, or the event that says no.
func (a *Agent) admit(req *burdockwire.RunRequest) (*job, *burdockwire.RunEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Boot()
	id := burdockid.Request(req.GetRequestId())
	a.counts.Offered++
	a.meters.offered.Inc()
	a.followConfig(now)
	if no := a.precheck(req, id); no != nil {
		a.countRefusal(no.reason)
		return nil, a.refusal(req.GetRequestId(), *no)
	}
	if a.cameBefore(id) {
		a.counts.Cut++
		a.meters.cut.Inc()
		return nil, cutEventOf(req.GetRequestId(), cameTwice, a.load())
	}
	if req.GetIdempotencyKey() != "" {
		if v := a.checkKey(req); v != (verdict{}) {
			return a.repeat(now, req, v)
		}
	}
	j := newJob(req, now, a.deps.Clock)
	work := burdockqueue.Request{
		ID:       id,
		Customer: burdockid.Customer(req.GetCustomer()),
		Class:    a.policy.class(req.GetPriorityClass()),
		Cost:     burdockid.Tokens(req.GetCostTokens()),
		Arrived:  now,
		Deadline: j.deadline,
	}
	switch d := a.queue.Offer(now, work).(type) {
	case burdockqueue.Start:
		a.jobs[id] = j
		a.startJob(j)
	case burdockqueue.Wait:
		a.jobs[id] = j
		j.step(burdockcharts.RequestEventEnqueue)
	case burdockqueue.Refuse:
		a.countRefusal(reasonOf(d.Reason))
		a.memory.remember(now, id, fateNotRun)
		a.forgetKey(req)
		no := refused{reason: reasonOf(d.Reason), retryAfter: d.RetryAfter, explanation: d.Reason.String()}
		return nil, a.refusal(req.GetRequestId(), no)
	}
	a.drive(now)
	return j, nil
}

// cameTwice answers an offer that came before. To refuse it would say that the
// request did not run, while the first offer of it may run right now.
var cameTwice = cut{
	reason:      burdockwire.CutReason_CUT_REASON_UNKNOWN_REQUEST,
	explanation: "the same offer came before, and may have run",
}

// cameBefore reports whether an offer is a message that came twice.
func (a *Agent) cameBefore(id burdockid.Request) bool {
	return a.jobs[id] != nil || a.aliases[id] != nil || a.memory.fate(id) == fateMayHaveRun
}

// repeat answers a request whose key decides what becomes of it.
func (a *Agent) repeat(now burdockclock.Millis, req *burdockwire.RunRequest, v verdict) (*job, *burdockwire.RunEvent) {
	id := burdockid.Request(req.GetRequestId())
	switch {
	case v.job != nil:
		a.counts.Repeated++
		a.meters.repeated.Inc()
		a.aliases[id] = v.job
		return v.job, nil
	case v.refused != nil:
		a.countRefusal(v.refused.reason)
		a.memory.remember(now, id, fateNotRun)
		return nil, a.refusal(req.GetRequestId(), *v.refused)
	default:
		a.counts.Cut++
		a.meters.cut.Inc()
		return nil, cutEventOf(req.GetRequestId(), *v.cut, a.load())
	}
}

// precheck refuses what must not reach the queue.
func (a *Agent) precheck(req *burdockwire.RunRequest, id burdockid.Request) *refused {
	switch {
	case req.GetUpstream() != string(a.cfg.Upstream):
		// The entry's address for that upstream now belongs to this one.
		return &refused{reason: burdockwire.RefusedReason_REFUSED_REASON_WRONG_UPSTREAM, explanation: "this is upstream " + string(a.cfg.Upstream)}
	case a.memory.fate(id) == fateWithdrawn:
		// A message that came late. The entry was told "not run", and may have
		// offered the request elsewhere.
		return &refused{reason: burdockwire.RefusedReason_REFUSED_REASON_WITHDRAWN, explanation: "the request was withdrawn"}
	case req.GetMaxLoad() > 0 && a.busy(req.GetMaxLoad()):
		return &refused{reason: burdockwire.RefusedReason_REFUSED_REASON_BUSY, explanation: "loaded beyond the bound of the offer"}
	}
	return nil
}

// busy reports whether the agent, with one request more, would be loaded beyond
// the bound of an offer.
func (a *Agent) busy(bound float64) bool {
	l := a.queue.Load()
	withThis := l.Running + l.Queued + 1
	return float64(withThis) > bound*float64(max(l.Slots, 1))
}

func (a *Agent) refusal(id string, no refused) *burdockwire.RunEvent {
	return refusedEvent(id, no, a.load())
}

func refusedEvent(id string, no refused, load *burdockwire.Load) *burdockwire.RunEvent {
	return &burdockwire.RunEvent{RequestId: id, Event: &burdockwire.RunEvent_Refused{Refused: &burdockwire.Refused{
		Reason:           no.reason,
		RetryAfterMillis: int64(no.retryAfter),
		Explanation:      no.explanation,
		Load:             load,
	}}}
}

func cutEventOf(id string, c cut, load *burdockwire.Load) *burdockwire.RunEvent {
	return &burdockwire.RunEvent{RequestId: id, Event: &burdockwire.RunEvent_Cut{Cut: &burdockwire.Cut{
		Reason:      c.reason,
		Explanation: c.explanation,
		Load:        load,
	}}}
}

// held returns the job that a request's answer comes from: its own, or that of
// the first request with its key.
func (a *Agent) held(id burdockid.Request) (*job, bool) {
	if j, ok := a.jobs[id]; ok {
		return j, true
	}
	j, ok := a.aliases[id]
	return j, ok
}

// find returns the job that an entry wants to go on with, or the event that
// says what became of it.
//
// Failure: the connection on which a request was offered broke or went silent
// before any event. Symptom: the entry can't tell whether the request runs. If
// this agent has been up and remembering since before the offer and doesn't
// know the request, it never had it; the withdrawal makes sure that it will
// not run if it still comes. Only then "not run" is the truth.
func (a *Agent) find(req *burdockwire.AttachRequest) (*job, *burdockwire.RunEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := burdockid.Request(req.GetRequestId())
	if j, ok := a.held(id); ok {
		return j, nil
	}
	now := a.deps.Clock.Boot()
	offered := now - burdockclock.Millis(req.GetAgeMillis()) - clockMargin
	known := a.memory.fate(id)
	sane := req.GetAgeMillis() >= 0 // a negative age would put the offer in the future
	if known == fateNone && sane && offered > a.started && a.memory.reaches(offered) {
		a.memory.remember(now, id, fateWithdrawn)
		known = fateWithdrawn
	}
	if known == fateWithdrawn || known == fateNotRun {
		no := refused{reason: burdockwire.RefusedReason_REFUSED_REASON_WITHDRAWN, explanation: "never handed to the upstream"}
		return nil, a.refusal(req.GetRequestId(), no)
	}
	c := cut{reason: burdockwire.CutReason_CUT_REASON_UNKNOWN_REQUEST, explanation: "this agent does not hold the request"}
	return nil, cutEventOf(req.GetRequestId(), c, a.load())
}

// follow sends a job's events from an offset on until its end. The id is that
// of the asking request: one that repeats a key gets another's answer.
func (a *Agent) follow(ctx context.Context, id string, j *job, offset int64, stream *connect.ServerStream[burdockwire.RunEvent]) error {
	r := j.join()
	defer j.leave(r)
	s := sender{agent: a, id: id, job: j, stream: stream, offset: offset}
	if err := s.admitted(); err != nil {
		return err
	}
	heartbeat := time.NewTicker(heartbeatEvery)
	defer heartbeat.Stop()
	for {
		done, err := s.sendNew()
		if done || err != nil {
			return err
		}
		select {
		case <-r.wake:
		case <-heartbeat.C:
			if err := s.heartbeat(); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
