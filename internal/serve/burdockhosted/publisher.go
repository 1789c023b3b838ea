package burdockhosted

import (
	"context"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"go.uber.org/zap"
)

const (
	// maxPutsPerWrite is the maximum number of keys in one write.
	maxPutsPerWrite = 32
	// maxPending bounds the keys that wait to be written: those of a few seconds.
	maxPending = 256
	// publishRetryDelay is the delay after a failed write.
	publishRetryDelay = burdockclock.Second / 2
	// eraCheckInterval is how often a publisher checks whether the store was restored. The
	// check makes no call.
	eraCheckInterval = time.Second
)

// writtenBatch is a batch that the store has accepted.
type writtenBatch struct {
	puts []burdockkv.Put
	era  burdockkv.Era
	at   time.Time
}

// publisher writes notifications to other processes into the store, in the background.
//
// Many notifications can be due at once, for example when an upstream crashes while all
// its slots are taken. One write for each would load the store just when it has to
// distribute the upstreams' own changes. So they are written in batches, each under one
// lease, and expire on their own.
type publisher struct {
	store burdockkv.Store
	ttl   burdockclock.Millis
	// retryFailed repeats a write until the store has accepted it, and again after the
	// store was restored from a copy without it. Without retryFailed a failed or lost batch
	// is dropped, as it would be outdated by then.
	retryFailed bool
	log         *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{} // holds one signal

	mu      sync.Mutex
	pending []burdockkv.Put

	written []writtenBatch // not expired yet; used by the loop only
}

func newPublisher(store burdockkv.Store, ttl burdockclock.Millis, retryFailed bool, log *zap.Logger) *publisher {
	ctx, cancel := context.WithCancel(context.Background())
	return &publisher{store: store, ttl: ttl, retryFailed: retryFailed, log: log, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1)}
}

func (p *publisher) start() {
	p.done.Add(1)
	go p.loop()
}

func (p *publisher) close() {
	p.cancel()
	p.done.Wait()
}

// publish queues keys for writing. Keys beyond maxPending are dropped: other processes
// are not notified, but this one has the information anyway.
func (p *publisher) publish(puts []burdockkv.Put) {
	p.mu.Lock()
	free := maxPending - len(p.pending)
	p.pending = append(p.pending, puts[:min(len(puts), free)]...)
	p.mu.Unlock()
	if len(puts) > free {
		p.log.Warn("too many pending notifications; some were dropped", zap.Int("untold", len(puts)-free))
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *publisher) loop() {
	defer p.done.Done()
	ticker := time.NewTicker(eraCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.wake:
		case <-ticker.C:
			p.queueLost(time.Now())
		case <-p.ctx.Done():
			return
		}
		for next := p.nextBatch(); len(next) > 0; next = p.nextBatch() {
			p.write(next)
		}
	}
}

// queueLost queues the batches again that were written before the store was restored and
// have not expired.
func (p *publisher) queueLost(now time.Time) {
	era := p.store.Era()
	var kept []writtenBatch
	for _, batch := range p.written {
		switch {
		case now.Sub(batch.at) >= p.ttl.Duration():
		case batch.era != era:
			p.publish(batch.puts)
		default:
			kept = append(kept, batch)
		}
	}
	p.written = kept
}

// nextBatch removes and returns the keys for the next write.
func (p *publisher) nextBatch() []burdockkv.Put {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.pending), maxPutsPerWrite)
	next := p.pending[:n:n]
	p.pending = p.pending[n:]
	return next
}

func (p *publisher) write(puts []burdockkv.Put) {
	for p.ctx.Err() == nil {
		err := p.writeOnce(puts)
		if err == nil {
			return
		}
		p.log.Warn("failed to write notifications", zap.String("first", puts[0].Key), zap.Int("keys", len(puts)), zap.Error(err))
		if !p.retryFailed {
			return
		}
		p.waitRetry()
	}
}

func (p *publisher) waitRetry() {
	timer := time.NewTimer(publishRetryDelay.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

func (p *publisher) writeOnce(puts []burdockkv.Put) error {
	lease, err := p.store.Grant(p.ctx, p.ttl)
	if err != nil {
		return err
	}
	for i := range puts {
		puts[i].Lease = lease
	}
	at, err := p.store.Write(p.ctx, nil, puts)
	if err == nil && p.retryFailed && len(p.written) < maxPending/maxPutsPerWrite {
		p.written = append(p.written, writtenBatch{puts, at.Era, time.Now()})
	}
	return err
}
