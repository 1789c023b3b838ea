package burdockentry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/config/burdockkey"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// scriptedAgent answers each offer with a script of events.
type scriptedAgent struct {
	burdockwire.UnimplementedAgentServiceHandler
	script func(id string) []*burdockwire.RunEvent
	runs   atomic.Int64
	// connections counts those that were opened to the agent.
	connections atomic.Int64
}

// countNew is a hook of the agent's server.
func (a *scriptedAgent) countNew(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		a.connections.Add(1)
	}
}

// Run implements burdockwire.AgentServiceHandler.
func (a *scriptedAgent) Run(_ context.Context, req *connect.Request[burdockwire.RunRequest], stream *connect.ServerStream[burdockwire.RunEvent]) error {
	a.runs.Add(1)
	for _, event := range a.script(req.Msg.GetRequestId()) {
		if err := stream.Send(event); err != nil {
			return err
		}
	}
	return nil
}

func admitted(id string) *burdockwire.RunEvent {
	return &burdockwire.RunEvent{RequestId: id, Event: &burdockwire.RunEvent_Admitted{Admitted: &burdockwire.Admitted{}}}
}

func head(id string) *burdockwire.RunEvent {
	return &burdockwire.RunEvent{RequestId: id, Event: &burdockwire.RunEvent_Head{Head: &burdockwire.Head{Status: 200}}}
}

func chunk(id string, offset int64, data string) *burdockwire.RunEvent {
	return &burdockwire.RunEvent{RequestId: id, Event: &burdockwire.RunEvent_Chunk{Chunk: &burdockwire.Chunk{Offset: offset, Data: []byte(data)}}}
}

func end(id string, total int64) *burdockwire.RunEvent {
	return &burdockwire.RunEvent{RequestId: id, Event: &burdockwire.RunEvent_End{End: &burdockwire.End{TotalBytes: total}}}
}

// startEntry serves callers in front of one scripted agent.
func startEntry(t *testing.T, agent *scriptedAgent) (*httptest.Server, string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(burdockwire.NewAgentServiceHandler(agent))
	agentServer := httptest.NewUnstartedServer(mux)
	agentServer.Config.ConnState = agent.countNew
	agentServer.Start()
	t.Cleanup(agentServer.Close)
	key := burdockkey.New()
	view := burdockconfig.NewView()
	fleet := burdockfleet.Follow(view)
	view.Merge(fleetEntries(t, strings.TrimPrefix(agentServer.URL, "http://"), burdockkey.Hash(key)))
	var limits burdocksettings.Common
	limits.SetDefaults()
	e := New(Config{Limits: limits.Limits}, Deps{
		Clock:   burdockclock.System(),
		Fleet:   fleet,
		Peers:   burdocktransport.NewPeers(nil),
		Log:     zap.NewNop(),
		Metrics: metrics.NewSet(),
		Seed:    1,
	})
	e.Start()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		server.Close()
		e.Close()
	})
	return server, key
}

func fleetEntries(t *testing.T, agent, keyHash string) []burdockconfig.Entry {
	t.Helper()
	values := map[string]any{
		"service/cards": burdockmember.Service{
			Name: "cards", Kind: burdockmember.KindPlain, Routes: []burdockmember.Route{{PathPrefix: "/cards"}, {PathPrefix: "/prices", Idempotent: true}},
		},
		"upstream/cards-1": burdockmember.Upstream{Name: "cards-1", Service: "cards", Agent: agent},
		"customer/lab":     burdockmember.Customer{Name: "lab", KeyHash: keyHash},
	}
	var entries []burdockconfig.Entry
	for name, v := range values {
		value, err := json.Marshal(v)
		if err != nil {
			t.Fatalf("encode %s: %v", name, err)
		}
		entries = append(entries, burdockconfig.Entry{Key: name, Version: 1, Value: value})
	}
	return entries
}

// The caller never takes for its answer what is another's, or what is not
// whole. An agent, or what lies between, mixes up, loses or cuts events; the
// caller sees an error, or a connection that broke off, and the request is
// not run again, since it may have run.
func TestMixedUpAnswers(t *testing.T) {
	cases := []struct {
		name   string
		script func(id string) []*burdockwire.RunEvent
		whole  bool
	}{
		{"whole", func(id string) []*burdockwire.RunEvent {
			return []*burdockwire.RunEvent{admitted(id), head(id), chunk(id, 0, "ab"), chunk(id, 2, "c"), end(id, 3)}
		}, true},
		{"another's answer from the start", func(string) []*burdockwire.RunEvent {
			return []*burdockwire.RunEvent{admitted("other"), head("other"), chunk("other", 0, "abc"), end("other", 3)}
		}, false},
		{"another's answer in the middle", func(id string) []*burdockwire.RunEvent {
			return []*burdockwire.RunEvent{admitted(id), head(id), chunk(id, 0, "a"), chunk("other", 1, "bc"), end(id, 3)}
		}, false},
		{"bytes missing", func(id string) []*burdockwire.RunEvent {
			return []*burdockwire.RunEvent{admitted(id), head(id), chunk(id, 0, "a"), chunk(id, 2, "c"), end(id, 3)}
		}, false},
		{"bytes twice", func(id string) []*burdockwire.RunEvent {
			return []*burdockwire.RunEvent{admitted(id), head(id), chunk(id, 0, "ab"), chunk(id, 1, "bc"), end(id, 3)}
		}, false},
		{"bytes of another place", func(id string) []*burdockwire.RunEvent {
			return []*burdockwire.RunEvent{admitted(id), head(id), chunk(id, 0, "ab"), chunk(id, 1, "c"), end(id, 3)}
		}, false},
		{"ends too early", func(id string) []*burdockwire.RunEvent {
			return []*burdockwire.RunEvent{admitted(id), head(id), chunk(id, 0, "ab"), end(id, 3)}
		}, false},
		{"no head", func(id string) []*burdockwire.RunEvent {
			return []*burdockwire.RunEvent{admitted(id), chunk(id, 0, "abc"), end(id, 3)}
		}, false},
		{"end without anything", func(id string) []*burdockwire.RunEvent {
			return []*burdockwire.RunEvent{admitted(id), end(id, 0)}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			agent := &scriptedAgent{script: c.script}
			server, key := startEntry(t, agent)
			status, body, err := post(server.URL+"/cards/1", key)
			whole := err == nil && status == http.StatusOK && body == "abc"
			looksWhole := err == nil && status == http.StatusOK
			if whole != c.whole || looksWhole != c.whole {
				t.Errorf("got status %d body %q err %v, want a whole answer: %v", status, body, err, c.whole)
			}
			if got, want := agent.runs.Load(), int64(1); got != want {
				t.Errorf("runs: got %d, want %d", got, want)
			}
		})
	}
}

func post(url, key string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("?"))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// A caller whose key is unknown learns nothing but that.
func TestUnknownKeyLearnsNothing(t *testing.T) {
	server, _ := startEntry(t, &scriptedAgent{})
	_, atRoute, _ := post(server.URL+"/cards/1", "wrong")
	_, nowhere, _ := post(server.URL+"/nowhere", "wrong")
	if atRoute != nowhere || !strings.Contains(atRoute, "unauthenticated") {
		t.Errorf("got %q at a route and %q elsewhere, want the same refusal", atRoute, nowhere)
	}
}

// Each request of a caller goes to the same agent. Its answer was read only to
// the last event that counts, so the connection could not be used again, and
// each request opened one of its own.
func TestConnectionToAgentIsUsedAgain(t *testing.T) {
	agent := &scriptedAgent{script: func(id string) []*burdockwire.RunEvent {
		return []*burdockwire.RunEvent{admitted(id), head(id), chunk(id, 0, "abc"), end(id, 3)}
	}}
	server, key := startEntry(t, agent)
	const requests = 50
	for range requests {
		req, err := http.NewRequest(http.MethodPost, server.URL+"/cards", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+key)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(res.Body); err != nil || string(body) != "abc" {
			t.Fatalf("answer: got %q, %v", body, err)
		}
		_ = res.Body.Close()
	}
	// The next request can come before the rest of the last answer was read,
	// and then opens another connection.
	if got, want := agent.connections.Load(), int64(requests/5); got > want {
		t.Errorf("connections for %d requests one after another: got %d, want at most %d", requests, got, want)
	}
}

// A caller names a path that an upstream would take for another one: routed as
// /cards, it would run as /letters, which may not be repeated. It is refused.
func TestPathThatMeansAnotherHasNoRoute(t *testing.T) {
	agent := &scriptedAgent{script: func(id string) []*burdockwire.RunEvent {
		return []*burdockwire.RunEvent{admitted(id), head(id), end(id, 0)}
	}}
	server, key := startEntry(t, agent)
	for _, path := range []string{"/cards/../letters", "/cards/%2e%2e/letters", "/cards//1", "/cards/./1"} {
		if status, body, err := post(server.URL+path, key); status != http.StatusNotFound || err != nil {
			t.Errorf("%s: got status %d body %q err %v, want 404", path, status, body, err)
		}
	}
	if got, want := agent.runs.Load(), int64(0); got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// A caller is told the truth about a request that may be repeated. Its first
// offer broke off and may have run; the second found no upstream. "Not run"
// would be true of the second alone. Found by a soak of ten minutes, seed 3.
func TestSecondOfferRefusedAfterTheFirstMayHaveRun(t *testing.T) {
	agent := &scriptedAgent{script: func(id string) []*burdockwire.RunEvent {
		return []*burdockwire.RunEvent{admitted(id)} // and then the stream ends
	}}
	server, key := startEntry(t, agent)
	status, body, err := post(server.URL+"/prices/1", key)
	if err != nil || status == http.StatusOK || !strings.Contains(body, `"notRun":false`) {
		t.Errorf("got status %d body %q err %v, want an error that is not not-run", status, body, err)
	}
	if strings.Contains(body, "127.0.0.1") {
		t.Errorf("body %q names an inner address", body)
	}
	if got, want := agent.runs.Load(), int64(1); got != want {
		t.Errorf("offers that reached the agent: got %d, want %d", got, want)
	}
}
