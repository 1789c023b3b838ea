package burdocklistener

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/proof/burdockauthority"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

func runRequest(to string, body []byte) *connect.Request[burdockwire.RunRequest] {
	return connect.NewRequest(&burdockwire.RunRequest{
		RequestId: "r-1", Upstream: to, Service: "llm-pool", Customer: "amplifier-lab", PriorityClass: "draft",
		CostTokens: 1, TimeoutMillis: 1000, Method: http.MethodPost, Path: "/v1/chat/completions", Body: body,
	})
}

// offer sends a request to the agent and returns the first event of the response.
func (f *fleet) offer(t *testing.T, req *connect.Request[burdockwire.RunRequest]) (*burdockwire.RunEvent, error) {
	t.Helper()
	client := burdockwire.NewAgentServiceClient(http.DefaultClient, "http://"+f.agent.PeerAddress())
	stream, err := client.Run(context.Background(), req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	if !stream.Receive() {
		return nil, stream.Err()
	}
	return stream.Msg(), nil
}

// A peer sends a message beyond the size limit, one for another upstream, malformed
// messages, or stops in the middle of one. Nothing reaches the engine, and no goroutine
// or descriptor leaks.
func TestInvalidPeerMessagesAreRejected(t *testing.T) {
	f := startFleet(t, smallLimits)
	runsBefore, before := f.runs(t), minUsage(t)
	if _, err := f.offer(t, runRequest(upstream, make([]byte, 5<<20))); connect.CodeOf(err) != connect.CodeResourceExhausted {
		t.Errorf("a message beyond the limit: got %v, want %v", err, connect.CodeResourceExhausted)
	}
	event, err := f.offer(t, runRequest("another-upstream", nil))
	if got, want := event.GetRefused().GetReason(), burdockwire.RefusedReason_REFUSED_REASON_WRONG_UPSTREAM; err != nil || got != want {
		t.Errorf("a request for another upstream: got %v, %v, want %v", got, err, want)
	}
	for _, body := range []string{"", "x", strings.Repeat("\xff", 1000), "\x01\x00\x00\x00\x01x", "\x00\x7f\xff\xff\xffx"} {
		res, err := http.Post("http://"+f.agent.PeerAddress()+burdockwire.AgentServiceRunProcedure, "application/connect+proto", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		answer, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if !strings.Contains(string(answer), `"error"`) {
			t.Errorf("%.20q: got status %d and %.80q, want an error", body, res.StatusCode, answer)
		}
	}
	conn := dial(t, f.agent.PeerAddress())
	_, _ = io.WriteString(conn, "POST "+burdockwire.AgentServiceRunProcedure+" HTTP/1.1\r\nHost: x\r\n"+
		"Content-Type: application/connect+proto\r\nContent-Length: 1000\r\n\r\n\x00")
	if answer, _ := io.ReadAll(conn); !strings.Contains(string(answer), `"error"`) {
		t.Errorf("an incomplete message: got %.80q, want an error and the connection closed", answer)
	}
	_ = conn.Close()
	if got, want := f.runs(t), runsBefore; got != want {
		t.Errorf("runs at the engine: got %d, want %d", got, want)
	}
	expectNoLeak(t, before)
}

// Entry and agent authenticate each other with certificates of the site's certificate
// authority, and a request passes. A peer that uses plain text, no certificate, or one
// of another authority is rejected before any message is read.
func TestPeerListenersRequireMutualTLS(t *testing.T) {
	siteCA, otherCA := burdockauthority.New(t), burdockauthority.New(t)
	f := startFleet(t, func(c *burdocksettings.Common) {
		pair := siteCA.Issue(t)
		c.PlainText = ""
		c.TLS = burdocksettings.TLS{Mode: burdocksettings.TLSModeMutual, Cert: pair.Cert, Key: pair.Key, CA: siteCA.PEM()}
	})
	runsBefore := f.runs(t)
	if runsBefore == 0 {
		t.Error("no request reached the engine with TLS")
	}
	if _, err := f.offer(t, runRequest(upstream, nil)); err == nil {
		t.Error("plain text to the agent: got no error, want one")
	}
	pair := otherCA.Issue(t)
	otherPair, err := tls.X509KeyPair([]byte(pair.Cert), []byte(pair.Key))
	if err != nil {
		t.Fatal(err)
	}
	for name, certificates := range map[string][]tls.Certificate{"no certificate": nil, "another authority": {otherPair}} {
		for _, address := range []string{f.agent.PeerAddress(), f.entry.PeerAddress()} {
			transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, Certificates: certificates}}
			res, err := (&http.Client{Transport: transport}).Post("https://"+address+burdockwire.AgentServiceRunProcedure, "application/connect+proto", strings.NewReader(""))
			if err == nil {
				t.Errorf("%s: got status %d, want no answer", name, res.StatusCode)
				_ = res.Body.Close()
			}
			transport.CloseIdleConnections()
		}
	}
	if got, want := f.runs(t), runsBefore; got != want {
		t.Errorf("runs at the engine: got %d, want %d", got, want)
	}
}
