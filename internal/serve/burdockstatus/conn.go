package burdockstatus

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// The version of a status line is versionPrefix and a digit; then comes a space and the
// status.
const (
	versionPrefix = "HTTP/1."
	statusAt      = len(versionPrefix) + 2
	statusEnd     = statusAt + 3
)

// listener observes the connections that it accepts.
type listener struct {
	net.Listener
	observer *Observer
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, observer: l.observer, awaiting: true}, nil
}

// conn reads the status of each response from what the server writes first after a
// request.
type conn struct {
	net.Conn
	observer *Observer

	mu       sync.Mutex
	awaiting bool          // no final response has begun since the latest request
	request  *http.Request // the latest request that a handler has seen; nil for none
	line     []byte        // beginning of what arrived since the latest response
}

// awaitRequest is called when the server has finished a response and awaits a request.
func (c *conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.request = true, nil
}

func (c *conn) handlerStarts(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = r
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if room := maxLogged - len(c.line); room > 0 {
		c.line = append(c.line, b[:min(n, room)]...)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.observe(b)
	return c.Conn.Write(b)
}

// CloseWrite closes the sending side. net/http does so before it closes a connection, so
// that the response is not lost with a reset.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *conn) observe(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaiting {
		return
	}
	status, ok := parseStatus(b)
	if !ok || status < http.StatusOK { // an interim response
		return
	}
	line := requestLine(c.line)
	c.awaiting, c.line = false, c.line[:0]
	if status >= http.StatusMultipleChoices && status < http.StatusInternalServerError {
		c.observer.report(c, c.request, line, status)
	}
}

// parseStatus returns the status of the response that b begins with; false if b begins
// with none.
func parseStatus(b []byte) (int, bool) {
	if len(b) < statusEnd || !bytes.HasPrefix(b, []byte(versionPrefix)) {
		return 0, false
	}
	status, err := strconv.Atoi(string(b[statusAt:statusEnd]))
	return status, err == nil
}

// requestLine returns what arrived up to the end of the first line that is not empty,
// without a query.
func requestLine(b []byte) string {
	text := bytes.TrimLeft(b, "\r\n")
	empty := b[:len(b)-len(text)]
	line, _, _ := bytes.Cut(text, []byte("\n"))
	line, _, _ = bytes.Cut(line, []byte("?"))
	return string(empty) + string(bytes.TrimRight(line, "\r"))
}
