package burdockentry

import (
	"net/http"
	"strings"
	"time"

	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/serve/burdockapi"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// response writes the response to one caller.
type response struct {
	w            http.ResponseWriter
	r            *http.Request
	controller   *http.ResponseController
	writeTimeout time.Duration
	head         *burdockwire.Head // written with the first byte or at the end
	eventStream  bool
	headWritten  bool // the status can't be changed any more
	written      int64
}

func newResponse(w http.ResponseWriter, r *http.Request, limits burdocksettings.Limits) *response {
	return &response{w: w, r: r, controller: http.NewResponseController(w), writeTimeout: limits.WriteStallMillis.Duration()}
}

// resetHead discards the head of an offer that failed before its first byte.
func (resp *response) resetHead() {
	if !resp.headWritten {
		resp.head = nil
	}
}

// setHead stores the head of the response. It is written with the first byte, so that
// an offer that fails earlier can still be answered with an error status.
func (resp *response) setHead(head *burdockwire.Head) {
	if resp.head == nil {
		resp.head = head
	}
}

// write forwards bytes of the response. The head must be set.
func (resp *response) write(data []byte) error {
	resp.writeHead()
	// Without a deadline, a caller that does not read holds the request, its buffers
	// and its slot forever.
	_ = resp.controller.SetWriteDeadline(time.Now().Add(resp.writeTimeout))
	n, err := resp.w.Write(data)
	resp.written += int64(n)
	if err != nil || !resp.eventStream {
		return err
	}
	return resp.controller.Flush()
}

func (resp *response) writeHead() {
	if resp.headWritten {
		return
	}
	resp.headWritten = true
	h := resp.w.Header()
	for _, header := range resp.head.GetHeaders() {
		name := http.CanonicalHeaderKey(header.GetName())
		if !hopHeaders[name] {
			h.Add(name, header.GetValue())
		}
	}
	resp.eventStream = strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
	resp.w.WriteHeader(int(resp.head.GetStatus()))
}

// finish completes the response.
func (resp *response) finish() error {
	resp.writeHead()
	return resp.controller.Flush()
}

// fail ends the response with a problem. If bytes were written before, it aborts the
// connection, otherwise a client could take a truncated response for a complete one. An
// event stream gets the problem as its last event.
func (resp *response) fail(problem *burdockapi.Problem) {
	if !resp.headWritten {
		_ = resp.controller.SetWriteDeadline(time.Now().Add(resp.writeTimeout))
		problem.Write(resp.w)
		return
	}
	if resp.eventStream {
		_, _ = resp.w.Write([]byte("data: " + string(problem.Body()) + "\n\n"))
		_ = resp.controller.Flush()
	}
	panic(http.ErrAbortHandler)
}
