package burdockstatus

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// server is an observed server. /missing/ is answered 404, /gone/ with a status that was
// asked for, anything else 200 after the body was read.
type server struct {
	address string
	logs    *observer.ObservedLogs
	set     *metrics.Set
}

func newServer(t *testing.T) *server {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	s := &server{logs: logs, set: metrics.NewSet()}
	mux := http.NewServeMux()
	mux.HandleFunc("/missing/", http.NotFound)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	web := httptest.NewUnstartedServer(mux)
	o := New("callers", zap.New(core), s.set, func(r *http.Request) []zap.Field {
		if r == nil {
			return nil
		}
		return []zap.Field{zap.String("requestId", r.Header.Get("X-Id"))}
	})
	web.Listener = o.Observe(web.Config, web.Listener)
	web.Start()
	t.Cleanup(web.Close)
	s.address = web.Listener.Addr().String()
	return s
}

// exchange sends requests on one connection, each after the response to the one before,
// and returns the statuses of the responses.
func exchange(t *testing.T, address string, requests ...string) []int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	var statuses []int
	r := bufio.NewReader(c)
	for _, text := range requests {
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		statuses = append(statuses, res.StatusCode)
	}
	return statuses
}

func TestClientErrorsAreLoggedAndCounted(t *testing.T) {
	const missing = "GET /missing/x?secret=1 HTTP/1.1\r\nHost: a.example\r\nX-Id: id-1\r\n\r\n"
	const fine = "POST /fine HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\nabc"
	for _, c := range []struct {
		name     string
		requests []string
		want     map[string]string // fields of the only line; nil for no line
	}{
		{"a success", []string{fine, fine}, nil},
		{"by the handler", []string{missing}, map[string]string{
			"layer": "handler", "status": "404", "method": "GET", "host": "a.example", "path": "/missing/x", "requestId": "id-1",
		}},
		{"by the handler, on a reused connection", []string{fine, missing, fine}, map[string]string{
			"layer": "handler", "status": "404", "requestId": "id-1",
		}},
		{"by net/http", []string{"GET /%zz?secret=1 HTTP/1.1\r\nHost: a.example\r\n\r\n"}, map[string]string{
			"layer": "http", "status": "400", "requestLine": "GET /%zz",
		}},
		{"by net/http, on a reused connection", []string{fine, "GET / HTTP/1.1\r\n\r\n"}, map[string]string{
			"layer": "http", "status": "400", "requestLine": "GET / HTTP/1.1",
		}},
		{"by net/http, of an unknown expectation", []string{"GET / HTTP/1.1\r\nHost: a.example\r\nExpect: wonders\r\n\r\n"}, map[string]string{
			"layer": "http", "status": "417",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t)
			exchange(t, s.address, c.requests...)
			lines := s.logs.FilterMessage("3xx or 4xx sent").All()
			if c.want == nil {
				if len(lines) != 0 {
					t.Errorf("got %d lines, want none", len(lines))
				}
				return
			}
			if len(lines) != 1 {
				t.Fatalf("got %d lines, want 1", len(lines))
			}
			for name, want := range c.want {
				if got := fmt.Sprint(lines[0].ContextMap()[name]); got != want {
					t.Errorf("%s: got %q, want %q", name, got, want)
				}
			}
			var text strings.Builder
			s.set.WritePrometheus(&text)
			want := fmt.Sprintf("burdock_http_client_errors_total{server=\"callers\",layer=%q,status=%q} 1\n", c.want["layer"], c.want["status"])
			if got := text.String(); got != want {
				t.Errorf("metrics: got %q, want %q", got, want)
			}
		})
	}
}

// Guards against callers that fill the memory in which log lines wait.
func TestLineIsShort(t *testing.T) {
	s := newServer(t)
	long := strings.Repeat("x", 1<<14)
	exchange(t, s.address, "GET /missing/"+long+" HTTP/1.1\r\nHost: "+long+"\r\n\r\n", "GET /%zz"+long+" HTTP/1.1\r\nHost: a.example\r\n\r\n")
	lines := s.logs.FilterMessage("3xx or 4xx sent").All()
	if len(lines) != 2 {
		t.Fatalf("got %d lines, want 2", len(lines))
	}
	for _, line := range lines {
		for name, value := range line.ContextMap() {
			if got := len(fmt.Sprint(value)); got > maxLogged {
				t.Errorf("%s: got %d bytes, want %d at most", name, got, maxLogged)
			}
		}
	}
}

// A response that closes its connection while the body is still arriving would be lost
// with a reset.
func TestResponseBeforeBodyArrivesWhole(t *testing.T) {
	s := newServer(t)
	body := strings.Repeat("x", 1<<20)
	got := exchange(t, s.address, fmt.Sprintf("POST /missing/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n%s", 2*len(body), body))
	if want := http.StatusNotFound; got[0] != want {
		t.Errorf("got status %d, want %d", got[0], want)
	}
}
