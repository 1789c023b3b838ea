package burdockengine

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
)

// cutServer answers the first request on each connection. It reads the second one
// completely, which counts as a run, and closes the connection without an answer.
type cutServer struct {
	listener net.Listener
	runs     atomic.Int64
}

func newCutServer(t *testing.T) *cutServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	s := &cutServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go s.accept()
	return s
}

func (s *cutServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *cutServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(req.Body).WriteTo(discard{})
		s.runs.Add(1)
		if n > 1 {
			return
		}
		body := "ok"
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body))
	}
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// The upstream runs a call on a kept-alive connection and then closes the connection
// without an answer. By default net/http silently sends such a call again on a new
// connection, so that it runs twice. The caller must get an error instead, and the
// upstream must have run the call once.
func TestCallIsNeverSentTwice(t *testing.T) {
	calls := map[string]Call{
		"get":              {Method: http.MethodGet, Path: "/card"},
		"post with key":    {Method: http.MethodPost, Path: "/letter", Body: []byte("{}"), Header: http.Header{"Idempotency-Key": {"k"}}},
		"delete":           {Method: http.MethodDelete, Path: "/draft"},
		"empty post + key": {Method: http.MethodPost, Path: "/letter", Header: http.Header{"Idempotency-Key": {"k"}}},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			s := newCutServer(t)
			e := NewHTTP(s.listener.Addr().String())
			first, err := e.Do(context.Background(), call)
			if err != nil {
				t.Fatalf("first Do: %v", err)
			}
			_, _ = bufio.NewReader(first.Body).ReadString(0)
			_ = first.Body.Close()
			_, err = e.Do(context.Background(), call)
			if !errorx.IsOfType(err, ErrBroken) {
				t.Errorf("second Do: got %v, want an ErrBroken", err)
			}
			if got, want := s.runs.Load(), int64(2); got != want {
				t.Errorf("requests that the upstream ran: got %d, want %d", got, want)
			}
		})
	}
}

// With net/http's default transport, two calls run three times. This shows that
// TestCallIsNeverSentTwice can fail.
func TestDefaultTransportSendsTwice(t *testing.T) {
	s := newCutServer(t)
	client := &http.Client{Transport: &http.Transport{}}
	send := func() error {
		req, _ := http.NewRequest(http.MethodPost, "http://"+s.listener.Addr().String()+"/letter", strings.NewReader("{}"))
		req.Header.Set("Idempotency-Key", "k")
		res, err := client.Do(req)
		if err != nil {
			return err
		}
		_, _ = bufio.NewReader(res.Body).ReadString(0)
		return res.Body.Close()
	}
	if err := send(); err != nil {
		t.Fatalf("first send: %v", err)
	}
	if err := send(); err != nil {
		t.Fatalf("second send: %v, want the silent resend to succeed", err)
	}
	if got, want := s.runs.Load(), int64(3); got != want {
		t.Errorf("requests that the upstream ran: got %d, want %d", got, want)
	}
}

func TestNoConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = NewHTTP(address).Do(context.Background(), Call{Method: http.MethodGet, Path: "/"})
	if !errorx.IsOfType(err, ErrNotSent) {
		t.Errorf("Do: got %v, want an ErrNotSent", err)
	}
}
