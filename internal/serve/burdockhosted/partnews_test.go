package burdockhosted

import (
	"context"
	"fmt"
	"reflect"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockparts"
	"burdockbend.example/burdockbend/internal/serve/burdockdirect"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// newsEntry is an entry that reads what others publish in a store.
type newsEntry struct {
	*burdockdirect.Entry
	news   *partNews
	reader partNewsReader
	store  *fakeKV
}

func newNewsEntry(store *fakeKV, vm burdockid.VM) *newsEntry {
	n := &newsEntry{store: store, news: newPartNews(store, vm, zap.NewNop())}
	n.Entry = burdockdirect.New(burdockdirect.Config{}, burdockdirect.Deps{
		Clock: burdockclock.System(), Site: burdocksite.New(), Log: zap.NewNop(), Metrics: metrics.NewSet(), PartNews: n.news,
	})
	n.reader = partNewsReader{entry: n.Entry, log: zap.NewNop()}
	return n
}

// read passes all news in the store to the entry.
func (n *newsEntry) read() {
	byPrefix := map[string][]burdockkv.Item{}
	for _, prefix := range []string{prefixPartCrash, prefixPartSound, prefixPartTrial} {
		byPrefix[prefix], _, _ = n.store.List(context.Background(), prefix, burdockkv.ReadLatest)
	}
	n.reader.read(byPrefix)
}

var badPart = burdockparts.Key{Service: "s", Part: "bad"}

func (n *newsEntry) publishCrashes(upstreams ...burdockid.Upstream) {
	now := burdockclock.System().Now()
	for i, u := range upstreams {
		n.news.PublishPartCrash(burdockparts.Crash{
			Process: burdockid.Process{Upstream: u, StartedAt: 5}, Service: "s",
			At: now - burdockclock.Millis(len(upstreams)-i)*burdockclock.Second, Members: 16,
			Parts: []burdockparts.PartStarts{{Part: "bad"}}, Starts: 100,
		})
	}
	n.news.crashes.writeAll()
	n.news.sounds.writeAll()
}

func quarantined(n *newsEntry) bool {
	all := n.SuspectedParts()
	return len(all) > 0 && all[0].Quarantined
}

// Guards against entries that don't learn from each other's crashes and harmless answers, or
// stop at records that can't be read.
func TestPartNewsReachOtherEntries(t *testing.T) {
	store := newFakeKV()
	a, b, c := newNewsEntry(store, "a"), newNewsEntry(store, "b"), newNewsEntry(store, "c")
	a.publishCrashes("u1", "u2")
	b.publishCrashes("u2", "u3")
	store.items[prefixPartCrash+"u4@1/a"] = burdockkv.Item{Key: prefixPartCrash + "u4@1/a", Value: []byte("{")}
	c.read()
	if !quarantined(c) {
		t.Fatalf("part at the third entry: got %+v, want it quarantined", c.SuspectedParts())
	}
	if got, want := c.SuspectedParts()[0].Crashed, []burdockid.Upstream{"u2", "u1", "u3"}; len(got) != len(want) {
		t.Errorf("crashed upstreams: got %v, want %v in any order", got, want)
	}
	a.news.PublishPartSound(burdockparts.Sound{Key: badPart, At: burdockclock.System().Now()})
	a.news.crashes.writeAll()
	a.news.sounds.writeAll()
	c.read()
	if quarantined(c) {
		t.Error("part that another entry found harmless: got it quarantined, want it free")
	}
}

// Guards against a trial that two entries claim.
func TestTrialIsClaimedOnce(t *testing.T) {
	store := newFakeKV()
	trial := burdockparts.Trial{Key: badPart, Number: 1, At: 1}
	var claims []bool
	for _, vm := range []burdockid.VM{"a", "b", "c"} {
		newNewsEntry(store, vm).news.ClaimPartTrial(trial, func(claimed bool) { claims = append(claims, claimed) })
	}
	if want := []bool{true, false, false}; !reflect.DeepEqual(claims, want) {
		t.Errorf("claims: got %v, want %v", claims, want)
	}
}

// Guards against crashes that other entries don't hear of because a long prompt has many parts
// that turn out to be harmless.
func TestCrashIsToldBesideManyHarmlessParts(t *testing.T) {
	store := newFakeKV()
	news := newPartNews(store, "vm", zap.NewNop())
	for i := range 4 * maxPending {
		news.PublishPartSound(burdockparts.Sound{Key: burdockparts.Key{Service: "s", Part: burdockid.PromptPart(fmt.Sprint(i))}, At: 1})
	}
	news.PublishPartCrash(burdockparts.Crash{Process: burdockid.Process{Upstream: "u", StartedAt: 5}, Service: "s", At: 7})
	news.crashes.writeAll()
	items, _, _ := store.List(context.Background(), prefixPartCrash, burdockkv.ReadLatest)
	if got, want := len(items), 1; got != want {
		t.Errorf("crashes in the store: got %d, want %d", got, want)
	}
}
