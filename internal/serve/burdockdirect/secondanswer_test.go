package burdockdirect

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// duplicatingGroup is a lock-step group whose engines send refusals a second time, late: right
// before the response to the next offer of the same request or, if they name none, of any request.
type duplicatingGroup struct {
	// withoutID leaves the request's ID out of refusals.
	withoutID bool

	mu   sync.Mutex
	open bool
	runs map[string]int // by request ID
	// repeated is the number of offers that came on a connection with an earlier offer of the same
	// request.
	repeated int
}

// noteRepeated counts an offer on a connection with an earlier offer of the same request.
func (g *duplicatingGroup) noteRepeated() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repeated++
}

// take counts a request, and reports whether it runs.
func (g *duplicatingGroup) take(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open {
		g.runs[id]++
	}
	return g.open
}

func (g *duplicatingGroup) setOpen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = true
}

type duplicatingEngine struct {
	group    *duplicatingGroup
	listener net.Listener
}

// startEngine starts an engine of the group, and returns its address.
func (g *duplicatingGroup) startEngine(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go (&duplicatingEngine{group: g, listener: l}).run()
	return l.Addr().String()
}

func (e *duplicatingEngine) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go (&duplicatingConn{group: e.group, conn: conn, copies: map[string]string{}, seen: map[string]bool{}}).run()
	}
}

type duplicatingConn struct {
	group  *duplicatingGroup
	conn   net.Conn
	copies map[string]string // of refusals, by the ID that they name
	seen   map[string]bool   // IDs of requests
}

func (c *duplicatingConn) run() {
	defer func() { _ = c.conn.Close() }()
	in := bufio.NewReader(c.conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Id")
		if c.seen[id] {
			c.group.noteRepeated()
		}
		c.seen[id] = true
		if _, err := fmt.Fprint(c.conn, c.respond(id, c.group.take(id))); err != nil || req.Close {
			return
		}
	}
}

func (c *duplicatingConn) respond(id string, runs bool) string {
	named, header := id, "X-Id: "+id+"\r\n"
	if c.group.withoutID {
		named, header = "", ""
	}
	if runs {
		body := eventsOf(1, 3)
		return c.copies[named] + fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + header + "X-Signed: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	c.copies[named] = refusal
	return refusal
}

// configureSingleRun gives a fixture lock-step engines and one route, whose streams may not be
// resumed.
func (f *fixture) configureSingleRun(engines ...string) {
	f.apply(1, burdocksite.Route{
		Name: "single", Host: "127.0.0.1", Prefix: "/stream/", Timeout: 30_000, Objective: 200, MaxEventGap: 100, Stream: true,
		MaxAttempts: 2, Shares: []burdocksite.Share{{Service: "s", Weight: 1}},
	})
	for i, address := range engines {
		f.site.PutUpstream(burdocksite.Upstream{ID: burdockid.Upstream(fmt.Sprint("u", i)), Service: "s", Address: address, DataCentre: "a", Slots: 12})
	}
	f.lockStep(20 * burdockclock.Second)
}

// Guards against streams that run twice because a late second copy of a refusal is taken for the
// response to the next offer.
func TestSecondCopyOfARefusalRunsNothingTwice(t *testing.T) {
	for _, c := range []struct {
		name      string
		withoutID bool
		callers   int
	}{
		{"refusals that name the request", false, 2},
		{"refusals that name no request", true, minRetries - 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &duplicatingGroup{withoutID: c.withoutID, runs: map[string]int{}}
			f := startFixture(t)
			f.configureSingleRun(g.startEngine(t), g.startEngine(t), g.startEngine(t))
			gate := f.entry.pool("s").gate
			f.sendMany(t, c.callers, func() {
				await(t, "all wait", func() bool {
					load := gate.load()
					return load.Queued+load.Running == c.callers && gate.openSignal() != nil
				})
				time.Sleep(500 * time.Millisecond) // requests are refused again meanwhile
				g.setOpen()
			})
			g.mu.Lock()
			defer g.mu.Unlock()
			if len(g.runs) == 0 {
				t.Error("requests that ran: got none, want some")
			}
			if g.repeated > 0 {
				t.Errorf("offers of a request on a connection that had carried one: got %d, want none", g.repeated)
			}
			for id, n := range g.runs {
				if n > 1 {
					t.Errorf("runs of %s: got %d, want 1", id, n)
				}
			}
		})
	}
}

// Guards against 502, which tells the caller that its request may have run, for a request that may
// run only once and is refused by upstreams whose refusals name no request.
func TestRefusalThatNamesNoRequestIsPassedOn(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("X-Id")
		refuseNotRun(w, r)
	})
	f := newFixture(t, testTimeout, u)
	for _, path := range []string{"/again/", "/once/", "/once/"} {
		if got, want := f.send(t, context.Background(), path, nil).status, http.StatusServiceUnavailable; got != want {
			t.Errorf("%s: got status %d, want %d", path, got, want)
		}
	}
}
