// Package burdockpromise tests the delivery guarantees under failures, with the built
// programs as separate processes. docs/PROOFS.md lists the guarantees.
package burdockpromise

import (
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
	"burdockbend.example/burdockbend/internal/standin/burdockstandin"
)

func TestMain(m *testing.M) {
	status := m.Run()
	burdockprograms.CleanUp()
	os.Exit(status)
}

// pendingCall is a call whose answer has not arrived yet.
type pendingCall struct {
	fleet  *burdockprograms.Fleet
	entry  *burdockprograms.Entry
	call   burdockprograms.Call
	answer chan burdockprograms.Answer
}

func (s *pendingCall) run(ctx context.Context) { s.answer <- s.fleet.Send(ctx, s.entry, s.call) }

// send sends a call and returns once an upstream has started to run it.
func send(ctx context.Context, t *testing.T, f *burdockprograms.Fleet, call burdockprograms.Call) *pendingCall {
	t.Helper()
	before := startedRuns(f)
	s := &pendingCall{fleet: f, entry: f.Entries[0], call: call, answer: make(chan burdockprograms.Answer, 1)}
	go s.run(ctx)
	burdockprograms.Eventually(t, "the request is running", func() bool { return startedRuns(f) > before })
	return s
}

// startedRuns returns the number of runs that all upstreams have started.
func startedRuns(f *burdockprograms.Fleet) int {
	total := 0
	for _, a := range f.Agents {
		for _, n := range a.Upstream.Runs().Started {
			total += n
		}
	}
	return total
}

// runningAgent returns the first agent whose upstream is running a request.
func runningAgent(t *testing.T, f *burdockprograms.Fleet) *burdockprograms.Agent {
	t.Helper()
	for _, a := range f.Agents {
		if a.Upstream.InFlight() > 0 {
			return a
		}
	}
	t.Fatal("no upstream is running a request")
	return nil
}

// runsOf returns how many runs of the answer's request all upstreams started.
func runsOf(f *burdockprograms.Fleet, answer burdockprograms.Answer) int {
	id := burdockid.Request(answer.Header.Get("Burdock-Request-Id"))
	total := 0
	for _, a := range f.Agents {
		total += a.Upstream.Runs().Started[id]
	}
	return total
}

const (
	slowStep = 20 * time.Millisecond
	// longAnswer is a number of tokens that takes about 3 s at slowStep.
	longAnswer = 150
)

// The connection between entry and agent stops delivering data in the middle of a stream
// and is not closed; new connections work. The caller must receive every byte once. Without
// an idle timeout it would wait forever; without an offset it would lose or repeat bytes.
func TestSilentConnectionMidStream(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 2, Entries: 1, Slots: 4, Step: slowStep, Links: true})
	const prompt = "silent mid stream"
	s := send(context.Background(), t, f, burdockprograms.Chat(prompt, longAnswer, true))
	runningAgent(t, f).Link.Set(t, burdockstandin.LinkSilent)
	got := <-s.answer
	if !got.WholeStream(prompt, longAnswer) {
		t.Errorf("got status %d err %v stream %+v, want the whole answer", got.Status, got.Err, burdockprograms.ReadStream(got.Body))
	}
	if got, want := runsOf(f, got), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Like TestSilentConnectionMidStream, but the connections are closed.
func TestConnectionCutMidStream(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 2, Entries: 1, Slots: 4, Step: slowStep, Links: true})
	const prompt = "cut mid stream"
	s := send(context.Background(), t, f, burdockprograms.Chat(prompt, longAnswer, true))
	runningAgent(t, f).Link.Set(t, burdockstandin.LinkCut)
	got := <-s.answer
	if !got.WholeStream(prompt, longAnswer) {
		t.Errorf("got status %d err %v stream %+v, want the whole answer", got.Status, got.Err, burdockprograms.ReadStream(got.Body))
	}
	if got, want := runsOf(f, got), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// All idle connections to all agents stop delivering data between two requests. The entry
// asks the agent on a new connection, learns that the request never arrived, and offers it
// again. Every caller is answered and no request runs twice.
func TestSilentIdleConnections(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 2, Entries: 1, Slots: 4, Step: time.Millisecond, Links: true})
	const prompt, tokens = "idle", 5
	for range 8 {
		f.Send(context.Background(), f.Entries[0], burdockprograms.Chat(prompt, tokens, true))
	}
	for _, a := range f.Agents {
		a.Link.Set(t, burdockstandin.LinkSilent)
	}
	for range 4 {
		got := f.Send(context.Background(), f.Entries[0], burdockprograms.Chat(prompt, tokens, true))
		if !got.WholeStream(prompt, tokens) {
			t.Errorf("got status %d err %v body %q, want the whole answer", got.Status, got.Err, got.Body)
		}
		if got, want := runsOf(f, got), 1; got != want {
			t.Errorf("runs: got %d, want %d", got, want)
		}
	}
}

// The agent is killed while its engine runs a streamed and an unstreamed request. The
// stream ends with a cut, the other request with an unknown outcome. Neither may be reported
// as "not run", and neither may run again.
func TestAgentKilledWhileRunning(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 1, Entries: 1, Slots: 4, Step: slowStep})
	stream := send(context.Background(), t, f, burdockprograms.Chat("killed stream", longAnswer, true))
	whole := send(context.Background(), t, f, burdockprograms.Chat("killed whole", longAnswer, false))
	f.Agents[0].Kill()
	gotStream, gotWhole := <-stream.answer, <-whole.answer
	if events := burdockprograms.ReadStream(gotStream.Body); gotStream.Err == nil || events.Problem != "answerCut" || events.Done {
		t.Errorf("stream: got err %v, events %+v; want a cut connection after an answerCut event", gotStream.Err, events)
	}
	if gotWhole.Status != http.StatusBadGateway || gotWhole.NotRun() || gotWhole.Header.Get("X-Should-Retry") != "false" {
		t.Errorf("whole: got %d not run %v %q, want 502, not not-run, and no retry", gotWhole.Status, gotWhole.NotRun(), gotWhole.Body)
	}
	for name, answer := range map[string]burdockprograms.Answer{"stream": gotStream, "whole": gotWhole} {
		if got, want := runsOf(f, answer), 1; got != want {
			t.Errorf("%s: runs: got %d, want %d", name, got, want)
		}
	}
}

// The agent is frozen for 3 s in the middle of an answer. The entry detects the silence
// and retries until the agent resumes, and the caller gets the whole answer.
func TestAgentFrozenAndWoken(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 2, Entries: 1, Slots: 4, Step: slowStep})
	const prompt = "frozen"
	s := send(context.Background(), t, f, burdockprograms.Chat(prompt, longAnswer, true))
	a := runningAgent(t, f)
	a.Freeze()
	time.Sleep(3 * time.Second)
	a.Thaw()
	got := <-s.answer
	if !got.WholeStream(prompt, longAnswer) {
		t.Errorf("got status %d err %v stream %+v, want the whole answer", got.Status, got.Err, burdockprograms.ReadStream(got.Body))
	}
	if got, want := runsOf(f, got), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Like TestAgentFrozenAndWoken, but for 7 s, in which more than one of the entry's retry
// connections times out as well.
func TestAgentFrozenForLong(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 2, Entries: 1, Slots: 4, Step: slowStep})
	const prompt = "frozen for long"
	s := send(context.Background(), t, f, burdockprograms.Chat(prompt, longAnswer, true))
	a := runningAgent(t, f)
	a.Freeze()
	time.Sleep(7 * time.Second)
	a.Thaw()
	got := <-s.answer
	if !got.WholeStream(prompt, longAnswer) {
		t.Errorf("got status %d err %v stream %+v, want the whole answer", got.Status, got.Err, burdockprograms.ReadStream(got.Body))
	}
}

// The engine is killed in the middle of a stream, and its connection is closed as if the
// answer were complete. The caller must be told that the answer was cut.
func TestEngineKilledMidStream(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 1, Entries: 1, Slots: 4, Step: slowStep})
	s := send(context.Background(), t, f, burdockprograms.Chat("engine dies", longAnswer, true))
	f.Agents[0].Upstream.Kill()
	got := <-s.answer
	if events := burdockprograms.ReadStream(got.Body); got.Status == http.StatusOK && (got.Err == nil || events.Problem != "answerCut" || events.Done) {
		t.Errorf("got err %v, events %+v; want a cut connection after an answerCut event", got.Err, events)
	}
}

// The engine stops in the middle of an answer and ends the HTTP response properly, but
// without the end mark of the stream. The caller must be told that the answer was cut.
func TestEngineEndsEarly(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 1, Entries: 1, Slots: 4, Step: time.Millisecond})
	got := f.Send(context.Background(), f.Entries[0], burdockprograms.Chat("half "+burdockfakeengine.EndsEarly, 20, true))
	if events := burdockprograms.ReadStream(got.Body); got.Err == nil || events.Problem != "answerCut" || events.Done {
		t.Errorf("got err %v, events %+v; want a cut connection after an answerCut event", got.Err, events)
	}
}

// The agent is killed while its engine runs a request, and a new process takes its place
// before the entry asks again. The new process never received the request, but that doesn't
// prove "not run": the outcome is unknown, and nothing may run twice.
func TestAgentReplacedWhileRunning(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 2, Entries: 1, Slots: 4, Step: slowStep, Links: true})
	s := send(context.Background(), t, f, burdockprograms.Chat("replaced", longAnswer, false))
	a := runningAgent(t, f)
	a.Kill()
	f.StartAgent(t, a)
	got := <-s.answer
	if got.Status != http.StatusBadGateway || got.NotRun() {
		t.Errorf("got %d not run %v %q, want 502 and not not-run", got.Status, got.NotRun(), got.Body)
	}
	if got, want := runsOf(f, got), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// A caller that disconnects frees its engine slot, both in the middle of a stream and
// before the first byte. Otherwise the engine spends steps on answers that nobody reads.
func TestCallerGoneFreesTheSlot(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 1, Entries: 1, Slots: 4, Step: slowStep})
	ctx, cancel := context.WithCancel(context.Background())
	const endless = 100000
	stream := send(ctx, t, f, burdockprograms.Chat("gone stream", endless, true))
	whole := send(ctx, t, f, burdockprograms.Chat("gone whole", endless, false))
	cancel()
	<-stream.answer
	<-whole.answer
	burdockprograms.Eventually(t, "the engine is idle", func() bool { return f.Agents[0].Upstream.InFlight() == 0 })
	if got, want := f.Agents[0].Upstream.Runs().Abandoned, 2; got != want {
		t.Errorf("abandoned runs: got %d, want %d", got, want)
	}
}
