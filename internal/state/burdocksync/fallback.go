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
	// fallbackCheck is how often a process looks whether it has to read the
	// store itself. At its start it leaves this much time to its peers, so that
	// 1,200 starts a day cost the store next to nothing.
	fallbackCheck = burdockclock.Second
	// fallbackAfter is how long no peer may have answered before the store is
	// read. With all entries gone at once, 3,800 agents read it 85 times a
	// second in all.
	fallbackAfter = 30 * burdockclock.Second
)

// Fallback reads the store for a process that follows its peers, while no
// peer is known or none answers: at the first start, or when all entries were
// replaced and have new addresses.
type Fallback struct {
	watcher *Watcher
	source  *Source
	whom    func() []string
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// NewFallback returns a Fallback that is not yet running. The addresses that
// whom returns are those that the process's puller asks.
func NewFallback(store burdockstore.Store, view *burdockconfig.View, source *Source, whom func() []string, log *zap.Logger) *Fallback {
	return &Fallback{
		watcher: NewWatcher(store, view, source, source.clock, log),
		source:  source,
		whom:    whom,
	}
}

// Start begins to look after the configuration.
func (f *Fallback) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.done.Add(1)
	go f.loop(ctx)
}

// Close ends it.
func (f *Fallback) Close() {
	f.cancel()
	f.done.Wait()
}

func (f *Fallback) loop(ctx context.Context) {
	defer f.done.Done()
	for ctx.Err() == nil {
		sleep(ctx, fallbackCheck/2+rand.N(fallbackCheck))
		if ctx.Err() != nil || !f.needed() {
			continue
		}
		f.watcher.listedAt = 0 // read all of it
		err := f.watcher.once(ctx)
		if err == nil {
			f.watcher.failures = 0
		} else if ctx.Err() == nil {
			f.watcher.failed(ctx, err)
		}
		sleep(ctx, f.rest(err))
	}
}

// rest returns how long to leave the store alone after it was asked.
//
// Load: 3,800 agents lose all entries and the store at once. Harm: each asks
// the silent store every 5 to 10 s, over 500 times a second in all, and the
// returning store is met by as many listings. A process that has a
// configuration can wait.
func (f *Fallback) rest(err error) burdockclock.Millis {
	if f.source.Ready() && (err != nil || len(f.whom()) > 0) {
		return fallbackAfter + rand.N(fallbackAfter)
	}
	return 0
}

// needed reports whether no peer can be relied on.
func (f *Fallback) needed() bool {
	if !f.source.Ready() || len(f.whom()) == 0 {
		return true
	}
	s := f.source.State()
	heard := s.PeerAgoMillis >= 0 && s.PeerAgoMillis < fallbackAfter
	read := s.StoreAgoMillis >= 0 && s.StoreAgoMillis < fallbackAfter
	return !heard && !read
}
