package burdockpromise

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

const (
	slowTokens     = 60_000 // some 10 MB, beyond what buffers on the way hold
	slowPiece      = 64 << 10
	slowPause      = 30 * time.Millisecond
	slowReadBuffer = 64 << 10
	slowReaders    = 3
)

// slowBody is a body that is read in small pieces with pauses.
type slowBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b slowBody) Read(p []byte) (int, error) {
	time.Sleep(slowPause)
	return b.ReadCloser.Read(p[:min(len(p), slowPiece)])
}

// slowTransport gives its client's answers slow bodies.
type slowTransport struct{ http.Transport }

// RoundTrip implements http.RoundTripper.
func (s *slowTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := s.Transport.RoundTrip(req)
	if err == nil {
		res.Body = slowBody{res.Body}
	}
	return res, err
}

// newSlowTransport keeps the buffers on the caller's side small as well.
func newSlowTransport() *slowTransport {
	s := &slowTransport{}
	s.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if tcp, ok := conn.(*net.TCPConn); ok {
			err = tcp.SetReadBuffer(slowReadBuffer)
		}
		return conn, err
	}
	return s
}

// slowCaller reads one long stream slowly.
type slowCaller struct {
	fleet  *burdockprograms.Fleet
	answer chan burdockprograms.Answer
}

func (c *slowCaller) run() {
	client := &http.Client{Transport: newSlowTransport()}
	c.answer <- c.fleet.SendWith(context.Background(), client, c.fleet.Entries[0], burdockprograms.Chat("slow", slowTokens, true))
}

// Callers that read slowly get their whole answers, although their entry and
// their agent are both stopped as planned while most of the answers is still
// on the way: held at the agent, on the connection, and at the entry.
func TestStopWaitsForSlowReaders(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 1, Entries: 1, Slots: slowReaders})
	callers := make([]*slowCaller, slowReaders)
	for i := range callers {
		callers[i] = &slowCaller{fleet: f, answer: make(chan burdockprograms.Answer, 1)}
		go callers[i].run()
	}
	burdockprograms.Eventually(t, "the requests run", func() bool { return started(f) == slowReaders })
	time.Sleep(time.Second)
	began := time.Now()
	f.Agents[0].Terminate()
	f.Entries[0].Terminate()
	for i, c := range callers {
		if got := <-c.answer; !got.WholeStream("slow", slowTokens) {
			t.Errorf("caller %d: got status %d err %v, %d bytes; want the whole answer", i, got.Status, got.Err, len(got.Body))
		}
	}
	read := time.Since(began)
	if read < time.Second {
		t.Errorf("the callers had read all within %v of the stop, too soon to show anything", read)
	}
	for name, p := range map[string]*burdockprograms.Process{"agent": f.Agents[0].Process, "entry": f.Entries[0].Process} {
		if got, want := p.Wait(t, stopTimeout), 0; got != want {
			t.Errorf("%s: exit status got %d, want %d", name, got, want)
		}
	}
	t.Logf("the callers read on for %v after the stop", read)
}
