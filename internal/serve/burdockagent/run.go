package burdockagent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	readBufferBytes    = 16 << 10
	requestIDHeader    = "Burdock-Request-Id"
	customerHeader     = "Burdock-Customer"
	eventStreamType    = "text/event-stream"
	upstreamRetryAfter = burdockclock.Second
	streamEndMark      = "[DONE]"
	// endMarkTailBytes is how much of the end of an answer is searched for the end mark.
	endMarkTailBytes = 32
	// bytesPerToken is a typical size of a token. It gives an estimate for answers whose
	// tokens can't be counted, from which the queue learns its service rate.
	bytesPerToken = 4
)

// errJobEnded means that the job ended while its answer was still being received.
var errJobEnded = errors.New("given up")

// runner runs one job on the engine.
type runner struct {
	agent  *Agent
	job    *job
	tail   []byte
	events int
}

// startJob starts a job that the queue gave an engine slot. The agent's lock must be held.
func (a *Agent) startJob(j *job) {
	ctx, cancel := context.WithCancel(context.Background())
	if remaining := j.deadline - a.deps.Clock.Boot(); j.deadline > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), remaining.Duration())
	}
	j.mu.Lock()
	j.cancel = cancel
	j.startedAt = a.deps.Clock.Boot()
	j.fireLocked(burdockcharts.RequestEventStart)
	j.mu.Unlock()
	r := &runner{agent: a, job: j}
	go r.run(ctx)
}

func (r *runner) run(ctx context.Context) {
	o := r.execute(ctx)
	r.job.cancel()
	r.agent.finish(r.job, o)
}

// execute sends the request to the engine and reads the answer.
func (r *runner) execute(ctx context.Context) outcome {
	call := engineCall(r.job.request)
	call.Priority = r.job.priority
	call.BeforeSend = func() { r.job.fire(burdockcharts.RequestEventHandOver) }
	answer, err := r.agent.deps.Engine.Do(ctx, call)
	if err != nil {
		return r.outcomeOfError(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	r.agent.recordPause(answer)
	r.job.setHead(responseHead(answer))
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			r.inspect(buffer[:n])
			if !r.job.appendData(ctx, buffer[:n]) {
				return r.outcomeOfError(ctx, errJobEnded)
			}
		}
		if errors.Is(err, io.EOF) {
			return r.outcomeAtEOF(answer)
		}
		if err != nil {
			return r.outcomeOfError(ctx, err)
		}
	}
}

// inspect keeps the end of the answer and counts its events.
func (r *runner) inspect(data []byte) {
	r.events += bytes.Count(data, []byte("\n\n"))
	r.tail = append(r.tail, data[max(0, len(data)-endMarkTailBytes):]...)
	r.tail = r.tail[max(0, len(r.tail)-endMarkTailBytes):]
}

// outcomeAtEOF decides whether an answer that ended without an error is whole.
//
// An engine that dies may close its connection properly. A truncated answer then looks
// complete to HTTP, and the caller would take a part of the answer for all of it. An event
// stream is therefore whole only with its end mark, and any other answer only if its
// framing shows where it ends.
func (r *runner) outcomeAtEOF(answer burdockengine.Answer) outcome {
	stream := answer.Status == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStreamType)
	marked := strings.HasSuffix(strings.TrimSpace(string(r.tail)), streamEndMark)
	if r.job.request.GetEventStream() && stream && !marked {
		return cut{reason: burdockwire.CutReason_CUT_REASON_UPSTREAM_BROKE, explanation: "the stream ended without its end mark"}
	}
	if !answer.Framed {
		return cut{reason: burdockwire.CutReason_CUT_REASON_UPSTREAM_BROKE, explanation: "the answer does not say where it ends"}
	}
	r.job.mu.Lock()
	defer r.job.mu.Unlock()
	r.job.servedTokens = r.estimateTokens()
	return ended{totalBytes: r.job.totalBytes()}
}

// estimateTokens estimates the tokens of the request and its answer, from which the queue
// measures its service rate.
func (r *runner) estimateTokens() burdockid.Tokens {
	prompt := burdockid.Tokens(r.job.request.GetPromptTokens())
	if r.job.request.GetEventStream() {
		return prompt + burdockid.Tokens(r.events)
	}
	return prompt + burdockid.Tokens(r.job.totalBytes()/bytesPerToken+1)
}

// outcomeOfError returns the outcome for an error of the engine. A request is refused,
// that is reported as "not run", only if no byte of it was sent.
func (r *runner) outcomeOfError(ctx context.Context, err error) outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && errorx.IsOfType(err, burdockengine.ErrNotSent):
		return refused{reason: burdockwire.RefusedReason_REFUSED_REASON_DEADLINE, explanation: "deadline passed"}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return cut{reason: burdockwire.CutReason_CUT_REASON_DEADLINE, explanation: "deadline passed"}
	case ctx.Err() != nil || errors.Is(err, errJobEnded):
		return cut{reason: burdockwire.CutReason_CUT_REASON_CANCELLED, explanation: "given up"}
	case errorx.IsOfType(err, burdockengine.ErrNotSent):
		return refused{
			reason:      burdockwire.RefusedReason_REFUSED_REASON_UPSTREAM_DOWN,
			retryAfter:  upstreamRetryAfter,
			explanation: "no connection to the upstream",
		}
	default:
		// The error contains internal addresses, which callers must not see.
		r.agent.deps.Log.Warn("upstream broke off", zap.String("requestId", string(r.job.id)), zap.Error(err))
		return cut{reason: burdockwire.CutReason_CUT_REASON_UPSTREAM_BROKE, explanation: "the upstream broke off"}
	}
}

// engineCall converts a request to a call of the engine.
func engineCall(req *burdockwire.RunRequest) burdockengine.Call {
	header := http.Header{}
	for _, h := range req.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	header.Del(burdockengine.PriorityHeader)
	header.Set(requestIDHeader, req.GetRequestId())
	header.Set(customerHeader, req.GetCustomer())
	return burdockengine.Call{
		Method: req.GetMethod(),
		Path:   req.GetPath(),
		Query:  req.GetQuery(),
		Header: header,
		Body:   req.GetBody(),
	}
}

func responseHead(answer burdockengine.Answer) *burdockwire.Head {
	head := &burdockwire.Head{Status: int32(answer.Status)}
	for name, values := range answer.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &burdockwire.Header{Name: name, Value: value})
		}
	}
	return head
}
