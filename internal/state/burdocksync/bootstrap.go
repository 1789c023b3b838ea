package burdocksync

import (
	"context"
	"math/rand/v2"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/platform/burdockstore"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"go.uber.org/zap"
)

// bootstrapAfter is how long a process that starts waits for a peer before it
// reads the store itself: 1,200 starts a day should cost the store nothing.
const bootstrapAfter = burdockclock.Second

// Bootstrap reads the store, until it answers once, for a process that knows
// no peer yet.
type Bootstrap struct {
	watcher *Watcher
	view    *burdockconfig.View
	source  *Source
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// NewBootstrap returns a Bootstrap that is not yet running.
func NewBootstrap(store burdockstore.Store, view *burdockconfig.View, source *Source, log *zap.Logger) *Bootstrap {
	return &Bootstrap{
		watcher: NewWatcher(store, view, source, source.clock, log),
		view:    view,
		source:  source,
	}
}

// Start begins to look for a configuration.
func (b *Bootstrap) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.done.Add(1)
	go b.loop(ctx)
}

// Close ends the search.
func (b *Bootstrap) Close() {
	b.cancel()
	b.done.Wait()
}

// loop ends once the process has a configuration; from then on its peers keep
// it up to date.
func (b *Bootstrap) loop(ctx context.Context) {
	defer b.done.Done()
	sleep(ctx, bootstrapAfter/2+rand.N(bootstrapAfter))
	for ctx.Err() == nil && !b.source.Ready() {
		if err := b.watcher.once(ctx); err != nil && ctx.Err() == nil {
			b.watcher.failed(ctx, err)
			continue
		}
		if b.view.Len() == 0 {
			sleep(ctx, bootstrapAfter) // an empty store: nothing was ever applied
		}
	}
}
