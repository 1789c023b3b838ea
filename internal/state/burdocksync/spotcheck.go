package burdocksync

import (
	"cmp"
	"context"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
)

const (
	// spotCheckInterval is the time between two spot checks. At 400 bytes for a key they
	// cost each watcher 80 bytes a second.
	spotCheckInterval = 5 * burdockclock.Second
	// spotCheckKeys is how many of the latest writes are checked in turn. A single one is
	// not enough: a key whose write was lost may have been written again since, which hides
	// the loss.
	spotCheckKeys = 4
)

// spotChecker checks whether the store still has the latest writes that a watcher has seen.
//
// A store may restart from an older state, and new writes may raise its revision past the
// old one while a single watch waits. The watcher then continues from there and does not
// notice the lost writes until the next listing, minutes later. A store can't lose a write
// and keep all later ones, so checking the latest is enough.
type spotChecker struct {
	latest []burdockstore.Entry // highest revision first
	next   int
	nextAt burdockclock.Millis // when the next check is due, on the boot clock
}

// record adds entries received from the store to the latest writes.
func (s *spotChecker) record(stored []burdockstore.Entry) {
	for _, e := range stored {
		s.latest = slices.DeleteFunc(s.latest, func(old burdockstore.Entry) bool { return old.Key == e.Key })
		s.latest = append(s.latest, burdockstore.Entry{Key: e.Key, Revision: e.Revision})
	}
	slices.SortFunc(s.latest, func(a, b burdockstore.Entry) int { return cmp.Compare(b.Revision, a.Revision) })
	s.latest = s.latest[:min(len(s.latest), spotCheckKeys)]
}

// check looks up one of the latest writes if a check is due, and reports whether the store
// has lost it.
func (s *spotChecker) check(ctx context.Context, now burdockclock.Millis, store burdockstore.Store) (bool, error) {
	if len(s.latest) == 0 || now < s.nextAt {
		return false, nil
	}
	s.nextAt = now + spotCheckInterval
	s.next++
	seen := s.latest[s.next%len(s.latest)]
	// Lists a single key, because only operators' tools use the call that gets one.
	listed, _, err := store.List(ctx, seen.Key)
	if err != nil {
		return false, err
	}
	for _, current := range listed {
		if current.Key == seen.Key && current.Revision >= seen.Revision {
			return false, nil
		}
	}
	s.latest = nil
	return true, nil
}
