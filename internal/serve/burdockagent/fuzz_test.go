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

// fuzzWait bounds one call; an agent that gives no final event is at fault.
const fuzzWait = 5 * time.Second

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

// fuzzRig is an agent that is the home of every key, beside an engine that
// answers at once.
func fuzzRig(tb testing.TB) (*Agent, *countingEngine, burdockwire.AgentServiceClient) {
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

// final returns the last event of a stream, or fails when there is none.
func final(t *testing.T, stream *connect.ServerStreamForClient[burdockwire.RunEvent], err error) *burdockwire.RunEvent {
	t.Helper()
	event := last(t, stream, err)
	if event.GetEnd() == nil && event.GetRefused() == nil && event.GetCut() == nil {
		t.Fatalf("last event: got %v, want an end, a refusal or a cut", event)
	}
	return event
}

// FuzzRun offers hostile requests. Each gets a final event, runs at most once,
// and not at all when it is refused.
func FuzzRun(f *testing.F) {
	f.Fuzz(func(t *testing.T, id, upstream, key, method, path string, cost, prompt, timeout int64, maxLoad float64) {
		ctx, cancel := context.WithTimeout(context.Background(), fuzzWait)
		defer cancel()
		_, engine, client := fuzzRig(t)
		req := &burdockwire.RunRequest{
			RequestId: id, Upstream: upstream, IdempotencyKey: key, Method: method, Path: path,
			CostTokens: cost, PromptTokens: prompt, TimeoutMillis: timeout, MaxLoad: maxLoad,
		}
		if _, err := proto.Marshal(req); err != nil {
			t.Skip("no message can hold that")
		}
		for range 2 {
			before := engine.runs.Load()
			stream, err := client.Run(ctx, connect.NewRequest(req))
			event := final(t, stream, err)
			if ran := engine.runs.Load() > before; ran && event.GetRefused() != nil {
				t.Errorf("refused, and it ran")
			}
		}
		if got := engine.runs.Load(); got > 1 {
			t.Errorf("runs: got %d, want 1 at most", got)
		}
		// Whoever comes next with an ordinary request is served.
		stream, err := client.Run(ctx, connect.NewRequest(chat("next "+id)))
		if event := final(t, stream, err); event.GetRefused() != nil {
			t.Errorf("the next request: got %v, want it run", event)
		}
	})
}

// FuzzAttach asks for answers at hostile offsets and ages. An answer's bytes
// are those from the offset on, or none, and "not run" is not said of a
// request whose age is nonsense.
func FuzzAttach(f *testing.F) {
	f.Fuzz(func(t *testing.T, id string, offset, age int64) {
		ctx, cancel := context.WithTimeout(context.Background(), fuzzWait)
		defer cancel()
		_, _, client := fuzzRig(t)
		req := &burdockwire.AttachRequest{RequestId: id, Upstream: "u-1", Offset: offset, AgeMillis: age}
		if _, err := proto.Marshal(req); err != nil {
			t.Skip("no message can hold that")
		}
		known := &burdockwire.RunRequest{RequestId: "known", Upstream: "u-1", Method: "GET", Path: "/"}
		stream, err := client.Run(ctx, connect.NewRequest(known))
		total := final(t, stream, err).GetEnd().GetTotalBytes()
		stream, err = client.Attach(ctx, connect.NewRequest(req))
		event := final(t, stream, err)
		if got, want := event.GetEnd() != nil, id == "known" && offset >= 0 && offset <= total; got != want {
			t.Errorf("answered: got %v, want %v", got, want)
		}
		if event.GetRefused() != nil && (age < 0 || burdockclock.Millis(age) >= uptime) {
			t.Errorf("age %d: got not run, want an unknown outcome", age)
		}
	})
}

// FuzzTakeKeys hands hostile memories over and makes the agent their home.
// A key that is in the memory does not run.
func FuzzTakeKeys(f *testing.F) {
	f.Fuzz(func(t *testing.T, from string, slot int32, since int64, high, low, print uint64, fate uint32, at int64) {
		r := newRig(t, 0)
		line := &burdockwire.KeyLine{KeyHigh: high, KeyLow: low, RequestId: "first", Fingerprint: print, Fate: fate, AtMillis: at}
		offer := &burdockwire.TakeKeysRequest{FromIncarnation: from, Slot: slot, SinceMillis: since, Lines: []*burdockwire.KeyLine{line}}
		res, err := r.agent.TakeKeys(context.Background(), connect.NewRequest(offer))
		if err != nil {
			t.Fatalf("TakeKeys: %v", err)
		}
		valid := slot >= 0 && slot < burdockledger.SlotCount
		if got := res.Msg.GetTaken(); got && !valid {
			t.Errorf("slot %d: got taken, want it refused", slot)
		}
		if !valid || from == "" {
			return
		}
		r.agent.mu.Lock()
		defer r.agent.mu.Unlock()
		ledger := r.agent.keys.ledger
		ledger.ImportSlot(burdockledger.Slot(slot), burdockclock.Millis(since), recordsOf(offer))
		wall := r.clock.Clock().Now()
		ask := burdockledger.KeyedRequest{Key: burdockledger.Key{high, low}, Request: "repeat", Fingerprint: burdockledger.Fingerprint(print)}
		if d, ok := ledger.Decide(wall, ask).(burdockledger.Attach); !ok || d.Request != burdockid.Request("first") {
			t.Errorf("repeat: got %#v, want the first request", d)
		}
		ledger.ExportSlot(burdockledger.Slot(slot))
		ledger.Evict(wall)
	})
}
