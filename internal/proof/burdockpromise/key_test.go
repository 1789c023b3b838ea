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

// A caller that asks again with the same key gets the first answer, byte by
// byte, through either entry, while the first run is under way and afterwards.
// There is one run.
func TestKeyRepeatedGetsFirstAnswer(t *testing.T) {
	f := keyFleet(t, slowStep)
	before := started(f)
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
	if got, want := started(f)-before, 1; got != want {
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
	before := started(f)
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
	if got, want := started(f)-before, 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// The home of the key dies while it runs the request, and is started anew
// without its memory. The caller asks again and again, through both entries,
// and is told that the outcome is unknown; never is it run a second time.
func TestKeyRepeatedAfterHomeDied(t *testing.T) {
	f := keyFleet(t, slowStep)
	before := started(f)
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
	if got, want := started(f)-before, 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// The home is frozen while it runs the request, and the caller's connection is
// given up. The caller asks again while it is frozen, and is told truly that
// this did not run, or that nobody knows; after it wakes the caller gets the
// one answer.
func TestKeyRepeatedWhileHomeFrozen(t *testing.T) {
	f := keyFleet(t, slowStep)
	before := started(f)
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
	if got, want := started(f)-before, 1; got != want {
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
	before := started(f)
	home.Terminate()
	if got, want := home.Wait(t, stopTimeout), 0; got != want {
		t.Errorf("exit status: got %d, want %d", got, want)
	}
	if got := f.Send(context.Background(), f.Entries[1], call); got.Status != http.StatusConflict {
		t.Errorf("repeat: got status %d body %q, want 409", got.Status, got.Body)
	}
	if got, want := started(f)-before, 0; got != want {
		t.Errorf("runs after the stop: got %d, want %d", got, want)
	}
	for i := range 24 {
		got := f.Send(context.Background(), f.Entries[i%2], keyedChat(fmt.Sprint("new ", i), "new letter", 1, false))
		if !got.Whole() {
			t.Errorf("new key %d: got status %d err %v body %q, want 200", i, got.Status, got.Err, got.Body)
		}
	}
}

// A key runs once though its home was frozen past the point where others took
// its keys, and wakes believing that it is the home. Operators took the frozen
// home out of the fleet, since its VM seemed gone, and a new home answers for
// its keys. The first thing the old one reads on waking is an entry's offer of
// such a key. It must refuse before it has heard from anybody.
func TestWokenHomeGrantsNothing(t *testing.T) {
	f := keyFleet(t, time.Millisecond)
	used, fresh := twoKeysOfOneSlot()
	old := homeOf(t, f, used)
	old.Freeze()
	f.Remove(t, old)
	burdockprograms.Eventually(t, "a new home answers for the slot", func() bool {
		got := f.Send(context.Background(), f.Entries[0], keyedChat(used, "is there a home?", 1, false))
		// It can't know what ran before. The connection to the frozen home that is
		// given up gives the same status, long before there is a new home.
		return got.Status == http.StatusBadGateway && strings.Contains(got.Body, "before its present home took over")
	})
	o := newOffer(old, fresh)
	go o.run()
	time.Sleep(time.Second) // the offer waits in the frozen process's buffers
	old.Thaw()
	if got := <-o.answer; got.GetRefused() == nil {
		t.Errorf("the woken home: got %v, want a refusal", got)
	}
	if got, want := old.Upstream.Runs().Started[o.id], 0; got != want {
		t.Errorf("runs at the woken home: got %d, want %d", got, want)
	}
}

// twoKeysOfOneSlot returns two keys that have the same home.
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

// homeOf returns the agent that is the home of a new key.
func homeOf(t *testing.T, f *burdockprograms.Fleet, key string) *burdockprograms.Agent {
	t.Helper()
	got := f.Send(context.Background(), f.Entries[0], keyedChat(key, "find the home", 1, false))
	if !got.Whole() {
		t.Fatalf("find the home: got status %d body %q", got.Status, got.Body)
	}
	for _, a := range f.Agents {
		if a.Upstream.Runs().Started[burdockid.Request(got.Header.Get("Burdock-Request-Id"))] == 1 {
			return a
		}
	}
	t.Fatal("no agent ran the key")
	return nil
}

// offer is what an entry with an old view would send to an agent.
type offer struct {
	agent  *burdockprograms.Agent
	id     burdockid.Request
	key    string
	answer chan *burdockwire.RunEvent
}

func newOffer(a *burdockprograms.Agent, key string) *offer {
	return &offer{agent: a, id: burdockid.NewRequest(), key: key, answer: make(chan *burdockwire.RunEvent, 1)}
}

// run passes on the first event, which says whether the offer was admitted.
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

// An operator takes an upstream out of the fleet that is only silent. Others
// would take over its keys while it may still run them. The command refuses,
// says what to do, and changes nothing, until the operator says that the VM is
// destroyed.
func TestRemovalOfAHomeIsRefused(t *testing.T) {
	f := keyFleet(t, time.Millisecond)
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

// slowStop is far more than a stop takes while the store is slow or down, and
// less than it took when an agent's slots went over one after another.
const slowStop = 60 * time.Second

// An operator stops an agent while the store takes a second for each call. The
// agent hands its slots over and ends in time; new keys run at the others.
// Found by a soak (seeds 2 and 3): one slot at a time, a stop took minutes.
func TestStopWhileStoreIsSlow(t *testing.T) {
	f := keyFleet(t, time.Millisecond)
	f.Store.SetFault(t, burdockfault.Setting{DelayMillis: burdockclock.Second})
	f.Agents[0].Terminate()
	if got, want := f.Agents[0].Wait(t, slowStop), 0; got != want {
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

// An operator stops an agent that has just been started again while the store
// is down: it can neither take up its slots nor hand them over, and ends all
// the same.
func TestStopWhileStoreIsDown(t *testing.T) {
	f := keyFleet(t, time.Millisecond)
	a := f.Agents[0]
	a.Kill()
	f.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.Down})
	f.StartAgent(t, a)
	burdockprograms.Eventually(t, "the agent has its configuration", func() bool {
		_, ready := burdockprograms.Digest(a.Admin)
		return ready
	})
	time.Sleep(2 * time.Second) // it tries to take its slots up
	a.Terminate()
	if got, want := a.Wait(t, slowStop), 0; got != want {
		t.Errorf("exit status: got %d, want %d", got, want)
	}
	f.Store.SetFault(t, burdockfault.Setting{})
}
