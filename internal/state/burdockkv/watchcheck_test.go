package burdockkv

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"go.uber.org/zap"
)

// Guards against a watch that is taken for lost while it is served, and one that waits on
// although the store has forgotten it.
func TestCheckStateTellsLostWatches(t *testing.T) {
	out := errors.New("no answer")
	type answer struct {
		revision Revision
		err      error
	}
	for _, c := range []struct {
		name          string
		coversAllKeys bool
		answers       []answer // 100 ms apart
		want          string   // verdicts: - for none, ? for doubtful, ! for lost with the outage
	}{
		{"nothing changes", true, []answer{{10, nil}, {10, nil}}, "--"},
		{"an older copy answers", true, []answer{{8, nil}, {10, nil}}, "--"},
		{"a change is on its way", true, []answer{{11, nil}, {10, nil}, {11, nil}}, "?-?"},
		{"a change does not arrive", true, []answer{{11, nil}, {11, nil}}, "?!0"},
		{"changes of other keys", false, []answer{{11, nil}, {12, nil}}, "--"},
		{"the store was silent", false, []answer{{10, nil}, {0, out}, {0, out}, {10, nil}}, "-??!200"},
		{"silent from the start", true, []answer{{0, out}, {10, nil}}, "?!100"},
	} {
		state := checkState{coversAllKeys: c.coversAllKeys, after: Position{Revision: 10}}
		got := ""
		for i, a := range c.answers {
			verdict := state.next(burdockclock.Millis(1000+100*i), Position{Revision: a.revision}, a.err)
			switch {
			case verdict.lost:
				got += fmt.Sprint("!", int64(verdict.outage))
			case verdict.doubtful:
				got += "?"
			default:
				got += "-"
			}
		}
		if got != c.want {
			t.Errorf("%s: got verdicts %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against keys that stay old for as long as a lost watch waits.
func TestLostWatchListsAgain(t *testing.T) {
	s := &scriptedStore{value: "old", rev: 5}
	m := NewMirror()
	f := NewFollower(s, WatchOptions{CheckInterval: 20}, m, burdockclock.System(), zap.NewNop())
	f.Start()
	t.Cleanup(f.Close)
	awaitValue(t, m, "old")
	s.mu.Lock()
	s.value, s.rev = "new", 6 // and no watch reports it
	s.mu.Unlock()
	awaitValue(t, m, "new")
}

// Guards against checks that outlive their watch.
func TestCheckEndsWithItsWatch(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	check := &watchCheck{store: &scriptedStore{}, clock: burdockclock.System(), interval: burdockclock.Minute, cancel: cancel}
	done := make(chan struct{})
	go func() {
		defer close(done)
		check.run(ctx)
	}()
	cancel(nil)
	<-done
}
