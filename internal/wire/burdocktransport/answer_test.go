package burdocktransport

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/standin/burdockraw"
	"github.com/joomcode/errorx"
)

// rawClient is a client of a server that gives the same answer to each request.
type rawClient struct {
	*http.Client
	server *burdockraw.Server
}

func newRawClient(t *testing.T, answer burdockraw.Answer) rawClient {
	t.Helper()
	c := rawClient{Client: &http.Client{Transport: New(&http.Transport{})}, server: burdockraw.StartFixed(t, answer)}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// post sends a body and reads the answer to its end.
func (c rawClient) post(body []byte) (status int, text string, err error) {
	res, err := c.Post("http://"+c.server.Address(), "text/plain", bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	read, err := io.ReadAll(res.Body)
	return res.StatusCode, string(read), err
}

// longBody is longer than what both sockets of a connection hold.
var longBody = make([]byte, 6<<20)

// Guards against the part of an answer that looks whole, since the write of the request took the
// error by which reading finds out that the connection was reset.
func TestPartOfAnEarlyAnswerFailsToBeRead(t *testing.T) {
	for play := range 30 {
		pause := time.Duration(play) * time.Millisecond
		c := newRawClient(t, burdockraw.Answer{Text: "HTTP/1.1 200 OK\r\n\r\nhalf an", BodyUnread: true, Pause: pause, Ending: burdockraw.Reset})
		if status, text, err := c.post(longBody); err == nil {
			t.Errorf("pause %v: got status %d and %q without an error, want an error", pause, status, text)
		}
	}
}

// Guards against whole answers that are taken for cut.
func TestWholeAnswerIsRead(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer burdockraw.Answer
	}{
		{"ended by its connection", burdockraw.Answer{Text: "HTTP/1.1 200 OK\r\n\r\nwhole", Ending: burdockraw.Close}},
		{"early, length", burdockraw.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", BodyUnread: true, Ending: burdockraw.Hold}},
		{"early, chunks", burdockraw.Answer{Text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", BodyUnread: true, Ending: burdockraw.Hold}},
	} {
		for _, body := range [][]byte{nil, []byte("short"), longBody} {
			client := newRawClient(t, c.answer)
			if status, text, err := client.post(body); err != nil || status != http.StatusOK || text != "whole" {
				t.Errorf("%s, after %d bytes: got status %d, %q and error %v, want 200 and %q", c.name, len(body), status, text, err, "whole")
			}
		}
	}
}

// Guards against a request that goes on when reading is repeated after the answer was found cut.
func TestCutAnswerStaysCut(t *testing.T) {
	s := &sending{written: make(chan error, 1)}
	s.written <- io.ErrClosedPipe
	b := &unframedBody{ReadCloser: io.NopCloser(bytes.NewReader(nil)), ctx: t.Context(), sending: s}
	for range 2 {
		if n, err := b.Read(make([]byte, 1)); n != 0 || !errorx.IsOfType(err, ErrCutShort) {
			t.Errorf("got %d bytes and error %v, want none and %v", n, err, ErrCutShort)
		}
	}
}

// Guards against answers without a valid status, which a server can't pass on.
func TestAnswerWithAnInvalidStatusFails(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "+20", "101", "600", "999"} {
		testMalformedHead(t, "HTTP/1.1 "+status+" OK\r\n")
	}
}

// testMalformedHead checks that an answer fails whose head begins with a text, and that its
// connection is not used again.
func testMalformedHead(t *testing.T, start string) {
	t.Helper()
	for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
		c := newRawClient(t, burdockraw.Answer{Text: start + rest})
		for range 2 {
			_, _, err := c.post([]byte("question"))
			if !isMalformedHead(err) {
				t.Errorf("%q: got error %v, want %v", start+rest, err, ErrMalformedHead)
			}
		}
		if got, want := c.server.Connections(), 2; got != want {
			t.Errorf("%q: got %d connections for two requests, want %d", start+rest, got, want)
		}
	}
}

func isMalformedHead(err error) bool {
	var typed *errorx.Error
	return errors.As(err, &typed) && typed.IsOfType(ErrMalformedHead)
}

// Guards against a field that is not read as what it is, so that the body has another end.
func TestAnswerWithABlankInANameFails(t *testing.T) {
	for _, line := range []string{"Content-Length : 4", "Transfer-Encoding : chunked", "X Broken: 1", "X-Broken :"} {
		testMalformedHead(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n")
	}
}

// Guards against a request that fails, unsent, because it is given the connection of a malformed head
// before net/http has noticed that it was closed.
func TestConnectionOfAMalformedHeadIsNotHandedOut(t *testing.T) {
	c := newRawClient(t, burdockraw.Answer{Text: "HTTP/1.1 200 OK\r\nX Broken: 1\r\nContent-Length: 0\r\n\r\n"})
	const callers, requests = 8, 200
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range requests {
				if _, _, err := c.post([]byte("question")); !isMalformedHead(err) {
					t.Errorf("got error %v, want %v", err, ErrMalformedHead)
				}
			}
		})
	}
	wg.Wait()
	if got, want := c.server.Requests(), callers*requests; got != want {
		t.Errorf("requests that arrived: got %d, want %d", got, want)
	}
	if got, want := c.server.Connections(), callers*requests; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}
