// Package burdockraw implements a server that answers with any bytes, for answers that an HTTP
// library refuses to send.
package burdockraw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Ending is how a connection ends after an answer.
type Ending string

// Endings of a connection.
const (
	// Keep serves further requests on the connection.
	Keep Ending = ""
	// Close closes the connection. If bytes of the request are unread, the kernel resets it.
	Close Ending = "close"
	// Reset resets the connection.
	Reset Ending = "reset"
	// Hold leaves the connection open, and reads nothing more, until the server is closed.
	Hold Ending = "hold"
)

// Answer is what a server does with a request.
type Answer struct {
	// Text is sent as it is.
	Text string
	// BodyUnread means that Text is sent before the body of the request has been read, which
	// then stays unread.
	BodyUnread bool
	// Pause is the time between Text and the end of the connection.
	Pause  time.Duration
	Ending Ending
}

// Server answers requests with raw bytes.
type Server struct {
	listener net.Listener
	respond  func(*http.Request) Answer
	closed   chan struct{}

	mu          sync.Mutex
	connections int
	requests    int
	open        map[net.Conn]struct{}
}

// Start starts a server on loopback, until the test ends. It calls respond for each request, before
// the request's body has been read.
func Start(t testing.TB, respond func(*http.Request) Answer) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: l, respond: respond, closed: make(chan struct{}), open: map[net.Conn]struct{}{}}
	t.Cleanup(s.close)
	go s.run()
	return s
}

// StartFixed starts a server that gives the same answer to each request.
func StartFixed(t testing.TB, a Answer) *Server {
	t.Helper()
	return Start(t, func(*http.Request) Answer { return a })
}

// Address returns the server's IP and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections returns the number of connections on which a request has arrived.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// Requests returns the number of requests that have arrived.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// close closes the listener and all connections.
func (s *Server) close() {
	close(s.closed)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		_ = conn.Close()
	}
}

func (s *Server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open[conn] = struct{}{}
		s.mu.Unlock()
		go (&serverConn{server: s, Conn: conn}).run()
	}
}

func (s *Server) countRequest(firstOfConnection bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if firstOfConnection {
		s.connections++
	}
}

func (s *Server) drop(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// serverConn is a connection to the server.
type serverConn struct {
	net.Conn
	server *Server
}

func (c *serverConn) run() {
	defer c.server.drop(c.Conn)
	defer func() { _ = c.Conn.Close() }()
	in := bufio.NewReader(c.Conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		c.server.countRequest(first)
		if !c.answer(req, c.server.respond(req)) {
			return
		}
	}
}

// answer sends an answer. It reports whether the connection serves further requests.
func (c *serverConn) answer(req *http.Request, a Answer) bool {
	if !a.BodyUnread {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = io.WriteString(c.Conn, a.Text)
	time.Sleep(a.Pause)
	switch a.Ending {
	case Reset:
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	case Hold:
		<-c.server.closed
	}
	return a.Ending == Keep
}
