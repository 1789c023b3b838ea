package burdockkv

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"go.uber.org/zap"
)

// scriptedStore is a store that answers watches from a list. When the list is used up, a
// watch waits until the test ends, as if there were no change.
type scriptedStore struct {
	mu           sync.Mutex
	value        string
	era          Era
	rev          Revision
	watches      []watchAnswer
	watchedAfter []Revision
	reads        []Read // of the listings
}

type watchAnswer struct {
	items []Item
	rev   Revision
	err   error
	// before, if set, changes the store before the answer.
	before func(s *scriptedStore)
}

func (s *scriptedStore) at(rev Revision) Position { return Position{Era: s.era, Revision: rev} }

func (s *scriptedStore) List(_ context.Context, _ string, read Read) ([]Item, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = append(s.reads, read)
	return []Item{{Key: "a", Value: []byte(s.value), Modified: s.at(s.rev)}}, s.at(s.rev), nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after Position, _ burdockclock.Millis) ([]Item, Position, error) {
	s.mu.Lock()
	s.watchedAfter = append(s.watchedAfter, after.Revision)
	if len(s.watches) > 0 {
		answer := s.watches[0]
		s.watches = s.watches[1:]
		if answer.before != nil {
			answer.before(s)
		}
		s.mu.Unlock()
		return answer.items, Position{Era: after.Era, Revision: answer.rev}, answer.err
	}
	s.mu.Unlock()
	<-ctx.Done()
	return nil, after, ctx.Err()
}

func (s *scriptedStore) Write(context.Context, []Condition, []Put) (Position, error) {
	return Position{}, nil
}

func (s *scriptedStore) Grant(context.Context, burdockclock.Millis) (LeaseID, error) {
	return LeaseID{}, nil
}

func (s *scriptedStore) Renew(context.Context, LeaseID) error  { return nil }
func (s *scriptedStore) Revoke(context.Context, LeaseID) error { return nil }

func (s *scriptedStore) Era() Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// awaitValue waits until the mirror holds a value for key "a".
func awaitValue(t *testing.T, m *Mirror, want string) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	got := ""
	for time.Now().Before(deadline) {
		item, _ := m.Get("a")
		if got = string(item.Value); got == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("got %q, want %q", got, want)
}

func startFollower(t *testing.T, s *scriptedStore) *Mirror {
	t.Helper()
	m := NewMirror()
	f := NewFollower(s, WatchOptions{}, m, burdockclock.System(), zap.NewNop())
	f.Start()
	t.Cleanup(f.Close)
	return m
}

// The store receives no changes for a moment, then cuts all watches and drops its history.
// A watch that is reopened before the history is dropped is not cut, misses the changes,
// and waits for the next one; an entry then refuses a request whose route is in the newer
// configuration. All keys must therefore be listed again after a watch was cut.
func TestCutWatchListsAgain(t *testing.T) {
	s := &scriptedStore{value: "old", rev: 1, watches: []watchAnswer{{err: ErrUnavailable.New("connection reset")}}}
	m := startFollower(t, s)
	awaitValue(t, m, "old")
	s.mu.Lock()
	s.value, s.rev = "new", 2
	s.mu.Unlock()
	awaitValue(t, m, "new")
}

// A watch ends without a change while the store receives none, but its answer has the
// store's current revision, which includes a change that was not reported. A watch after
// that revision would never see the change, and an entry would refuse a request whose
// route is in the newer configuration.
func TestEmptyWatchDoesNotAdvance(t *testing.T) {
	s := &scriptedStore{value: "old", rev: 1, watches: []watchAnswer{
		{rev: 7},
		{items: []Item{{Key: "a", Value: []byte("new"), Modified: Position{Revision: 5}}}, rev: 7},
	}}
	m := startFollower(t, s)
	awaitValue(t, m, "new")
	s.mu.Lock()
	defer s.mu.Unlock()
	if got, want := s.watchedAfter[1], Revision(1); got != want {
		t.Errorf("second watch after revision %d, want %d", got, want)
	}
}

// Nothing changes under a prefix for longer than the store keeps its history. If watches
// still started after the revision of the last change, the store would refuse them, and all
// processes of a large fleet would list the same keys at the same moment. A watch must start
// at a revision that the store still has, but not at one that only the latest watch has
// returned, because the store may not have received all changes by then.
func TestIdleWatchStaysWithinHistory(t *testing.T) {
	s := &scriptedStore{value: "old", rev: 1, watches: []watchAnswer{
		{rev: 7}, {rev: 9}, {rev: 12},
		{items: []Item{{Key: "a", Value: []byte("new"), Modified: Position{Revision: 13}}}, rev: 14},
	}}
	m := startFollower(t, s)
	awaitValue(t, m, "new")
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, want := range []Revision{1, 1, 7, 9} {
		if got := s.watchedAfter[i]; got != want {
			t.Errorf("watch %d after revision %d, want %d", i, got, want)
		}
	}
}

func TestWatchIsShorterThanHistory(t *testing.T) {
	for history, want := range map[burdockclock.Millis]burdockclock.Millis{0: 25_000, 20_000: 16_000, 5_000: 4_000, 60_000: 25_000} {
		if got := (WatchOptions{History: history}).wait(); got != want {
			t.Errorf("history of %d ms: got a watch of %d ms, want %d ms", history, got, want)
		}
	}
}

// Hundreds of agents start some seconds before the operators write the first configuration,
// which each agent needs. If they listed repeatedly, their calls alone would reach what the
// store can take from the whole site.
func TestPollerWatchesUntilSatisfied(t *testing.T) {
	s := &scriptedStore{rev: 1, watches: []watchAnswer{{items: []Item{{Key: "a", Value: []byte("first"), Modified: Position{Revision: 2}}}, rev: 2}}}
	m := NewMirror()
	p := NewPoller(s, "", m, burdockclock.Minute, func() bool { item, _ := m.Get("a"); return string(item.Value) == "first" }, zap.NewNop())
	p.Start()
	awaitValue(t, m, "first")
	p.Close()
	if got, want := len(s.watchedAfter), 1; got != want {
		t.Errorf("got %d watches, want %d", got, want)
	}
}

// Guards against final decisions by a copy of the keys that is seconds old.
func TestFirstListingIsStaleUnlessLatestIsNeeded(t *testing.T) {
	s := &scriptedStore{value: "1", rev: 5}
	settled, urgent := NewMirror(), NewMirror()
	f := NewRoutedFollower(s, WatchOptions{}, []Route{{Prefix: "a", Sink: urgent, NeedsLatest: true}, {Prefix: "b", Sink: settled}}, burdockclock.System(), zap.NewNop())
	f.Start()
	t.Cleanup(f.Close)
	awaitValue(t, settled, "1")
	s.mu.Lock()
	defer s.mu.Unlock()
	if got, want := s.reads, []Read{ReadLatest, ReadStale}; !slices.Equal(got, want) {
		t.Errorf("reads: got %v, want %v", got, want)
	}
}
