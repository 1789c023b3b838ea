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

// rig is an agent beside a stand-in engine, in one process.
type rig struct {
	agent  *Agent
	engine *burdockfakeengine.Server
	client burdockwire.AgentServiceClient
	clock  *burdockclock.Manual
}

// uptime is how long the agent has been up when a test begins.
const uptime = burdockclock.Minute

func newRig(t *testing.T, step time.Duration) *rig {
	t.Helper()
	r := &rig{
		engine: burdockfakeengine.New(burdockfakeengine.Config{Step: step}),
		clock:  burdockclock.NewManual(burdockclock.Hour),
	}
	engineServer := httptest.NewServer(r.engine)
	t.Cleanup(engineServer.Close)
	r.agent = New(Config{Upstream: "u-1", Service: "llm-pool", Slots: 4}, Deps{
		Clock:          r.clock.Clock(),
		Engine:         burdockengine.NewHTTP(strings.TrimPrefix(engineServer.URL, "http://")),
		Fleet:          burdockfleet.Follow(burdockconfig.NewView()),
		Verified:       func() bool { return true },
		OnConfigDigest: func(burdockconfig.Digest) {},
		Log:            zap.NewNop(),
		Metrics:        metrics.NewSet(),
		Random:         rand.New(rand.NewPCG(1, 2)),
	})
	r.clock.Advance(uptime)
	r.agent.Start()
	t.Cleanup(r.agent.Close)
	mux := http.NewServeMux()
	mux.Handle(burdockwire.NewAgentServiceHandler(r.agent))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	r.client = burdockwire.NewAgentServiceClient(server.Client(), server.URL)
	return r
}

func chat(id string) *burdockwire.RunRequest {
	return &burdockwire.RunRequest{
		RequestId: id, Upstream: "u-1", Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: []byte(`{"model":"m","max_tokens":3,"stream":true,"messages":["x"]}`), EventStream: true, CostTokens: 4,
		Headers: []*burdockwire.Header{{Name: "Content-Type", Value: "application/json"}},
	}
}

// last returns the last event of a stream.
func last(t *testing.T, stream *connect.ServerStreamForClient[burdockwire.RunEvent], err error) *burdockwire.RunEvent {
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

func (r *rig) run(t *testing.T, req *burdockwire.RunRequest) *burdockwire.RunEvent {
	t.Helper()
	stream, err := r.client.Run(context.Background(), connect.NewRequest(req))
	return last(t, stream, err)
}

func (r *rig) attach(t *testing.T, id string, age burdockclock.Millis) *burdockwire.RunEvent {
	t.Helper()
	req := &burdockwire.AttachRequest{RequestId: id, Upstream: "u-1", AgeMillis: int64(age)}
	stream, err := r.client.Attach(context.Background(), connect.NewRequest(req))
	return last(t, stream, err)
}

func (r *rig) runsOf(id string) int { return r.engine.Runs().Started[burdockid.Request(id)] }

// An entry is told "not run", and it stays true. The message that offers the
// request is held up on a connection that went silent; the entry asks on
// another one and offers the request elsewhere; then the message comes after
// all. Were it run, the request would run twice.
func TestLateOfferAfterNotRunIsRefused(t *testing.T) {
	r := newRig(t, 0)
	if got := r.attach(t, "late", burdockclock.Second).GetRefused(); got == nil {
		t.Fatalf("attach to an unknown request: got no refusal")
	}
	if got, want := r.run(t, chat("late")).GetRefused().GetReason(), burdockwire.RefusedReason_REFUSED_REASON_WITHDRAWN; got != want {
		t.Errorf("the late offer: got %v, want %v", got, want)
	}
	if got, want := r.runsOf("late"), 0; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// An entry asks for a request that it offered before this agent's process was
// started: the one before may have run it, so "not run" would be a guess.
func TestAttachFromBeforeTheStartIsUnknown(t *testing.T) {
	r := newRig(t, 0)
	if got := r.attach(t, "old", uptime).GetCut().GetReason(); got != burdockwire.CutReason_CUT_REASON_UNKNOWN_REQUEST {
		t.Errorf("got %v, want an unknown request", got)
	}
}

// A cancellation overtakes the offer it belongs to. The caller is gone, so the
// offer must not run when it comes.
func TestCancelBeforeOffer(t *testing.T) {
	r := newRig(t, 0)
	if _, err := r.client.Cancel(context.Background(), connect.NewRequest(&burdockwire.CancelRequest{RequestId: "gone"})); err != nil {
		t.Fatalf("Cancel: %v", err)
	}
	if got := r.run(t, chat("gone")).GetRefused(); got == nil {
		t.Errorf("the offer after its cancellation was not refused")
	}
	if got, want := r.runsOf("gone"), 0; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// The same offer comes twice. It runs once, and the second is turned away: not
// as "not run", which would be false, but as one that may have run.
func TestDoubledOffer(t *testing.T) {
	r := newRig(t, 0)
	if got := r.run(t, chat("twice")).GetEnd(); got == nil {
		t.Fatalf("the first offer was not answered")
	}
	if got, want := r.run(t, chat("twice")).GetCut().GetReason(), burdockwire.CutReason_CUT_REASON_UNKNOWN_REQUEST; got != want {
		t.Errorf("the second offer: got %v, want %v", got, want)
	}
	if got, want := r.runsOf("twice"), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// The last bytes of an answer are lost with their connection. The entry asks
// again from any offset and gets the rest, byte by byte.
func TestAttachAtEachOffset(t *testing.T) {
	r := newRig(t, 0)
	total := r.run(t, chat("resume")).GetEnd().GetTotalBytes()
	time.Sleep(3 * tickInterval) // the agent has had time to forget it
	whole := r.bytesFrom(t, "resume", 0)
	if got, want := int64(len(whole)), total; got != want {
		t.Fatalf("bytes: got %d, want %d", got, want)
	}
	for offset := int64(0); offset <= total; offset++ {
		if got, want := r.bytesFrom(t, "resume", offset), whole[offset:]; got != want {
			t.Fatalf("from %d: got %q, want %q", offset, got, want)
		}
	}
}

func (r *rig) bytesFrom(t *testing.T, id string, offset int64) string {
	t.Helper()
	stream, err := r.client.Attach(context.Background(), connect.NewRequest(&burdockwire.AttachRequest{RequestId: id, Upstream: "u-1", Offset: offset}))
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

// A caller goes away and its entry says so. The engine's slot is free at once,
// without waiting out the grace that an orphan gets.
func TestCancelFreesItsSlot(t *testing.T) {
	r := newRig(t, time.Hour)
	stream, err := r.client.Run(context.Background(), connect.NewRequest(chat("cancelled")))
	if err != nil {
		t.Fatalf("Run: %v", err)
	}
	defer func() { _ = stream.Close() }()
	waitFor(t, "the request runs", func() bool { return r.engine.Runs().Running == 1 })
	if _, err := r.client.Cancel(context.Background(), connect.NewRequest(&burdockwire.CancelRequest{RequestId: "cancelled"})); err != nil {
		t.Fatalf("Cancel: %v", err)
	}
	waitFor(t, "the engine is idle", func() bool { return r.engine.Runs().Running == 0 })
}

// Nobody comes back for an answer: its entry died. The engine's slot is free
// after the grace, and not before, since an entry that lost only its
// connection comes back within it.
func TestOrphanFreesItsSlot(t *testing.T) {
	r := newRig(t, time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := r.client.Run(ctx, connect.NewRequest(chat("orphan")))
	if err != nil {
		t.Fatalf("Run: %v", err)
	}
	waitFor(t, "the request runs", func() bool { return r.engine.Runs().Running == 1 })
	cancel()
	_ = stream.Close()
	waitFor(t, "the agent sees that nobody reads", func() bool { return r.agent.State().Requests[0].Readers == 0 })
	r.clock.Advance(orphanGrace)
	time.Sleep(3 * tickInterval)
	if got, want := r.engine.Runs().Running, 1; got != want {
		t.Errorf("running within the grace: got %d, want %d", got, want)
	}
	r.clock.Advance(1)
	waitFor(t, "the engine is idle", func() bool { return r.engine.Runs().Running == 0 })
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("did not come about: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// An agent that is cut off is told to stop. It can't hand its keys over, since
// it can't know who their homes are by now; the stop must not wait for that.
func TestStopOfAnAgentThatIsCutOff(t *testing.T) {
	r := newRig(t, 0)
	r.agent.deps.Verified = func() bool { return false }
	r.agent.mu.Lock()
	r.agent.keys.ledger.AcquireSlot(0, 0)
	r.agent.mu.Unlock()
	homes := NewKeySlotManager(r.agent, nil, burdockconfig.NewView(), nil)
	homes.Start()
	defer homes.Close()
	if homes.Released() {
		t.Fatal("released before the stop began")
	}
	r.agent.Drain()
	waitFor(t, "the agent may stop", homes.Released)
}

// A caller whose deadline is very far off gets its answer. Counted in
// nanoseconds the span is beyond what a number holds, and would have passed.
func TestDeadlineBeyondAllNumbers(t *testing.T) {
	for _, timeout := range []int64{1e13, math.MaxInt64} {
		r := newRig(t, time.Millisecond)
		req := chat("patient")
		req.TimeoutMillis = timeout
		if got := r.run(t, req); got.GetEnd() == nil {
			t.Errorf("timeout %d: got %v, want an end", timeout, got)
		}
	}
}
