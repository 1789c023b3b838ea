package burdockhosted

import (
	"context"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/serve/burdockrank"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// prefixLease is the prefix of the lease keys. A key exists while the lease is held, and
// its value names the holder. The position in the store's history at which it was created
// is the fencing number; see fenceAt.
const prefixLease = prefixSystem + "lease/"

// fenceRevisionBits is the number of low bits of a fencing number that hold the revision.
// They are enough for hundreds of writes a second over years.
const fenceRevisionBits = 36

// fenceAt returns the fencing number of a lease that was created at a position.
//
// A restored store gives out revisions a second time. If they alone made the number, two
// holders could have the same one, and engines would obey both. The era is therefore the
// higher part: every number of a later era is above all of an earlier one.
func fenceAt(p burdockkv.Position) burdockid.Fence {
	return burdockid.Fence(uint64(p.Era)<<fenceRevisionBits | uint64(p.Revision))
}

// leaseStore provides leases with a holder and a fencing number on a store whose keys can
// have leases. It implements burdockrank.LeaseStore.
//
// All agents of a group keep trying to acquire its lease. An attempt makes no call to the
// store while the mirror shows a holder or the agent has to leave the first attempt to
// others.
type leaseStore struct {
	store      burdockkv.Store
	mirror     *burdockkv.Mirror
	clock      burdockclock.Clock
	assignment func() burdockrank.Assignment // rank assignment of this agent
	// announcement, if set, returns what a new holder writes together with its lease.
	announcement func() []burdockkv.Put
	log          *zap.Logger

	mu      sync.Mutex
	held    map[string]heldLease
	history map[string]leaseHistory // by lease name, as seen by this agent
}

// leaseHistory is what an agent has seen of a lease that it does not hold.
type leaseHistory struct {
	lastFence burdockid.Fence     // of the latest holder; 0 if there was none
	freeSince burdockclock.Millis // time at which the agent first saw no holder; 0 while there is one
}

type heldLease struct {
	id    burdockkv.LeaseID
	fence burdockid.Fence
}

func newLeaseStore(store burdockkv.Store, mirror *burdockkv.Mirror, clock burdockclock.Clock, assignment func() burdockrank.Assignment, log *zap.Logger) *leaseStore {
	return &leaseStore{
		store: store, mirror: mirror, clock: clock, assignment: assignment, log: log,
		held: map[string]heldLease{}, history: map[string]leaseHistory{},
	}
}

// key returns the key of the lease of this agent's group, or "" while it is in none.
func (l *leaseStore) key() string {
	group := l.assignment().Group
	if group == "" {
		return ""
	}
	return prefixLease + burdockrank.LeaseName(group)
}

// isCandidate reports whether this agent is a candidate for its group's lease.
func (l *leaseStore) isCandidate() bool {
	assignment := l.assignment()
	_, ok := candidateIndex(assignment.Rank, assignment.Ranks)
	return ok
}

// pollInterval returns the mean time between two reads of the lease by an agent that is
// not a candidate.
func (l *leaseStore) pollInterval() burdockclock.Millis {
	if _, held := l.mirror.Get(l.key()); held {
		return heldPollInterval
	}
	return freePollInterval
}

// attemptPosition returns the position at which this agent tries for a lease if it
// becomes free now.
func (l *leaseStore) attemptPosition(name string) int {
	l.mu.Lock()
	lastFence := l.history[name].lastFence
	l.mu.Unlock()
	if item, ok := l.mirror.Get(prefixLease + name); ok {
		lastFence = fenceAt(item.Created)
	}
	assignment := l.assignment()
	return attemptPosition(assignment.Rank, assignment.Ranks, lastFence)
}

// holder returns the key of the current holder as the mirror has it, and records since
// when there is none.
func (l *leaseStore) holder(name string) (burdockkv.Item, bool) {
	item, ok := l.mirror.Get(prefixLease + name)
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.history[name]
	switch {
	case ok:
		known = leaseHistory{lastFence: fenceAt(item.Created)}
	case known.freeSince == 0:
		known.freeSince = l.clock.Boot()
	}
	l.history[name] = known
	return item, ok
}

// due reports whether a free lease has been free for long enough for this agent to try
// for it.
func (l *leaseStore) due(name string) bool {
	l.mu.Lock()
	freeSince := l.history[name].freeSince
	l.mu.Unlock()
	return l.clock.Boot()-freeSince >= attemptDelay(l.attemptPosition(name))
}

// Acquire implements burdockrank.LeaseStore.
func (l *leaseStore) Acquire(ctx context.Context, name, holder string, ttl burdockclock.Millis) (burdockstore.Lease, error) {
	lease, ok := l.lookup(name)
	if !ok {
		lease, ok = l.adopt(name, holder)
	}
	var err error
	if ok {
		err = l.renew(ctx, name, lease)
	} else {
		lease, err = l.acquireFree(ctx, name, holder, ttl)
	}
	return burdockstore.Lease{Name: name, Holder: holder, Fence: lease.fence, TTL: ttl}, err
}

func (l *leaseStore) lookup(name string) (heldLease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease, ok := l.held[name]
	return lease, ok
}

// adopt finds a lease that was acquired by a write whose answer was lost.
func (l *leaseStore) adopt(name, holder string) (heldLease, bool) {
	item, ok := l.mirror.Get(prefixLease + name)
	if !ok || string(item.Value) != holder || item.Lease.IsZero() {
		return heldLease{}, false
	}
	lease := heldLease{id: item.Lease, fence: fenceAt(item.Created)}
	l.remember(name, lease)
	return lease, true
}

func (l *leaseStore) remember(name string, lease heldLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[name] = lease
}

func (l *leaseStore) forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, name)
}

func (l *leaseStore) renew(ctx context.Context, name string, lease heldLease) error {
	err := l.store.Renew(ctx, lease.id)
	if errorx.IsOfType(err, burdockkv.ErrNotFound) {
		l.forget(name)
		return burdockstore.ErrConflict.Wrap(err, "the lease %s has ended", name)
	}
	return err
}

func (l *leaseStore) acquireFree(ctx context.Context, name, holder string, ttl burdockclock.Millis) (heldLease, error) {
	if !l.mirror.Synced() {
		return heldLease{}, burdockstore.ErrUnavailable.New("the leases have not been read from the store yet")
	}
	key := prefixLease + name
	if item, ok := l.holder(name); ok {
		return heldLease{}, burdockstore.ErrConflict.New("%s is held by %s", name, item.Value)
	}
	if !l.due(name) {
		return heldLease{}, burdockstore.ErrConflict.New("other agents try for %s first", name)
	}
	id, err := l.store.Grant(ctx, ttl)
	if err != nil {
		return heldLease{}, burdockstore.ErrUnavailable.Wrap(err, "lease %s", name)
	}
	openedKey, epoch := openKey(l.assignment().Group)
	puts := []burdockkv.Put{{Key: key, Value: []byte(holder), Lease: id}, {Key: openedKey, Value: epoch}}
	if l.announcement != nil {
		puts = append(puts, l.announcement()...)
	}
	at, err := l.store.Write(ctx, []burdockkv.Condition{{Key: key}}, puts)
	switch {
	case err == nil && at.Era != id.Era:
		// The store was restored between the two calls, and the key may be attached to a
		// lease of somebody else. The mirror shows what the store holds now.
		return heldLease{}, burdockstore.ErrUnavailable.New("lease %s: the store was restored", name)
	case err == nil:
		lease := heldLease{id: id, fence: fenceAt(at)}
		l.remember(name, lease)
		return lease, nil
	case errorx.IsOfType(err, burdockkv.ErrConflict):
		// The lease would expire anyway, and no key is attached to it.
		_ = l.store.Revoke(ctx, id)
		return heldLease{}, burdockstore.ErrConflict.Wrap(err, "lease %s", name)
	}
	return heldLease{}, burdockstore.ErrUnavailable.Wrap(err, "lease %s", name)
}

// Fence implements burdockrank.LeaseStore. If the key does not exist, the last fencing number
// is not stored anywhere. The number of the store's current position is then at least as
// high, and lower than that of any later holder.
func (l *leaseStore) Fence(ctx context.Context, name string) (burdockid.Fence, error) {
	key := prefixLease + name
	items, at, err := l.store.List(ctx, key, burdockkv.ReadLatest)
	if err != nil {
		return 0, burdockstore.ErrUnavailable.Wrap(err, "fence of %s", name)
	}
	for _, item := range items {
		if item.Key == key {
			return fenceAt(item.Created), nil
		}
	}
	return fenceAt(at), nil
}

// Release implements burdockrank.LeaseStore.
func (l *leaseStore) Release(ctx context.Context, name, _ string) error {
	lease, ok := l.lookup(name)
	if !ok {
		return nil
	}
	l.forget(name)
	return l.store.Revoke(ctx, lease.id)
}
