package burdockdirect

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// sendRaw sends the bytes of a request on a new connection and returns the status of the
// response.
func (f *fixture) sendRaw(t *testing.T, text string) int {
	t.Helper()
	c, err := net.Dial("tcp", f.web.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no response to %q: %v", text, err)
	}
	return res.StatusCode
}

// Guards against a 404 for a request whose host or path is written in another form that
// means the same.
func TestEquivalentFormsAreServed(t *testing.T) {
	for _, c := range []struct {
		name, target, host, wantTarget string
	}{
		{"as configured", "/again/x", "site.example", "/again/x"},
		{"host in capitals", "/again/x", "SITE.Example", "/again/x"},
		{"host with a final dot", "/again/x", "site.example.", "/again/x"},
		{"host with a port", "/again/x", "site.example:80", "/again/x"},
		{"host with a final dot and a port", "/again/x", "site.example.:80", "/again/x"},
		{"letter of the prefix escaped", "/ag%61in/x?q=%20", "site.example", "/ag%61in/x?q=%20"},
		{"target in absolute form", "http://site.example/again/x?q=1", "site.example", "/again/x?q=1"},
		{"target in absolute form, path escaped", "http://SITE.example/again/a%2Fb", "other.example", "/again/a%2Fb"},
		{"path with two slashes", "/again//x", "site.example", "/again//x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstream(t, answerOK)
			f := newFixture(t, testTimeout, u)
			f.configureHost(2, "site.example")
			text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Id: id-1\r\nX-Key: key\r\n\r\n", c.target, c.host)
			if got, want := f.sendRaw(t, text), http.StatusOK; got != want {
				t.Fatalf("got status %d, want %d", got, want)
			}
			if got := u.runs[0].RequestURI; got != c.wantTarget {
				t.Errorf("target at the upstream: got %q, want %q", got, c.wantTarget)
			}
		})
	}
}

// Guards against an escaped slash that is taken for a separator of the path, and a request
// that is served by a route of which it has only half the prefix.
func TestOtherPathsAreNotServed(t *testing.T) {
	for _, target := range []string{"/again%2Fx", "/agai", "/AGAIN/x", "//again/x"} {
		f := newFixture(t, testTimeout, newUpstream(t, answerOK))
		f.configureHost(2, "site.example")
		text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: site.example\r\nX-Key: key\r\n\r\n", target)
		if got, want := f.sendRaw(t, text), http.StatusNotFound; got != want {
			t.Errorf("%s: got status %d, want %d", target, got, want)
		}
	}
}

// Guards against a path that begins with two slashes and reaches the upstream as a host.
func TestPathOfTwoSlashesStaysAPath(t *testing.T) {
	u := newUpstream(t, answerOK)
	f := newFixture(t, testTimeout, u)
	f.configurePrefix(2, "site.example", "/")
	if got, want := f.sendRaw(t, "GET //other.example/x HTTP/1.1\r\nHost: site.example\r\nX-Id: id-1\r\nX-Key: key\r\n\r\n"), http.StatusOK; got != want {
		t.Fatalf("got status %d, want %d", got, want)
	}
	if got, want := u.runs[0].RequestURI, "//other.example/x"; got != want {
		t.Errorf("target at the upstream: got %q, want %q", got, want)
	}
}

// Guards against a caller that is told its request is wrong when its body was only late.
func TestLateBodyIsATimeout(t *testing.T) {
	f := newFixture(t, testTimeout, newUpstream(t, answerOK))
	f.entry.cfg.BodyTimeoutMillis = 50
	head := "POST /once/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: key\r\n"
	for _, c := range []struct {
		name, rest string
		want       int
	}{
		{"late", "Content-Length: 10\r\n\r\nhalf", http.StatusRequestTimeout},
		{"late, in chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", http.StatusRequestTimeout},
		{"malformed chunk", "Transfer-Encoding: chunked\r\n\r\nno size\r\n", http.StatusBadRequest},
	} {
		if got := f.sendRaw(t, head+c.rest); got != c.want {
			t.Errorf("%s: got status %d, want %d", c.name, got, c.want)
		}
	}
	if got, want := f.sendRaw(t, head+"X-Id: id-1\r\nContent-Length: 4\r\n\r\n"+strings.Repeat("x", 4)), http.StatusOK; got != want {
		t.Errorf("body in time: got status %d, want %d", got, want)
	}
}

// Guards against a request without a body that reaches the upstream as one with a body.
func TestBodilessRequestStaysBodiless(t *testing.T) {
	for method, wantLength := range map[string]string{http.MethodGet: "", http.MethodPost: "0"} {
		u := newUpstream(t, answerOK)
		f := newFixture(t, testTimeout, u)
		text := method + " /again/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: id-1\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n"
		if got, want := f.sendRaw(t, text), http.StatusOK; got != want {
			t.Fatalf("%s: got status %d, want %d", method, got, want)
		}
		if got := u.runs[0]; len(got.TransferEncoding) > 0 || got.Header.Get("Content-Length") != wantLength {
			t.Errorf("%s: got coding %q and length %q, want no coding and length %q", method, got.TransferEncoding, got.Header.Get("Content-Length"), wantLength)
		}
	}
}

// Guards against callers that fill the memory in which log lines wait.
func TestLoggedIDIsShort(t *testing.T) {
	got := requestID(burdockid.Request(strings.Repeat("x", 1<<14)))
	if len(got.String) != maxLoggedID {
		t.Errorf("got %d bytes, want %d", len(got.String), maxLoggedID)
	}
}

// Guards against headers of one connection that reach the other side of the entry.
func TestConnectionHeadersAreNotForwarded(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "upstream")
		answerOK(w, r)
	})
	f := newFixture(t, testTimeout, u)
	got := f.send(t, context.Background(), "/again/", map[string]string{"Connection": "x-hop, keep-alive", "X-Hop": "caller", "X-End": "kept"})
	if got.header.Get("X-Hop") != "" {
		t.Errorf("X-Hop at the caller: got %q, want none", got.header.Get("X-Hop"))
	}
	if header := u.runs[0].Header; header.Get("X-Hop") != "" || header.Get("X-End") != "kept" {
		t.Errorf("at the upstream: got X-Hop %q and X-End %q, want none and %q", header.Get("X-Hop"), header.Get("X-End"), "kept")
	}
}
