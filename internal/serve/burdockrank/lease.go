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
	// leaseJitter is the fraction of LeaseRenewInterval by which the interval varies. It
	// keeps all groups from sending requests at the same moment to a store that has just
	// come back.
	leaseJitter = 0.2
	// maxStagger bounds the delay of the first try in large groups.
	maxStagger     = 3 * burdockclock.Second
	releaseTimeout = time.Second
)

// LeaseName returns the name of the lease of a group.
func LeaseName(group string) string { return "group/" + group }

// leaseKeeper acquires and renews the lease of a group.
type leaseKeeper struct {
	member *member
	holder string
	random *rand.Rand // used only by the loop
	held   bool       // used by the loop, and by release once the loop has ended

	mu   sync.Mutex
	term leaseTerm
}

func newLeaseKeeper(m *member, random *rand.Rand) *leaseKeeper {
	return &leaseKeeper{
		member: m, holder: string(m.upstream) + "/" + string(m.incarnation), random: random,
		term: leaseTerm{ttl: m.deps.Tuning.LeaseTTL, maxStoreOutage: m.deps.Tuning.MaxStoreOutage},
	}
}

func (k *leaseKeeper) loop() {
	defer k.member.done.Done()
	wait := min(burdockclock.Millis(k.member.assignment.Rank)*k.member.deps.Tuning.LeaseStagger, maxStagger)
	for k.member.sleep(wait) {
		k.acquire()
		wait = k.retryDelay()
	}
}

// retryDelay is the time to the next request: LeaseRenewInterval, or LeaseRetryInterval
// while the lease isn't held, with jitter.
func (k *leaseKeeper) retryDelay() burdockclock.Millis {
	interval := k.member.deps.Tuning.LeaseRenewInterval
	if retry := k.member.deps.Tuning.LeaseRetryInterval; retry > 0 && !k.held {
		interval = retry
	}
	return burdockclock.Millis(float64(interval) * (1 + leaseJitter*(k.random.Float64()-0.5)))
}

// acquire acquires or renews the lease. The lease counts from before the request, because
// the store may have granted it as soon as it received the request. Without an answer the
// state in the store is unknown: a lease that was held is extended without the store
// where that is allowed, and otherwise expires.
func (k *leaseKeeper) acquire() {
	m := k.member
	requestedAt := m.deps.Clock.Boot()
	ctx := m.ctx
	if k.held {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, k.renewTimeout().Duration())
		defer cancel()
	}
	lease, err := m.deps.Store.Acquire(ctx, LeaseName(m.assignment.Group), k.holder, m.deps.Tuning.LeaseTTL)
	switch {
	case err == nil:
		if !k.held {
			m.deps.Log.Info("controls the group", zap.String("group", m.assignment.Group), zap.Uint64("fence", uint64(lease.Fence)))
		}
		if !k.held {
			// The first orders go to all ranks. An order to a rank without a known
			// address would have to wait until it is resent.
			m.deps.Directory.Reload(ctx, m.assignment.Group)
		}
		k.held = true
		m.leadership.handle(burdockgroup.LeaseHeld{Lease: k.confirm(requestedAt, lease.Fence)})
	case errorx.IsOfType(err, burdockstore.ErrConflict):
		k.held = false
		k.drop()
		m.leadership.handle(burdockgroup.LeaseLost{})
	default:
		if extended, ok := k.extend(); ok {
			m.leadership.handle(burdockgroup.LeaseHeld{Lease: extended})
		}
	}
}

// renewTimeout bounds the renewal of a held lease, so that a renewal that hangs ends
// before the lease expires.
func (k *leaseKeeper) renewTimeout() burdockclock.Millis {
	tuning := k.member.deps.Tuning
	return max((tuning.LeaseTTL-tuning.LeaseRenewInterval)/renewalsPerLease, tuning.LeaseRenewInterval)
}

// renewalsPerLease is how many renewals without an answer a lease outlasts. With one, a
// single lost answer would end it.
const renewalsPerLease = 2

func (k *leaseKeeper) confirm(requestedAt burdockclock.Millis, fence burdockid.Fence) burdockgroup.Lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.term.confirm(requestedAt, fence)
}

func (k *leaseKeeper) extend() (burdockgroup.Lease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wasConfirmed := k.term.confirmedByStore()
	lease, ok := k.term.extend(k.member.deps.Clock.Boot())
	if ok && wasConfirmed {
		k.member.deps.Log.Warn("goes on to control the group without the store", zap.String("group", k.member.assignment.Group),
			zap.Uint64("fence", uint64(lease.Fence)), zap.Int64("mostMillis", int64(k.term.maxStoreOutage)))
	}
	return lease, ok
}

// current returns the fencing number of the lease, and whether it is held now. The clock
// keeps running while the VM is suspended, so a VM that was frozen past the end of its lease
// does not hold it when it resumes.
func (k *leaseKeeper) current() (burdockid.Fence, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.term.fence, k.term.heldAt(k.member.deps.Clock.Boot())
}

// confirmedByStore reports whether the lease is as the store confirmed it, not extended.
func (k *leaseKeeper) confirmedByStore() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.term.confirmedByStore()
}

// drop drops the lease: it has expired, or the store or a rank reported that another
// agent holds it.
func (k *leaseKeeper) drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.term.drop()
}

// release releases the lease on a planned stop, so that another agent need not wait until
// it expires. The loop must have ended.
func (k *leaseKeeper) release() {
	if !k.held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// Without an answer the lease expires by itself.
	_ = k.member.deps.Store.Release(ctx, LeaseName(k.member.assignment.Group), k.holder)
}
