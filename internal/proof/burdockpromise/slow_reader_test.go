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
	slowTokens     = 60_000 // about 10 MB, more than the buffers on the path hold
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

// slowTransport makes the bodies of its responses slow to read.
type slowTransport struct{ http.Transport }

// RoundTrip implements http.RoundTripper.
func (s *slowTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := s.Transport.RoundTrip(req)
	if err == nil {
		res.Body = slowBody{res.Body}
	}
	return res, err
}

// newSlowTransport also limits the receive buffer of its connections.
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

// Slow readers get their whole answers although their entry and agent are stopped
// gracefully while most of the data is still buffered at the agent, on the connection and at
// the entry.
func TestStopWaitsForSlowReaders(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 1, Entries: 1, Slots: slowReaders})
	callers := make([]*slowCaller, slowReaders)
	for i := range callers {
		callers[i] = &slowCaller{fleet: f, answer: make(chan burdockprograms.Answer, 1)}
		go callers[i].run()
	}
	burdockprograms.Eventually(t, "the requests are running", func() bool { return startedRuns(f) == slowReaders })
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
		t.Errorf("the callers finished within %v of the stop, too soon to test it", read)
	}
	for name, p := range map[string]*burdockprograms.Process{"agent": f.Agents[0].Process, "entry": f.Entries[0].Process} {
		if got, want := p.Wait(t, stopTimeout), 0; got != want {
			t.Errorf("%s: exit status got %d, want %d", name, got, want)
		}
	}
	t.Logf("the callers read for %v after the stop", read)
}
