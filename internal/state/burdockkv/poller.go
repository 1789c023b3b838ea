package burdockkv

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"go.uber.org/zap"
)

// Poller lists the keys under a prefix from time to time.
//
// It is for processes that run beside each of many engines and need little of the
// configuration, and not soon. With watches, each change of the configuration would cost a
// call by each of them.
type Poller struct {
	store     Store
	prefix    string
	sink      Sink
	interval  burdockclock.Millis
	satisfied func() bool
	log       *zap.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// NewPoller returns a poller that is not yet running. It lists at a random time within
// startSpread, watches until satisfied reports that the sink has what it needs, and from
// then on lists once per interval on average.
//
// Hundreds of processes may start before the keys that they need have been written. The
// watch saves the repeated listings of each of them until then.
func NewPoller(store Store, prefix string, sink Sink, interval burdockclock.Millis, satisfied func() bool, log *zap.Logger) *Poller {
	ctx, cancel := context.WithCancel(context.Background())
	return &Poller{store: store, prefix: prefix, sink: sink, interval: interval, satisfied: satisfied, log: log, ctx: ctx, cancel: cancel}
}

// Start begins to list in the background.
func (p *Poller) Start() {
	p.done.Add(1)
	go p.loop()
}

// Close stops listing and waits for the background work to end.
func (p *Poller) Close() {
	p.cancel()
	p.done.Wait()
}

func (p *Poller) loop() {
	defer p.done.Done()
	p.sleep(burdockclock.Millis(rand.Int64N(int64(startSpread))))
	for p.ctx.Err() == nil {
		items, at, err := p.store.List(p.ctx, p.prefix, ReadStale)
		if err == nil {
			p.sink.Listed(items)
			p.watchUntilSatisfied(at)
		} else if p.ctx.Err() == nil {
			p.log.Warn("store does not answer; listing again later", zap.String("prefix", p.prefix), zap.Error(err))
		}
		p.pause()
	}
}

// watchUntilSatisfied watches while the sink lacks what it needs. It returns early, for the
// next listing, if a watch fails or returns no change.
func (p *Poller) watchUntilSatisfied(at Position) {
	for !p.satisfied() && p.ctx.Err() == nil {
		items, next, err := p.store.Watch(p.ctx, p.prefix, at, pollerWatchWait)
		if err != nil || len(items) == 0 {
			return
		}
		p.sink.Changed(items)
		at = at.Later(next)
	}
}

// pollerWatchWait is how long a poller's watch waits. The poller lists again after a watch
// that had no change, so the wait need not be shorter than the store keeps its history.
const pollerWatchWait = watchWait

// startSpread is the time over which pollers that start together list first. After a power
// cut hundreds of them would otherwise fill the store's link just when the processes that
// serve callers need it.
const startSpread = burdockclock.Second

func (p *Poller) pause() {
	wait := maxRetryPause/2 + burdockclock.Millis(rand.Int64N(int64(maxRetryPause)))
	if p.satisfied() {
		wait = p.interval/2 + burdockclock.Millis(rand.Int64N(int64(p.interval)))
	}
	p.sleep(wait)
}

// sleep waits for d or until the poller is closed.
func (p *Poller) sleep(d burdockclock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}
