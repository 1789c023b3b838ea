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

// restoreSpread is the time over which the watchers of a fleet start to write lost entries
// back to the store. The first watchers write; the others see those writes in their
// watches and skip them. The mean time between a watcher's writes is a quarter of it, so
// 350 watchers write 350 times a second in all even if the store has lost everything.
const restoreSpread = 4 * burdockclock.Second

// lostEntry is an entry that has to be written back to the store, and the store's revision
// of the entry that it replaces; 0 if the key is not there.
type lostEntry struct {
	entry    burdockconfig.Entry
	replaces burdockstore.Revision
}

// restoreNext writes back one entry that the store has lost, if that is due, and returns
// how long the next watch may wait.
//
// A store may restart from an older state after it accepted an edit that has already
// spread. Processes that start from then on would apply the configuration from before the
// edit. Each watcher holds the newer entry and writes it back; compare-and-swap ensures
// that no later edit is overwritten.
func (w *Watcher) restoreNext(ctx context.Context) (burdockclock.Millis, error) {
	if len(w.lost) == 0 {
		return watchWait, nil
	}
	if left := w.restoreAt - w.clock.Boot(); left > 0 {
		return min(left, watchWait), nil
	}
	next := w.lost[0]
	w.lost = w.lost[1:]
	w.restoreAt = w.clock.Boot() + rand.N(w.spread/2+1)
	return 1, w.restore(ctx, next)
}

// dropRestored removes entries from w.lost that others have restored or overwritten since.
func (w *Watcher) dropRestored(stored []burdockstore.Entry) {
	for _, s := range stored {
		w.lost = slices.DeleteFunc(w.lost, func(l lostEntry) bool {
			return burdockconfig.StorePrefix+l.entry.Key == s.Key
		})
	}
}

// restore writes one entry back. A conflict is no error, since another process has written
// the key in the meantime.
func (w *Watcher) restore(ctx context.Context, l lostEntry) error {
	value, err := burdockconfig.Encode(l.entry)
	if err != nil {
		return errorx.Decorate(err, "encode %s", l.entry.Key)
	}
	_, err = w.store.CompareAndSwap(ctx, burdockconfig.StorePrefix+l.entry.Key, l.replaces, value)
	if errorx.IsOfType(err, burdockstore.ErrConflict) {
		return nil
	}
	w.log.Warn("store went back, newer entry written again",
		zap.String("key", l.entry.Key), zap.Uint64("version", uint64(l.entry.Version)), zap.Error(err))
	return err
}

// lostEntries returns the entries that must replace some of those stored, because the store
// went back to an older state.
func lostEntries(view *burdockconfig.View, stored []burdockstore.Entry) []lostEntry {
	var lost []lostEntry
	for _, s := range stored {
		e, err := burdockconfig.Decode(s)
		if err != nil {
			continue // a newer release may have written it
		}
		if entry, ok := replacement(view, e); ok {
			lost = append(lost, lostEntry{entry: entry, replaces: s.Revision})
		}
	}
	return lost
}

// replacement returns the entry that the store should hold in place of e, and false if e
// may stay.
//
// The store may lose version 2 of a key and then accept another edit as version 2. Its
// operator has seen it succeed, but processes that hold the lost version keep it if its
// mark is greater. The accepted edit therefore becomes version 3, which replaces either
// one. It keeps its mark, so all watchers write the same entry and its writer still
// recognizes it.
func replacement(view *burdockconfig.View, e burdockconfig.Entry) (burdockconfig.Entry, bool) {
	local, ok := view.Get(e.Key)
	switch {
	case !ok || local.Version < e.Version || local.Version == e.Version && local.Mark <= e.Mark:
		return burdockconfig.Entry{}, false
	case local.Version == e.Version:
		e.Version++
		return e, true
	default:
		return local, true
	}
}

// missingEntries returns the entries of view whose keys a complete listing lacks.
func missingEntries(view *burdockconfig.View, listing []burdockstore.Entry) []lostEntry {
	stored := make(map[string]bool, len(listing))
	for _, s := range listing {
		stored[s.Key] = true
	}
	var missing []lostEntry
	for _, e := range view.All() {
		if !stored[burdockconfig.StorePrefix+e.Key] {
			missing = append(missing, lostEntry{entry: e})
		}
	}
	return missing
}
