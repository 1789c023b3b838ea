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
	// watchWait is how long one watch waits for a change. A longer wait needs fewer calls;
	// a shorter one detects sooner that the store has failed.
	watchWait = 10 * burdockclock.Second
	// minWatchInterval is the minimum time between the start of a watch that returned
	// changes and the start of the next one. Each write ends every waiting watch. A burst of
	// writes, such as the owners of a new service's key slots or the configuration of a
	// whole fleet, would make 350 watchers ask again as fast as the store answers, which is
	// two thousand reads a second. The interval limits it to 700, and a single change is not
	// delayed.
	minWatchInterval = 500 * burdockclock.Millis(1)
	// minRelistInterval and relistIntervalPerKey determine the time between two listings,
	// and with it how long a fault of the store's watch can hide an edit from all watchers.
	// With 10,000 keys of 400 bytes each, a listing every 5 minutes takes 14 KB/s of a node;
	// the interval per key limits that to 1 KB/s. What one of the 350 watchers finds spreads
	// to the others.
	minRelistInterval    = 5 * burdockclock.Minute
	relistIntervalPerKey = 400 * burdockclock.Millis(1)
	// firstRetryPause spreads the first retries after a short outage: the store receives
	// the listings of 350 watchers at 700 a second, for half a second.
	firstRetryPause = burdockclock.Second
	maxRetryPause   = 10 * burdockclock.Second
)

// Watcher keeps the view up to date with the store, for this process and for those that
// pull from it.
type Watcher struct {
	store  burdockstore.Store
	view   *burdockconfig.View
	source *Source
	log    *zap.Logger
	clock  burdockclock.Clock
	spread burdockclock.Millis // restoreSpread, except in tests

	cancel context.CancelFunc
	done   sync.WaitGroup

	failures int
	revision burdockstore.Revision
	listedAt burdockclock.Millis
	// relistAfter is the time from this listing to the next, random for each listing.
	relistAfter burdockclock.Millis
	spotCheck   spotChecker
	lost        []lostEntry // to be written back to the store, in random order
	restoreAt   burdockclock.Millis
}

// NewWatcher returns a watcher that is not yet running.
func NewWatcher(store burdockstore.Store, view *burdockconfig.View, source *Source, clock burdockclock.Clock, log *zap.Logger) *Watcher {
	return &Watcher{store: store, view: view, source: source, clock: clock, log: log, spread: restoreSpread}
}

// Start begins to watch in the background.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.done.Add(1)
	go w.loop(ctx)
}

// Close ends the watch and waits for the background work to stop.
func (w *Watcher) Close() {
	w.cancel()
	w.done.Wait()
}

func (w *Watcher) loop(ctx context.Context) {
	defer w.done.Done()
	for ctx.Err() == nil {
		if err := w.once(ctx); err != nil && ctx.Err() == nil {
			w.backOff(ctx, err)
			continue
		}
		w.failures = 0
	}
}

// once lists the whole configuration if that is due. Otherwise it writes back one lost
// entry, does a spot check, and watches for changes.
func (w *Watcher) once(ctx context.Context) error {
	due := w.listedAt == 0 || w.failures > 0 || w.clock.Boot()-w.listedAt > w.relistAfter
	if due {
		return w.list(ctx)
	}
	wait, err := w.restoreNext(ctx)
	if err != nil {
		return err
	}
	if older, err := w.spotCheck.check(ctx, w.clock.Boot(), w.store); err != nil {
		return err
	} else if older {
		w.log.Warn("the store has lost a write; listing all keys")
		w.listedAt = 0
		return nil
	}
	startedAt := w.clock.Boot()
	stored, revision, err := w.store.Watch(ctx, burdockconfig.StorePrefix, w.revision, wait)
	if err != nil {
		return err
	}
	w.apply(stored)
	w.dropRestored(stored)
	if revision < w.revision || len(lostEntries(w.view, stored)) > 0 {
		w.listedAt = 0 // the store went back to an older state: list everything
	}
	w.revision = revision
	if len(stored) > 0 {
		sleep(ctx, startedAt+minWatchInterval-w.clock.Boot())
	}
	return nil
}

// list reads the whole configuration and finds the entries that the store has lost.
func (w *Watcher) list(ctx context.Context) error {
	stored, err := w.readAll(ctx)
	if err != nil {
		return err
	}
	w.lost = append(lostEntries(w.view, stored), missingEntries(w.view, stored)...)
	rand.Shuffle(len(w.lost), func(i, j int) { w.lost[i], w.lost[j] = w.lost[j], w.lost[i] })
	w.restoreAt = w.clock.Boot() + rand.N(w.spread)
	return nil
}

// readAll lists and applies all entries of the store.
func (w *Watcher) readAll(ctx context.Context) ([]burdockstore.Entry, error) {
	stored, revision, err := w.store.List(ctx, burdockconfig.StorePrefix)
	if err != nil {
		return nil, err
	}
	w.listedAt = w.clock.Boot()
	w.relistAfter = relistPause(len(stored))
	w.revision = revision
	w.apply(stored)
	return stored, nil
}

func (w *Watcher) apply(stored []burdockstore.Entry) {
	w.source.markVerified()
	w.spotCheck.record(stored)
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
	if w.view.Len() > 0 { // an empty store only means that no configuration was ever written
		w.source.fire(burdockcharts.ConfigurationEventReadStore)
	}
}

// backOff records a failed call and waits before the next one.
//
// All watchers of a fleet lose the store at the same moment and reach it again at the same
// moment. If all retried at once, a store that recovers would fail again. The pause
// therefore grows, and half of it is random.
func (w *Watcher) backOff(ctx context.Context, err error) {
	w.failures++
	if w.failures == 1 || !errorx.IsOfType(err, burdockstore.ErrUnavailable) {
		w.log.Warn("store does not answer", zap.Error(err))
	}
	w.source.fire(burdockcharts.ConfigurationEventLoseStore)
	sleep(ctx, retryPause(w.failures))
}

// retryPause returns how long to wait after a number of consecutive failures.
func retryPause(failures int) burdockclock.Millis {
	pause := min(firstRetryPause<<min(failures-1, 5), maxRetryPause)
	return pause/2 + rand.N(pause/2+1)
}

// relistPause returns the time from a listing with this many keys to the next one. It is
// random, so watchers that listed at the same time after an outage spread out again.
func relistPause(keys int) burdockclock.Millis {
	pause := max(minRelistInterval, burdockclock.Millis(keys)*relistIntervalPerKey)
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
