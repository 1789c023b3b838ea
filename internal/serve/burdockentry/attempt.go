package burdockentry

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"go.uber.org/zap"
)

const (
	// silenceLimit is how long a stream may be without any event. The agent
	// sends a heartbeat four times as often.
	silenceLimit = 2 * time.Second
	// attachPause is the wait before the second and later tries to attach.
	attachPause = 250 * time.Millisecond
	// attachTries bounds how often an answer is asked for anew without any
	// progress. With the silence limit it gives an agent that was frozen or cut
	// off some ten seconds to come back.
	attachTries = 5
	cancelWait  = 2 * time.Second
)

// errSilent says that a stream had no event for too long.
var errSilent = errors.New("the connection to the agent went silent")

// attempt is one offer to one upstream, over as many connections as it takes.
type attempt struct {
	offers  *offers
	target  burdockmember.Upstream
	maxLoad float64
	began   burdockclock.Millis
	offset  int64
	tries   int
	last    error
	ended   bool // the placer was told that the offer ended
}

// follow offers the request and follows it to its end.
//
// Failure: a connection breaks, or goes silent for good because something
// between the two ends has lost track of it. Symptom: no event and no
// heartbeat. The agent goes on with the request, and the answer is taken up
// on a new connection from the byte that is missing, so nothing is lost and
// nothing runs twice.
func (a *attempt) follow(ctx context.Context) result {
	client := a.offers.entry.agent(a.target.Agent)
	a.offers.caller.reset()
	res, sent := a.connect(ctx, func(ctx context.Context) (*eventStream, error) {
		return client.Run(ctx, connect.NewRequest(a.runRequest()))
	})
	if res == nil && !sent {
		return unreached{}
	}
	for res == nil {
		if ctx.Err() != nil {
			a.withdraw(client)
			return callerGone{}
		}
		if a.tries++; a.tries > attachTries || a.late() {
			a.withdraw(client)
			return a.lost()
		}
		a.offers.entry.meters.attachments.Inc()
		a.offers.entry.deps.Peers.DropIdle()
		if a.tries > 1 {
			a.wait(ctx)
		}
		res, _ = a.connect(ctx, func(ctx context.Context) (*eventStream, error) {
			return client.Attach(ctx, connect.NewRequest(a.attachRequest()))
		})
	}
	if _, gone := res.(callerGone); gone {
		a.withdraw(client)
	}
	return res
}

func (a *attempt) wait(ctx context.Context) {
	timer := time.NewTimer(attachPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// late reports whether the caller's deadline has passed.
func (a *attempt) late() bool {
	deadline := a.offers.req.deadline
	return deadline > 0 && a.offers.now() > deadline
}

// lost is the result when the agent can't be asked any longer.
func (a *attempt) lost() result {
	// An error of the network names inner addresses, which callers must not see.
	a.offers.entry.deps.Log.Warn("agent lost",
		zap.String("requestId", string(a.offers.req.id)), zap.String("upstream", string(a.target.Name)), zap.Error(a.last))
	const reason = "the connection to the upstream's agent was lost"
	if a.offers.caller.begun {
		return broken{reason: reason}
	}
	return unknown{reason: reason, deadline: a.late()}
}

// eventStream is what an agent tells of one request.
type eventStream = connect.ServerStreamForClient[burdockwire.RunEvent]

// open starts a stream of events.
type open func(context.Context) (*eventStream, error)

// connect follows one stream. It returns a nil result when the stream ended
// before the request did, and whether anything may have been sent.
func (a *attempt) connect(ctx context.Context, start open) (result, bool) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	// What is left of the stream may outlive the request, see leftover.
	streamCtx, cancel := context.WithCancelCause(context.WithoutCancel(httptrace.WithClientTrace(ctx, trace)))
	unlink := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	defer unlink()
	watchdog := time.AfterFunc(silenceLimit, func() { cancel(errSilent) })
	defer watchdog.Stop()
	stream, err := start(streamCtx)
	if err != nil {
		a.note(streamCtx, err)
		cancel(nil)
		return nil, sent.Load()
	}
	rest := &leftover{entry: a.offers.entry, stream: stream, cancel: cancel}
	res := a.receive(stream, watchdog)
	switch res.(type) {
	case answered, notRun:
		rest.entry.done.Add(1)
		go rest.run()
	default:
		a.note(streamCtx, stream.Err())
		rest.close()
	}
	return res, res != nil || sent.Load()
}

// receive takes events until one ends the request, or the stream ends.
func (a *attempt) receive(stream *eventStream, watchdog *time.Timer) result {
	for stream.Receive() {
		// The time that a slow caller takes to read is not the agent's silence.
		watchdog.Stop()
		if res := a.take(stream.Msg()); res != nil {
			return res
		}
		watchdog.Reset(silenceLimit)
	}
	return nil
}

func (a *attempt) note(ctx context.Context, err error) {
	a.last = err
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		a.last = errSilent
	}
}

// take acts on one event. It returns nil while the request goes on.
func (a *attempt) take(event *burdockwire.RunEvent) result {
	if event.GetRequestId() != string(a.offers.req.id) {
		// An event of another request: nothing of this stream can be trusted.
		return a.mixedUp()
	}
	switch ev := event.GetEvent().(type) {
	case *burdockwire.RunEvent_Admitted:
		a.report(ev.Admitted.GetLoad())
	case *burdockwire.RunEvent_Refused:
		a.end()
		a.report(ev.Refused.GetLoad())
		return notRun{refusal: ev.Refused}
	case *burdockwire.RunEvent_Head:
		a.offers.caller.setHead(ev.Head)
	case *burdockwire.RunEvent_Chunk:
		return a.takeChunk(ev.Chunk)
	case *burdockwire.RunEvent_End:
		a.end()
		a.report(ev.End.GetLoad())
		return a.takeEnd(ev.End)
	case *burdockwire.RunEvent_Cut:
		a.end()
		a.report(ev.Cut.GetLoad())
		return a.takeCut(ev.Cut)
	}
	return nil
}

func (a *attempt) mixedUp() result {
	const reason = "the agent sent an event of another request"
	if a.offers.caller.begun {
		return broken{reason: reason}
	}
	return unknown{reason: reason}
}

// end tells the placer that the offer ended. It comes before the report that
// ends the offer, which no longer counts it.
func (a *attempt) end() {
	if !a.ended {
		a.ended = true
		a.offers.pool.done(a.offers.now(), a.target.Name, a.offers.req.cost)
	}
}

func (a *attempt) report(load *burdockwire.Load) {
	a.offers.pool.report(a.offers.now(), a.target.Name, load)
}

func (a *attempt) takeChunk(chunk *burdockwire.Chunk) result {
	if chunk.GetOffset() != a.offset || a.offers.caller.head == nil {
		return broken{reason: "bytes are missing from the answer"}
	}
	if a.offset == 0 {
		a.offers.ending.begun = true
		a.offers.ending.firstByte = a.offers.now() - a.offers.req.arrived
		a.offers.pool.observe(a.offers.now(), a.target.Name, burdockeject.ResponseStarted{})
	}
	if err := a.offers.caller.write(chunk.GetData()); err != nil {
		return callerGone{}
	}
	a.offset += int64(len(chunk.GetData()))
	a.tries = 0
	return nil
}

func (a *attempt) takeEnd(end *burdockwire.End) result {
	if end.GetTotalBytes() != a.offset || a.offers.caller.head == nil {
		return broken{reason: "the answer is not as long as it should be"}
	}
	if err := a.offers.caller.finish(); err != nil {
		return callerGone{}
	}
	return answered{
		ran:    burdockclock.Millis(end.GetRanMillis()),
		served: burdockid.Tokens(end.GetServedTokens()),
	}
}

func (a *attempt) takeCut(c *burdockwire.Cut) result {
	if a.offers.caller.begun {
		return broken{reason: c.GetExplanation()}
	}
	return unknown{
		reason:   c.GetExplanation(),
		deadline: c.GetReason() == burdockwire.CutReason_CUT_REASON_DEADLINE,
		ran:      c.GetReason() == burdockwire.CutReason_CUT_REASON_ANSWER_GONE,
		byKey:    c.GetReason() == burdockwire.CutReason_CUT_REASON_ANSWER_GONE || c.GetReason() == burdockwire.CutReason_CUT_REASON_KEY_MAY_HAVE_RUN,
	}
}

func (a *attempt) runRequest() *burdockwire.RunRequest {
	req := a.offers.req
	return &burdockwire.RunRequest{
		RequestId:      string(req.id),
		Upstream:       string(a.target.Name),
		Service:        string(req.service),
		Customer:       string(req.customer),
		PriorityClass:  req.class,
		CostTokens:     int64(req.cost),
		PromptTokens:   int64(req.promptTokens),
		TimeoutMillis:  int64(max(req.deadline-a.offers.now(), 1)),
		IdempotencyKey: string(req.key),
		Method:         req.method,
		Path:           req.path,
		Query:          req.query,
		Headers:        req.headers,
		Body:           req.body,
		EventStream:    req.eventStream,
		ConfigDigest:   uint64(a.offers.entry.deps.Fleet.Now().Digest),
		MaxLoad:        a.maxLoad,
	}
}

func (a *attempt) attachRequest() *burdockwire.AttachRequest {
	return &burdockwire.AttachRequest{
		RequestId: string(a.offers.req.id),
		Upstream:  string(a.target.Name),
		Offset:    a.offset,
		AgeMillis: int64(a.offers.now() - a.began),
	}
}

// withdraw tells the agent that nobody waits any longer.
func (a *attempt) withdraw(client burdockwire.AgentServiceClient) {
	a.offers.entry.meters.withdrawals.Inc()
	a.offers.entry.done.Add(1)
	go (&withdrawal{entry: a.offers.entry, client: client, id: a.offers.req.id}).run()
}

// withdrawal cancels a request at an agent.
type withdrawal struct {
	entry  *Entry
	client burdockwire.AgentServiceClient
	id     burdockid.Request
}

func (w *withdrawal) run() {
	defer w.entry.done.Done()
	ctx, cancel := context.WithTimeout(context.Background(), cancelWait)
	defer cancel()
	// A lost cancellation costs the slot until the agent finds that nobody
	// reads the answer.
	_, _ = w.client.Cancel(ctx, connect.NewRequest(&burdockwire.CancelRequest{RequestId: string(w.id)}))
}
