package burdockdirect

import (
	"net/http"
	"strconv"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"go.uber.org/zap"
)

// caller writes the response to the caller of one request.
type caller struct {
	entry       *Entry
	w           http.ResponseWriter
	control     *http.ResponseController
	headWritten bool // the head of an upstream's answer has been written
	answered    bool // any answer has been written, or begun
}

// writeHead writes an upstream's status and headers. If length is negative, net/http
// frames the body.
func (c *caller) writeHead(status int, h http.Header, length int64) {
	c.headWritten, c.answered = true, true
	out := c.w.Header()
	for name, values := range h {
		out[name] = values
	}
	closing := c.entry.drainingAt.Load() != 0
	dropConnectionHeaders(out)
	out.Del("Content-Length")
	if closing {
		out.Set("Connection", "close")
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // no content sniffing
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(status)
}

// write passes bytes on and flushes them.
func (c *caller) write(b []byte) error {
	if _, err := c.w.Write(b); err != nil {
		return err
	}
	return c.control.Flush()
}

// refuse answers a request with a refusal by the entry itself.
func (c *caller) refuse(req *request, rejection refusal) {
	c.answered = true
	h := c.w.Header()
	if rejection.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(rejection.retryAfter)/float64(burdockclock.Second), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.entry.meters.countRefusal(rejection.status)
	c.entry.logEnd(req, "refused", zap.Int("status", rejection.status), zap.String("reason", rejection.reason), zap.Int64("retryAfterMillis", int64(rejection.retryAfter)))
	body := rejection.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(rejection.status)
	// An error means that the caller has gone and needs no answer.
	_, _ = c.w.Write([]byte(body))
}

// abort closes the connection, so that a partial response can't be taken for a complete
// one.
func (c *caller) abort() { panic(http.ErrAbortHandler) }
