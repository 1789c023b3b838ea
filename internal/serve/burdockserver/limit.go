package burdockserver

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener closes new connections immediately while limit connections are open.
//
// It protects against a caller that opens connections without end and against many
// callers that reconnect at the same time. Each connection costs a goroutine, a file
// descriptor and buffers, and a process that runs out of them fails all its callers.
// Excess connections are closed instead of left in the backlog: a caller in the backlog
// learns nothing until its own timeout, while a connection that is closed before
// anything was read from it has run no request and can safely be retried.
type limitedListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		_ = conn.Close()
	}
}

// limitedConn is a counted connection; closing it lowers the listener's count.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// CloseWrite closes the sending side. net/http does so before it closes a connection, so
// that the response is not lost with a reset.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

func (c *limitedConn) release() { c.listener.open.Add(-1) }
