package burdocktransport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
)

// framing is how a request's header describes its body.
type framing struct {
	coding, length string
}

// exchangeServer is a server that records what arrives. It answers the first request of the
// test and closes the connection at every later one.
type exchangeServer struct {
	listener net.Listener
	mu       sync.Mutex
	arrivals []framing
}

func newExchangeServer(t *testing.T) *exchangeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &exchangeServer{listener: l}
	go s.run()
	return s
}

func (s *exchangeServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serve(c)
	}
}

func (s *exchangeServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if s.record(framing{strings.Join(req.TransferEncoding, ","), req.Header.Get("Content-Length")}) > 1 {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (s *exchangeServer) record(f framing) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, f)
	return len(s.arrivals)
}

func (s *exchangeServer) seen() []framing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// Guards against a bodiless request that arrives as one with a body of unknown length,
// which servers may turn away.
func TestBodilessRequestArrivesWithoutBody(t *testing.T) {
	for _, c := range []struct {
		method string
		want   framing
	}{
		{http.MethodGet, framing{}}, {http.MethodHead, framing{}}, {http.MethodOptions, framing{}}, {http.MethodDelete, framing{}},
		{http.MethodPost, framing{length: "0"}}, {http.MethodPut, framing{length: "0"}}, {http.MethodPatch, framing{length: "0"}},
	} {
		for _, body := range []io.ReadCloser{nil, http.NoBody} {
			s := newExchangeServer(t)
			req := httptest.NewRequest(c.method, "http://"+s.listener.Addr().String()+"/", nil)
			req.RequestURI, req.Body = "", body
			res, err := New(&http.Transport{}).RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close()
			if got := s.seen()[0]; got != c.want {
				t.Errorf("%s: got %+v, want %+v", c.method, got, c.want)
			}
		}
	}
}

// Guards against a request that reaches a server twice because net/http repeats it on
// another connection.
func TestRequestOnBrokenConnectionIsNotRepeated(t *testing.T) {
	for _, c := range []struct{ method, key string }{
		{http.MethodGet, ""}, {http.MethodHead, ""}, {http.MethodOptions, ""}, {http.MethodPost, ""}, {http.MethodPost, "key-1"}, {http.MethodDelete, ""},
	} {
		s := newExchangeServer(t)
		client := &http.Client{Transport: New(&http.Transport{})}
		for range 2 {
			req, err := http.NewRequest(c.method, "http://"+s.listener.Addr().String(), nil)
			if err != nil {
				t.Fatal(err)
			}
			if c.key != "" {
				req.Header.Set("Idempotency-Key", c.key)
			}
			if res, err := client.Do(req); err == nil {
				_ = res.Body.Close()
			}
		}
		if got, want := len(s.seen()), 2; got != want {
			t.Errorf("%s with key %q: got %d arrivals, want %d", c.method, c.key, got, want)
		}
	}
}
