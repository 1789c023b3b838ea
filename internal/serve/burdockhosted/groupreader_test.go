package burdockhosted

import (
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

// An engine moves to a rank of another group, and the record of its former rank is still
// there. Records that can't be read name no engine.
func TestLatestRecordTellsGroup(t *testing.T) {
	item := func(key, value string, rev burdockkv.Revision) burdockkv.Item {
		return burdockkv.Item{Key: prefixRank + key, Value: []byte(value), Modified: burdockkv.Position{Revision: rev}}
	}
	got := readGroups([]burdockkv.Item{
		item("g/a/0", "10.0.0.1:7000 10.0.0.1:80", 5),
		item("b/7", "10.0.0.1:7000 10.0.0.1:80", 9),
		item("c/2", "10.0.0.1:7000 10.0.0.1:80", 7),
		item("g/a/1", "10.0.0.2:7000 10.0.0.2:80", 3),
		item("c/3", "no engine", 1),
		item("c/4", "alone", 1),
		item("rankless", "10.0.0.3:7000 10.0.0.3:80", 1),
	})
	want := map[string]burdockid.Group{"10.0.0.1:80": "b", "10.0.0.2:80": "g/a", "engine": "c"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Hundreds of entries write a record only where a service has a rate that they share. It is
// renewed rarely, and written again when it has expired or the store has lost it.
func TestPresenceIsWrittenWhereNeeded(t *testing.T) {
	store, clock, site := newFakeKV(), burdockclock.NewManual(1), burdocksite.New()
	store.era = 1
	p := newPresence(store, "vm-1", func() bool { return hasColdRate(site.Now()) }, clock.Clock(), zap.NewNop())
	update := func(after burdockclock.Millis, what string, wantCalls int) {
		t.Helper()
		clock.Advance(after)
		calls := store.calls
		if err := p.update(); err != nil {
			t.Fatal(err)
		}
		if got := store.calls - calls; got != wantCalls {
			t.Errorf("%s: got %d calls, want %d", what, got, wantCalls)
		}
	}
	update(0, "no shared rate", 0)
	site.SetConfig(burdocksite.Config{Version: 1, Services: map[burdockid.Service]burdocksite.Service{"s": {ColdRate: 5}}})
	update(0, "a shared rate", 2)
	before := store.copy()
	update(1000, "written", 0)
	update(presenceRenewInterval, "renewed", 0)
	for id := range store.leases {
		store.lapse(id)
	}
	update(presenceRenewInterval, "expired", 2)
	store.restore(before)
	update(1000, "the store was restored", 2)
	if _, ok := store.items[prefixEntry+"vm-1"]; !ok {
		t.Error("the record is missing")
	}
}

// Guards against a restarted entry that keeps off all cold and limited upstreams until the
// others have seen it, though they know it.
func TestListingTellsWhetherTheOthersKnowTheEntry(t *testing.T) {
	p := newPresence(nil, "vm-1", nil, burdockclock.System(), zap.NewNop())
	record := func(created, modified burdockkv.Revision) []burdockkv.Item {
		return []burdockkv.Item{
			{Key: prefixEntry + "vm-2"},
			{Key: prefixEntry + "vm-1", Created: burdockkv.Position{Revision: created}, Modified: burdockkv.Position{Revision: modified}},
		}
	}
	for _, c := range []struct {
		name      string
		announced bool
		items     []burdockkv.Item
		want      bool
	}{
		{"record of an earlier process", false, record(7, 7), true},
		{"written again by this process", true, record(7, 9), true},
		{"first record", true, record(9, 9), false},
		{"no record", false, nil, false},
	} {
		p.announced.Store(c.announced)
		if got := p.listing(c.items); got.Known != c.want || len(got.All) != len(c.items) || got.Self != "vm-1" {
			t.Errorf("%s: got %+v, want known %v", c.name, got, c.want)
		}
	}
}
