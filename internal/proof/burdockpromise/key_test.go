package burdockpromise

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

// keyedChat is a letter that must not be written twice.
func keyedChat(key, prompt string, tokens int, stream bool) burdockprograms.Call {
	call := burdockprograms.Chat(prompt, tokens, stream)
	call.Header = map[string]string{"Idempotency-Key": key}
	return call
}

func keyFleet(t *testing.T, step time.Duration) *burdockprograms.Fleet {
	t.Helper()
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 3, Entries: 2, Slots: 8, Step: step})
	waitForHomes(t, f)
	return f
}

// waitForHomes waits until every slot has a home that serves it.
func waitForHomes(t *testing.T, f *burdockprograms.Fleet) {
	t.Helper()
	burdockprograms.Eventually(t, "every key has a home", func() bool {
		for i := range 48 {
			call := keyedChat(fmt.Sprintf("warm %d %d", i, time.Now().UnixNano()), "warm", 1, false)
			if !f.Send(context.Background(), f.Entries[i%len(f.Entries)], call).Whole() {
				return false
			}
		}
		return true
	})
}

// runsTotal returns how many runs all upstreams have begun.
func runsTotal(f *burdockprograms.Fleet) int { return started(f) }

// A caller that asks again with the same key gets the first answer, byte by
// byte, through either entry, while the first run is under way and afterwards.
// There is one run.
func TestKeyRepeatedGetsFirstAnswer(t *testing.T) {
	f := keyFleet(t, slowStep)
	before := runsTotal(f)
	const prompt, tokens = "letter to a composer", 50
	call := keyedChat("letter-1", prompt, tokens, true)
	first := send(context.Background(), t, f, call)
	during := f.Send(context.Background(), f.Entries[1], call)
	got := <-first.answer
	after := f.Send(context.Background(), f.Entries[1], call)
	for name, answer := range map[string]burdockprograms.Answer{"first": got, "during": during, "after": after} {
		if !answer.WholeStream(prompt, tokens) || answer.Body != got.Body {
			t.Errorf("%s: got status %d err %v body %q, want the first answer", name, answer.Status, answer.Err, answer.Body)
		}
	}
	if got, want := runsTotal(f)-before, 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
	other := keyedChat("letter-1", "another letter", tokens, true)
	if got := f.Send(context.Background(), f.Entries[0], other); got.Status != http.StatusUnprocessableEntity || !got.NotRun() {
		t.Errorf("the key with another request: got %d not run %v, want 422 not run", got.Status, got.NotRun())
	}
}

// The entry dies in the middle of the answer. The caller asks again through
// the other entry and gets all of it, from the one run that went on.
func TestKeyRepeatedAfterEntryDied(t *testing.T) {
	f := keyFleet(t, slowStep)
	before := runsTotal(f)
	const prompt, tokens = "letter through a dying entry", 100
	call := keyedChat("letter-2", prompt, tokens, true)
	first := send(context.Background(), t, f, call)
	f.Entries[0].Kill()
	if got := <-first.answer; got.WholeStream(prompt, tokens) {
		t.Fatal("the first answer came whole; the entry was killed too late")
	}
	if got := f.Send(context.Background(), f.Entries[1], call); !got.WholeStream(prompt, tokens) {
		t.Errorf("repeat: got status %d err %v body %q, want the whole answer", got.Status, got.Err, got.Body)
	}
	if got, want := runsTotal(f)-before, 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// The home of the key dies while it runs the request, and is started anew
// without its memory. The caller asks again and again, through both entries,
// and is told that the outcome is unknown; never is it run a second time.
func TestKeyRepeatedAfterHomeDied(t *testing.T) {
	f := keyFleet(t, slowStep)
	before := runsTotal(f)
	call := keyedChat("letter-3", "letter at a dying home", longAnswer, false)
	first := send(context.Background(), t, f, call)
	home := running(t, f)
	home.Kill()
	if got := <-first.answer; got.NotRun() || got.Whole() {
		t.Errorf("first: got status %d not run %v, want an unknown outcome", got.Status, got.NotRun())
	}
	f.StartAgent(t, home)
	f.WaitReady(t)
	var last burdockprograms.Answer
	burdockprograms.Eventually(t, "the new home answers for the key", func() bool {
		last = f.Send(context.Background(), f.Entries[1], call)
		return last.Status == http.StatusBadGateway
	})
	if last.NotRun() || last.Header.Get("X-Should-Retry") != "false" {
		t.Errorf("repeat: got not run %v, retry %q; want an unknown outcome", last.NotRun(), last.Header.Get("X-Should-Retry"))
	}
	for i := range 4 {
		if got := f.Send(context.Background(), f.Entries[i%2], call); got.Status == http.StatusOK {
			t.Errorf("repeat %d: got status 200, want no second run", i)
		}
	}
	if got, want := runsTotal(f)-before, 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// The home is frozen while it runs the request, and the caller's connection is
// given up. The caller asks again while it is frozen, and is told truly that
// this did not run, or that nobody knows; after it wakes the caller gets the
// one answer.
func TestKeyRepeatedWhileHomeFrozen(t *testing.T) {
	f := keyFleet(t, slowStep)
	before := runsTotal(f)
	const prompt, tokens = "letter at a frozen home", 100
	call := keyedChat("letter-4", prompt, tokens, true)
	ctx, cancel := context.WithCancel(context.Background())
	first := send(ctx, t, f, call)
	home := running(t, f)
	home.Freeze()
	cancel()
	<-first.answer
	short := call
	short.Header = map[string]string{"Idempotency-Key": "letter-4", "Burdock-Timeout-Millis": "3000"}
	if got := f.Send(context.Background(), f.Entries[1], short); got.Status == http.StatusOK {
		t.Errorf("while frozen: got status 200, want none")
	}
	home.Thaw()
	var last burdockprograms.Answer
	burdockprograms.Eventually(t, "the woken home answers for the key", func() bool {
		last = f.Send(context.Background(), f.Entries[1], call)
		return last.Status == http.StatusOK
	})
	if !last.WholeStream(prompt, tokens) {
		t.Errorf("after waking: got err %v body %q, want the whole answer", last.Err, last.Body)
	}
	if got, want := runsTotal(f)-before, 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// The home is stopped as planned after it ran the request. The caller asks
// again and is told that it ran; new keys run at once, at the home that took
// the memory over, so nobody waits out a repeat window.
func TestKeyRepeatedAfterHomeStopped(t *testing.T) {
	f := keyFleet(t, slowStep)
	call := keyedChat("letter-5", "letter before a stop", 30, false)
	first := send(context.Background(), t, f, call)
	home := running(t, f)
	if got := <-first.answer; !got.Whole() {
		t.Fatalf("first: got status %d err %v, want 200", got.Status, got.Err)
	}
	before := runsTotal(f)
	home.Terminate()
	if got, want := home.Wait(t, stopTimeout), 0; got != want {
		t.Errorf("exit status: got %d, want %d", got, want)
	}
	if got := f.Send(context.Background(), f.Entries[1], call); got.Status != http.StatusConflict {
		t.Errorf("repeat: got status %d body %q, want 409", got.Status, got.Body)
	}
	if got, want := runsTotal(f)-before, 0; got != want {
		t.Errorf("runs after the stop: got %d, want %d", got, want)
	}
	for i := range 24 {
		got := f.Send(context.Background(), f.Entries[i%2], keyedChat(fmt.Sprint("new ", i), "new letter", 1, false))
		if !got.Whole() {
			t.Errorf("new key %d: got status %d err %v body %q, want 200", i, got.Status, got.Err, got.Body)
		}
	}
}
