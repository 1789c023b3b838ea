package burdockkv

import (
	"context"
	"sync"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"go.uber.org/zap"
)

// scripted is a store whose watches are answered from a script. A watch beyond
// the script waits until the test ends, as one does that hears nothing.
type scripted struct {
	mu      sync.Mutex
	value   string
	rev     Revision
	watches []watchAnswer
	afters  []Revision
}

type watchAnswer struct {
	items []Item
	rev   Revision
	err   error
}

func (s *scripted) List(context.Context, string) ([]Item, Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []Item{{Key: "a", Value: []byte(s.value), Revision: s.rev}}, s.rev, nil
}

func (s *scripted) Watch(ctx context.Context, _ string, after Revision, _ burdockclock.Millis) ([]Item, Revision, error) {
	s.mu.Lock()
	s.afters = append(s.afters, after)
	if len(s.watches) > 0 {
		answer := s.watches[0]
		s.watches = s.watches[1:]
		s.mu.Unlock()
		return answer.items, answer.rev, answer.err
	}
	s.mu.Unlock()
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (s *scripted) Write(context.Context, []Condition, []Put) (Revision, error) { return 0, nil }
func (s *scripted) Grant(context.Context, burdockclock.Millis) (LeaseID, error) { return 0, nil }
func (s *scripted) Renew(context.Context, LeaseID) error                        { return nil }
func (s *scripted) Revoke(context.Context, LeaseID) error                       { return nil }

// awaitValue waits until the mirror shows a value.
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

func follow(t *testing.T, s *scripted) *Mirror {
	t.Helper()
	m := NewMirror()
	f := NewFollower(s, WatchOptions{}, m, burdockclock.System(), zap.NewNop())
	f.Start()
	t.Cleanup(f.Close)
	return m
}

// A caller's request is refused by a route that a newer configuration has.
// The store hears no changes for a moment, then cuts all watches and drops its
// history. A watch that is opened again before the history is gone is neither
// cut nor told of what it missed, and waits for the next change. So after a
// watch was cut all keys have to be read again.
func TestCutWatchListsAgain(t *testing.T) {
	s := &scripted{value: "old", rev: 1, watches: []watchAnswer{{err: ErrUnavailable.New("connection reset")}}}
	m := follow(t, s)
	awaitValue(t, m, "old")
	s.mu.Lock()
	s.value, s.rev = "new", 2
	s.mu.Unlock()
	awaitValue(t, m, "new")
}

// A caller's request is refused by a route that a newer configuration has.
// A watch ends without a change while the store hears none, and its answer
// names the store's present revision, which lies behind a change that was not
// told. Watching on from there would miss that change for good.
func TestEmptyWatchGoesNotOn(t *testing.T) {
	s := &scripted{value: "old", rev: 1, watches: []watchAnswer{
		{rev: 7},
		{items: []Item{{Key: "a", Value: []byte("new"), Revision: 5}}, rev: 7},
	}}
	m := follow(t, s)
	awaitValue(t, m, "new")
	s.mu.Lock()
	defer s.mu.Unlock()
	if got, want := s.afters[1], Revision(1); got != want {
		t.Errorf("second watch after revision %d, want %d", got, want)
	}
}

// All processes of a large fleet read the same keys again at one moment. Nothing
// changes under a prefix for longer than the store keeps its history, and a watch
// that goes on from the revision of the last change is refused. It has to go on
// from one that the store still knows, but from none that the latest watch alone
// has seen: the store may not have heard a change by then.
func TestWatchAtRestStaysWithinTheHistory(t *testing.T) {
	s := &scripted{value: "old", rev: 1, watches: []watchAnswer{
		{rev: 7}, {rev: 9}, {rev: 12},
		{items: []Item{{Key: "a", Value: []byte("new"), Revision: 13}}, rev: 14},
	}}
	m := follow(t, s)
	awaitValue(t, m, "new")
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, want := range []Revision{1, 1, 7, 9} {
		if got := s.afters[i]; got != want {
			t.Errorf("watch %d after revision %d, want %d", i, got, want)
		}
	}
}

func TestWatchIsShorterThanTheHistory(t *testing.T) {
	for history, want := range map[burdockclock.Millis]burdockclock.Millis{0: 25_000, 20_000: 16_000, 5_000: 4_000, 60_000: 25_000} {
		if got := (WatchOptions{History: history}).wait(); got != want {
			t.Errorf("history of %d ms: got a watch of %d ms, want %d ms", history, got, want)
		}
	}
}

// Hundreds of agents start some seconds before the operators write the first
// configuration, which each of them needs. Asked again and again, the store would
// get as many calls as it takes from the whole site.
func TestPollerWaitsForWhatItNeeds(t *testing.T) {
	s := &scripted{rev: 1, watches: []watchAnswer{{items: []Item{{Key: "a", Value: []byte("first"), Revision: 2}}, rev: 2}}}
	m := NewMirror()
	p := NewPoller(s, "", m, burdockclock.Minute, func() bool { item, _ := m.Get("a"); return string(item.Value) == "first" }, zap.NewNop())
	p.Start()
	awaitValue(t, m, "first")
	p.Close()
	if got, want := len(s.afters), 1; got != want {
		t.Errorf("got %d watches, want %d", got, want)
	}
}
