package burdocksync

import (
	"context"
	"math/rand/v2"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"go.uber.org/zap"
)

const (
	// fallbackCheckInterval is the mean time between two checks of whether a process has
	// to read the store itself. It also gives peers this much time at a process's start:
	// 1,200 starts a day then cost the store next to nothing.
	fallbackCheckInterval = burdockclock.Second
	// fallbackDelay is how long no peer must have answered before a process reads the
	// store. If all entries are lost at once, 3,800 agents together read it 85 times a
	// second.
	fallbackDelay = 30 * burdockclock.Second
)

// Fallback reads the store for a process that otherwise gets its configuration from
// peers. It does so while no peer is known or none answers: at the first start, or after
// all entries were replaced and have new addresses.
type Fallback struct {
	watcher   *Watcher
	source    *Source
	addresses func() []string
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// NewFallback returns a Fallback that is not yet running. addresses returns the peers
// that the process's Puller asks.
func NewFallback(store burdockstore.Store, view *burdockconfig.View, source *Source, addresses func() []string, log *zap.Logger) *Fallback {
	return &Fallback{
		watcher:   NewWatcher(store, view, source, source.clock, log),
		source:    source,
		addresses: addresses,
	}
}

// Start begins to check the peers in the background.
func (f *Fallback) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.done.Add(1)
	go f.loop(ctx)
}

// Close stops the background checks and waits for them to end.
func (f *Fallback) Close() {
	f.cancel()
	f.done.Wait()
}

func (f *Fallback) loop(ctx context.Context) {
	defer f.done.Done()
	for ctx.Err() == nil {
		sleep(ctx, fallbackCheckInterval/2+rand.N(fallbackCheckInterval))
		if ctx.Err() != nil || !f.needed() {
			continue
		}
		f.watcher.listedAt = 0 // list everything
		err := f.watcher.once(ctx)
		if err == nil {
			f.watcher.failures = 0
		} else if ctx.Err() == nil {
			f.watcher.backOff(ctx, err)
		}
		sleep(ctx, f.pauseAfter(err))
	}
}

// pauseAfter returns how long to wait after a read of the store, beyond the usual check
// interval; err is the read's error.
//
// When 3,800 agents lose all entries and the store at once, each would ask the store
// every 5 to 10 s, over 500 times a second in all, and send it as many listings when it
// returns. A process that already has a configuration can wait longer.
func (f *Fallback) pauseAfter(err error) burdockclock.Millis {
	if f.source.Ready() && (err != nil || len(f.addresses()) > 0) {
		return fallbackDelay + rand.N(fallbackDelay)
	}
	return 0
}

// needed reports whether the store has to be read: the process has no configuration, no
// peer is known, or neither a peer nor the store has answered within fallbackDelay.
func (f *Fallback) needed() bool {
	if !f.source.Ready() || len(f.addresses()) == 0 {
		return true
	}
	s := f.source.State()
	peerRecent := s.PeerAgoMillis >= 0 && s.PeerAgoMillis < fallbackDelay
	storeRecent := s.StoreAgoMillis >= 0 && s.StoreAgoMillis < fallbackDelay
	return !peerRecent && !storeRecent
}
