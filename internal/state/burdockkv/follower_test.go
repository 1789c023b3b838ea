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
	f := NewFollower(s, "", m, burdockclock.System(), zap.NewNop())
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
