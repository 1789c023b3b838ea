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
	readBufferBytes = 16 << 10
	requestIDHeader = "Burdock-Request-Id"
	customerHeader  = "Burdock-Customer"
	eventStreamType = "text/event-stream"
	upstreamRetry   = burdockclock.Second
	endMark         = "[DONE]"
	// endMarkTail is how much of the end of an answer is searched for the mark.
	endMarkTail = 32
	// bytesPerToken is a usual size of a token in an answer that doesn't count
	// them, so that the queue learns a rate from it.
	bytesPerToken = 4
)

// errGivenUp says that a job ended while its answer still came in.
var errGivenUp = errors.New("given up")

// runner carries one job out on the engine.
type runner struct {
	agent *Agent
	job   *job
	tail  []byte
	marks int
}

// startJob begins a job that the queue gave a slot. The agent's lock is held.
func (a *Agent) startJob(j *job) {
	ctx, cancel := context.WithCancel(context.Background())
	if left := j.deadline - a.deps.Clock.Boot(); j.deadline > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), left.Duration())
	}
	j.mu.Lock()
	j.cancel = cancel
	j.startedAt = a.deps.Clock.Boot()
	j.fire(burdockcharts.RequestEventStart)
	j.mu.Unlock()
	r := &runner{agent: a, job: j}
	go r.run(ctx)
}

func (r *runner) run(ctx context.Context) {
	o := r.execute(ctx)
	r.job.cancel()
	r.agent.finish(r.job, o)
}

// execute hands the request over and reads the answer.
func (r *runner) execute(ctx context.Context) outcome {
	call := callOf(r.job.request)
	call.BeforeSend = func() { r.job.step(burdockcharts.RequestEventHandOver) }
	answer, err := r.agent.deps.Engine.Do(ctx, call)
	if err != nil {
		return r.failure(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	r.job.begin(headOf(answer))
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			r.note(buffer[:n])
			if !r.job.add(ctx, buffer[:n]) {
				return r.failure(ctx, errGivenUp)
			}
		}
		if errors.Is(err, io.EOF) {
			return r.completion(answer)
		}
		if err != nil {
			return r.failure(ctx, err)
		}
	}
}

// note keeps the end of the answer and counts its events.
func (r *runner) note(data []byte) {
	r.marks += bytes.Count(data, []byte("\n\n"))
	r.tail = append(r.tail, data[max(0, len(data)-endMarkTail):]...)
	r.tail = r.tail[max(0, len(r.tail)-endMarkTail):]
}

// completion tells a whole answer from one that only stopped.
//
// An engine that dies can close its connection in good order. The answer then
// looks whole to HTTP, and the caller would take half an explanation for all
// of it. An event stream is whole only with its end mark, any other answer
// only when it states where it ends.
func (r *runner) completion(answer burdockengine.Answer) outcome {
	stream := answer.Status == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStreamType)
	marked := strings.HasSuffix(strings.TrimSpace(string(r.tail)), endMark)
	if r.job.request.GetEventStream() && stream && !marked {
		return cut{reason: burdockwire.CutReason_CUT_REASON_UPSTREAM_BROKE, explanation: "the stream ended without its end mark"}
	}
	if !answer.Framed {
		return cut{reason: burdockwire.CutReason_CUT_REASON_UPSTREAM_BROKE, explanation: "the answer does not say where it ends"}
	}
	r.job.mu.Lock()
	defer r.job.mu.Unlock()
	r.job.served = r.tokens()
	return ended{total: r.job.total()}
}

// tokens estimates what the request cost, for the queue's measured rate.
func (r *runner) tokens() burdockid.Tokens {
	prompt := burdockid.Tokens(r.job.request.GetPromptTokens())
	if r.job.request.GetEventStream() {
		return prompt + burdockid.Tokens(r.marks)
	}
	return prompt + burdockid.Tokens(r.job.total()/bytesPerToken+1)
}

// failure says what an error of the engine means for the caller. Only when no
// byte was sent is "not run" the truth.
func (r *runner) failure(ctx context.Context, err error) outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && errorx.IsOfType(err, burdockengine.ErrNotSent):
		return refused{reason: burdockwire.RefusedReason_REFUSED_REASON_DEADLINE, explanation: "deadline passed"}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return cut{reason: burdockwire.CutReason_CUT_REASON_DEADLINE, explanation: "deadline passed"}
	case ctx.Err() != nil || errors.Is(err, errGivenUp):
		return cut{reason: burdockwire.CutReason_CUT_REASON_CANCELLED, explanation: "given up"}
	case errorx.IsOfType(err, burdockengine.ErrNotSent):
		return refused{
			reason:      burdockwire.RefusedReason_REFUSED_REASON_UPSTREAM_DOWN,
			retryAfter:  upstreamRetry,
			explanation: "no connection to the upstream",
		}
	default:
		// The error names inner addresses, which callers must not see.
		r.agent.deps.Log.Warn("upstream broke off", zap.String("requestId", string(r.job.id)), zap.Error(err))
		return cut{reason: burdockwire.CutReason_CUT_REASON_UPSTREAM_BROKE, explanation: "the upstream broke off"}
	}
}

// callOf converts a request to a call of the upstream.
func callOf(req *burdockwire.RunRequest) burdockengine.Call {
	header := http.Header{}
	for _, h := range req.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
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

func headOf(answer burdockengine.Answer) *burdockwire.Head {
	head := &burdockwire.Head{Status: int32(answer.Status)}
	for name, values := range answer.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &burdockwire.Header{Name: name, Value: value})
		}
	}
	return head
}
