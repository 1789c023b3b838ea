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

// words decodes "up", "leaving" and "broken" as the value of an upstream.
type words struct{}

func (words) Prefix(Topic) string { return "" }

func (words) Decode(item burdockkv.Item) Change {
	id := burdockid.Upstream(item.Key)
	switch {
	case item.Deleted:
		return UpstreamGone{ID: id}
	case string(item.Value) == "broken":
		return Unreadable{Key: item.Key, ID: id, Err: errors.New("not readable")}
	}
	return UpstreamWritten{Upstream: burdocksite.Upstream{ID: id, Service: "s", Leaving: string(item.Value) == "leaving"}}
}

type records struct {
	*Records
	site  *burdocksite.Site
	clock *burdockclock.Manual
}

func newRecords() *records {
	r := &records{site: burdocksite.New(), clock: burdockclock.NewManual(1000)}
	r.Records = New(TopicUpstreams, words{}, r.site, r.clock.Clock(), zap.NewNop())
	return r
}

// pass lets time pass and what is due happen.
func (r *records) pass(d burdockclock.Millis) {
	r.clock.Advance(d)
	r.run()
}

func put(key, value string) burdockkv.Item { return burdockkv.Item{Key: key, Value: []byte(value)} }

func (r *records) members() string {
	var names []string
	for _, u := range r.site.Now().Members("s") {
		names = append(names, string(u.ID))
	}
	return strings.Join(names, " ")
}

func (r *records) want(t *testing.T, what, want string) {
	t.Helper()
	if got := r.members(); got != want {
		t.Errorf("%s: got members %q, want %q", what, got, want)
	}
}

func TestMembersFollowTheRecords(t *testing.T) {
	r := newRecords()
	r.Listed([]burdockkv.Item{put("a", "up"), put("b", "up"), put("c", "up")})
	r.want(t, "listed", "a b c")
	r.Changed([]burdockkv.Item{put("a", "leaving"), {Key: "b", Deleted: true}})
	r.want(t, "one leaves and one is gone", "c")
	r.Changed([]burdockkv.Item{put("c", "broken")})
	r.want(t, "overwritten by another writer", "")
	r.Listed([]burdockkv.Item{put("d", "up")})
	r.want(t, "listed again", "d")
}

// The store is out for longer than records last. On its return all are missing,
// and callers would be refused though every upstream lives. Those that write
// again within two seconds were never away; the others are gone then.
func TestRecordsThatLapsedInAnOutage(t *testing.T) {
	r := newRecords()
	r.Listed([]burdockkv.Item{put("a", "up"), put("b", "up")})
	r.StoreRecovered(5 * burdockclock.Second)
	r.Listed(nil)
	r.want(t, "on the store's return", "a b")
	r.pass(1000)
	r.Changed([]burdockkv.Item{put("a", "up")})
	r.pass(1000)
	r.want(t, "two seconds later", "a b")
	r.pass(400)
	r.want(t, "after the grace time", "a")
}

// A record is removed while the store runs well: its upstream leaves without a
// word and serves for two more seconds. It gets nothing new from now on.
func TestRemovedRecordIsGoneAtOnce(t *testing.T) {
	r := newRecords()
	r.Listed([]burdockkv.Item{put("a", "up"), put("b", "up")})
	r.StoreRecovered(100) // a watch was cut, which is no outage
	r.Changed([]burdockkv.Item{{Key: "a", Deleted: true}})
	r.want(t, "removed", "b")
}

// The store is out and the watch that was open before stays open: nothing tells
// of the outage. On its return the watch tells that all records have lapsed, and
// callers would be refused until their writers, who live, have put them back.
func TestRecordsThatLapsedInAnUnseenOutage(t *testing.T) {
	r := newRecords()
	r.Listed([]burdockkv.Item{put("a", "up"), put("b", "up"), put("c", "up"), put("d", "up")})
	r.Changed([]burdockkv.Item{{Key: "a", Deleted: true}, {Key: "b", Deleted: true}, {Key: "c", Deleted: true}})
	r.want(t, "on the store's return", "a b c d")
	r.Changed([]burdockkv.Item{{Key: "d", Deleted: true}})
	r.pass(1000)
	r.Changed([]burdockkv.Item{put("a", "up"), put("d", "up")})
	r.pass(1300)
	r.want(t, "after the grace time", "a d")
}

// Upstreams that have left go at once, however many they are.
func TestManyThatLeftAreGoneAtOnce(t *testing.T) {
	r := newRecords()
	r.Listed([]burdockkv.Item{put("a", "leaving"), put("b", "leaving"), put("c", "leaving"), put("d", "up")})
	r.Changed([]burdockkv.Item{{Key: "a", Deleted: true}, {Key: "b", Deleted: true}, {Key: "c", Deleted: true}})
	if got, want := len(r.site.Now().Upstreams), 1; got != want {
		t.Errorf("upstreams: got %d, want %d", got, want)
	}
}
