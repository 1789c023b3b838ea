package burdockpromise

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

// keyedChat returns a chat request with an idempotency key.
func keyedChat(key, prompt string, tokens int, stream bool) burdockprograms.Call {
	call := burdockprograms.Chat(prompt, tokens, stream)
	call.Header = map[string]string{"Idempotency-Key": key}
	return call
}

func startKeyFleet(t *testing.T, step time.Duration) *burdockprograms.Fleet {
	t.Helper()
	f := burdockprograms.Start(t, burdockprograms.Config{Models: 3, Entries: 2, Slots: 8, Step: step})
	waitForOwners(t, f)
	return f
}

// waitForOwners waits until the owner of every key slot answers.
func waitForOwners(t *testing.T, f *burdockprograms.Fleet) {
	t.Helper()
	burdockprograms.Eventually(t, "every key has an owner", func() bool {
		for i := range 48 {
			call := keyedChat(fmt.Sprintf("warm %d %d", i, time.Now().UnixNano()), "warm", 1, false)
			if !f.Send(context.Background(), f.Entries[i%len(f.Entries)], call).Whole() {
				return false
			}
		}
		return true
	})
}

// A caller that repeats a request with the same key gets the first answer byte for byte,
// through either entry, during the first run and after it. There is one run.
func TestKeyRepeatedGetsFirstAnswer(t *testing.T) {
	f := startKeyFleet(t, slowStep)
	before := startedRuns(f)
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
	if got, want := startedRuns(f)-before, 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
	other := keyedChat("letter-1", "another letter", tokens, true)
	if got := f.Send(context.Background(), f.Entries[0], other); got.Status != http.StatusUnprocessableEntity || !got.NotRun() {
		t.Errorf("the same key with another request: got %d not run %v, want 422 not run", got.Status, got.NotRun())
	}
}

// The entry is killed in the middle of the answer. The caller repeats the request through
// the other entry and gets the whole answer of the one run, which went on.
func TestKeyRepeatedAfterEntryDied(t *testing.T) {
	f := startKeyFleet(t, slowStep)
	before := startedRuns(f)
	const prompt, tokens = "letter through a dying entry", 100
	call := keyedChat("letter-2", prompt, tokens, true)
	first := send(context.Background(), t, f, call)
	f.Entries[0].Kill()
	if got := <-first.answer; got.WholeStream(prompt, tokens) {
		t.Fatal("the first answer was complete; the entry was killed too late")
	}
	if got := f.Send(context.Background(), f.Entries[1], call); !got.WholeStream(prompt, tokens) {
		t.Errorf("repeat: got status %d err %v body %q, want the whole answer", got.Status, got.Err, got.Body)
	}
	if got, want := startedRuns(f)-before, 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// The owner of the key is killed while it runs the request, and restarts without its
// memory. Repeats through both entries must report an unknown outcome and never run again.
func TestKeyRepeatedAfterHomeDied(t *testing.T) {
	f := startKeyFleet(t, slowStep)
	before := startedRuns(f)
	call := keyedChat("letter-3", "letter at a dying home", longAnswer, false)
	first := send(context.Background(), t, f, call)
	owner := runningAgent(t, f)
	owner.Kill()
	if got := <-first.answer; got.NotRun() || got.Whole() {
		t.Errorf("first: got status %d not run %v, want an unknown outcome", got.Status, got.NotRun())
	}
	f.StartAgent(t, owner)
	f.WaitReady(t)
	var last burdockprograms.Answer
	burdockprograms.Eventually(t, "the new owner answers for the key", func() bool {
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
	if got, want := startedRuns(f)-before, 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// The owner of the key is frozen while it runs the request, and the caller disconnects. A
// repeat during the freeze fails as not run or with an unknown outcome; after the owner
// resumes, the caller gets the answer of the one run.
func TestKeyRepeatedWhileHomeFrozen(t *testing.T) {
	f := startKeyFleet(t, slowStep)
	before := startedRuns(f)
	const prompt, tokens = "letter at a frozen home", 100
	call := keyedChat("letter-4", prompt, tokens, true)
	ctx, cancel := context.WithCancel(context.Background())
	first := send(ctx, t, f, call)
	owner := runningAgent(t, f)
	owner.Freeze()
	cancel()
	<-first.answer
	short := call
	short.Header = map[string]string{"Idempotency-Key": "letter-4", "Burdock-Timeout-Millis": "3000"}
	if got := f.Send(context.Background(), f.Entries[1], short); got.Status == http.StatusOK {
		t.Errorf("while frozen: got status 200, want none")
	}
	owner.Thaw()
	var last burdockprograms.Answer
	burdockprograms.Eventually(t, "the resumed owner answers for the key", func() bool {
		last = f.Send(context.Background(), f.Entries[1], call)
		return last.Status == http.StatusOK
	})
	if !last.WholeStream(prompt, tokens) {
		t.Errorf("after resuming: got err %v body %q, want the whole answer", last.Err, last.Body)
	}
	if got, want := startedRuns(f)-before, 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// The owner of the key is stopped gracefully after it ran the request. A repeat is told
// that the request ran. New keys run at once at the owner that took over the records, so no
// caller waits for the end of a repeat window.
func TestKeyRepeatedAfterHomeStopped(t *testing.T) {
	f := startKeyFleet(t, slowStep)
	call := keyedChat("letter-5", "letter before a stop", 30, false)
	first := send(context.Background(), t, f, call)
	owner := runningAgent(t, f)
	if got := <-first.answer; !got.Whole() {
		t.Fatalf("first: got status %d err %v, want 200", got.Status, got.Err)
	}
	before := startedRuns(f)
	owner.Terminate()
	if got, want := owner.Wait(t, stopTimeout), 0; got != want {
		t.Errorf("exit status: got %d, want %d", got, want)
	}
	if got := f.Send(context.Background(), f.Entries[1], call); got.Status != http.StatusConflict {
		t.Errorf("repeat: got status %d body %q, want 409", got.Status, got.Body)
	}
	if got, want := startedRuns(f)-before, 0; got != want {
		t.Errorf("runs after the stop: got %d, want %d", got, want)
	}
	for i := range 24 {
		got := f.Send(context.Background(), f.Entries[i%2], keyedChat(fmt.Sprint("new ", i), "new letter", 1, false))
		if !got.Whole() {
			t.Errorf("new key %d: got status %d err %v body %q, want 200", i, got.Status, got.Err, got.Body)
		}
	}
}

// The owner of a key is frozen, operators remove it from the fleet as its VM seems gone,
// and a new owner takes over its slots. When the old process resumes, it first reads an
// entry's offer of such a key and still believes to be the owner. It must refuse before it
// has contacted anyone; otherwise the key runs twice.
func TestWokenHomeGrantsNothing(t *testing.T) {
	f := startKeyFleet(t, time.Millisecond)
	used, fresh := twoKeysOfOneSlot()
	old := ownerOf(t, f, used)
	old.Freeze()
	f.Remove(t, old)
	burdockprograms.Eventually(t, "a new owner answers for the slot", func() bool {
		got := f.Send(context.Background(), f.Entries[0], keyedChat(used, "is there a home?", 1, false))
		// The new owner can't know what ran before. The text is checked too, since a timeout
		// towards the frozen owner gives the same status long before there is a new one.
		return got.Status == http.StatusBadGateway && strings.Contains(got.Body, "before its present home took over")
	})
	o := newOffer(old, fresh)
	go o.run()
	time.Sleep(time.Second) // the offer waits in the socket buffers of the frozen process
	old.Thaw()
	if got := <-o.answer; got.GetRefused() == nil {
		t.Errorf("the resumed owner: got %v, want a refusal", got)
	}
	if got, want := old.Upstream.Runs().Started[o.id], 0; got != want {
		t.Errorf("runs at the resumed owner: got %d, want %d", got, want)
	}
}

// twoKeysOfOneSlot returns two keys in the same slot, which have the same owner.
func twoKeysOfOneSlot() (string, string) {
	const first = "letter-6"
	slot := burdockledger.SlotOf(burdockledger.KeyOf(burdockprograms.Customer, first))
	for i := 0; ; i++ {
		second := fmt.Sprint("letter-6-", i)
		if burdockledger.SlotOf(burdockledger.KeyOf(burdockprograms.Customer, burdockid.IdempotencyKey(second))) == slot {
			return first, second
		}
	}
}

// ownerOf returns the agent that owns the slot of a new key.
func ownerOf(t *testing.T, f *burdockprograms.Fleet, key string) *burdockprograms.Agent {
	t.Helper()
	got := f.Send(context.Background(), f.Entries[0], keyedChat(key, "find the home", 1, false))
	if !got.Whole() {
		t.Fatalf("find the owner: got status %d body %q", got.Status, got.Body)
	}
	for _, a := range f.Agents {
		if a.Upstream.Runs().Started[burdockid.Request(got.Header.Get("Burdock-Request-Id"))] == 1 {
			return a
		}
	}
	t.Fatal("no agent ran the key")
	return nil
}

// offer is a request as an entry with outdated membership sends it to an agent.
type offer struct {
	agent  *burdockprograms.Agent
	id     burdockid.Request
	key    string
	answer chan *burdockwire.RunEvent
}

func newOffer(a *burdockprograms.Agent, key string) *offer {
	return &offer{agent: a, id: burdockid.NewRequest(), key: key, answer: make(chan *burdockwire.RunEvent, 1)}
}

// run passes on the first event, which reports whether the offer was admitted.
func (o *offer) run() {
	client := burdockwire.NewAgentServiceClient(http.DefaultClient, "http://"+o.agent.Peer)
	stream, err := client.Run(context.Background(), connect.NewRequest(&burdockwire.RunRequest{
		RequestId:      string(o.id),
		Upstream:       o.agent.Name,
		Customer:       burdockprograms.Customer,
		IdempotencyKey: o.key,
		Method:         http.MethodPost,
		Path:           "/v1/chat/completions",
		Body:           []byte(burdockprograms.Chat("woken", 1, false).Body),
	}))
	if err != nil || !stream.Receive() {
		o.answer <- nil
		return
	}
	o.answer <- stream.Msg()
	_ = stream.Close()
}

// An operator removes an upstream from the fleet that is merely silent. Others would take
// over its keys while it may still run them. The command must refuse, name the flag to use
// and change nothing, until the operator confirms that the VM is destroyed.
func TestRemovalOfAHomeIsRefused(t *testing.T) {
	f := startKeyFleet(t, time.Millisecond)
	silent := f.Agents[0]
	silent.Freeze()
	f.Agents = f.Agents[1:]
	file := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(file, []byte(f.FleetTOML()), 0o600); err != nil {
		t.Fatalf("write the fleet file: %v", err)
	}
	out, status := f.TryOperate("fleet", "apply", "-store", f.Store.Address, file)
	if want := "-gone " + silent.Name; status != 2 || !strings.Contains(out, want) {
		t.Errorf("got status %d %q, want 2 and %q", status, out, want)
	}
	if list := f.Operate(t, "fleet", "list", "-store", f.Store.Address); !strings.Contains(list, silent.Name) {
		t.Errorf("%s is no longer in the fleet after a refused command", silent.Name)
	}
	f.Operate(t, "fleet", "apply", "-store", f.Store.Address, "-gone", silent.Name, file)
}

// slowStopTimeout is far more than a stop takes while the store is slow or down, and less
// than it took when an agent handed its slots over one at a time.
const slowStopTimeout = 60 * time.Second

// An agent is stopped while each store call takes 1 s. It must hand over its slots and exit
// in time, and new keys must run at the others. Handing over one slot at a time took minutes
// (found by a soak, seeds 2 and 3).
func TestStopWhileStoreIsSlow(t *testing.T) {
	f := startKeyFleet(t, time.Millisecond)
	f.Store.SetFault(t, burdockfault.Setting{DelayMillis: burdockclock.Second})
	f.Agents[0].Terminate()
	if got, want := f.Agents[0].Wait(t, slowStopTimeout), 0; got != want {
		t.Errorf("exit status: got %d, want %d", got, want)
	}
	f.Store.SetFault(t, burdockfault.Setting{})
	for i := range 24 {
		got := f.Send(context.Background(), f.Entries[i%2], keyedChat(fmt.Sprint("slow ", i), "new letter", 1, false))
		if !got.Whole() {
			t.Errorf("new key %d: got status %d err %v body %q, want 200", i, got.Status, got.Err, got.Body)
		}
	}
}

// An agent is stopped just after a restart while the store is down. It can neither take
// over its slots nor hand them over, and must exit all the same.
func TestStopWhileStoreIsDown(t *testing.T) {
	f := startKeyFleet(t, time.Millisecond)
	a := f.Agents[0]
	a.Kill()
	f.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.Down})
	f.StartAgent(t, a)
	burdockprograms.Eventually(t, "the agent has its configuration", func() bool {
		_, ready := burdockprograms.Digest(a.Admin)
		return ready
	})
	time.Sleep(2 * time.Second) // the agent tries to take over its slots
	a.Terminate()
	if got, want := a.Wait(t, slowStopTimeout), 0; got != want {
		t.Errorf("exit status: got %d, want %d", got, want)
	}
	f.Store.SetFault(t, burdockfault.Setting{})
}
