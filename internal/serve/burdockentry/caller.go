package burdockentry

import (
	"net/http"
	"strings"
	"time"

	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/serve/burdockapi"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// caller is the way back to the one who asked.
type caller struct {
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	stall   time.Duration
	head    *burdockwire.Head // held back until the first byte or the end
	stream  bool
	begun   bool // the head was written
	written int64
}

func newCaller(w http.ResponseWriter, r *http.Request, limits burdocksettings.Limits) *caller {
	return &caller{w: w, r: r, control: http.NewResponseController(w), stall: limits.WriteStallMillis.Duration()}
}

// reset forgets the head of an offer that failed before its first byte.
func (c *caller) reset() {
	if !c.begun {
		c.head = nil
	}
}

// setHead takes the head of the answer. It is written with the first byte, so
// that an answer that breaks off before can still be told as an error.
func (c *caller) setHead(head *burdockwire.Head) {
	if c.head == nil {
		c.head = head
	}
}

// write passes bytes of the answer on. The head must be known.
func (c *caller) write(data []byte) error {
	c.begin()
	// A reader that takes nothing would hold the request, its buffers and its
	// slot for good.
	_ = c.control.SetWriteDeadline(time.Now().Add(c.stall))
	n, err := c.w.Write(data)
	c.written += int64(n)
	if err != nil || !c.stream {
		return err
	}
	return c.control.Flush()
}

func (c *caller) begin() {
	if c.begun {
		return
	}
	c.begun = true
	h := c.w.Header()
	for _, header := range c.head.GetHeaders() {
		name := http.CanonicalHeaderKey(header.GetName())
		if !hopHeaders[name] {
			h.Add(name, header.GetValue())
		}
	}
	c.stream = strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
	c.w.WriteHeader(int(c.head.GetStatus()))
}

// finish ends a whole answer.
func (c *caller) finish() error {
	c.begin()
	return c.control.Flush()
}

// fail ends with a problem, which also tells an answer that broke off from a
// whole one: once bytes were written the connection is aborted, so that no
// client takes the rest for the end.
func (c *caller) fail(problem *burdockapi.Problem) {
	if !c.begun {
		_ = c.control.SetWriteDeadline(time.Now().Add(c.stall))
		problem.Write(c.w)
		return
	}
	if c.stream {
		_, _ = c.w.Write([]byte("data: " + string(problem.Body()) + "\n\n"))
		_ = c.control.Flush()
	}
	panic(http.ErrAbortHandler)
}
