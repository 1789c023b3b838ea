package burdockkv

import (
	"context"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// Guards against using the answer to a call that was sent before the store was restored
// and arrives after it: it describes a history that no longer exists.
func TestStoreEraNeverGoesBack(t *testing.T) {
	var eras EraTracker
	for _, c := range []struct {
		text    string
		want    Era
		wantErr bool
	}{
		{"", 0, false}, // a platform that tells no era
		{"3", 3, false},
		{"2", 0, true},
		{"", 0, true},
		{"four", 0, true},
		{"-5", 0, true},
		{"3", 3, false},
		{"4", 4, false},
	} {
		got, err := eras.Observe(c.text)
		if got != c.want || errorx.IsOfType(err, ErrEra) != c.wantErr {
			t.Errorf("Observe(%q): got %d, %v, want %d and an error %t", c.text, got, err, c.want, c.wantErr)
		}
	}
	if got, want := eras.Era(), Era(4); got != want {
		t.Errorf("era: got %d, want %d", got, want)
	}
}

// Guards against a watch that waits for the rest of its time past the changes of a new era.
func TestStoreEraEndsWaitingCalls(t *testing.T) {
	var eras EraTracker
	_, _ = eras.Observe("1")
	ctx, release, err := eras.During(context.Background(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	_, _ = eras.Observe("2")
	if got := context.Cause(ctx); !errorx.IsOfType(got, ErrRestored) {
		t.Errorf("a call of the old era: got cause %v, want ErrRestored", got)
	}
	if _, _, err := eras.During(context.Background(), 1); !errorx.IsOfType(err, ErrRestored) {
		t.Errorf("another call of the old era: got %v, want ErrRestored", err)
	}
}

// restoredSink records how often it was told that the store was restored.
type restoredSink struct {
	*Mirror
	restored chan struct{}
}

func (s *restoredSink) StoreRestored() { s.restored <- struct{}{} }

// Guards against waiting for a revision that the restored store has yet to give out again:
// the process would miss all changes until then. The keys are listed again, and keys with
// lower revisions than before replace the known ones.
func TestStoreEraListsAgainFromRestoredStore(t *testing.T) {
	sink := &restoredSink{Mirror: NewMirror(), restored: make(chan struct{}, 1)}
	restore := func(s *scriptedStore) {
		if item, _ := sink.Get("a"); string(item.Value) != "old" {
			t.Errorf("before the return: got %q, want %q", item.Value, "old")
		}
		s.value, s.era, s.rev = "copy", 2, 400
	}
	s := &scriptedStore{value: "old", era: 1, rev: 900, watches: []watchAnswer{{err: ErrRestored.New(""), before: restore}}}
	f := NewFollower(s, WatchOptions{}, sink, burdockclock.System(), zap.NewNop())
	f.Start()
	t.Cleanup(f.Close)
	<-sink.restored
	awaitValue(t, sink.Mirror, "copy")
	sink.Changed([]Item{{Key: "a", Value: []byte("written again"), Modified: Position{Era: 2, Revision: 401}}})
	awaitValue(t, sink.Mirror, "written again")
	sink.Changed([]Item{{Key: "a", Value: []byte("late"), Modified: Position{Era: 1, Revision: 950}}})
	awaitValue(t, sink.Mirror, "written again")
	s.mu.Lock()
	defer s.mu.Unlock()
	if got, want := s.reads[len(s.reads)-1], ReadLatest; got != want {
		t.Errorf("the listing after the return: got read mode %d, want %d", got, want)
	}
}

// A process that starts knows nothing, so a cheap listing will do. What it lacks is
// reported by the watch from its position.
func TestFirstListingMayBeStale(t *testing.T) {
	s := &scriptedStore{value: "old", rev: 1, watches: []watchAnswer{
		{items: []Item{{Key: "a", Value: []byte("new"), Modified: Position{Revision: 5}}}, rev: 5},
	}}
	m := startFollower(t, s)
	awaitValue(t, m, "new")
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reads) != 1 || s.reads[0] != ReadStale {
		t.Errorf("listings: got read modes %v, want one stale", s.reads)
	}
}

// All upstreams of a large fleet register within seconds. Each process must not make a
// call for each of them, but report a single change at once.
func TestDelayGrowsWhileChangesFollow(t *testing.T) {
	f := NewFollower(nil, WatchOptions{}, nil, burdockclock.System(), zap.NewNop())
	want := []burdockclock.Millis{minWatchDelay, 450, 675, maxWatchDelay, maxWatchDelay}
	for i, want := range want {
		if got := f.nextDelay(5); got != want && i > 0 {
			t.Errorf("delay %d: got %d ms, want %d ms", i, got, want)
		}
	}
	if got, want := f.nextDelay(5000), minWatchDelay; got != want {
		t.Errorf("after a pause: got %d ms, want %d ms", got, want)
	}
}

// prefixStore returns one key under each prefix that is listed, and two changes in the
// first watch.
type prefixStore struct {
	scriptedStore
	listed []string
}

func (s *prefixStore) List(_ context.Context, prefix string, _ Read) ([]Item, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = append(s.listed, prefix)
	// Each listing is older than the one before, as stale copies may be.
	return []Item{{Key: prefix + "1"}}, Position{Revision: Revision(10 - len(s.listed))}, nil
}

// One watch serves all prefixes, from the oldest of their listings on, and each sink gets
// the keys under its own prefix.
func TestRoutedFollowerSplitsByPrefix(t *testing.T) {
	s := &prefixStore{}
	s.watches = []watchAnswer{{items: []Item{
		{Key: "b/2"}, {Key: "c/2"}, {Key: "a", Value: []byte("new")}, {Key: "b/1", Deleted: true, Modified: Position{Revision: 1}},
	}, rev: 12}}
	a, b := NewMirror(), NewMirror()
	f := NewRoutedFollower(s, WatchOptions{}, []Route{{Prefix: "a", Sink: a}, {Prefix: "b/", Sink: b}}, burdockclock.System(), zap.NewNop())
	f.Start()
	t.Cleanup(f.Close)
	awaitValue(t, a, "new")
	s.mu.Lock()
	defer s.mu.Unlock()
	if got, want := strings.Join(s.listed, " "), "a b/"; got != want {
		t.Errorf("listed: got %q, want %q", got, want)
	}
	if got, want := s.watchedAfter[0], Revision(8); got != want {
		t.Errorf("watched after revision %d, want %d", got, want)
	}
	if got, want := len(a.Items()), 2; got != want {
		t.Errorf("keys under a: got %d, want %d", got, want)
	}
}
