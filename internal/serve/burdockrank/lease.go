package burdockrank

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// leaseSpread is the part of LeaseRenewInterval by which it varies, so that a store
	// that comes back isn't met by all groups at once.
	leaseSpread = 0.2
	// mostStagger bounds that for large groups.
	mostStagger    = 3 * burdockclock.Second
	releaseTimeout = time.Second
)

// LeaseName returns the name of the lease of a group.
func LeaseName(group string) string { return "group/" + group }

// leaseKeeper gets and renews the lease of a group.
type leaseKeeper struct {
	member *member
	holder string
	random *rand.Rand // of its loop alone
	held   bool       // of its loop, and after its end

	mu     sync.Mutex
	tenure tenure
}

func newLeaseKeeper(m *member, random *rand.Rand) *leaseKeeper {
	return &leaseKeeper{
		member: m, holder: string(m.upstream) + "/" + string(m.incarnation), random: random,
		tenure: tenure{ttl: m.deps.Tuning.LeaseTTL, outage: m.deps.Tuning.MaxStoreOutage},
	}
}

func (k *leaseKeeper) loop() {
	defer k.member.done.Done()
	wait := min(burdockclock.Millis(k.member.seat.Rank)*k.member.deps.Tuning.LeaseStagger, mostStagger)
	for k.member.sleep(wait) {
		k.try()
		wait = k.pause()
	}
}

// pause is the time to the next try: LeaseRenewInterval, give or take its spread, or
// LeaseRetryInterval while the lease isn't held.
func (k *leaseKeeper) pause() burdockclock.Millis {
	every := k.member.deps.Tuning.LeaseRenewInterval
	if look := k.member.deps.Tuning.LeaseRetryInterval; look > 0 && !k.held {
		every = look
	}
	return burdockclock.Millis(float64(every) * (1 + leaseSpread*(k.random.Float64()-0.5)))
}

// try gets or renews the lease. It counts from before the request: the store
// may have granted it as soon as it was asked. When there is no answer nothing
// is known, and a lease that was held lapses by itself or is believed for
// longer.
func (k *leaseKeeper) try() {
	m := k.member
	before := m.deps.Clock.Boot()
	ctx := m.ctx
	if k.held {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, k.patience().Duration())
		defer cancel()
	}
	lease, err := m.deps.Store.Acquire(ctx, LeaseName(m.seat.Group), k.holder, m.deps.Tuning.LeaseTTL)
	switch {
	case err == nil:
		if !k.held {
			m.deps.Log.Info("controls the group", zap.String("group", m.seat.Group), zap.Uint64("fence", uint64(lease.Fence)))
		}
		if !k.held {
			// The first orders go to all ranks; without their addresses they would wait to
			// be sent again.
			m.deps.Directory.Reload(ctx, m.seat.Group)
		}
		k.held = true
		m.duty.handle(burdockgroup.LeaseHeld{Lease: k.confirm(before, lease.Fence)})
	case errorx.IsOfType(err, burdockstore.ErrConflict):
		k.held = false
		k.end()
		m.duty.handle(burdockgroup.LeaseLost{})
	default:
		if believed, ok := k.believe(); ok {
			m.duty.handle(burdockgroup.LeaseHeld{Lease: believed})
		}
	}
}

// patience bounds the renewal of a lease that is held, so that one that hangs is
// over while the lease still stands.
func (k *leaseKeeper) patience() burdockclock.Millis {
	pace := k.member.deps.Tuning
	return max((pace.LeaseTTL-pace.LeaseRenewInterval)/questionsPerLease, pace.LeaseRenewInterval)
}

// questionsPerLease is how many renewals without an answer a lease outlasts: with
// one, a single lost answer would end it.
const questionsPerLease = 2

func (k *leaseKeeper) confirm(asked burdockclock.Millis, fence burdockid.Fence) burdockgroup.Lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tenure.confirm(asked, fence)
}

func (k *leaseKeeper) believe() (burdockgroup.Lease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := k.tenure.confirmed()
	lease, ok := k.tenure.believe(k.member.deps.Clock.Boot())
	if ok && first {
		k.member.deps.Log.Warn("goes on to control the group without the store", zap.String("group", k.member.seat.Group),
			zap.Uint64("fence", uint64(lease.Fence)), zap.Int64("mostMillis", int64(k.tenure.outage)))
	}
	return lease, ok
}

// confirmed reports whether the store's word is all that the lease rests on.
func (k *leaseKeeper) confirmed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tenure.confirmed()
}

// end forgets the lease, when the store or a rank says that another agent has
// it or when it lapsed.
func (k *leaseKeeper) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tenure.end()
}

// release gives the lease up early on a planned stop, so that another agent
// need not wait until it lapses. The loop must have ended.
func (k *leaseKeeper) release() {
	if !k.held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// Without an answer the lease lapses.
	_ = k.member.deps.Store.Release(ctx, LeaseName(k.member.seat.Group), k.holder)
}
