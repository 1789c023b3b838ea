package burdockhosted

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockcrash"
	"burdockbend.example/burdockbend/internal/serve/burdockrank"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"go.uber.org/zap"
)

func newTestPublisher(store *fakeKV) *publisher {
	return newPublisher(store, burdockclock.Minute, true, zap.NewNop())
}

// writeAll writes all pending keys, like the publisher's loop.
func (p *publisher) writeAll() {
	for next := p.nextBatch(); len(next) > 0; next = p.nextBatch() {
		p.write(next)
	}
}

// An upstream that crashes must not cause one write for each request that ran on it.
func TestNotificationsAreBatched(t *testing.T) {
	store := newFakeKV()
	p := newTestPublisher(store)
	var puts []burdockkv.Put
	for i := range maxPutsPerWrite + 1 {
		puts = append(puts, burdockkv.Put{Key: fmt.Sprint(prefixNotifications, i)})
	}
	p.publish(puts)
	p.writeAll()
	if got, want := store.calls, 4; got != want { // a lease and a write, twice
		t.Errorf("calls: got %d, want %d", got, want)
	}
	if got, want := len(store.items), maxPutsPerWrite+1; got != want {
		t.Errorf("keys: got %d, want %d", got, want)
	}
}

// A notification must not be lost if the store's answer is lost.
func TestFailedNotificationsAreRetried(t *testing.T) {
	store := newFakeKV()
	store.loseWrite = true
	p := newTestPublisher(store)
	p.publish([]burdockkv.Put{{Key: prefixNotifications + "a"}})
	p.writeAll()
	if got, want := store.calls, 4; got != want {
		t.Errorf("calls: got %d, want %d", got, want)
	}
}

// Other entries must be able to read a published crash. Records under the prefix that
// cannot be decoded must not count as crashes.
func TestPublishedCrashIsReadBack(t *testing.T) {
	store := newFakeKV()
	e := &entry{log: zap.NewNop(), crashPublisher: newTestPublisher(store)}
	want := burdockcrash.Crash{Request: burdockcrash.DigestOf("s", "POST", "/a", "acme", []byte("x")), Process: burdockid.Process{Upstream: "u@x", StartedAt: 5}, At: 7}
	e.publishCrashes([]burdockcrash.Crash{want})
	e.crashPublisher.writeAll()
	items, _, _ := store.List(context.Background(), prefixCrash, burdockkv.ReadLatest)
	items = append(items,
		burdockkv.Item{Key: prefixCrash + "zz/u", Value: []byte(`{"atMillis":1}`)},
		burdockkv.Item{Key: prefixCrash + want.Request.String() + "/v", Value: []byte("\xff")})
	if got := readCrashes(items, zap.NewNop()); !slices.Equal(got, []burdockcrash.Crash{want}) {
		t.Errorf("got %v, want %v alone", got, want)
	}
}

// Guards against entries that can't read each other's answers, or stop at records that can't be
// read.
func TestPublishedAnswerIsReadBack(t *testing.T) {
	store := newFakeKV()
	e := &entry{log: zap.NewNop(), crashPublisher: newTestPublisher(store)}
	want := burdockcrash.Answer{Request: burdockcrash.DigestOf("s", "POST", "/a", "acme", []byte("x")), At: 7}
	e.publishAnswer(want)
	e.crashPublisher.writeAll()
	items, _, _ := store.List(context.Background(), prefixCrashAnswer, burdockkv.ReadLatest)
	items = append(items,
		burdockkv.Item{Key: prefixCrashAnswer + "zz", Value: []byte(`{"atMillis":1}`)},
		burdockkv.Item{Key: prefixCrashAnswer + want.Request.String(), Value: []byte(`{"atMillis":"1"}`)})
	if got := readCrashAnswers(items, zap.NewNop()); !slices.Equal(got, []burdockcrash.Answer{want}) {
		t.Errorf("got %v, want %v alone", got, want)
	}
	if got := readCrashes(items, zap.NewNop()); len(got) != 0 {
		t.Errorf("read as crashes: got %v, want none", got)
	}
}

// Guards against crashes that don't count because an older entry, which names no start time,
// reports them.
func TestCrashRecordOfAnOlderEntryIsRead(t *testing.T) {
	digest := burdockcrash.DigestOf("s", "POST", "/a", "acme", []byte("x"))
	got := readCrashes([]burdockkv.Item{{Key: prefixCrash + digest.String() + "/u", Value: []byte(`{"atMillis":7}`)}}, zap.NewNop())
	want := []burdockcrash.Crash{{Request: digest, Process: burdockid.Process{Upstream: "u"}, At: 7}}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A suspected upstream must not be reported again whenever another key under the prefix
// changes.
func TestSuspectedUpstreamIsReportedOncePerWrite(t *testing.T) {
	var keys suspectedKeys
	items := []burdockkv.Item{{Key: prefixSuspected + "a", Modified: burdockkv.Position{Revision: 3}}}
	for i, want := range [][]burdockid.Upstream{{"a"}, nil} {
		if got := keys.updated(items); !slices.Equal(got, want) {
			t.Errorf("call %d: got %v, want %v", i, got, want)
		}
	}
	items[0].Modified.Revision = 5
	if got, want := keys.updated(items), []burdockid.Upstream{"a"}; !slices.Equal(got, want) {
		t.Errorf("written again: got %v, want %v", got, want)
	}
}

// Entries must learn from the store that a group has opened, not only from refused
// offers.
func TestLeaseHolderPublishesOpenEpoch(t *testing.T) {
	store := newFakeKV()
	h := newLeaseAgentAt(store, burdockrank.Assignment{Group: "g" + epochSeparator + "7", Ranks: 1})
	if _, err := h.acquire("a"); err != nil {
		t.Fatal(err)
	}
	if got, want := string(store.items[prefixOpen+"g"].Value), "7"; got != want {
		t.Errorf("open epoch: got %q, want %q", got, want)
	}
}
