package burdocktransport

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// ErrCutShort means that a connection ended before the whole request was sent, so that what has
// arrived of the answer may be a part of it.
var ErrCutShort = Errors.NewType("cutShort")

// sendEndTimeout bounds the wait for the end of a request's sending after its connection has
// ended, which ends the sending too.
const sendEndTimeout = time.Second

// sending follows how a request is sent.
type sending struct {
	mu   sync.Mutex
	conn net.Conn
	// written gets the outcome on conn.
	written chan error
}

// trace returns the hooks that report to s.
func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: s.gotConn, WroteRequest: s.wroteRequest}
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = info.Conn
	if conn, ok := info.Conn.(*checkedConn); ok {
		conn.expectAnswer()
	}
	s.written = make(chan error, 1)
}

func (s *sending) wroteRequest(info httptrace.WroteRequestInfo) {
	select {
	case s.outcome() <- info.Err:
	default: // known already
	}
}

func (s *sending) outcome() chan error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written
}

// closeConn closes the request's connection. net/http may have put it back for use by other
// requests before it returned the answer, and then has no other way to take it out.
func (s *sending) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.conn.Close()
}

// awaitEnd returns nil once the whole request has been sent, and an error if it never will be.
func (s *sending) awaitEnd(ctx context.Context) error {
	timer := time.NewTimer(sendEndTimeout)
	defer timer.Stop()
	select {
	case err := <-s.outcome():
		if err != nil {
			return ErrCutShort.Wrap(err, "the connection ended while the request was being sent")
		}
		return nil
	case <-timer.C:
		return ErrCutShort.New("the connection ended while the request was being sent")
	case <-ctx.Done():
		return ctx.Err()
	}
}
