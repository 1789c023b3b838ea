package burdockagent

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// fuzzTimeout limits one call. The agent has to send a final event within it.
const fuzzTimeout = 5 * time.Second

// countingEngine answers each call at once.
type countingEngine struct{ runs atomic.Int64 }

// Do implements burdockengine.Engine.
func (e *countingEngine) Do(_ context.Context, call burdockengine.Call) (burdockengine.Answer, error) {
	call.BeforeSend()
	e.runs.Add(1)
	body := io.NopCloser(bytes.NewReader([]byte("answer")))
	return burdockengine.Answer{Status: http.StatusOK, Header: http.Header{}, Body: body, Framed: true}, nil
}

// Check implements burdockengine.Engine.
func (e *countingEngine) Check(context.Context) error { return nil }

// newFuzzAgent returns an agent that owns every slot, with an engine that answers at
// once, and a client of the agent.
func newFuzzAgent(tb testing.TB) (*Agent, *countingEngine, burdockwire.AgentServiceClient) {
	tb.Helper()
	engine := &countingEngine{}
	clock := burdockclock.NewManual(clusterStart)
	a := New(Config{Upstream: "u-1", Service: "llm-pool", Slots: 4}, Deps{
		Clock: clock.Clock(), Engine: engine, Fleet: burdockfleet.Follow(burdockconfig.NewView()),
		Verified: func() bool { return true }, OnConfigDigest: func(burdockconfig.Digest) {}, Log: zap.NewNop(),
		Metrics: metrics.NewSet(), Random: rand.New(rand.NewPCG(1, 2)),
	})
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		a.keys.ledger.AcquireSlot(slot, 0)
	}
	clock.Advance(uptime)
	a.Start()
	tb.Cleanup(a.Close)
	mux := http.NewServeMux()
	mux.Handle(burdockwire.NewAgentServiceHandler(a))
	server := httptest.NewServer(mux)
	tb.Cleanup(server.Close)
	return a, engine, burdockwire.NewAgentServiceClient(server.Client(), server.URL)
}

// finalEvent returns the last event of a stream, and fails unless it is a final one.
func finalEvent(t *testing.T, stream *connect.ServerStreamForClient[burdockwire.RunEvent], err error) *burdockwire.RunEvent {
	t.Helper()
	event := lastEvent(t, stream, err)
	if event.GetEnd() == nil && event.GetRefused() == nil && event.GetCut() == nil {
		t.Fatalf("last event: got %v, want an end, a refusal or a cut", event)
	}
	return event
}

// FuzzRun offers arbitrary requests. Each gets a final event and runs at most once, and
// does not run if it is refused.
func FuzzRun(f *testing.F) {
	f.Fuzz(func(t *testing.T, id, upstream, key, method, path string, cost, prompt, timeout int64, maxLoad float64) {
		ctx, cancel := context.WithTimeout(context.Background(), fuzzTimeout)
		defer cancel()
		_, engine, client := newFuzzAgent(t)
		req := &burdockwire.RunRequest{
			RequestId: id, Upstream: upstream, IdempotencyKey: key, Method: method, Path: path,
			CostTokens: cost, PromptTokens: prompt, TimeoutMillis: timeout, MaxLoad: maxLoad,
		}
		if _, err := proto.Marshal(req); err != nil {
			t.Skip("the input can't be encoded as a message")
		}
		for range 2 {
			before := engine.runs.Load()
			stream, err := client.Run(ctx, connect.NewRequest(req))
			event := finalEvent(t, stream, err)
			if ran := engine.runs.Load() > before; ran && event.GetRefused() != nil {
				t.Errorf("the request was refused, but it ran")
			}
		}
		if got := engine.runs.Load(); got > 1 {
			t.Errorf("runs: got %d, want 1 at most", got)
		}
		// The agent still serves ordinary requests.
		stream, err := client.Run(ctx, connect.NewRequest(chatRequest("next "+id)))
		if event := finalEvent(t, stream, err); event.GetRefused() != nil {
			t.Errorf("next request: got %v, want it to run", event)
		}
	})
}

// FuzzAttach attaches at arbitrary offsets and ages. The answer is sent only from a valid
// offset, and "not run" is not claimed for a request with an invalid age or one from
// before the agent's start.
func FuzzAttach(f *testing.F) {
	f.Fuzz(func(t *testing.T, id string, offset, age int64) {
		ctx, cancel := context.WithTimeout(context.Background(), fuzzTimeout)
		defer cancel()
		_, _, client := newFuzzAgent(t)
		req := &burdockwire.AttachRequest{RequestId: id, Upstream: "u-1", Offset: offset, AgeMillis: age}
		if _, err := proto.Marshal(req); err != nil {
			t.Skip("the input can't be encoded as a message")
		}
		known := &burdockwire.RunRequest{RequestId: "known", Upstream: "u-1", Method: "GET", Path: "/"}
		stream, err := client.Run(ctx, connect.NewRequest(known))
		total := finalEvent(t, stream, err).GetEnd().GetTotalBytes()
		stream, err = client.Attach(ctx, connect.NewRequest(req))
		event := finalEvent(t, stream, err)
		if got, want := event.GetEnd() != nil, id == "known" && offset >= 0 && offset <= total; got != want {
			t.Errorf("answered: got %v, want %v", got, want)
		}
		if event.GetRefused() != nil && (age < 0 || burdockclock.Millis(age) >= uptime) {
			t.Errorf("age %d: got not run, want an unknown outcome", age)
		}
	})
}

// FuzzTakeKeys hands over arbitrary key records and makes the agent the owner of their
// slot. A key with a record does not run.
func FuzzTakeKeys(f *testing.F) {
	f.Fuzz(func(t *testing.T, from string, slot int32, since int64, high, low, fingerprint uint64, fate uint32, at int64) {
		e := newTestEnv(t, 0)
		line := &burdockwire.KeyLine{KeyHigh: high, KeyLow: low, RequestId: "first", Fingerprint: fingerprint, Fate: fate, AtMillis: at}
		offer := &burdockwire.TakeKeysRequest{FromIncarnation: from, Slot: slot, SinceMillis: since, Lines: []*burdockwire.KeyLine{line}}
		res, err := e.agent.TakeKeys(context.Background(), connect.NewRequest(offer))
		if err != nil {
			t.Fatalf("TakeKeys: %v", err)
		}
		valid := slot >= 0 && slot < burdockledger.SlotCount
		if got := res.Msg.GetTaken(); got && !valid {
			t.Errorf("slot %d: got it taken, want it refused", slot)
		}
		if !valid || from == "" {
			return
		}
		e.agent.mu.Lock()
		defer e.agent.mu.Unlock()
		ledger := e.agent.keys.ledger
		ledger.ImportSlot(burdockledger.Slot(slot), burdockclock.Millis(since), recordsOf(offer))
		wall := e.clock.Clock().Now()
		keyed := burdockledger.KeyedRequest{Key: burdockledger.Key{high, low}, Request: "repeat", Fingerprint: burdockledger.Fingerprint(fingerprint)}
		if d, ok := ledger.Decide(wall, keyed).(burdockledger.Attach); !ok || d.Request != burdockid.Request("first") {
			t.Errorf("repeat: got %#v, want Attach to the first request", d)
		}
		ledger.ExportSlot(burdockledger.Slot(slot))
		ledger.Evict(wall)
	})
}
