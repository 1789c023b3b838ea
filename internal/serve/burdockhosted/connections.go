package burdockhosted

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

const (
	// reservedDescriptors are kept for the store, other processes, listeners and the log.
	reservedDescriptors = 64
	// descriptorsPerCaller are those of a caller's connection: its own, and one to the upstream
	// that serves its request.
	descriptorsPerCaller = 2
	// minConnections are accepted however few descriptors there are.
	minConnections = 16
	// quietTime is how long a connection must have been without a request to give way to a new
	// one. Callers send their requests at once.
	quietTime = 500 * time.Millisecond
	// connectionLogInterval is the least time between two lines about too many connections.
	connectionLogInterval = 10 * time.Second
)

// maxConnections returns how many callers' connections the process's descriptors allow.
func maxConnections() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return minConnections
	}
	return connectionsFor(limit.Cur)
}

func connectionsFor(descriptors uint64) int {
	const enough = 1 << 20 // such a limit bounds nothing
	n := (int(min(descriptors, enough)) - reservedDescriptors) / descriptorsPerCaller
	return max(n, minConnections)
}

// connections bounds the open connections of callers. When there are too many, the one that has
// been without a request for the longest is closed for the new one, or the new one if all are
// in use.
//
// The platform may send most new connections to one entry for a while, and callers may open
// them without sending anything. An entry without descriptors can't reach upstreams, and fails
// all its callers. A connection that is closed before anything is read from it has run no
// request: its caller tries elsewhere at once.
type connections struct {
	limit func() int
	log   *zap.Logger
	// refused counts the new connections that were closed at once, evicted the older ones that
	// were closed for a new one.
	refused, evicted *metrics.Counter

	mu       sync.Mutex
	open     map[*callerConn]struct{}
	loggedAt time.Time
}

func newConnections(limit func() int, set *metrics.Set, log *zap.Logger) *connections {
	c := &connections{
		limit: limit, log: log, open: map[*callerConn]struct{}{},
		refused: set.NewCounter("burdock_caller_connections_refused_total"),
		evicted: set.NewCounter("burdock_caller_connections_evicted_total"),
	}
	set.NewGauge("burdock_caller_connections", func() float64 { return float64(c.size()) })
	return c
}

func (c *connections) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// bound makes a server serve a listener with a bounded number of connections. It returns the
// listener that the server must serve.
func (c *connections) bound(s *http.Server, l net.Listener) net.Listener {
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if cc, ok := conn.(*callerConn); ok && state == http.StateIdle {
			cc.awaitRequest()
		}
	}
	return &boundedListener{Listener: l, connections: c}
}

// add registers a connection. It reports false if there are too many and none gives way.
func (c *connections) add(conn *callerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.limit()
	for len(c.open) >= limit {
		quietest := c.quietest()
		if quietest == nil {
			c.refused.Inc()
			c.logFull(limit)
			return false
		}
		c.evicted.Inc()
		c.logFull(limit)
		quietest.evicted = true
		delete(c.open, quietest)
		_ = quietest.Conn.Close()
	}
	c.open[conn] = struct{}{}
	return true
}

// quietest returns the connection that has been without a request for the longest; nil if all
// are in use, or were a moment ago. The lock must be held.
func (c *connections) quietest() *callerConn {
	var found *callerConn
	for conn := range c.open {
		if conn.waiting && (found == nil || conn.waitingSince.Before(found.waitingSince)) {
			found = conn
		}
	}
	if found == nil || time.Since(found.waitingSince) < quietTime {
		return nil
	}
	return found
}

// logFull writes a line, unless one was written a moment ago. The lock must be held.
func (c *connections) logFull(limit int) {
	if time.Since(c.loggedAt) < connectionLogInterval {
		return
	}
	c.loggedAt = time.Now()
	c.log.Warn("too many connections of callers", zap.Int("limit", limit), zap.Uint64("refused", c.refused.Get()), zap.Uint64("evicted", c.evicted.Get()))
}

// boundedListener registers the connections that it accepts.
type boundedListener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := &callerConn{Conn: conn, connections: l.connections, waiting: true, waitingSince: time.Now()}
		if l.connections.add(accepted) {
			return accepted, nil
		}
		_ = conn.Close()
	}
}

// callerConn is a registered connection. The registry's lock protects its fields.
type callerConn struct {
	net.Conn
	connections *connections
	// waiting means that nothing has been read since the last answer, or since the start.
	waiting      bool
	waitingSince time.Time
	evicted      bool
}

// awaitRequest is called when the server has finished an answer.
func (c *callerConn) awaitRequest() {
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	c.waiting, c.waitingSince = true, time.Now()
}

// Read implements net.Conn. What arrives as the connection is evicted is not read, so that no
// request runs whose answer can't be written.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	if c.evicted {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.waiting = false
	}
	return n, err
}

// CloseWrite closes the sending side. net/http does so before it closes a connection, so that
// the response is not lost with a reset.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.connections.mu.Lock()
	delete(c.connections.open, c)
	c.connections.mu.Unlock()
	return c.Conn.Close()
}
