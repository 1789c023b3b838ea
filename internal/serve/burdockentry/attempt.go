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
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"go.uber.org/zap"
)

const (
	// silenceTimeout is the longest time without an event on a stream. The agent sends
	// heartbeats four times as often.
	silenceTimeout = 2 * time.Second
	// attachDelay is the delay before the second and each later try to attach.
	attachDelay = 250 * time.Millisecond
	// maxAttachTries bounds the successive tries to attach that bring no data. With
	// silenceTimeout it gives an agent that was frozen or cut off about ten seconds to
	// come back.
	maxAttachTries = 5
	cancelTimeout  = 2 * time.Second
)

// errSilent reports that an agent sent nothing on a stream for too long.
var errSilent = errors.New("no event from the agent within the silence timeout")

// attempt is one offer to one upstream. It may use several connections to the
// upstream's agent.
type attempt struct {
	dispatcher  *dispatcher
	target      burdockmember.Upstream
	maxLoad     float64
	startedAt   burdockclock.Millis
	offset      int64
	attachTries int
	lastErr     error
	ended       bool // the placer has been notified of the offer's end
}

// run offers the request and returns how the offer ended.
//
// A connection may break, or go silent without an error because a device on the path
// lost its state; then neither events nor heartbeats arrive. The agent goes on with the
// request, and run attaches to it on a new connection, from the first missing byte. No
// byte is lost and the request does not run twice.
func (a *attempt) run(ctx context.Context) result {
	client := a.dispatcher.entry.agentClient(a.target.Agent)
	a.dispatcher.response.resetHead()
	res, sent := a.readStream(ctx, func(ctx context.Context) (*eventStream, error) {
		return client.Run(ctx, connect.NewRequest(a.runRequest()))
	})
	if res == nil && !sent {
		return connectFailed{}
	}
	for res == nil {
		if ctx.Err() != nil {
			a.cancelAtAgent(client)
			return callerGone{}
		}
		if a.attachTries++; a.attachTries > maxAttachTries || a.deadlinePassed() {
			a.cancelAtAgent(client)
			return a.agentLost()
		}
		a.dispatcher.entry.meters.attachments.Inc()
		a.dispatcher.entry.deps.Peers.DropIdle()
		if a.attachTries > 1 {
			a.waitToAttach(ctx)
		}
		res, _ = a.readStream(ctx, func(ctx context.Context) (*eventStream, error) {
			return client.Attach(ctx, connect.NewRequest(a.attachRequest()))
		})
	}
	if _, gone := res.(callerGone); gone {
		a.cancelAtAgent(client)
	}
	return res
}

func (a *attempt) waitToAttach(ctx context.Context) {
	timer := time.NewTimer(attachDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// deadlinePassed reports whether the request's deadline has passed.
func (a *attempt) deadlinePassed() bool {
	deadline := a.dispatcher.req.deadline
	return deadline > 0 && a.dispatcher.now() > deadline
}

// agentLost returns the result for an agent that can't be reached any more.
func (a *attempt) agentLost() result {
	// Network errors contain internal addresses, which callers must not see.
	a.dispatcher.entry.deps.Log.Warn("agent lost",
		zap.String("requestId", string(a.dispatcher.req.id)), zap.String("upstream", string(a.target.Name)), zap.Error(a.lastErr))
	const reason = "the connection to the upstream's agent was lost"
	if a.dispatcher.response.headWritten {
		return truncated{reason: reason}
	}
	return unknownOutcome{reason: reason, deadlineExceeded: a.deadlinePassed()}
}

// eventStream carries an agent's events about one request.
type eventStream = connect.ServerStreamForClient[burdockwire.RunEvent]

// streamOpener opens an event stream.
type streamOpener func(context.Context) (*eventStream, error)

// readStream opens an event stream and handles its events. The result is nil when the
// stream ended before the request did. The bool reports whether anything may have been
// sent.
func (a *attempt) readStream(ctx context.Context, start streamOpener) (result, bool) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	// The stream may outlive the request while streamCloser reads it to its end.
	streamCtx, cancel := context.WithCancelCause(context.WithoutCancel(httptrace.WithClientTrace(ctx, trace)))
	stopAfterFunc := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	defer stopAfterFunc()
	watchdog := time.AfterFunc(silenceTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	stream, err := start(streamCtx)
	if err != nil {
		a.recordError(streamCtx, err)
		cancel(nil)
		return nil, sent.Load()
	}
	closer := &streamCloser{entry: a.dispatcher.entry, stream: stream, cancel: cancel}
	res := a.receiveEvents(stream, watchdog)
	switch res.(type) {
	case answered, refused:
		closer.entry.wg.Add(1)
		go closer.run()
	default:
		a.recordError(streamCtx, stream.Err())
		closer.close()
	}
	return res, res != nil || sent.Load()
}

// receiveEvents handles events until one ends the request or the stream ends.
func (a *attempt) receiveEvents(stream *eventStream, watchdog *time.Timer) result {
	for stream.Receive() {
		// The time that a slow caller takes to read does not count as silence of the
		// agent.
		watchdog.Stop()
		if res := a.handleEvent(stream.Msg()); res != nil {
			return res
		}
		watchdog.Reset(silenceTimeout)
	}
	return nil
}

func (a *attempt) recordError(ctx context.Context, err error) {
	a.lastErr = err
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		a.lastErr = errSilent
	}
}

// handleEvent handles one event. It returns nil while the request goes on.
func (a *attempt) handleEvent(event *burdockwire.RunEvent) result {
	if event.GetRequestId() != string(a.dispatcher.req.id) {
		// Nothing on a stream with an event of another request can be trusted.
		return a.untrusted("the agent sent an event of another request")
	}
	switch ev := event.GetEvent().(type) {
	case *burdockwire.RunEvent_Admitted:
		a.reportLoad(ev.Admitted.GetLoad())
	case *burdockwire.RunEvent_Refused:
		a.endOffer()
		a.reportLoad(ev.Refused.GetLoad())
		return refused{refusal: ev.Refused}
	case *burdockwire.RunEvent_Head:
		if !burdocktransport.IsFinalStatus(int(ev.Head.GetStatus())) {
			return a.untrusted("the answer has no valid status")
		}
		a.dispatcher.response.setHead(ev.Head)
	case *burdockwire.RunEvent_Chunk:
		return a.handleChunk(ev.Chunk)
	case *burdockwire.RunEvent_End:
		a.endOffer()
		a.reportLoad(ev.End.GetLoad())
		return a.handleEnd(ev.End)
	case *burdockwire.RunEvent_Cut:
		a.endOffer()
		a.reportLoad(ev.Cut.GetLoad())
		return a.handleCut(ev.Cut)
	}
	return nil
}

// untrusted returns the result for an agent that sent something that can't be right.
func (a *attempt) untrusted(reason string) result {
	if a.dispatcher.response.headWritten {
		return truncated{reason: reason}
	}
	return unknownOutcome{reason: reason}
}

// endOffer notifies the placer that the offer ended. It must be called before the
// agent's last load report is applied, because that report no longer counts the
// request.
func (a *attempt) endOffer() {
	if !a.ended {
		a.ended = true
		a.dispatcher.pool.offerEnded(a.dispatcher.now(), a.target.Name, a.dispatcher.req.cost)
	}
}

func (a *attempt) reportLoad(load *burdockwire.Load) {
	a.dispatcher.pool.reportLoad(a.dispatcher.now(), a.target.Name, load)
}

func (a *attempt) handleChunk(chunk *burdockwire.Chunk) result {
	if chunk.GetOffset() != a.offset || a.dispatcher.response.head == nil {
		return truncated{reason: "bytes are missing from the answer"}
	}
	if a.offset == 0 {
		a.dispatcher.requestEnd.hasFirstByte = true
		a.dispatcher.requestEnd.firstByte = a.dispatcher.now() - a.dispatcher.req.receivedAt
		a.dispatcher.pool.observeHealth(a.dispatcher.now(), a.target.Name, burdockeject.ResponseStarted{})
	}
	if err := a.dispatcher.response.write(chunk.GetData()); err != nil {
		return callerGone{}
	}
	a.offset += int64(len(chunk.GetData()))
	a.attachTries = 0
	return nil
}

func (a *attempt) handleEnd(end *burdockwire.End) result {
	if end.GetTotalBytes() != a.offset || a.dispatcher.response.head == nil {
		return truncated{reason: "the answer is not as long as it should be"}
	}
	if err := a.dispatcher.response.finish(); err != nil {
		return callerGone{}
	}
	return answered{
		duration:     burdockclock.Millis(end.GetRanMillis()),
		servedTokens: burdockid.Tokens(end.GetServedTokens()),
	}
}

func (a *attempt) handleCut(c *burdockwire.Cut) result {
	if a.dispatcher.response.headWritten {
		return truncated{reason: c.GetExplanation()}
	}
	return unknownOutcome{
		reason:           c.GetExplanation(),
		deadlineExceeded: c.GetReason() == burdockwire.CutReason_CUT_REASON_DEADLINE,
		completed:        c.GetReason() == burdockwire.CutReason_CUT_REASON_ANSWER_GONE,
		fromKeyRecord:    c.GetReason() == burdockwire.CutReason_CUT_REASON_ANSWER_GONE || c.GetReason() == burdockwire.CutReason_CUT_REASON_KEY_MAY_HAVE_RUN,
	}
}

func (a *attempt) runRequest() *burdockwire.RunRequest {
	req := a.dispatcher.req
	return &burdockwire.RunRequest{
		RequestId:      string(req.id),
		Upstream:       string(a.target.Name),
		Service:        string(req.service),
		Customer:       string(req.customer),
		PriorityClass:  req.class,
		CostTokens:     int64(req.cost),
		PromptTokens:   int64(req.promptTokens),
		TimeoutMillis:  int64(max(req.deadline-a.dispatcher.now(), 1)),
		IdempotencyKey: string(req.idempotencyKey),
		Method:         req.method,
		Path:           req.path,
		Query:          req.query,
		Headers:        req.headers,
		Body:           req.body,
		EventStream:    req.eventStream,
		ConfigDigest:   uint64(a.dispatcher.entry.deps.Fleet.Now().Digest),
		MaxLoad:        a.maxLoad,
	}
}

func (a *attempt) attachRequest() *burdockwire.AttachRequest {
	return &burdockwire.AttachRequest{
		RequestId: string(a.dispatcher.req.id),
		Upstream:  string(a.target.Name),
		Offset:    a.offset,
		AgeMillis: int64(a.dispatcher.now() - a.startedAt),
	}
}

// cancelAtAgent cancels the request at the agent, in the background.
func (a *attempt) cancelAtAgent(client burdockwire.AgentServiceClient) {
	a.dispatcher.entry.meters.cancellations.Inc()
	a.dispatcher.entry.wg.Add(1)
	go (&cancellation{entry: a.dispatcher.entry, client: client, id: a.dispatcher.req.id}).run()
}

// cancellation is a call that cancels a request at an agent.
type cancellation struct {
	entry  *Entry
	client burdockwire.AgentServiceClient
	id     burdockid.Request
}

func (c *cancellation) run() {
	defer c.entry.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// If the call fails, the request keeps its slot until the agent notices that nobody
	// reads the response.
	_, _ = c.client.Cancel(ctx, connect.NewRequest(&burdockwire.CancelRequest{RequestId: string(c.id)}))
}
