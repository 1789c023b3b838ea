package burdockpromise

import (
	"context"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

const stopTimeout = 60 * time.Second

// No request fails while all agents and entries are restarted in turn, with idle
// connections and streams open. Closing idle connections at once would break requests
// already sent on them; not waiting for streams would cut them.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 3, Entries: 2, Slots: 16, Step: 5 * time.Millisecond})
	const tokens = 60
	load := f.StartLoad(12, burdockprograms.StreamedChats(tokens))
	for _, a := range f.Agents {
		a.Terminate()
		if got, want := a.Wait(t, stopTimeout), 0; got != want {
			t.Errorf("%s: exit status got %d, want %d", a.Name, got, want)
		}
		f.StartAgent(t, a)
		f.WaitReady(t)
	}
	for _, e := range f.Entries {
		e.Terminate()
		if got, want := e.Wait(t, stopTimeout), 0; got != want {
			t.Errorf("%s: exit status got %d, want %d", e.Name, got, want)
		}
		f.StartEntry(t, e)
		f.WaitReady(t)
	}
	sent := load.Stop()
	if len(sent) == 0 {
		t.Fatal("the load sent no request")
	}
	failed := 0
	for _, s := range sent {
		if !s.Answer.WholeStream(s.Prompt, s.Tokens) {
			failed++
			t.Errorf("%s at %s: status %d err %v body %q", s.Prompt, s.Entry, s.Answer.Status, s.Answer.Err, s.Answer.Body)
		}
	}
	t.Logf("requests %d, failed %d", len(sent), failed)
}

// The agent of one long stream and then the entry of another are stopped while the stream
// begins. The stop must wait for the end of the stream, far longer than the short time in
// which late arrivals are still served.
func TestPlannedStopWaitsForLongStreams(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 2, Entries: 1, Slots: 4, Step: slowStep})
	const tokens = 500 // ten seconds
	for _, target := range []string{"agent", "entry"} {
		prompt := "long stream during the stop of its " + target
		s := send(context.Background(), t, f, burdockprograms.Chat(prompt, tokens, true))
		process := f.Entries[0].Process
		if target == "agent" {
			process = runningAgent(t, f).Process
		}
		process.Terminate()
		if got := <-s.answer; !got.WholeStream(prompt, tokens) {
			t.Errorf("%s: got status %d err %v, %d bytes; want the whole answer", target, got.Status, got.Err, len(got.Body))
		}
		if got, want := process.Wait(t, stopTimeout), 0; got != want {
			t.Errorf("%s: exit status got %d, want %d", target, got, want)
		}
	}
}

// A stopping agent gets no new requests 3 s after the stop, although the membership list
// reports it as live for another 30 s. The other agents serve its callers.
func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 3, Entries: 2, Slots: 16, Step: 5 * time.Millisecond, Lag: 30 * time.Second})
	load := f.StartLoad(8, burdockprograms.StreamedChats(20))
	leaving := f.Agents[0]
	burdockprograms.Eventually(t, "the agent runs requests", func() bool { return len(leaving.Upstream.Runs().Started) > 10 })
	leaving.Terminate()
	time.Sleep(3 * time.Second)
	after := len(leaving.Upstream.Runs().Started)
	time.Sleep(2 * time.Second)
	if got, want := len(leaving.Upstream.Runs().Started), after; got != want {
		t.Errorf("runs started later than 3 s after the stop: got %d, want 0", got-want)
	}
	for _, s := range load.Stop() {
		if !s.Answer.WholeStream(s.Prompt, s.Tokens) {
			t.Errorf("%s at %s: status %d err %v body %q", s.Prompt, s.Entry, s.Answer.Status, s.Answer.Err, s.Answer.Body)
		}
	}
}

// The engines are saturated several times over, so most requests are refused, at once or
// after a wait in the queue. The engines must have counted no run of a request that was
// reported as "not run", and exactly one run of each other.
func TestNotRunIsTrue(t *testing.T) {
	f := burdockprograms.Start(t, burdockprograms.Config{
		Models: 2, Entries: 2, Slots: 2, Step: 5 * time.Millisecond, ProfileExtra: "",
	})
	f.ApplyProfile(t, f.ProfileTOML(4))
	f.WaitReady(t)
	load := f.StartLoad(40, burdockprograms.StreamedChats(20))
	time.Sleep(4 * time.Second)
	sent := load.Stop()
	runs := map[burdockid.Request]int{}
	for _, a := range f.Agents {
		for id, n := range a.Upstream.Runs().Started {
			runs[id] += n
		}
	}
	refused, answered := 0, 0
	for _, s := range sent {
		id := burdockid.Request(s.Answer.Header.Get("Burdock-Request-Id"))
		switch {
		case s.Answer.WholeStream(s.Prompt, s.Tokens):
			answered++
			if got, want := runs[id], 1; got != want {
				t.Errorf("answered %s: runs got %d, want %d", id, got, want)
			}
		case s.Answer.NotRun():
			refused++
			if got, want := runs[id], 0; got != want {
				t.Errorf("refused %s: runs got %d, want %d", id, got, want)
			}
			if got := s.Answer.Header.Get("Retry-After"); got == "" {
				t.Errorf("refused %s: no Retry-After", id)
			}
		default:
			t.Errorf("%s: status %d err %v body %q", s.Prompt, s.Answer.Status, s.Answer.Err, s.Answer.Body)
		}
	}
	if refused == 0 || answered == 0 {
		t.Errorf("refused %d, answered %d; want some of each", refused, answered)
	}
	t.Logf("answered %d, refused %d", answered, refused)
}
