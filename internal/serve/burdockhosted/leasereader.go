package burdockhosted

import (
	"context"
	"math/rand/v2"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"go.uber.org/zap"
)

// assignmentCheckInterval is how often a leaseReader checks whether its agent has moved to
// another group. The check makes no call to the store.
const assignmentCheckInterval burdockclock.Millis = 100

// leaseReader keeps the mirror of a leaseStore up to date with the lease of the agent's
// own group.
//
// A group has hundreds of agents. If all of them watched the lease, each change would cost
// a call by each of them. Only the candidates watch it. The others read it from time to
// time, as they are needed only if no candidate is left.
type leaseReader struct {
	store   burdockkv.Store
	leases  *leaseStore
	history burdockclock.Millis // how long the store keeps its history
	clock   burdockclock.Clock
	log     *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newLeaseReader(store burdockkv.Store, leases *leaseStore, history burdockclock.Millis, clock burdockclock.Clock, log *zap.Logger) *leaseReader {
	ctx, cancel := context.WithCancel(context.Background())
	return &leaseReader{store: store, leases: leases, history: history, clock: clock, log: log, ctx: ctx, cancel: cancel}
}

// Start implements storeReader.
func (r *leaseReader) Start() {
	r.done.Add(1)
	go r.loop()
}

// Close implements storeReader.
func (r *leaseReader) Close() {
	r.cancel()
	r.done.Wait()
}

func (r *leaseReader) loop() {
	defer r.done.Done()
	for r.ctx.Err() == nil {
		key := r.leases.key()
		switch {
		case key == "":
			r.sleep(assignmentCheckInterval)
		case r.leases.isCandidate():
			r.leases.mirror.Reset()
			r.follow(key)
		default:
			r.leases.mirror.Reset()
			r.poll(key)
		}
	}
}

// follow watches a lease while it is that of the agent's group.
func (r *leaseReader) follow(key string) {
	options := burdockkv.WatchOptions{Prefix: key, History: r.history, CheckInterval: watchCheckInterval, Delay: candidateWatchDelay}
	follower := burdockkv.NewFollower(r.store, options, r.leases.mirror, r.clock, r.log)
	follower.Start()
	defer follower.Close()
	for r.ctx.Err() == nil && r.leases.key() == key {
		r.sleep(assignmentCheckInterval)
	}
}

// poll reads a lease from time to time while it is that of the agent's group.
func (r *leaseReader) poll(key string) {
	for r.ctx.Err() == nil && r.leases.key() == key {
		items, _, err := r.store.List(r.ctx, key, burdockkv.ReadStale)
		interval := freePollInterval
		if err == nil {
			r.leases.mirror.Listed(items)
			interval = r.leases.pollInterval()
		}
		until := r.clock.Boot() + interval/2 + burdockclock.Millis(rand.Int64N(int64(interval)))
		for r.ctx.Err() == nil && r.leases.key() == key && r.clock.Boot() < until {
			r.sleep(assignmentCheckInterval)
		}
	}
}

// sleep waits for d or until the reader is closed.
func (r *leaseReader) sleep(d burdockclock.Millis) { sleep(r.ctx, d.Duration()) }
