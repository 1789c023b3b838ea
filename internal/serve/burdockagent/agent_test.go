package burdockagent

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// testEnv is an agent with a fake engine, in one process.
type testEnv struct {
	agent  *Agent
	engine *burdockfakeengine.Server
	client burdockwire.AgentServiceClient
	clock  *burdockclock.Manual
}

// uptime is how long the agent has been up when a test begins.
const uptime = burdockclock.Minute

func newTestEnv(t *testing.T, step time.Duration) *testEnv {
	t.Helper()
	e := &testEnv{
		engine: burdockfakeengine.New(burdockfakeengine.Config{Step: step}),
		clock:  burdockclock.NewManual(burdockclock.Hour),
	}
	engineServer := httptest.NewServer(e.engine)
	t.Cleanup(engineServer.Close)
	e.agent = New(Config{Upstream: "u-1", Service: "llm-pool", Slots: 4}, Deps{
		Clock:          e.clock.Clock(),
		Engine:         burdockengine.NewHTTP(strings.TrimPrefix(engineServer.URL, "http://")),
		Fleet:          burdockfleet.Follow(burdockconfig.NewView()),
		Verified:       func() bool { return true },
		OnConfigDigest: func(burdockconfig.Digest) {},
		Log:            zap.NewNop(),
		Metrics:        metrics.NewSet(),
		Random:         rand.New(rand.NewPCG(1, 2)),
	})
	e.clock.Advance(uptime)
	e.agent.Start()
	t.Cleanup(e.agent.Close)
	mux := http.NewServeMux()
	mux.Handle(burdockwire.NewAgentServiceHandler(e.agent))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	e.client = burdockwire.NewAgentServiceClient(server.Client(), server.URL)
	return e
}

func chatRequest(id string) *burdockwire.RunRequest {
	return &burdockwire.RunRequest{
		RequestId: id, Upstream: "u-1", Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: []byte(`{"model":"m","max_tokens":3,"stream":true,"messages":["x"]}`), EventStream: true, CostTokens: 4,
		Headers: []*burdockwire.Header{{Name: "Content-Type", Value: "application/json"}},
	}
}

// lastEvent returns the last event of a stream.
func lastEvent(t *testing.T, stream *connect.ServerStreamForClient[burdockwire.RunEvent], err error) *burdockwire.RunEvent {
	t.Helper()
	if err != nil {
		t.Fatalf("open stream: %v", err)
	}
	defer func() { _ = stream.Close() }()
	var event *burdockwire.RunEvent
	for stream.Receive() {
		event = stream.Msg()
	}
	if event == nil {
		t.Fatalf("stream ended without an event: %v", stream.Err())
	}
	return event
}

func (e *testEnv) run(t *testing.T, req *burdockwire.RunRequest) *burdockwire.RunEvent {
	t.Helper()
	stream, err := e.client.Run(context.Background(), connect.NewRequest(req))
	return lastEvent(t, stream, err)
}

func (e *testEnv) attach(t *testing.T, id string, age burdockclock.Millis) *burdockwire.RunEvent {
	t.Helper()
	req := &burdockwire.AttachRequest{RequestId: id, Upstream: "u-1", AgeMillis: int64(age)}
	stream, err := e.client.Attach(context.Background(), connect.NewRequest(req))
	return lastEvent(t, stream, err)
}

func (e *testEnv) runCount(id string) int { return e.engine.Runs().Started[burdockid.Request(id)] }

// Checks that a reply "not run" stays true. An offer is delayed on a dead connection, the
// entry attaches on another one, gets "not run" and offers the request to another
// upstream. If the delayed offer then ran, the request would run twice.
func TestLateOfferAfterNotRunIsRefused(t *testing.T) {
	e := newTestEnv(t, 0)
	if got := e.attach(t, "late", burdockclock.Second).GetRefused(); got == nil {
		t.Fatalf("attach to an unknown request was not refused")
	}
	if got, want := e.run(t, chatRequest("late")).GetRefused().GetReason(), burdockwire.RefusedReason_REFUSED_REASON_WITHDRAWN; got != want {
		t.Errorf("delayed offer: got %v, want %v", got, want)
	}
	if got, want := e.runCount("late"), 0; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Checks that "not run" is not claimed for an offer from before the start of the agent's
// process: the previous process may have run the request.
func TestAttachFromBeforeTheStartIsUnknown(t *testing.T) {
	e := newTestEnv(t, 0)
	if got := e.attach(t, "old", uptime).GetCut().GetReason(); got != burdockwire.CutReason_CUT_REASON_UNKNOWN_REQUEST {
		t.Errorf("attach: got %v, want an unknown request", got)
	}
}

// A cancellation may overtake the offer of its request. The caller is gone, so the offer
// must not run when it arrives.
func TestCancelBeforeOffer(t *testing.T) {
	e := newTestEnv(t, 0)
	if _, err := e.client.Cancel(context.Background(), connect.NewRequest(&burdockwire.CancelRequest{RequestId: "gone"})); err != nil {
		t.Fatalf("Cancel: %v", err)
	}
	if got := e.run(t, chatRequest("gone")).GetRefused(); got == nil {
		t.Errorf("an offer after its cancellation was not refused")
	}
	if got, want := e.runCount("gone"), 0; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Checks that an offer that arrives twice runs once. The second is not answered with
// "not run", which would be false, but with an unknown outcome.
func TestDuplicateOffer(t *testing.T) {
	e := newTestEnv(t, 0)
	if got := e.run(t, chatRequest("twice")).GetEnd(); got == nil {
		t.Fatalf("first offer: got no complete answer")
	}
	if got, want := e.run(t, chatRequest("twice")).GetCut().GetReason(), burdockwire.CutReason_CUT_REASON_UNKNOWN_REQUEST; got != want {
		t.Errorf("second offer: got %v, want %v", got, want)
	}
	if got, want := e.runCount("twice"), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// The last bytes of an answer may be lost with their connection. Checks that an entry can
// attach at any offset and gets exactly the rest.
func TestAttachAtEachOffset(t *testing.T) {
	e := newTestEnv(t, 0)
	total := e.run(t, chatRequest("resume")).GetEnd().GetTotalBytes()
	time.Sleep(3 * tickInterval) // several ticks, in which the agent could delete the job
	whole := e.bytesFrom(t, "resume", 0)
	if got, want := int64(len(whole)), total; got != want {
		t.Fatalf("bytes: got %d, want %d", got, want)
	}
	for offset := int64(0); offset <= total; offset++ {
		if got, want := e.bytesFrom(t, "resume", offset), whole[offset:]; got != want {
			t.Fatalf("from %d: got %q, want %q", offset, got, want)
		}
	}
}

func (e *testEnv) bytesFrom(t *testing.T, id string, offset int64) string {
	t.Helper()
	stream, err := e.client.Attach(context.Background(), connect.NewRequest(&burdockwire.AttachRequest{RequestId: id, Upstream: "u-1", Offset: offset}))
	if err != nil {
		t.Fatalf("Attach: %v", err)
	}
	defer func() { _ = stream.Close() }()
	var b strings.Builder
	for stream.Receive() {
		if c := stream.Msg().GetChunk(); c != nil {
			if got, want := c.GetOffset(), offset+int64(b.Len()); got != want {
				t.Fatalf("offset: got %d, want %d", got, want)
			}
			b.Write(c.GetData())
		}
	}
	return b.String()
}

// Checks that a cancellation by the entry frees the engine slot at once, without waiting
// for orphanGrace.
func TestCancelFreesItsSlot(t *testing.T) {
	e := newTestEnv(t, time.Hour)
	stream, err := e.client.Run(context.Background(), connect.NewRequest(chatRequest("cancelled")))
	if err != nil {
		t.Fatalf("Run: %v", err)
	}
	defer func() { _ = stream.Close() }()
	waitFor(t, "the request runs", func() bool { return e.engine.Runs().Running == 1 })
	if _, err := e.client.Cancel(context.Background(), connect.NewRequest(&burdockwire.CancelRequest{RequestId: "cancelled"})); err != nil {
		t.Fatalf("Cancel: %v", err)
	}
	waitFor(t, "the engine is idle", func() bool { return e.engine.Runs().Running == 0 })
}

// Checks that a request whose entry died frees its engine slot after orphanGrace, and not
// before, because an entry that only lost its connection attaches again within it.
func TestOrphanFreesItsSlot(t *testing.T) {
	e := newTestEnv(t, time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := e.client.Run(ctx, connect.NewRequest(chatRequest("orphan")))
	if err != nil {
		t.Fatalf("Run: %v", err)
	}
	waitFor(t, "the request runs", func() bool { return e.engine.Runs().Running == 1 })
	cancel()
	_ = stream.Close()
	waitFor(t, "the agent has noticed that nobody reads", func() bool { return e.agent.State().Requests[0].Readers == 0 })
	e.clock.Advance(orphanGrace)
	time.Sleep(3 * tickInterval)
	if got, want := e.engine.Runs().Running, 1; got != want {
		t.Errorf("running within orphanGrace: got %d, want %d", got, want)
	}
	e.clock.Advance(1)
	waitFor(t, "the engine is idle", func() bool { return e.engine.Runs().Running == 0 })
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for the condition: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// An agent that is cut off can't hand its slots over, because it doesn't know their
// current owners. Checks that a stop does not wait for that.
func TestStopWhileCutOff(t *testing.T) {
	e := newTestEnv(t, 0)
	e.agent.deps.Verified = func() bool { return false }
	e.agent.mu.Lock()
	e.agent.keys.ledger.AcquireSlot(0, 0)
	e.agent.mu.Unlock()
	manager := NewKeySlotManager(e.agent, nil, burdockconfig.NewView(), nil)
	manager.Start()
	defer manager.Close()
	if manager.Released() {
		t.Fatal("Released returned true before the stop began")
	}
	e.agent.Drain()
	waitFor(t, "the agent may stop", manager.Released)
}

// Checks that a request with a very long timeout is answered. In nanoseconds the timeout
// overflows time.Duration, and without a limit it would count as expired.
func TestTimeoutBeyondDurationRange(t *testing.T) {
	for _, timeout := range []int64{1e13, math.MaxInt64} {
		e := newTestEnv(t, time.Millisecond)
		req := chatRequest("patient")
		req.TimeoutMillis = timeout
		if got := e.run(t, req); got.GetEnd() == nil {
			t.Errorf("timeout %d: got %v, want an end", timeout, got)
		}
	}
}
