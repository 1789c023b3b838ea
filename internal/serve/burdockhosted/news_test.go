package burdockhosted

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocksuspect"
	"burdockbend.example/burdockbend/internal/serve/burdockrank"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"go.uber.org/zap"
)

func newTestTeller(store *fakeKV) *publisher {
	return newPublisher(store, burdockclock.Minute, true, zap.NewNop())
}

// writeAll does what the teller's loop does.
func (p *publisher) writeAll() {
	for next := p.nextBatch(); len(next) > 0; next = p.nextBatch() {
		p.write(next)
	}
}

// Guards against a write for each request that ran at an upstream which crashed.
func TestNewsAreToldTogether(t *testing.T) {
	store := newFakeKV()
	told := newTestTeller(store)
	var puts []burdockkv.Put
	for i := range maxPutsPerWrite + 1 {
		puts = append(puts, burdockkv.Put{Key: fmt.Sprint(prefixNotifications, i)})
	}
	told.publish(puts)
	told.writeAll()
	if got, want := store.calls, 4; got != want { // a lease and a write, twice
		t.Errorf("calls: got %d, want %d", got, want)
	}
	if got, want := len(store.items), maxPutsPerWrite+1; got != want {
		t.Errorf("keys: got %d, want %d", got, want)
	}
}

// Guards against news that are lost with an answer of the store.
func TestLastingNewsAreWrittenAgain(t *testing.T) {
	store := newFakeKV()
	store.loseWrite = true
	told := newTestTeller(store)
	told.publish([]burdockkv.Put{{Key: prefixNotifications + "a"}})
	told.writeAll()
	if got, want := store.calls, 4; got != want {
		t.Errorf("calls: got %d, want %d", got, want)
	}
}

// Guards against a crash that other entries can't read, and against records of another
// writer that stand for one.
func TestCrashingRequestIsReadAsItWasTold(t *testing.T) {
	store := newFakeKV()
	e := &entry{log: zap.NewNop(), crashPublisher: newTestTeller(store)}
	want := burdocksuspect.Crash{Request: burdocksuspect.DigestOf("POST", "/a", "acme", []byte("x")), Upstream: "u", At: 7}
	e.publishCrashes([]burdocksuspect.Crash{want})
	e.crashPublisher.writeAll()
	items, _, _ := store.List(context.Background(), prefixCrash)
	items = append(items,
		burdockkv.Item{Key: prefixCrash + "zz/u", Value: []byte(`{"atMillis":1}`)},
		burdockkv.Item{Key: prefixCrash + want.Request.String() + "/v", Value: []byte("\xff")})
	if got := readCrashes(items, zap.NewNop()); !slices.Equal(got, []burdocksuspect.Crash{want}) {
		t.Errorf("got %v, want %v alone", got, want)
	}
}

// Guards against a doubt that is renewed by each other change under the prefix.
func TestDoubtIsHandedOnOnce(t *testing.T) {
	var d suspectedKeys
	items := []burdockkv.Item{{Key: prefixSuspected + "a", Revision: 3}}
	for i, want := range [][]burdockid.Upstream{{"a"}, nil} {
		if got := d.updated(items); !slices.Equal(got, want) {
			t.Errorf("call %d: got %v, want %v", i, got, want)
		}
	}
	items[0].Revision = 5
	if got, want := d.updated(items), []burdockid.Upstream{"a"}; !slices.Equal(got, want) {
		t.Errorf("written again: got %v, want %v", got, want)
	}
}

// Guards against entries that learn of a group's opening by refused offers alone.
func TestControllerTellsTheOpenEpoch(t *testing.T) {
	store := newFakeKV()
	h := newHolderAt(store, burdockrank.Assignment{Group: "g" + epochSeparator + "7", Ranks: 1})
	if _, err := h.acquire("a"); err != nil {
		t.Fatal(err)
	}
	if got, want := string(store.items[prefixOpen+"g"].Value), "7"; got != want {
		t.Errorf("open epoch: got %q, want %q", got, want)
	}
}
