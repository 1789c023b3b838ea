package burdockfollow

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

// textDecoder decodes "up", "leaving" and "broken" as the value of an upstream, and keys
// under "evacuate/" as evacuations.
type textDecoder struct{}

func (textDecoder) Prefix(Topic) string { return "" }

func (textDecoder) Decode(item burdockkv.Item) Change {
	if dc, ok := strings.CutPrefix(item.Key, "evacuate/"); ok {
		return EvacuationChanged{DataCentre: burdockid.DataCentre(dc), Evacuated: !item.Deleted}
	}
	id := burdockid.Upstream(item.Key)
	switch {
	case item.Deleted:
		return UpstreamGone{ID: id}
	case string(item.Value) == "broken":
		return Unreadable{Key: item.Key, ID: id, Err: errors.New("not readable")}
	}
	return UpstreamWritten{Upstream: burdocksite.Upstream{ID: id, Service: "s", Address: item.Key, Leaving: string(item.Value) == "leaving"}}
}

type testRecords struct {
	*Records
	site  *burdocksite.Site
	clock *burdockclock.Manual
}

func newTestRecords() *testRecords {
	r := &testRecords{site: burdocksite.New(), clock: burdockclock.NewManual(1000)}
	r.Records = New(TopicUpstreams, textDecoder{}, r.site, r.clock.Clock(), zap.NewNop())
	return r
}

// advance advances the clock and removes the upstreams that are due.
func (r *testRecords) advance(d burdockclock.Millis) {
	r.clock.Advance(d)
	r.sweepMissing()
}

func put(key, value string) burdockkv.Item { return burdockkv.Item{Key: key, Value: []byte(value)} }

func (r *testRecords) members() string {
	var names []string
	for _, u := range r.site.Now().Members("s") {
		names = append(names, string(u.ID))
	}
	return strings.Join(names, " ")
}

func (r *testRecords) wantMembers(t *testing.T, what, want string) {
	t.Helper()
	if got := r.members(); got != want {
		t.Errorf("%s: got members %q, want %q", what, got, want)
	}
}

func TestMembersFollowTheRecords(t *testing.T) {
	r := newTestRecords()
	r.Listed([]burdockkv.Item{put("a", "up"), put("b", "up"), put("c", "up")})
	r.wantMembers(t, "listed", "a b c")
	r.Changed([]burdockkv.Item{put("a", "leaving"), {Key: "b", Deleted: true}})
	r.wantMembers(t, "one leaves and one is gone", "c")
	r.Changed([]burdockkv.Item{put("c", "broken")})
	r.wantMembers(t, "overwritten by another writer", "")
	r.Listed([]burdockkv.Item{put("d", "up")})
	r.wantMembers(t, "listed again", "d")
}

// An outage of the store is longer than records last. When the store returns, all records
// are missing, and callers would be refused although every upstream is alive. Upstreams that
// write their records again within two seconds stay members throughout; the others are
// removed.
func TestRecordsThatLapsedInAnOutage(t *testing.T) {
	r := newTestRecords()
	r.Listed([]burdockkv.Item{put("a", "up"), put("b", "up")})
	r.StoreRecovered(5 * burdockclock.Second)
	r.Listed(nil)
	r.wantMembers(t, "on the store's return", "a b")
	r.advance(1000)
	r.Changed([]burdockkv.Item{put("a", "up")})
	r.advance(1000)
	r.wantMembers(t, "two seconds later", "a b")
	r.advance(400)
	r.wantMembers(t, "after the grace time", "a")
}

// A record is removed while the store works: its upstream stops without marking itself as
// leaving. It must get no new request from now on, though it still serves for two seconds.
func TestRemovedRecordIsGoneAtOnce(t *testing.T) {
	r := newTestRecords()
	r.Listed([]burdockkv.Item{put("a", "up"), put("b", "up")})
	r.StoreRecovered(100) // a watch was cut; too short for an outage
	r.Changed([]burdockkv.Item{{Key: "a", Deleted: true}})
	r.wantMembers(t, "removed", "b")
}

// A watch stays open during an outage of the store, so the follower does not notice it. When
// the store returns, the watch reports that all records have lapsed, and callers would be
// refused until the upstreams, which are alive, have written them again.
func TestRecordsThatLapsedInAnUndetectedOutage(t *testing.T) {
	r := newTestRecords()
	r.Listed([]burdockkv.Item{put("a", "up"), put("b", "up"), put("c", "up"), put("d", "up")})
	r.Changed([]burdockkv.Item{{Key: "a", Deleted: true}, {Key: "b", Deleted: true}, {Key: "c", Deleted: true}})
	r.wantMembers(t, "on the store's return", "a b c d")
	r.Changed([]burdockkv.Item{{Key: "d", Deleted: true}})
	r.advance(1000)
	r.Changed([]burdockkv.Item{put("a", "up"), put("d", "up")})
	r.advance(1300)
	r.wantMembers(t, "after the grace time", "a d")
}

// Upstreams that were leaving are removed at once, however many they are.
func TestManyLeavingUpstreamsAreGoneAtOnce(t *testing.T) {
	r := newTestRecords()
	r.Listed([]burdockkv.Item{put("a", "leaving"), put("b", "leaving"), put("c", "leaving"), put("d", "up")})
	r.Changed([]burdockkv.Item{{Key: "a", Deleted: true}, {Key: "b", Deleted: true}, {Key: "c", Deleted: true}})
	if got, want := len(r.site.Now().Upstreams), 1; got != want {
		t.Errorf("upstreams: got %d, want %d", got, want)
	}
}

// inEra returns the record as a store in an era returns it.
func inEra(item burdockkv.Item, era burdockkv.Era) burdockkv.Item {
	item.Modified.Era, item.Created.Era = era, era
	return item
}

// The store is restored from a copy that is some seconds old. In it, an upstream that has
// begun to leave is still ready, one that has gone is still there, and one that came since
// is missing. Requests must not go to the first two, and the third must stay a member until
// it has written its record again.
func TestStoreEraKeepsNewerMembership(t *testing.T) {
	r := newTestRecords()
	r.Listed([]burdockkv.Item{inEra(put("leaves", "up"), 1), inEra(put("gone", "up"), 1), inEra(put("stays", "up"), 1)})
	r.Changed([]burdockkv.Item{inEra(put("leaves", "leaving"), 1), {Key: "gone", Deleted: true}, inEra(put("new", "up"), 1)})
	r.wantMembers(t, "before", "new stays")
	r.StoreRestored()
	r.Listed([]burdockkv.Item{inEra(put("leaves", "up"), 2), inEra(put("gone", "up"), 2), inEra(put("stays", "up"), 2)})
	r.wantMembers(t, "after the store's return", "new stays")
	r.advance(1000)
	r.Changed([]burdockkv.Item{inEra(put("new", "up"), 2)})
	r.advance(2000)
	r.wantMembers(t, "after the grace time", "new stays")
	r.Changed([]burdockkv.Item{inEra(put("gone", "up"), 2)})
	r.wantMembers(t, "an upstream that writes its record is alive", "gone new stays")
}

// The copy lacks an evacuation that began since it was made. Requests must not go back to
// the data centre before the operators have written the evacuation again.
func TestStoreEraKeepsEvacuation(t *testing.T) {
	r := newTestRecords()
	r.topic = TopicConfig
	evacuation := burdockkv.Item{Key: "evacuate/a"}
	evacuated := func() bool { return r.site.Now().Evacuated["a"] }
	r.Changed([]burdockkv.Item{evacuation})
	r.StoreRestored()
	r.Listed(nil)
	r.advance(1000)
	if !evacuated() {
		t.Error("right after the store's return: got the evacuation ended")
	}
	r.Changed([]burdockkv.Item{evacuation})
	r.advance(3000)
	if !evacuated() {
		t.Error("written again: got the evacuation ended")
	}
	r.Listed(nil)
	if evacuated() {
		t.Error("removed while the store works: got the evacuation in force")
	}
}

// After a power cut all upstreams register again within seconds. Subscribers do work for
// all upstreams each time, so one answer of the store must lead to one snapshot.
func TestOneSnapshotPerAnswer(t *testing.T) {
	r := newTestRecords()
	snapshots := 0
	r.site.Subscribe(func(*burdocksite.Snapshot) { snapshots++ })
	var items []burdockkv.Item
	for i := range 768 {
		items = append(items, put(strconv.Itoa(i), "up"))
	}
	r.Listed(items)
	for i := range items {
		items[i].Value = []byte("leaving")
	}
	r.Changed(items)
	if got, want := snapshots, 2; got != want {
		t.Errorf("snapshots for a listing and an answer: got %d, want %d", got, want)
	}
}

func deleted(keys ...string) []burdockkv.Item {
	items := make([]burdockkv.Item, len(keys))
	for i, key := range keys {
		items[i] = burdockkv.Item{Key: key, Deleted: true}
	}
	return items
}

// Guards against requests that go on reaching upstreams which were replaced together, as if the
// store had been out.
func TestReplacedUpstreamsAreGoneAtOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		joins []string // at once before the others go
		wait  burdockclock.Millis
		more  []string // in the same answer
		want  string
	}{
		{"replacements before", []string{"e", "f", "g"}, 100, nil, "d e f g"},
		{"replacements before and in the same answer", []string{"e"}, 100, []string{"f", "g"}, "d e f g"},
		{"too few replacements to explain it: an outage", nil, 0, nil, "a b c d"},
		{"others joined long before: an outage", []string{"e", "f", "g"}, replacementWindow + 1, nil, "a b c d e f g"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRecords()
			r.Listed([]burdockkv.Item{put("a", "up"), put("b", "up"), put("c", "up"), put("d", "up")})
			for _, key := range c.joins {
				r.Changed([]burdockkv.Item{put(key, "up")})
			}
			r.advance(c.wait)
			var items []burdockkv.Item
			for _, key := range c.more {
				items = append(items, put(key, "up"))
			}
			r.Changed(append(items, deleted("a", "b", "c")...))
			r.wantMembers(t, "after the answer", c.want)
		})
	}
}
