package burdockserver

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener closes each new connection at once while as many are open as
// it allows.
//
// Load: a caller that opens connections without end, or a storm of callers
// that come back together. Harm: each one costs a goroutine, a descriptor and
// buffers; without a limit the process runs out of them, and with it all its
// callers. Why closed at once, and not left to wait: whoever waits in the
// backlog learns nothing until its own timeout, while a connection that was
// closed before anything was read on it has run nothing and can be made again.
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

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

func (c *limitedConn) release() { c.listener.open.Add(-1) }
