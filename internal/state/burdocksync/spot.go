package burdocksync

import (
	"cmp"
	"context"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
)

const (
	// spotEvery is the time between two looks at a late write: with 400 bytes
	// for a key, 80 bytes a second of each watcher.
	spotEvery = 5 * burdockclock.Second
	// spotKeys is how many of the latest writes are looked at in turn. One that
	// was lost may have been written anew since, and then shows nothing.
	spotKeys = 4
)

// spots are the latest writes that a watcher has seen.
//
// Failure: a store restarts from an older state, and new writes carry its
// revision past the old one while a single watch waits. Symptom: the watcher
// goes on from there and holds writes that the store has lost, until the next
// listing, minutes later. The store can't lose a write and keep all later ones,
// so it is enough to look whether it still has the latest.
type spots struct {
	latest []burdockstore.Entry // the latest first
	next   int
	at     burdockclock.Millis // of the next look
}

// note takes in what the store told.
func (s *spots) note(stored []burdockstore.Entry) {
	for _, e := range stored {
		s.latest = slices.DeleteFunc(s.latest, func(old burdockstore.Entry) bool { return old.Key == e.Key })
		s.latest = append(s.latest, burdockstore.Entry{Key: e.Key, Revision: e.Revision})
	}
	slices.SortFunc(s.latest, func(a, b burdockstore.Entry) int { return cmp.Compare(b.Revision, a.Revision) })
	s.latest = s.latest[:min(len(s.latest), spotKeys)]
}

// check looks at one of the latest writes when that is due, and reports whether
// the store is older than what it told.
func (s *spots) check(ctx context.Context, now burdockclock.Millis, store burdockstore.Store) (bool, error) {
	if len(s.latest) == 0 || now < s.at {
		return false, nil
	}
	s.at = now + spotEvery
	s.next++
	seen := s.latest[s.next%len(s.latest)]
	// A listing of one key; single keys are read by operators' tools alone.
	listed, _, err := store.List(ctx, seen.Key)
	if err != nil {
		return false, err
	}
	for _, there := range listed {
		if there.Key == seen.Key && there.Revision >= seen.Revision {
			return false, nil
		}
	}
	s.latest = nil
	return true, nil
}
