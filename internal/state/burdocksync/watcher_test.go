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

// rewindableStore is a store that can be restarted from an older state, with a watcher
// that the test runs step by step.
type rewindableStore struct {
	server  *burdockfakestore.Server
	faults  *burdockfault.Injector
	store   burdockstore.Store
	view    *burdockconfig.View
	watcher *Watcher
}

func newRewindableStore(t *testing.T) *rewindableStore {
	t.Helper()
	clock := burdockclock.System()
	s := &rewindableStore{server: burdockfakestore.New(clock), view: burdockconfig.NewView()}
	s.faults = burdockfault.NewInjector(s.server)
	web := httptest.NewServer(s.faults)
	t.Cleanup(web.Close)
	s.store = burdockstore.NewHTTP([]string{strings.TrimPrefix(web.URL, "http://")})
	s.watcher = NewWatcher(s.store, s.view, NewSource(clock), clock, zap.NewNop())
	s.watcher.spread = 1
	return s
}

// list makes the watcher list the store once and write back all lost entries.
func (s *rewindableStore) list(t *testing.T) {
	t.Helper()
	s.watcher.listedAt = 0
	for n := 0; n == 0 || len(s.watcher.lost) > 0; n++ {
		if err := s.watcher.once(context.Background()); err != nil {
			t.Fatalf("read the store: %v", err)
		}
	}
}

func (s *rewindableStore) write(t *testing.T, key, value, mark string) {
	t.Helper()
	w := NewWriter(s.store)
	w.mark = func() string { return mark }
	if _, err := w.Write(context.Background(), Edit{Key: key, Value: []byte(value), AnyBase: true}); err != nil {
		t.Fatalf("write %s: %v", key, err)
	}
}

func (s *rewindableStore) stored(t *testing.T, key string) burdockconfig.Entry {
	t.Helper()
	e, _, err := Read(context.Background(), s.store, key)
	if err != nil {
		t.Fatalf("read %s: %v", key, err)
	}
	return e
}

// An operator adds one key and deletes another, and all processes have applied both edits.
// The store then restarts from an earlier state that lacks the added key and contains the
// deleted one, so processes that start later would apply the wrong configuration.
func TestLostKeysAreWrittenAgain(t *testing.T) {
	s := newRewindableStore(t)
	s.write(t, "upstream/old", "1", "a")
	s.server.Snapshot()
	s.write(t, "upstream/new", "1", "b")
	if _, err := NewWriter(s.store).Write(context.Background(), Edit{Key: "upstream/old", Deleted: true, AnyBase: true}); err != nil {
		t.Fatal(err)
	}
	s.list(t)
	s.server.Restore()
	s.list(t)
	if got := s.stored(t, "upstream/new"); got.Version != 1 || got.Mark != "b" {
		t.Errorf("added key in the store: got version %d mark %q, want 1 %q", got.Version, got.Mark, "b")
	}
	if got := s.stored(t, "upstream/old"); got.Version != 2 || !got.Deleted {
		t.Errorf("deleted key in the store: got version %d deleted %v, want 2 deleted", got.Version, got.Deleted)
	}
}

// The store loses version 2, and accepts another version 2 before any watcher has noticed.
// Its operator has seen the write succeed, so this version must replace the lost one in
// every process, whichever mark is greater.
func TestSameVersionAcceptedTwice(t *testing.T) {
	for _, marks := range [][2]string{{"a", "b"}, {"b", "a"}} {
		s := newRewindableStore(t)
		s.write(t, "profile/bench", "1", "first")
		s.server.Snapshot()
		s.write(t, "profile/bench", "lost", marks[0])
		s.list(t)
		s.server.Restore()
		s.write(t, "profile/bench", "accepted", marks[1])
		s.list(t)
		s.list(t) // applies what the first listing may have written
		got, _ := s.view.Get("profile/bench")
		if string(got.Value) != "accepted" || got.Version < 2 {
			t.Errorf("marks %v: in force got version %d %q, want %q", marks, got.Version, got.Value, "accepted")
		}
		if stored := s.stored(t, "profile/bench"); string(stored.Value) != "accepted" || stored.Version != got.Version {
			t.Errorf("marks %v: in the store got version %d %q, want version %d %q", marks, stored.Version, stored.Value, got.Version, "accepted")
		}
	}
}

// A watch returns an older entry after the store went back to an older state. The process
// keeps its newer entry, lists the store, and writes the newer entry back.
func TestOlderWatchAnswerIsNotApplied(t *testing.T) {
	s := newRewindableStore(t)
	s.write(t, "profile/bench", "1", "a")
	s.server.Snapshot()
	s.write(t, "profile/bench", "2", "b")
	s.list(t)
	s.server.Restore()
	s.watcher.revision = 0 // as after an older answer
	for n := 0; n < 2 || len(s.watcher.lost) > 0; n++ {
		if err := s.watcher.once(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if got, _ := s.view.Get("profile/bench"); got.Version != burdockid.Version(2) {
		t.Errorf("in force: got version %d, want 2", got.Version)
	}
	if got := s.stored(t, "profile/bench"); got.Version != 2 {
		t.Errorf("in the store: got version %d, want 2", got.Version)
	}
}

// An operator applies a file with many edits, which the store accepts within a second. Each
// edit ends every watch. If a watcher asked again at once, it would ask once for each edit,
// and 350 watchers tens of thousands of times a second. All edits still arrive.
func TestManyEditsNeedFewWatches(t *testing.T) {
	s := newRewindableStore(t)
	s.write(t, "upstream/0", "1", "a")
	s.watcher.Start()
	defer s.watcher.Close()
	const edits = 200
	startedAt := time.Now()
	for i := 1; i <= edits; i++ {
		s.write(t, fmt.Sprint("upstream/", i), "1", "a")
	}
	for deadline := startedAt.Add(time.Minute); s.view.Len() <= edits; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("in force: got %d of %d edits", s.view.Len(), edits)
		}
	}
	maxWatches := 4 + int(time.Since(startedAt)/minWatchInterval.Duration())
	if got := s.faults.Counts()["GET /v1/watch"]; got > maxWatches {
		t.Errorf("watches: got %d, want at most %d", got, maxWatches)
	}
}

// The store returns after an outage that all 350 watchers of a fleet have noticed. Their
// retries must be spread: no tenth of the maximum pause may contain more than a third of
// them.
func TestRetriesSpread(t *testing.T) {
	const watchers, parts = 350, 10
	var counts [parts + 1]int
	for range watchers {
		counts[retryPause(6)*parts/maxRetryPause]++
	}
	for part, n := range counts {
		if n > watchers/3 {
			t.Errorf("part %d of the pause contains %d of %d watchers", part, n, watchers)
		}
	}
	if got, limit := retryPause(1), firstRetryPause; got > limit {
		t.Errorf("first pause: got %d ms, want at most %d", got, limit)
	}
}

// Listing all keys is the most expensive call. At the size that the system is designed for,
// listings must take no more than 2 KB/s of a node; on a small fleet one is due every few
// minutes.
func TestListingsAreRare(t *testing.T) {
	const keys, bytesPerKey, maxBytesPerSecond = 10000, 400, 2000
	for range 100 {
		if got := keys * bytesPerKey / int(relistPause(keys)/burdockclock.Second); got > maxBytesPerSecond {
			t.Errorf("bytes a second: got %d, want at most %d", got, maxBytesPerSecond)
		}
		if got, limit := relistPause(250), 3*minRelistInterval/2; got > limit {
			t.Errorf("small fleet: got %d ms, want at most %d", got, limit)
		}
	}
}

// The store restarts empty, and every watcher of a fleet holds the whole configuration. If
// all of them wrote all of it at once, the store would fail again. Each waits a random time
// between writes, and skips what its watches show to be restored already.
func TestWatchersShareRestore(t *testing.T) {
	const watchers, keys, settleTime = 8, 40, 3 * time.Second
	s := newRewindableStore(t)
	for i := range keys {
		s.write(t, fmt.Sprint("upstream/", i), "1", "a")
	}
	s.list(t)
	clock := burdockclock.System()
	for range watchers {
		view := burdockconfig.NewView()
		view.Merge(s.view.All())
		w := NewWatcher(s.store, view, NewSource(clock), clock, zap.NewNop())
		w.spread = 100
		w.Start()
		defer w.Close()
	}
	s.server.Restore() // an empty state, since there is no snapshot
	before := s.faults.Counts()["PUT /v1/key"]
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		stored, _, err := s.store.List(context.Background(), burdockconfig.StorePrefix)
		if err == nil && len(stored) == keys {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("restored in the store: got %d of %d keys", len(stored), keys)
		}
	}
	time.Sleep(settleTime) // lets watchers write that have not seen it yet
	puts := s.faults.Counts()["PUT /v1/key"] - before
	t.Logf("writes for %d keys by %d watchers: %d", keys, watchers, puts)
	if limit := keys * watchers / 2; puts > limit {
		t.Errorf("writes: got %d, want at most %d", puts, limit)
	}
}

// The store restarts from a state before an operator's key was written, so processes that
// start later would serve without the key. Before any watch has ended, other writes raise
// the store's revision past the old one, so the watch shows nothing of the loss.
func TestLossHiddenByLaterWritesIsFound(t *testing.T) {
	s := newRewindableStore(t)
	s.write(t, "upstream/old", "1", "a")
	s.server.Snapshot()
	s.write(t, "upstream/new", "1", "b")
	s.list(t)
	s.server.Restore()
	for i := range 3 {
		s.write(t, "profile/bench", fmt.Sprint(i), fmt.Sprint("c", i))
	}
	for i := range 2 * spotCheckKeys {
		s.write(t, "profile/bench", fmt.Sprint(i), fmt.Sprint("d", i)) // makes the watch return
		s.watcher.spotCheck.nextAt = 0                                 // due
		if err := s.watcher.once(context.Background()); err != nil {
			t.Fatalf("follow the store: %v", err)
		}
		if s.watcher.listedAt == 0 {
			break
		}
	}
	if got, want := s.watcher.listedAt, burdockclock.Millis(0); got != want {
		t.Errorf("the next listing: got due after %d, want at once", s.watcher.relistAfter)
	}
	s.list(t)
	if got := s.stored(t, "upstream/new"); got.Mark != "b" {
		t.Errorf("lost key in the store: got mark %q, want %q", got.Mark, "b")
	}
}
