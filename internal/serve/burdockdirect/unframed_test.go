package burdockdirect

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// unframedUpstream answers each request with a text that its connection ends, without a length
// and not in chunks.
type unframedUpstream struct {
	*upstream
	proto, kind, text string
	reset             bool // the connection is reset at the end
}

func newUnframedUpstream(t *testing.T, u *unframedUpstream) *unframedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u.upstream = &upstream{server: &httptest.Server{URL: "http://" + listener.Addr().String()}}
	go u.run(listener)
	return u
}

func (u *unframedUpstream) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go u.answer(conn)
	}
}

func (u *unframedUpstream) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	u.runs = append(u.runs, r)
	u.mu.Unlock()
	head := u.proto + " 200 OK\r\nX-Signed: 1\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nContent-Type: " + u.kind + "\r\n\r\n"
	_, _ = conn.Write([]byte(head + u.text))
	if u.reset {
		time.Sleep(20 * time.Millisecond) // so that the text has been read before
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against answers without a length that are cut short, kept back or taken for broken.
func TestAnswerThatItsConnectionEnds(t *testing.T) {
	const plain, events = "text/plain", "text/event-stream"
	for _, c := range []struct {
		name, path  string
		upstream    unframedUpstream
		want        string // body
		wantOffers  int
		wantFailure bool
	}{
		{name: "plain", path: "/once/", upstream: unframedUpstream{proto: "HTTP/1.1", kind: plain, text: "whole answer"}, want: "whole answer", wantOffers: 1},
		{name: "plain, HTTP/1.0", path: "/once/", upstream: unframedUpstream{proto: "HTTP/1.0", kind: plain, text: "whole answer"}, want: "whole answer", wantOffers: 1},
		{name: "plain, reset", path: "/once/", upstream: unframedUpstream{proto: "HTTP/1.1", kind: plain, text: "half an", reset: true}, wantOffers: 1, wantFailure: true},
		{name: "plain, empty", path: "/once/", upstream: unframedUpstream{proto: "HTTP/1.1", kind: plain}, wantOffers: 1},
		{name: "stream", path: "/stream/", upstream: unframedUpstream{proto: "HTTP/1.1", kind: events, text: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}, want: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", wantOffers: 1},
		{name: "stream, HTTP/1.0", path: "/stream/", upstream: unframedUpstream{proto: "HTTP/1.0", kind: events, text: "id: 1\ndata: a\n\n"}, want: "id: 1\ndata: a\n\n", wantOffers: 1},
		{name: "stream, lines end with CRLF", path: "/stream/", upstream: unframedUpstream{proto: "HTTP/1.1", kind: events, text: "id: 1\r\ndata: a\r\n\r\n"}, want: "id: 1\r\ndata: a\r\n\r\n", wantOffers: 1},
		{name: "stream, ends inside an event", path: "/stream/", upstream: unframedUpstream{proto: "HTTP/1.1", kind: events, text: "id: 1\ndata: a\n\nid: 2\nda"}, want: "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", wantOffers: 2, wantFailure: true},
		{name: "stream, last event without its empty line", path: "/stream/", upstream: unframedUpstream{proto: "HTTP/1.1", kind: events, text: "id: 1\ndata: a\n"}, wantOffers: 2, wantFailure: true},
		{name: "stream, reset between events", path: "/stream/", upstream: unframedUpstream{proto: "HTTP/1.1", kind: events, text: "id: 1\ndata: a\n\n", reset: true}, want: "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", wantOffers: 2, wantFailure: true},
		{name: "stream without events", path: "/stream/", upstream: unframedUpstream{proto: "HTTP/1.1", kind: events}, wantOffers: 2, wantFailure: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := c.upstream, c.upstream
			one, other := newUnframedUpstream(t, &a), newUnframedUpstream(t, &b)
			f := newFixture(t, testTimeout, one.upstream, other.upstream)
			got := f.send(t, context.Background(), c.path, nil)
			failed := got.err != nil || got.status != http.StatusOK
			if failed != c.wantFailure {
				t.Errorf("failed: got %v (status %d, body %q, error %v), want %v", failed, got.status, got.body, got.err, c.wantFailure)
			}
			if body := got.body; got.status == http.StatusOK && !strings.HasPrefix(body, c.want) {
				t.Errorf("body: got %q, want %q", body, c.want)
			}
			if offers := one.seen() + other.seen(); offers != c.wantOffers {
				t.Errorf("offers: got %d, want %d", offers, c.wantOffers)
			}
		})
	}
}
