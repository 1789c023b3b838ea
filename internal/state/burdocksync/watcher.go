package burdocksync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// watchWait is how long one watch waits. A waiting watch counts as a call,
	// so a longer one is cheaper; a shorter one finds a dead store sooner.
	watchWait = 10 * burdockclock.Second
	// watchGap is the least time between the starts of two watches, the first of
	// which brought something. Each write ends every waiting watch: a burst of
	// them, such as the homes of a new service's keys or a whole fleet put in
	// force, would else have 350 watchers ask again as fast as the store answers,
	// which takes two thousand reads a second. With the gap it is 700, and a
	// change that comes alone waits for nothing.
	watchGap = 500 * burdockclock.Millis(1)
	// relistLeast and relistPerKey bound how long a fault of the store's watch
	// can hide an edit from all watchers. Load: 10,000 keys, of 400 bytes each
	// in a listing, before 350 watchers. Harm: a listing every 5 minutes takes
	// 14 KB/s of a node. The time for each key holds it to 1 KB/s; what one
	// watcher of the fleet finds, the others hear of.
	relistLeast  = 5 * burdockclock.Minute
	relistPerKey = 400 * burdockclock.Millis(1)
	// retryFirst spreads the first tries after a short outage: with 350 watchers
	// the store gets 700 listings a second for half a second.
	retryFirst = burdockclock.Second
	retryMost  = 10 * burdockclock.Second
)

// Watcher follows the store for this process and all that ask it.
type Watcher struct {
	store  burdockstore.Store
	view   *burdockconfig.View
	source *Source
	log    *zap.Logger
	clock  burdockclock.Clock
	spread burdockclock.Millis // restoreSpread, but in tests

	cancel context.CancelFunc
	done   sync.WaitGroup

	failures int
	revision burdockstore.Revision
	listedAt burdockclock.Millis
	// relistAfter is drawn anew with each listing.
	relistAfter burdockclock.Millis
	spots       spots
	lost        []lostEntry // what the store has to get back, in random order
	putAt       burdockclock.Millis
}

// NewWatcher returns a watcher that is not yet running.
func NewWatcher(store burdockstore.Store, view *burdockconfig.View, source *Source, clock burdockclock.Clock, log *zap.Logger) *Watcher {
	return &Watcher{store: store, view: view, source: source, clock: clock, log: log, spread: restoreSpread}
}

// Start begins to watch.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.done.Add(1)
	go w.loop(ctx)
}

// Close ends the watch.
func (w *Watcher) Close() {
	w.cancel()
	w.done.Wait()
}

func (w *Watcher) loop(ctx context.Context) {
	defer w.done.Done()
	for ctx.Err() == nil {
		if err := w.once(ctx); err != nil && ctx.Err() == nil {
			w.failed(ctx, err)
			continue
		}
		w.failures = 0
	}
}

// once reads the whole configuration or waits for what is new.
func (w *Watcher) once(ctx context.Context) error {
	due := w.listedAt == 0 || w.failures > 0 || w.clock.Boot()-w.listedAt > w.relistAfter
	if due {
		return w.list(ctx)
	}
	wait, err := w.putBack(ctx)
	if err != nil {
		return err
	}
	if older, err := w.spots.check(ctx, w.clock.Boot(), w.store); err != nil {
		return err
	} else if older {
		w.log.Warn("the store lacks a write that it had; reading all of it")
		w.listedAt = 0
		return nil
	}
	began := w.clock.Boot()
	stored, revision, err := w.store.Watch(ctx, burdockconfig.StorePrefix, w.revision, wait)
	if err != nil {
		return err
	}
	w.take(stored)
	w.dropFound(stored)
	if revision < w.revision || len(lostOf(w.view, stored)) > 0 {
		w.listedAt = 0 // the store went back to an older state: read all of it
	}
	w.revision = revision
	if len(stored) > 0 {
		sleep(ctx, began+watchGap-w.clock.Boot())
	}
	return nil
}

// list reads the whole configuration, and notes what the store has lost.
func (w *Watcher) list(ctx context.Context) error {
	stored, err := w.read(ctx)
	if err != nil {
		return err
	}
	w.lost = append(lostOf(w.view, stored), missingFrom(w.view, stored)...)
	rand.Shuffle(len(w.lost), func(i, j int) { w.lost[i], w.lost[j] = w.lost[j], w.lost[i] })
	w.putAt = w.clock.Boot() + rand.N(w.spread)
	return nil
}

// read takes in all that the store holds.
func (w *Watcher) read(ctx context.Context) ([]burdockstore.Entry, error) {
	stored, revision, err := w.store.List(ctx, burdockconfig.StorePrefix)
	if err != nil {
		return nil, err
	}
	w.listedAt = w.clock.Boot()
	w.relistAfter = relistPause(len(stored))
	w.revision = revision
	w.take(stored)
	return stored, nil
}

func (w *Watcher) take(stored []burdockstore.Entry) {
	w.source.verify()
	w.spots.note(stored)
	var entries []burdockconfig.Entry
	for _, s := range stored {
		e, err := burdockconfig.Decode(s)
		if err != nil {
			w.log.Warn("configuration entry not readable", zap.String("key", s.Key), zap.Error(err))
			continue
		}
		entries = append(entries, e)
	}
	for _, e := range w.view.Merge(entries) {
		w.log.Info("configuration in force", zap.String("key", e.Key), zap.Uint64("version", uint64(e.Version)))
	}
	if w.view.Len() > 0 { // an empty store says only that nothing was ever applied
		w.source.fire(burdockcharts.ConfigurationEventReadStore)
	}
}

// failed waits before the next try.
//
// Load: every watcher of the fleet loses the store at one moment and finds it
// again at one moment. Harm: a returning store is met by all of them at once
// and goes down again. The pause grows, and a random part of it spreads them.
func (w *Watcher) failed(ctx context.Context, err error) {
	w.failures++
	if w.failures == 1 || !errorx.IsOfType(err, burdockstore.ErrUnavailable) {
		w.log.Warn("store does not answer", zap.Error(err))
	}
	w.source.fire(burdockcharts.ConfigurationEventLoseStore)
	sleep(ctx, retryPause(w.failures))
}

// retryPause returns how long to wait after a number of failures in a row.
func retryPause(failures int) burdockclock.Millis {
	pause := min(retryFirst<<min(failures-1, 5), retryMost)
	return pause/2 + rand.N(pause/2+1)
}

// relistPause returns how long after a listing of a number of keys the next
// one is due. Watchers that listed together, after an outage, don't meet again.
func relistPause(keys int) burdockclock.Millis {
	pause := max(relistLeast, burdockclock.Millis(keys)*relistPerKey)
	return pause/2 + rand.N(pause)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d burdockclock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
