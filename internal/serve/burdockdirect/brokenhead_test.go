package burdockdirect

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/standin/burdockraw"
)

// brokenHead is the beginning of an answer's head that isn't valid HTTP.
type brokenHead struct{ name, start string }

// invalidStatuses are heads with a status that no answer can have.
var invalidStatuses = []brokenHead{
	{"000", "HTTP/1.1 000 OK\r\n"},
	{"000, HTTP/1.0", "HTTP/1.0 000 OK\r\n"},
	{"007", "HTTP/1.1 007 OK\r\n"},
	{"099", "HTTP/1.1 099 OK\r\n"},
	{"+20", "HTTP/1.1 +20 OK\r\n"},
	{"101 without an upgrade", "HTTP/1.1 101 Switching Protocols\r\n"},
	{"101 with an upgrade that nobody asked for", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n"},
	{"600", "HTTP/1.1 600 OK\r\n"},
	{"999", "HTTP/1.1 999 OK\r\n"},
	{"20", "HTTP/1.1 20 OK\r\n"},
	{"2000", "HTTP/1.1 2000 OK\r\n"},
	{"-20", "HTTP/1.1 -20 OK\r\n"},
	{"interim answer, then 000", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n"},
}

// invalidLines are heads with a line that isn't a valid field.
var invalidLines = []brokenHead{
	{"blank in a name", "HTTP/1.1 200 OK\r\nX Broken: 1\r\n"},
	{"blank before the colon", "HTTP/1.1 200 OK\r\nX-Broken : 1\r\n"},
	{"blank before the colon, HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Broken : 1\r\n"},
	{"blank before the colon of an empty field", "HTTP/1.1 204 No Content\r\nX-Broken :\r\n"},
	{"blank before the colon of the length", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n"},
	{"blank before the colon of the coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"},
	{"blank in the name of a known field", "HTTP/1.1 200 OK\r\nContent Length: 4\r\n"},
	{"blank in a name, refused", "HTTP/1.1 503 Service Unavailable\r\nX Broken: 1\r\n"},
	{"blank in a name, interim answer first", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX Broken: 1\r\n"},
	{"blank at the beginning", "HTTP/1.1 200 OK\r\n X-Broken: 1\r\n"},
	{"tab in a name", "HTTP/1.1 200 OK\r\nX\tBroken: 1\r\n"},
	{"tab before the colon", "HTTP/1.1 200 OK\r\nContent-Length\t: 4\r\n"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Broken: 1\r\n"},
	{"delete in a name", "HTTP/1.1 200 OK\r\nX\x7fBroken: 1\r\n"},
	{"return in a name", "HTTP/1.1 200 OK\r\nX\rBroken: 1\r\n"},
	{"zero in a name", "HTTP/1.1 200 OK\r\nX\x00Broken: 1\r\n"},
	{"byte over 127 in a name", "HTTP/1.1 200 OK\r\nX\xe4Broken: 1\r\n"},
	{"empty name", "HTTP/1.1 200 OK\r\n: 1\r\n"},
	{"no colon", "HTTP/1.1 200 OK\r\nX-Broken\r\n"},
	{"control byte in a value", "HTTP/1.1 200 OK\r\nX-Broken: 1\x012\r\n"},
	{"zero in a value", "HTTP/1.1 200 OK\r\nX-Broken: 1\x002\r\n"},
	{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 7\r\n"},
	{"length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n"},
	{"control byte in the length", "HTTP/1.1 200 OK\r\nContent-Length: 4\x01\r\n"},
	{"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: x-chunked\r\n"},
	{"control byte in the coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\x0b\r\n"},
}

// signedLines mark an answer as the upstream's own, to its request.
const signedLines = "X-Id: ID\r\nX-Signed: 1\r\n"

// restsOfAnswers follow the beginning of a head.
var restsOfAnswers = []struct {
	name, text string
	ending     burdockraw.Ending
}{
	{"length", signedLines + "Content-Length: 5\r\n\r\nwhole", burdockraw.Keep},
	{"no body", signedLines + "Content-Length: 0\r\n\r\n", burdockraw.Keep},
	{"chunks", signedLines + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", burdockraw.Keep},
	{"ended by its connection", signedLines + "\r\nwhole", burdockraw.Close},
	{"refusal", signedLines + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", burdockraw.Keep},
	{"event stream", signedLines + "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n", burdockraw.Keep},
	{"names no request", "X-Signed: 1\r\nContent-Length: 5\r\n\r\nwhole", burdockraw.Keep},
}

// Guards against answers without a valid status that are passed on, or that leave the caller without
// an answer and the log without a line.
func TestAnswerWithAnInvalidStatusIsNotPassedOn(t *testing.T) {
	testBrokenHeads(t, invalidStatuses)
}

// Guards against answers with a line in their head that isn't a valid field, which are passed on with a
// body that is not the upstream's.
func TestAnswerWithAnInvalidFieldIsNotPassedOn(t *testing.T) {
	testBrokenHeads(t, invalidLines)
}

func testBrokenHeads(t *testing.T, heads []brokenHead) {
	t.Helper()
	for _, head := range heads {
		for _, rest := range restsOfAnswers {
			t.Run(head.name+"/"+rest.name, func(t *testing.T) {
				t.Parallel()
				answer := burdockraw.Answer{Text: head.start + rest.text, Ending: rest.ending}
				checkNotPassedOn(t, answer)
				checkGoesElsewhere(t, answer)
			})
		}
	}
}

// answerTimeout is how long callers wait for the end of an answer. A connection that has left HTTP
// has none.
const answerTimeout = 10 * time.Second

// checkNotPassedOn checks that a request which may run only once is answered 502, which promises
// nothing, that it leaves a line in the log, and that the connection is not used again.
func checkNotPassedOn(t *testing.T, answer burdockraw.Answer) {
	t.Helper()
	const requests = 3
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	f := newFixture(t, testTimeout)
	logs := f.observeLog()
	one, other := f.putRaw(t, answer), f.putRaw(t, answer)
	for i := range requests {
		got := f.send(t, ctx, "/once/", map[string]string{"X-Id": fmt.Sprint("id-", i)})
		if got.err != nil || got.status != http.StatusBadGateway || strings.Contains(got.body, "whole") || got.header.Get("X-Signed") != "" {
			t.Errorf("got status %d, headers %v, body %q and error %v, want an answer of the entry's own with %d", got.status, got.header, got.body, got.err, http.StatusBadGateway)
		}
	}
	if got := one.Requests() + other.Requests(); got != requests {
		t.Errorf("offers: got %d, want %d", got, requests)
	}
	if got := one.Connections() + other.Connections(); got != requests {
		t.Errorf("connections: got %d, want %d: none is used again", got, requests)
	}
	lines := logs.FilterMessage("offer ended").All()
	if len(lines) != requests {
		t.Fatalf("lines on offers: got %d, want %d", len(lines), requests)
	}
	if got := lines[0].ContextMap()["outcome"]; got != string(outcomeUnknown) {
		t.Errorf("outcome in the log: got %v, want %v", got, outcomeUnknown)
	}
}

// checkGoesElsewhere checks that an idempotent request is served by a sound upstream, and that the
// broken one gets no further requests for a while.
func checkGoesElsewhere(t *testing.T, answer burdockraw.Answer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	f := newFixture(t, testTimeout, newUpstream(t, answerOK))
	raw := f.putRaw(t, answer)
	for range 20 {
		if got := f.send(t, ctx, "/again/", nil); got.status != http.StatusOK || got.body != "whole answer" {
			t.Errorf("got status %d and %q, want those of the sound upstream", got.status, got.body)
		}
	}
	before := raw.Requests()
	for range 10 {
		f.send(t, ctx, "/once/", nil)
	}
	if got := raw.Requests() - before; got != 0 {
		t.Errorf("further requests at the broken upstream: got %d, want none", got)
	}
}

// Guards against answers that are kept back for a status that is only unusual.
func TestUnusualStatusIsPassedOn(t *testing.T) {
	for _, status := range []int{201, 204, 299, 304, 418, 499, 599} {
		f := newFixture(t, testTimeout)
		f.putRaw(t, burdockraw.Answer{Text: fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 %d\r\nContent-Length: 0\r\n%s\r\n", status, signedLines)})
		if got := f.send(t, context.Background(), "/once/", nil); got.err != nil || got.status != status {
			t.Errorf("got status %d and error %v, want %d", got.status, got.err, status)
		}
	}
}

// Guards against lines that are neither part of the answer's head nor passed on, but have the answer
// kept back, and against lines that only look odd.
func TestAnswerBesideOddLinesIsPassedOn(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n" + signedLines, "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	for _, c := range []struct{ name, text string }{
		{"blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX Broken: 1\r\nContent-Length : 4\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nwhole"},
		{"trailer", ok + chunked + "X-Trailer: 1\r\n\r\n"},
		{"blank in a name of a trailer", ok + chunked + "X Broken: 1\r\n\r\n"},
		{"announced trailer with a blank in its name", ok + "Trailer: X Broken\r\n" + chunked + "X Broken: 1\r\n\r\n"},
		{"folded line", ok + "X-Folded: a\r\n b\r\nContent-Length: 5\r\n\r\nwhole"},
		{"no blank after the colon", ok + "Content-Length:5\r\n\r\nwhole"},
		{"blanks around a value", ok + "Content-Length: \t 5 \t\r\n\r\nwhole"},
		{"empty value", ok + "X-Empty:\r\nContent-Length: 5\r\n\r\nwhole"},
		{"the same length twice", ok + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, testTimeout)
			f.putRaw(t, burdockraw.Answer{Text: c.text})
			got := f.send(t, context.Background(), "/once/", nil)
			if got.err != nil || got.status != http.StatusOK || got.body != "whole" {
				t.Errorf("got status %d, body %q and error %v, want 200 and %q", got.status, got.body, got.err, "whole")
			}
			for name := range got.header {
				if strings.Contains(name, "Broken") || strings.Contains(name, "Trailer") {
					t.Errorf("got a field %q, want none", name)
				}
			}
		})
	}
}
