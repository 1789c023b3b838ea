package burdockdirect

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/standin/burdockraw"
)

// longUpload is longer than what both sockets of a connection hold, and shorter than what an
// entry accepts.
var longUpload = make([]byte, 6<<20)

// Guards against the part of an answer, cut while the request was still being sent, that the
// caller gets as a complete answer.
func TestPartOfAnEarlyAnswerIsNotPassedOnAsWhole(t *testing.T) {
	const (
		signed = "X-Id: ID\r\nX-Signed: 1\r\n"
		stream = signed + "Content-Type: text/event-stream\r\n\r\n"
	)
	for _, c := range []struct{ name, path, text string }{
		{"once", "/once/", "HTTP/1.1 200 OK\r\n" + signed + "\r\nhalf an"},
		{"again", "/again/", "HTTP/1.1 200 OK\r\n" + signed + "\r\nhalf an"},
		{"HTTP/1.0", "/once/", "HTTP/1.0 200 OK\r\n" + signed + "\r\nhalf an"},
		{"connection close", "/once/", "HTTP/1.1 200 OK\r\nConnection: close\r\n" + signed + "\r\nhalf an"},
		{"empty", "/once/", "HTTP/1.1 200 OK\r\n" + signed + "\r\n"},
		{"not found", "/once/", "HTTP/1.1 404 Not Found\r\n" + signed + "\r\nhalf an"},
		{"error", "/once/", "HTTP/1.1 500 Internal Server Error\r\n" + signed + "\r\nhalf an"},
		{"length", "/once/", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + signed + "\r\nhalf an"},
		{"chunks", "/once/", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + signed + "\r\n7\r\nhalf an\r\n"},
		{"stream, cut between events", "/stream/", "HTTP/1.1 200 OK\r\n" + stream + "id: 1\ndata: a\n\n"},
	} {
		for _, end := range []burdockraw.Ending{burdockraw.Reset, burdockraw.Close} {
			t.Run(c.name+", "+string(end), func(t *testing.T) {
				t.Parallel()
				for play := range 8 {
					answer := burdockraw.Answer{Text: c.text, BodyUnread: true, Pause: time.Duration(play*play) * time.Millisecond, Ending: end}
					f := newFixture(t, testTimeout)
					f.putRaw(t, answer)
					f.putRaw(t, answer)
					got := f.upload(context.Background(), c.path, "id-1", longUpload)
					if got.err == nil && got.status != http.StatusBadGateway {
						t.Errorf("pause %v: got status %d and %q as a complete answer, want %d or a connection that is cut", answer.Pause, got.status, got.body, http.StatusBadGateway)
					}
				}
			})
		}
	}
}

// Guards against answers that are kept back although they are complete: ones that their
// connection ends after the whole upload, and ones with a length or in chunks before its end.
func TestWholeAnswerToALongUploadIsPassedOn(t *testing.T) {
	const signed = "X-Id: ID\r\nX-Signed: 1\r\n"
	for _, c := range []struct {
		name, text string
		unread     bool // the answer comes before the upload has been read
		end        burdockraw.Ending
		wantStatus int
		wantBody   string
	}{
		{"ended by its connection", "HTTP/1.1 200 OK\r\n" + signed + "\r\nwhole", false, burdockraw.Close, http.StatusOK, "whole"},
		{"ended by its connection, HTTP/1.0", "HTTP/1.0 200 OK\r\n" + signed + "\r\nwhole", false, burdockraw.Close, http.StatusOK, "whole"},
		{"ended by its connection, empty", "HTTP/1.1 200 OK\r\n" + signed + "\r\n", false, burdockraw.Close, http.StatusOK, ""},
		{"early, length", "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n" + signed + "\r\nwhole", true, burdockraw.Hold, http.StatusRequestEntityTooLarge, "whole"},
		{"early, length 0", "HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\n" + signed + "\r\n", true, burdockraw.Hold, http.StatusUnauthorized, ""},
		{"early, chunks", "HTTP/1.1 401 Unauthorized\r\nTransfer-Encoding: chunked\r\n" + signed + "\r\n5\r\nwhole\r\n0\r\n\r\n", true, burdockraw.Hold, http.StatusUnauthorized, "whole"},
		{"early, closed without a body", "HTTP/1.1 204 No Content\r\nConnection: close\r\n" + signed + "\r\n", true, burdockraw.Hold, http.StatusNoContent, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 20_000)
			f.putRaw(t, burdockraw.Answer{Text: c.text, BodyUnread: c.unread, Ending: c.end})
			for play := range 10 {
				got := f.upload(context.Background(), "/once/", fmt.Sprint("id-", play), longUpload)
				if got.err != nil || got.status != c.wantStatus || got.body != c.wantBody {
					t.Errorf("play %d: got status %d, body %q, error %v, want %d and %q", play, got.status, got.body, got.err, c.wantStatus, c.wantBody)
				}
			}
		})
	}
}
