package burdockdirect

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/standin/burdockraw"
)

// unframedAnswer is an answer that its connection ends, without a length and not in chunks.
type unframedAnswer struct {
	proto, kind, text string
	reset             bool // the connection is reset at the end
}

func (u unframedAnswer) raw() burdockraw.Answer {
	text := u.proto + " 200 OK\r\nX-Signed: 1\r\nX-Id: ID\r\nContent-Type: " + u.kind + "\r\n\r\n" + u.text
	if u.reset {
		// The text has been read before.
		return burdockraw.Answer{Text: text, Pause: 20 * time.Millisecond, Ending: burdockraw.Reset}
	}
	return burdockraw.Answer{Text: text, Ending: burdockraw.Close}
}

// Guards against answers without a length that are cut short, kept back or taken for broken.
func TestAnswerThatItsConnectionEnds(t *testing.T) {
	const plain, events = "text/plain", "text/event-stream"
	for _, c := range []struct {
		name, path  string
		answer      unframedAnswer
		want        string // body
		wantOffers  int
		wantFailure bool
	}{
		{name: "plain", path: "/once/", answer: unframedAnswer{proto: "HTTP/1.1", kind: plain, text: "whole answer"}, want: "whole answer", wantOffers: 1},
		{name: "plain, HTTP/1.0", path: "/once/", answer: unframedAnswer{proto: "HTTP/1.0", kind: plain, text: "whole answer"}, want: "whole answer", wantOffers: 1},
		{name: "plain, reset", path: "/once/", answer: unframedAnswer{proto: "HTTP/1.1", kind: plain, text: "half an", reset: true}, wantOffers: 1, wantFailure: true},
		{name: "plain, empty", path: "/once/", answer: unframedAnswer{proto: "HTTP/1.1", kind: plain}, wantOffers: 1},
		{name: "stream", path: "/stream/", answer: unframedAnswer{proto: "HTTP/1.1", kind: events, text: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}, want: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", wantOffers: 1},
		{name: "stream, HTTP/1.0", path: "/stream/", answer: unframedAnswer{proto: "HTTP/1.0", kind: events, text: "id: 1\ndata: a\n\n"}, want: "id: 1\ndata: a\n\n", wantOffers: 1},
		{name: "stream, lines end with CRLF", path: "/stream/", answer: unframedAnswer{proto: "HTTP/1.1", kind: events, text: "id: 1\r\ndata: a\r\n\r\n"}, want: "id: 1\r\ndata: a\r\n\r\n", wantOffers: 1},
		{name: "stream, ends inside an event", path: "/stream/", answer: unframedAnswer{proto: "HTTP/1.1", kind: events, text: "id: 1\ndata: a\n\nid: 2\nda"}, want: "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", wantOffers: 2, wantFailure: true},
		{name: "stream, last event without its empty line", path: "/stream/", answer: unframedAnswer{proto: "HTTP/1.1", kind: events, text: "id: 1\ndata: a\n"}, wantOffers: 2, wantFailure: true},
		{name: "stream, reset between events", path: "/stream/", answer: unframedAnswer{proto: "HTTP/1.1", kind: events, text: "id: 1\ndata: a\n\n", reset: true}, want: "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", wantOffers: 2, wantFailure: true},
		{name: "stream without events", path: "/stream/", answer: unframedAnswer{proto: "HTTP/1.1", kind: events}, wantOffers: 2, wantFailure: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, testTimeout)
			one, other := f.putRaw(t, c.answer.raw()), f.putRaw(t, c.answer.raw())
			got := f.send(t, context.Background(), c.path, nil)
			failed := got.err != nil || got.status != http.StatusOK
			if failed != c.wantFailure {
				t.Errorf("failed: got %v (status %d, body %q, error %v), want %v", failed, got.status, got.body, got.err, c.wantFailure)
			}
			if body := got.body; got.status == http.StatusOK && !strings.HasPrefix(body, c.want) {
				t.Errorf("body: got %q, want %q", body, c.want)
			}
			if offers := one.Requests() + other.Requests(); offers != c.wantOffers {
				t.Errorf("offers: got %d, want %d", offers, c.wantOffers)
			}
		})
	}
}
