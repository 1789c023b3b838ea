package burdocklistener

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

// invalidCall is a request that must be refused with the status and the error code.
type invalidCall struct {
	name   string
	method string
	path   string
	body   string
	header map[string]string
	status int
	code   string
}

const chatPath = "/v1/chat/completions"

var invalidCalls = []invalidCall{
	{"no key", "POST", chatPath, chatBody, map[string]string{"Authorization": ""}, 401, "unauthenticated"},
	{"wrong key", "POST", chatPath, chatBody, map[string]string{"Authorization": "Bearer wrong"}, 401, "unauthenticated"},
	{"malformed JSON", "POST", chatPath, `{"model":`, nil, 400, "badRequest"},
	{"not an object", "POST", chatPath, `[]`, nil, 400, "badRequest"},
	{"deep JSON", "POST", chatPath, strings.Repeat("[", 4000), nil, 400, "badRequest"},
	{"empty body", "POST", chatPath, "", nil, 400, "badRequest"},
	{"wrong content type", "POST", chatPath, chatBody, map[string]string{"Content-Type": "text/plain"}, 415, "badContentType"},
	{"unknown model", "POST", chatPath, `{"model":"x","messages":[{"role":"user","content":"hello"}]}`, nil, 404, "unknownModel"},
	{"unknown route", "GET", "/nowhere", "", nil, 404, "unknownRoute"},
	{"wrong method", "PUT", chatPath, chatBody, nil, 405, "methodNotAllowed"},
	{"too long prompt", "POST", chatPath, strings.Replace(chatBody, "hello", strings.Repeat("gain ", 500), 1), nil, 400, "promptTooLong"},
	{"too large body", "POST", chatPath, strings.Repeat(" ", 5000) + chatBody, nil, 413, "tooLarge"},
	{"too large headers", "POST", chatPath, chatBody, map[string]string{"X-Filler": strings.Repeat("x", 5000)}, 431, "tooLarge"},
	{"unknown class", "POST", chatPath, chatBody, map[string]string{"Burdock-Class": "x"}, 400, "badRequest"},
	{"bad timeout", "POST", chatPath, chatBody, map[string]string{"Burdock-Timeout-Millis": "-1"}, 400, "badRequest"},
	{"too long key", "POST", chatPath, chatBody, map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}, 400, "badRequest"},
}

// Each kind of invalid request gets an API error that says what is wrong and that
// nothing was run. No request reaches the engine, and no goroutine or descriptor
// leaks.
func TestInvalidRequestsGetAPIErrors(t *testing.T) {
	f := startFleet(t, smallLimits)
	runsBefore, before := f.runs(t), minUsage(t)
	for _, tc := range invalidCalls {
		t.Run(tc.name, func(t *testing.T) {
			req := f.request(t, tc.method, tc.path, tc.body)
			for name, value := range tc.header {
				req.Header.Set(name, value)
			}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			expectAPIError(t, res, tc.status, tc.code)
		})
	}
	if got, want := f.runs(t), runsBefore; got != want {
		t.Errorf("runs at the engine: got %d, want %d", got, want)
	}
	expectNoLeak(t, before)
}

// expectAPIError checks that the response is an API error with the status and code,
// marked as not run.
func expectAPIError(t *testing.T, res *http.Response, status int, code string) {
	t.Helper()
	defer func() { _ = res.Body.Close() }()
	var body struct {
		Error struct {
			Message string  `json:"message"`
			Type    string  `json:"type"`
			Param   *string `json:"param"`
			Code    string  `json:"code"`
			NotRun  bool    `json:"notRun"`
		} `json:"error"`
	}
	if err := json.NewDecoder(res.Body).Decode(&body); err != nil {
		t.Fatalf("body is not an API error: %v", err)
	}
	if got, want := res.StatusCode, status; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got, want := body.Error.Code, code; got != want {
		t.Errorf("code: got %q, want %q", got, want)
	}
	if body.Error.Message == "" || body.Error.Type == "" {
		t.Errorf("error lacks a message or a type: %+v", body.Error)
	}
	if got, want := res.Header.Get("Burdock-Not-Run"), "true"; got != want || !body.Error.NotRun {
		t.Errorf("not run: got header %q and field %v, want both true", got, body.Error.NotRun)
	}
}

// dial opens a TCP connection with a deadline of 20 seconds; the test closes it at its
// end.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

// A client stops sending in the middle of the body. After the body timeout it gets an
// error, and its connection is closed, as the rest of the body could be read as the
// next request.
func TestSlowBodyIsRefused(t *testing.T) {
	f := startFleet(t, smallLimits)
	before := minUsage(t)
	conn := dial(t, f.entry.Address())
	_, _ = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+f.key+
		"\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n{")
	reader := bufio.NewReader(conn)
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	expectAPIError(t, res, http.StatusRequestTimeout, "slowSender")
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: got error %v, want the connection closed", err)
	}
	_ = conn.Close()
	expectNoLeak(t, before)
}

// Clients send nothing, headers that never end, bytes that aren't HTTP, headers far
// beyond the limit, or contradicting body lengths. Each connection is closed without a
// successful response and without a leak, and the entry still serves valid requests.
func TestBrokenConnectionsAreClosed(t *testing.T) {
	f := startFleet(t, smallLimits)
	before := minUsage(t)
	for _, sent := range []string{
		"",
		"GET / HTTP/1.1\r\nHost: x\r\nX-Slow: ",
		"\x16\x03\x01\x02\x00\x01\x00\x01",
		"GET / HTTP/1.1\r\nHost: x\r\nX-Filler: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
		"POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n",
	} {
		conn := dial(t, f.entry.Address())
		_, _ = io.WriteString(conn, sent)
		answer, _ := io.ReadAll(conn) // ends when the entry closes
		if strings.HasPrefix(string(answer), "HTTP/1.1 2") {
			t.Errorf("%.40q: got %.60q, want a refusal", sent, answer)
		}
		_ = conn.Close()
	}
	if got, want := f.sendChat(t), http.StatusOK; got != want {
		t.Errorf("a valid request afterwards: got status %d, want %d", got, want)
	}
	expectNoLeak(t, before)
}

// A client opens more connections than the limit. Those beyond it are closed at once,
// the others are still served, and closing one makes room for another.
func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	const limit = 8
	f := startFleet(t, func(c *burdocksettings.Common) { c.Limits.MaxConnections = limit })
	before := minUsage(t)
	var conns []net.Conn
	for range limit {
		conns = append(conns, dial(t, f.entry.Address()))
	}
	burdockprograms.Eventually(t, "a connection beyond the limit is closed", func() bool {
		conn := dial(t, f.entry.Address())
		defer func() { _ = conn.Close() }()
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, err := conn.Read(make([]byte, 1))
		return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	})
	_, _ = io.WriteString(conns[0], "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(conns[0]), nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("a connection within the limit: got %v, %v, want status 200", res, err)
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	burdockprograms.Eventually(t, "new connections are accepted after the others closed", func() bool { return f.sendChat(t) == http.StatusOK })
	expectNoLeak(t, before)
}
