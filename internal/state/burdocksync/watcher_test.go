package burdocksync

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/standin/burdockfakestore"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"go.uber.org/zap"
)

// oldStore is a store that can be restarted from an older state, and a watcher
// that is driven step by step.
type oldStore struct {
	server  *burdockfakestore.Server
	faults  *burdockfault.Injector
	store   burdockstore.Store
	view    *burdockconfig.View
	watcher *Watcher
}

func newOldStore(t *testing.T) *oldStore {
	t.Helper()
	clock := burdockclock.System()
	o := &oldStore{server: burdockfakestore.New(clock), view: burdockconfig.NewView()}
	o.faults = burdockfault.NewInjector(o.server)
	web := httptest.NewServer(o.faults)
	t.Cleanup(web.Close)
	o.store = burdockstore.NewHTTP([]string{strings.TrimPrefix(web.URL, "http://")})
	o.watcher = NewWatcher(o.store, o.view, NewSource(clock), clock, zap.NewNop())
	o.watcher.spread = 1
	return o
}

// list lets the watcher read the whole store once, and put back what it lost.
func (o *oldStore) list(t *testing.T) {
	t.Helper()
	o.watcher.listedAt = 0
	for n := 0; n == 0 || len(o.watcher.lost) > 0; n++ {
		if err := o.watcher.once(context.Background()); err != nil {
			t.Fatalf("read the store: %v", err)
		}
	}
}

func (o *oldStore) write(t *testing.T, key, value, mark string) {
	t.Helper()
	w := NewWriter(o.store)
	w.mark = func() string { return mark }
	if _, err := w.Write(context.Background(), Edit{Key: key, Value: []byte(value), AnyBase: true}); err != nil {
		t.Fatalf("write %s: %v", key, err)
	}
}

func (o *oldStore) stored(t *testing.T, key string) burdockconfig.Entry {
	t.Helper()
	e, _, err := Read(context.Background(), o.store, key)
	if err != nil {
		t.Fatalf("read %s: %v", key, err)
	}
	return e
}

// An operator adds a key and deletes another, and both are in force. The store
// restarts from before that. Each process goes on with what was accepted, but
// one that starts from then on would not: the store lacks the added key and
// shows the deleted one again.
func TestLostKeysAreWrittenAgain(t *testing.T) {
	o := newOldStore(t)
	o.write(t, "upstream/old", "1", "a")
	o.server.Snapshot()
	o.write(t, "upstream/new", "1", "b")
	if _, err := NewWriter(o.store).Write(context.Background(), Edit{Key: "upstream/old", Deleted: true, AnyBase: true}); err != nil {
		t.Fatal(err)
	}
	o.list(t)
	o.server.Restore()
	o.list(t)
	if got := o.stored(t, "upstream/new"); got.Version != 1 || got.Mark != "b" {
		t.Errorf("added key in the store: got version %d mark %q, want 1 %q", got.Version, got.Mark, "b")
	}
	if got := o.stored(t, "upstream/old"); got.Version != 2 || !got.Deleted {
		t.Errorf("deleted key in the store: got version %d deleted %v, want 2 deleted", got.Version, got.Deleted)
	}
}

// The store loses version 2, and accepts another version 2 before anyone has
// noticed. Its operator is told that it is applied, so it must win everywhere,
// whichever mark is the greater one: no process may hold on to the lost one.
func TestSameVersionAcceptedTwice(t *testing.T) {
	for _, marks := range [][2]string{{"a", "b"}, {"b", "a"}} {
		o := newOldStore(t)
		o.write(t, "profile/bench", "1", "first")
		o.server.Snapshot()
		o.write(t, "profile/bench", "lost", marks[0])
		o.list(t)
		o.server.Restore()
		o.write(t, "profile/bench", "accepted", marks[1])
		o.list(t)
		o.list(t) // takes in what the first may have written
		got, _ := o.view.Get("profile/bench")
		if string(got.Value) != "accepted" || got.Version < 2 {
			t.Errorf("marks %v: in force got version %d %q, want %q", marks, got.Version, got.Value, "accepted")
		}
		if stored := o.stored(t, "profile/bench"); string(stored.Value) != "accepted" || stored.Version != got.Version {
			t.Errorf("marks %v: in the store got version %d %q, want version %d %q", marks, stored.Version, stored.Value, got.Version, "accepted")
		}
	}
}

// A watch answers with an older entry after the store went back. The process
// keeps what it has, reads all of the store, and puts the newer entry back.
func TestOlderWatchAnswerIsNotTaken(t *testing.T) {
	o := newOldStore(t)
	o.write(t, "profile/bench", "1", "a")
	o.server.Snapshot()
	o.write(t, "profile/bench", "2", "b")
	o.list(t)
	o.server.Restore()
	o.watcher.revision = 0 // as after an older answer
	for n := 0; n < 2 || len(o.watcher.lost) > 0; n++ {
		if err := o.watcher.once(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if got, _ := o.view.Get("profile/bench"); got.Version != burdockid.Version(2) {
		t.Errorf("in force: got version %d, want 2", got.Version)
	}
	if got := o.stored(t, "profile/bench"); got.Version != 2 {
		t.Errorf("in the store: got version %d, want 2", got.Version)
	}
}

// An operator applies a file of many edits, which the store takes within a
// second. Each one wakes every watch; a watcher that asked again at once would
// ask as often as there are edits, and 350 of them would ask tens of thousands
// of times a second. All edits are in force in the end.
func TestManyEditsCostFewWatches(t *testing.T) {
	o := newOldStore(t)
	o.write(t, "upstream/0", "1", "a")
	o.watcher.Start()
	defer o.watcher.Close()
	const edits = 200
	began := time.Now()
	for i := 1; i <= edits; i++ {
		o.write(t, fmt.Sprint("upstream/", i), "1", "a")
	}
	for deadline := began.Add(time.Minute); o.view.Len() <= edits; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("in force: got %d of %d edits", o.view.Len(), edits)
		}
	}
	most := 4 + int(time.Since(began)/watchGap.Duration())
	if got := o.faults.Counts()["GET /v1/watch"]; got > most {
		t.Errorf("watches: got %d, want at most %d", got, most)
	}
}

// The store comes back after an outage that all 350 watchers of a fleet have
// seen. They must not meet it together: no tenth of the longest pause may
// bring more than a third of them.
func TestRetriesSpread(t *testing.T) {
	const watchers, parts = 350, 10
	var counts [parts + 1]int
	for range watchers {
		counts[retryPause(6)*parts/retryMost]++
	}
	for part, n := range counts {
		if n > watchers/3 {
			t.Errorf("part %d of the pause brings %d of %d watchers", part, n, watchers)
		}
	}
	if got, most := retryPause(1), retryFirst; got > most {
		t.Errorf("first pause: got %d ms, want at most %d", got, most)
	}
}

// A listing of all keys is the dearest call. At the design's size it must take
// no more than 2 KB/s of a node; on a small fleet it is due every few minutes.
func TestListingsAreSeldom(t *testing.T) {
	const keys, bytesPerKey, mostBytesPerSecond = 10000, 400, 2000
	for range 100 {
		if got := keys * bytesPerKey / int(relistPause(keys)/burdockclock.Second); got > mostBytesPerSecond {
			t.Errorf("bytes a second: got %d, want at most %d", got, mostBytesPerSecond)
		}
		if got, most := relistPause(250), 3*relistLeast/2; got > most {
			t.Errorf("small fleet: got %d ms, want at most %d", got, most)
		}
	}
}

// The store restarts with nothing. Every watcher of a fleet holds all of it;
// if all wrote all of it at once the store would go down again. They take
// turns, and see by their watches what others have put back.
func TestWatchersShareThePuttingBack(t *testing.T) {
	const watchers, keys, settled = 8, 40, 3 * time.Second
	o := newOldStore(t)
	for i := range keys {
		o.write(t, fmt.Sprint("upstream/", i), "1", "a")
	}
	o.list(t)
	clock := burdockclock.System()
	for range watchers {
		view := burdockconfig.NewView()
		view.Merge(o.view.All())
		w := NewWatcher(o.store, view, NewSource(clock), clock, zap.NewNop())
		w.spread = 100
		w.Start()
		defer w.Close()
	}
	o.server.Restore() // nothing was kept
	before := o.faults.Counts()["PUT /v1/key"]
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		stored, _, err := o.store.List(context.Background(), burdockconfig.StorePrefix)
		if err == nil && len(stored) == keys {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("in the store again: got %d of %d keys", len(stored), keys)
		}
	}
	time.Sleep(settled) // for writes of those that have not seen it
	puts := o.faults.Counts()["PUT /v1/key"] - before
	t.Logf("writes for %d keys by %d watchers: %d", keys, watchers, puts)
	if most := keys * watchers / 2; puts > most {
		t.Errorf("writes: got %d, want at most %d", puts, most)
	}
}

// An operator's key is in force and then missing from the store, and processes
// that start from then on serve without it. The store restarts from before it
// was written; before any watch has ended, other writes carry the store's
// revision past the old one, so that the watch shows nothing of the loss.
func TestLossPassedByLaterWritesIsFound(t *testing.T) {
	o := newOldStore(t)
	o.write(t, "upstream/old", "1", "a")
	o.server.Snapshot()
	o.write(t, "upstream/new", "1", "b")
	o.list(t)
	o.server.Restore()
	for i := range 3 {
		o.write(t, "profile/bench", fmt.Sprint(i), fmt.Sprint("c", i))
	}
	for i := range 2 * spotKeys {
		o.write(t, "profile/bench", fmt.Sprint(i), fmt.Sprint("d", i)) // ends the watch
		o.watcher.spots.at = 0                                         // due
		if err := o.watcher.once(context.Background()); err != nil {
			t.Fatalf("follow the store: %v", err)
		}
		if o.watcher.listedAt == 0 {
			break
		}
	}
	if got, want := o.watcher.listedAt, burdockclock.Millis(0); got != want {
		t.Errorf("the next listing: got due after %d, want at once", o.watcher.relistAfter)
	}
	o.list(t)
	if got := o.stored(t, "upstream/new"); got.Mark != "b" {
		t.Errorf("lost key in the store: got mark %q, want %q", got.Mark, "b")
	}
}
