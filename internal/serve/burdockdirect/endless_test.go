package burdockdirect

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// endlessUpstream answers each request with a beginning, and then with the same bytes again and
// again until its connection is closed.
type endlessUpstream struct {
	listener    net.Listener
	head, again string
	every       time.Duration // between two writes
	sent        atomic.Int64  // bytes
	served      atomic.Int64  // requests
}

func startEndlessUpstream(t *testing.T, head, again string, every time.Duration) *endlessUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &endlessUpstream{listener: l, head: head, again: again, every: every}
	go u.run()
	return u
}

func (u *endlessUpstream) run() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go endlessConn{u, conn}.run()
	}
}

type endlessConn struct {
	upstream *endlessUpstream
	conn     net.Conn
}

func (c endlessConn) run() {
	defer func() { _ = c.conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c.conn))
	if err != nil {
		return
	}
	c.upstream.served.Add(1)
	text := strings.ReplaceAll(c.upstream.head, "ID", req.Header.Get("X-Id"))
	for {
		n, err := c.conn.Write([]byte(text))
		c.upstream.sent.Add(int64(n))
		if err != nil {
			return
		}
		text = c.upstream.again
		time.Sleep(c.upstream.every)
	}
}

func (f *fixture) putAddress(address string) {
	f.putStarted(&upstream{address: address}, 0)
}

// socketBytes is more than what both ends of a connection on one machine buffer.
const socketBytes = 12 << 20

// Guards against an upstream whose answer has no end: it takes the entry's memory, and requests
// that a sound upstream could serve wait for it until their deadline.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	const ok, signed = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: 1\r\n", "X-Id: ID\r\nX-Signed: 1\r\n"
	block := strings.Repeat("x", 16<<10)
	for _, c := range []struct {
		name, path, head, again string
		most                    int64 // bytes that one request takes, beside buffers of sockets
	}{
		{"body without a length", "/again/", ok + "\r\n", block, 2 << 20},
		{"body in chunks", "/again/", ok + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(block), block), 2 << 20},
		{"chunk extension", "/again/", ok + "Transfer-Encoding: chunked\r\n\r\n1;", block, 2 << 20},
		{"trailer", "/again/", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", block, 2 << 20},
		{"head", "/again/", ok + "X-More: ", block, 1 << 20},
		{"many header lines", "/again/", ok, "X-More: " + block + "\r\n", 1 << 20},
		{"interim answers", "/again/", "", "HTTP/1.1 103 Early Hints\r\nX: " + block + "\r\n\r\n", 1 << 20},
		{"event", "/stream/", ok + "Content-Type: text/event-stream\r\n\r\ndata: ", block, 2 << 20},
		{"lines of an event", "/stream/", ok + "Content-Type: text/event-stream\r\n\r\n", "data: " + block + "\n", 2 << 20},
		{"body of an error", "/again/", "HTTP/1.1 500 Internal Server Error\r\n" + signed + "\r\n", block, 2 << 20},
		{"body of a refusal", "/once/", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" + signed + "\r\n", block, 1 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startEndlessUpstream(t, c.head, c.again, 0)
			f := newFixture(t, 20_000, newUpstream(t, answerOrStream))
			f.entry.answers.limit = 4 << 20
			f.putAddress(u.listener.Addr().String())
			const requests = 24
			var served atomic.Int64
			var wg sync.WaitGroup
			for i := range requests {
				wg.Go(func() {
					got := f.send(t, context.Background(), c.path, map[string]string{"X-Id": fmt.Sprint("id-", i)})
					if got.err != nil || got.status == http.StatusGatewayTimeout {
						t.Errorf("request %d: got status %d error %v, want an answer before its deadline", i, got.status, got.err)
					}
					if got.status == http.StatusOK {
						served.Add(1)
					}
				})
			}
			wg.Wait()
			// The budget of retries doesn't cover all requests.
			if got, least := served.Load(), int64(requests/2); got < least {
				t.Errorf("served by the sound upstream: got %d, want at least %d", got, least)
			}
			n := u.served.Load()
			if n == 0 {
				t.Fatal("requests at the upstream: got none, want some")
			}
			if got, most := u.sent.Load(), n*(c.most+socketBytes); got > most {
				t.Errorf("bytes taken from the upstream for %d requests: got %d, want at most %d", n, got, most)
			}
			if got := f.entry.answers.used.Load(); got != 0 {
				t.Errorf("bytes held at the end: got %d, want 0", got)
			}
		})
	}
}

func answerOrStream(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		answerOK(w, r)
		return
	}
	sign(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	writeEvents(w, 1, 3)
}

// Guards against requests that wait for the rest of a refusal's body instead of going elsewhere.
func TestRequestGoesOnWhileTheBodyOfItsRefusalTrickles(t *testing.T) {
	u := startEndlessUpstream(t, "HTTP/1.1 503 Service Unavailable\r\nX-Id: ID\r\nX-Signed: 1\r\nX-Not-Run: 1\r\n\r\n", "x", 10*time.Millisecond)
	f := newFixture(t, testTimeout)
	f.apply(1, burdocksite.Route{
		Name: "once", Host: "127.0.0.1", Prefix: "/once/", Timeout: testTimeout, Objective: 200, Repeat: burdocksite.RepeatNever, MaxAttempts: 2,
		Shares: []burdocksite.Share{{Service: "s", Weight: 1}},
	})
	f.putAddress(u.listener.Addr().String())
	if got, want := f.send(t, context.Background(), "/once/", nil).status, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d: refused, and not at the deadline", got, want)
	}
}

// Guards against an answer that is refused although its length is nothing unusual.
func TestLongAnswerIsPassedOnWhole(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 3<<16) // 3 MiB
	f := newFixture(t, testTimeout, newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = w.Write([]byte(body))
	}))
	if got := f.send(t, context.Background(), "/once/", nil); got.status != http.StatusOK || got.body != body {
		t.Errorf("got status %d and %d bytes, want 200 and %d", got.status, len(got.body), len(body))
	}
	if got := f.entry.answers.used.Load(); got != 0 {
		t.Errorf("bytes held at the end: got %d, want 0", got)
	}
}
