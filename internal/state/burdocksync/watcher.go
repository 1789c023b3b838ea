package burdocksync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/platform/burdockstore"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// watchWait is how long one watch waits. A waiting watch counts as a call,
	// so a longer one is cheaper; a shorter one finds a dead store sooner.
	watchWait = 10 * burdockclock.Second
	// watchGap is the least time between the starts of two calls. Each write ends
	// every waiting watch: a burst of them, such as the homes of a new service's
	// keys or a whole fleet put in force, would else have 350 watchers ask again
	// as fast as the store answers, which takes two thousand reads a second.
	// With the gap it is 700, and a change that comes alone waits for nothing.
	watchGap = 500 * burdockclock.Millis(1)
	// relistEvery bounds how long a fault of the store's watch can hide an edit.
	relistEvery = 5 * burdockclock.Minute
	retryFirst  = 500 * burdockclock.Millis(1)
	retryMost   = 10 * burdockclock.Second
)

// Watcher follows the store for this process and all that ask it.
type Watcher struct {
	store  burdockstore.Store
	view   *burdockconfig.View
	source *Source
	log    *zap.Logger
	clock  burdockclock.Clock

	cancel context.CancelFunc
	done   sync.WaitGroup

	failures int
	revision burdockstore.Revision
	listedAt burdockclock.Millis
}

// NewWatcher returns a watcher that is not yet running.
func NewWatcher(store burdockstore.Store, view *burdockconfig.View, source *Source, clock burdockclock.Clock, log *zap.Logger) *Watcher {
	return &Watcher{store: store, view: view, source: source, clock: clock, log: log}
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
		began := w.clock.Boot()
		if err := w.once(ctx); err != nil && ctx.Err() == nil {
			w.failed(ctx, err)
			continue
		}
		w.failures = 0
		sleep(ctx, began+watchGap-w.clock.Boot())
	}
}

// once reads the whole configuration or waits for what is new.
func (w *Watcher) once(ctx context.Context) error {
	due := w.listedAt == 0 || w.failures > 0 || w.clock.Boot()-w.listedAt > relistEvery
	if due {
		entries, revision, err := w.store.List(ctx, burdockconfig.StorePrefix)
		if err != nil {
			return err
		}
		w.listedAt = w.clock.Boot()
		w.take(ctx, entries, revision)
		return nil
	}
	entries, revision, err := w.store.Watch(ctx, burdockconfig.StorePrefix, w.revision, watchWait)
	if err != nil {
		return err
	}
	if revision < w.revision {
		w.listedAt = 0 // the store went back to an older state: read all of it
	}
	w.take(ctx, entries, revision)
	return nil
}

func (w *Watcher) take(ctx context.Context, stored []burdockstore.Entry, revision burdockstore.Revision) {
	w.revision = revision
	w.source.verify()
	var entries []burdockconfig.Entry
	for _, s := range stored {
		e, err := burdockconfig.Decode(s)
		if err != nil {
			w.log.Warn("configuration entry not readable", zap.String("key", s.Key), zap.Error(err))
			continue
		}
		entries = append(entries, e)
		w.restore(ctx, s, e)
	}
	for _, e := range w.view.Merge(entries) {
		w.log.Info("configuration in force", zap.String("key", e.Key), zap.Uint64("version", uint64(e.Version)))
	}
	if w.view.Len() > 0 { // an empty store says only that nothing was ever applied
		w.source.fire(burdockcharts.ConfigurationEventReadStore)
	}
}

// restore writes back an entry that the store has lost.
//
// Failure: the store restarts from an older state, after an edit was accepted
// and passed on. Symptom: processes that start from then on would take up what
// was in force before the edit. Each watcher holds the newer entry and puts it
// back; compare-and-swap makes sure that no later edit is overwritten.
func (w *Watcher) restore(ctx context.Context, stored burdockstore.Entry, e burdockconfig.Entry) {
	own, ok := w.view.Get(e.Key)
	if !ok || own.Version <= e.Version {
		return
	}
	value, err := burdockconfig.Encode(own)
	if err != nil {
		return // an entry that was decoded can be encoded
	}
	_, err = w.store.CompareAndSwap(ctx, stored.Key, stored.Revision, value)
	w.log.Warn("store went back, newer entry written again",
		zap.String("key", e.Key), zap.Uint64("storeVersion", uint64(e.Version)),
		zap.Uint64("ownVersion", uint64(own.Version)), zap.Error(err))
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
	pause := min(retryFirst<<min(w.failures-1, 5), retryMost)
	sleep(ctx, pause/2+rand.N(pause/2+1))
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
