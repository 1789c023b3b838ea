// Package burdockpromise brings about the failures that the promises are made
// for, on the built programs as separate processes. docs/PROOFS.md lists them.
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

// sending is a call under way.
type sending struct {
	fleet  *burdockprograms.Fleet
	entry  *burdockprograms.Entry
	call   burdockprograms.Call
	answer chan burdockprograms.Answer
}

func (s *sending) run(ctx context.Context) { s.answer <- s.fleet.Send(ctx, s.entry, s.call) }

// send sends a call and returns when its upstream has begun to run it.
func send(ctx context.Context, t *testing.T, f *burdockprograms.Fleet, call burdockprograms.Call) *sending {
	t.Helper()
	before := started(f)
	s := &sending{fleet: f, entry: f.Entries[0], call: call, answer: make(chan burdockprograms.Answer, 1)}
	go s.run(ctx)
	burdockprograms.Eventually(t, "the request runs", func() bool { return started(f) > before })
	return s
}

// started returns how many runs all upstreams have begun.
func started(f *burdockprograms.Fleet) int {
	total := 0
	for _, a := range f.Agents {
		for _, n := range a.Upstream.Runs().Started {
			total += n
		}
	}
	return total
}

// running returns the agent whose upstream runs something.
func running(t *testing.T, f *burdockprograms.Fleet) *burdockprograms.Agent {
	t.Helper()
	for _, a := range f.Agents {
		if a.Upstream.InFlight() > 0 {
			return a
		}
	}
	t.Fatal("no upstream runs anything")
	return nil
}

// runsOf returns how often an id ran on all upstreams.
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
	// longAnswer takes about three seconds at the slow step.
	longAnswer = 150
)

// The caller reads a long stream and gets every byte of it, once.
// Half way the connection between entry and agent goes silent for good, and
// is not closed; new connections work. Without a deadline on silence the
// caller would wait for ever; without an offset it would lose or repeat bytes.
func TestSilentConnectionMidStream(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 2, Entries: 1, Slots: 4, Step: slowStep, Links: true})
	const prompt = "silent mid stream"
	s := send(context.Background(), t, f, burdockprograms.Chat(prompt, longAnswer, true))
	running(t, f).Link.Set(t, burdockstandin.LinkSilent)
	got := <-s.answer
	if !got.WholeStream(prompt, longAnswer) {
		t.Errorf("got status %d err %v stream %+v, want the whole answer", got.Status, got.Err, burdockprograms.ReadStream(got.Body))
	}
	if got, want := runsOf(f, got), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// The same with the connections closed instead of silent.
func TestConnectionCutMidStream(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 2, Entries: 1, Slots: 4, Step: slowStep, Links: true})
	const prompt = "cut mid stream"
	s := send(context.Background(), t, f, burdockprograms.Chat(prompt, longAnswer, true))
	running(t, f).Link.Set(t, burdockstandin.LinkCut)
	got := <-s.answer
	if !got.WholeStream(prompt, longAnswer) {
		t.Errorf("got status %d err %v stream %+v, want the whole answer", got.Status, got.Err, burdockprograms.ReadStream(got.Body))
	}
	if got, want := runsOf(f, got), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Callers are answered although every kept-alive connection to every agent has
// gone silent since the last request. The first request finds one silent, and
// the agent, asked on a new connection, says that it never had the request, so
// it may be offered again. None runs twice.
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

// The caller of a stream is told that it was cut, and the caller of a whole
// answer that the outcome is unknown; neither is told "not run", and neither
// request runs again. The agent is killed while its engine runs both, so
// nobody is left who knows how far they came.
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

// The caller gets the whole answer although the agent is frozen for three
// seconds in the middle of it. The entry finds the silence and asks again
// until the agent wakes.
func TestAgentFrozenAndWoken(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 2, Entries: 1, Slots: 4, Step: slowStep})
	const prompt = "frozen"
	s := send(context.Background(), t, f, burdockprograms.Chat(prompt, longAnswer, true))
	a := running(t, f)
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

// The same for seven seconds, in which more than one connection on which the
// entry asks goes silent as well.
func TestAgentFrozenForLong(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 2, Entries: 1, Slots: 4, Step: slowStep})
	const prompt = "frozen for long"
	s := send(context.Background(), t, f, burdockprograms.Chat(prompt, longAnswer, true))
	a := running(t, f)
	a.Freeze()
	time.Sleep(7 * time.Second)
	a.Thaw()
	got := <-s.answer
	if !got.WholeStream(prompt, longAnswer) {
		t.Errorf("got status %d err %v stream %+v, want the whole answer", got.Status, got.Err, burdockprograms.ReadStream(got.Body))
	}
}

// The caller of a stream is told that it was cut. The engine dies under it,
// and its end of the connection is closed as if the answer were over.
func TestEngineKilledMidStream(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 1, Entries: 1, Slots: 4, Step: slowStep})
	s := send(context.Background(), t, f, burdockprograms.Chat("engine dies", longAnswer, true))
	f.Agents[0].Upstream.Kill()
	got := <-s.answer
	if events := burdockprograms.ReadStream(got.Body); got.Status == http.StatusOK && (got.Err == nil || events.Problem != "answerCut" || events.Done) {
		t.Errorf("got err %v, events %+v; want a cut connection after an answerCut event", got.Err, events)
	}
}

// The caller of a stream is told that it was cut. The engine gives up in the
// middle and ends its answer in good order, but for the end mark; to HTTP the
// answer looks whole.
func TestEngineEndsEarly(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 1, Entries: 1, Slots: 4, Step: time.Millisecond})
	got := f.Send(context.Background(), f.Entries[0], burdockprograms.Chat("half "+burdockfakeengine.EndsEarly, 20, true))
	if events := burdockprograms.ReadStream(got.Body); got.Err == nil || events.Problem != "answerCut" || events.Done {
		t.Errorf("got err %v, events %+v; want a cut connection after an answerCut event", got.Err, events)
	}
}

// The caller is told that the outcome is unknown, and nothing runs twice. The
// agent is killed while its engine runs the request, and a new process stands
// in its place before the entry asks again. The new one never had the request,
// but that doesn't make it "not run".
func TestAgentReplacedWhileRunning(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 2, Entries: 1, Slots: 4, Step: slowStep, Links: true})
	s := send(context.Background(), t, f, burdockprograms.Chat("replaced", longAnswer, false))
	a := running(t, f)
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

// A caller that goes away frees its slot of the engine, whether it is read
// from or still waits for the first byte. Otherwise the engine would spend its
// steps on answers that nobody reads.
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
