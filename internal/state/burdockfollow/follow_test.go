package burdockfollow

import (
	"errors"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

// textDecoder decodes "up", "leaving" and "broken" as the value of an upstream.
type textDecoder struct{}

func (textDecoder) Prefix(Topic) string { return "" }

func (textDecoder) Decode(item burdockkv.Item) Change {
	id := burdockid.Upstream(item.Key)
	switch {
	case item.Deleted:
		return UpstreamGone{ID: id}
	case string(item.Value) == "broken":
		return Unreadable{Key: item.Key, ID: id, Err: errors.New("not readable")}
	}
	return UpstreamWritten{Upstream: burdocksite.Upstream{ID: id, Service: "s", Leaving: string(item.Value) == "leaving"}}
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
