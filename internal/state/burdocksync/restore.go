package burdocksync

import (
	"context"
	"math/rand/v2"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// restoreSpread is the time over which the watchers of a fleet begin to put
// back what the store has lost. The first ones write, and the others see it by
// their watches. A watcher writes once in half that time at the most, so that
// 350 watchers write 350 times a second in all, even if everything was lost.
const restoreSpread = 4 * burdockclock.Second

// lostEntry is an entry that the store has to get back, and the revision of
// what stands in its place; 0 for nothing.
type lostEntry struct {
	entry burdockconfig.Entry
	over  burdockstore.Revision
}

// putBack writes back one entry that the store has lost, when it is time, and
// returns how long the next watch may wait.
//
// Failure: the store restarts from an older state, after an edit was accepted
// and passed on. Symptom: processes that start from then on would take up what
// was in force before the edit, or lack what it added. Each watcher holds the
// newer entry and puts it back; compare-and-swap makes sure that no later
// edit is overwritten.
func (w *Watcher) putBack(ctx context.Context) (burdockclock.Millis, error) {
	if len(w.lost) == 0 {
		return watchWait, nil
	}
	if left := w.putAt - w.clock.Boot(); left > 0 {
		return min(left, watchWait), nil
	}
	next := w.lost[0]
	w.lost = w.lost[1:]
	w.putAt = w.clock.Boot() + rand.N(w.spread/2+1)
	return 1, w.put(ctx, next)
}

// dropFound drops what others have put back, or written anew.
func (w *Watcher) dropFound(stored []burdockstore.Entry) {
	for _, s := range stored {
		w.lost = slices.DeleteFunc(w.lost, func(l lostEntry) bool {
			return burdockconfig.StorePrefix+l.entry.Key == s.Key
		})
	}
}

// put writes one entry back. Only a store that does not answer is an error:
// after a conflict somebody else has written.
func (w *Watcher) put(ctx context.Context, l lostEntry) error {
	value, err := burdockconfig.Encode(l.entry)
	if err != nil {
		return errorx.Decorate(err, "encode %s", l.entry.Key)
	}
	_, err = w.store.CompareAndSwap(ctx, burdockconfig.StorePrefix+l.entry.Key, l.over, value)
	if errorx.IsOfType(err, burdockstore.ErrConflict) {
		return nil
	}
	w.log.Warn("store went back, newer entry written again",
		zap.String("key", l.entry.Key), zap.Uint64("version", uint64(l.entry.Version)), zap.Error(err))
	return err
}

// lostOf returns what must replace entries that the store holds.
func lostOf(view *burdockconfig.View, stored []burdockstore.Entry) []lostEntry {
	var lost []lostEntry
	for _, s := range stored {
		e, err := burdockconfig.Decode(s)
		if err != nil {
			continue // a newer release may have written it
		}
		if entry, ok := replacement(view, e); ok {
			lost = append(lost, lostEntry{entry: entry, over: s.Revision})
		}
	}
	return lost
}

// replacement returns what the store should hold in place of e.
//
// Failure: the store loses version 2, and accepts another edit as version 2.
// Symptom: its operator is told that it is applied, but processes that hold
// the lost one keep it if its mark is the greater. The accepted edit becomes
// version 3, which every process takes. It keeps its mark, so that all
// watchers write the same, and its writer still knows it as its own.
func replacement(view *burdockconfig.View, e burdockconfig.Entry) (burdockconfig.Entry, bool) {
	own, ok := view.Get(e.Key)
	switch {
	case !ok || own.Version < e.Version || own.Version == e.Version && own.Mark <= e.Mark:
		return burdockconfig.Entry{}, false
	case own.Version == e.Version:
		e.Version++
		return e, true
	default:
		return own, true
	}
}

// missingFrom returns the entries of which a whole listing has nothing.
func missingFrom(view *burdockconfig.View, listing []burdockstore.Entry) []lostEntry {
	held := make(map[string]bool, len(listing))
	for _, s := range listing {
		held[s.Key] = true
	}
	var missing []lostEntry
	for _, e := range view.All() {
		if !held[burdockconfig.StorePrefix+e.Key] {
			missing = append(missing, lostEntry{entry: e})
		}
	}
	return missing
}
