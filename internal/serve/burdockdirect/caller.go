package burdockdirect

import (
	"net/http"
	"strconv"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"go.uber.org/zap"
)

// caller is the side of a request that the caller sees.
type caller struct {
	entry   *Entry
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool // the head has been written
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// head writes an upstream's status and headers. Without a length the answer
// ends as net/http frames it.
func (c *caller) head(status int, h http.Header, length int64) {
	c.begun = true
	out := c.w.Header()
	for name, values := range h {
		out[name] = values
	}
	closing := c.entry.drainingAt.Load() != 0
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	out.Del("Content-Length")
	if closing {
		out.Set("Connection", "close")
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // none of our own guess
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(status)
}

// write passes bytes on at once.
func (c *caller) write(b []byte) error {
	if _, err := c.w.Write(b); err != nil {
		return err
	}
	return c.control.Flush()
}

// refuse gives an answer of the entry's own, at once.
func (c *caller) refuse(req *request, no refusal) {
	h := c.w.Header()
	if no.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(no.retryAfter)/float64(burdockclock.Second), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.entry.meters.refused(no.status)
	c.entry.logEnd(req, "refused", zap.Int("status", no.status), zap.String("reason", no.reason), zap.Int64("retryAfterMillis", int64(no.retryAfter)))
	body := no.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(no.status)
	// A caller that has gone needs no answer.
	_, _ = c.w.Write([]byte(body))
}

// abort ends the connection, so that what was sent can't pass for whole.
func (c *caller) abort() { panic(http.ErrAbortHandler) }
