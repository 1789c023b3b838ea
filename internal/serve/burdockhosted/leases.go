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

// prefixLease is that of the keys of duties. A key is there while somebody holds
// the duty; its value names the holder and its creation is the fencing number,
// which grows since the store's revisions do.
const prefixLease = prefixOwn + "lease/"

// leases makes leases with a holder and a fencing number out of a store that
// has leases on keys. It implements burdockrank.LeaseStore.
//
// All agents of a group try again and again. While the mirror shows a holder, or
// it isn't the agent's turn, a try costs no call.
type leases struct {
	store  burdockkv.Store
	mirror *burdockkv.Mirror
	clock  burdockclock.Clock
	seat   func() burdockrank.Assignment // of this agent
	log    *zap.Logger

	mu   sync.Mutex
	held map[string]heldLease
	free map[string]freeLease // as seen by this agent
}

// freeLease is what an agent knows of a lease that nobody may hold.
type freeLease struct {
	last  burdockid.Fence     // of the latest holder; 0 if there was none
	since burdockclock.Millis // 0 while somebody holds it
}

type heldLease struct {
	id    burdockkv.LeaseID
	fence burdockid.Fence
}

func newLeases(store burdockkv.Store, mirror *burdockkv.Mirror, clock burdockclock.Clock, seat func() burdockrank.Assignment, log *zap.Logger) *leases {
	return &leases{
		store: store, mirror: mirror, clock: clock, seat: seat, log: log,
		held: map[string]heldLease{}, free: map[string]freeLease{},
	}
}

// watchGap is the time after a change before this agent watches the leases again.
func (l *leases) watchGap() burdockclock.Millis {
	if l.turn(burdockrank.LeaseName(l.seat().Group)) < candidates {
		return candidateWatchGap
	}
	return othersWatchGap
}

// turn returns this agent's turn to try for a lease, were it free now.
func (l *leases) turn(name string) int {
	l.mu.Lock()
	last := l.free[name].last
	l.mu.Unlock()
	if item, ok := l.mirror.Get(prefixLease + name); ok {
		last = burdockid.Fence(item.Created)
	}
	seat := l.seat()
	return turn(seat.Rank, seat.Ranks, last)
}

// holder returns who holds a lease, as far as is known, and notes when it is free.
func (l *leases) holder(name string) (burdockkv.Item, bool) {
	item, ok := l.mirror.Get(prefixLease + name)
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.free[name]
	switch {
	case ok:
		known = freeLease{last: burdockid.Fence(item.Created)}
	case known.since == 0:
		known.since = l.clock.Boot()
	}
	l.free[name] = known
	return item, ok
}

// due reports whether it is this agent's turn to try for a lease that is free.
func (l *leases) due(name string) bool {
	l.mu.Lock()
	since := l.free[name].since
	l.mu.Unlock()
	return l.clock.Boot()-since >= turnWait(l.turn(name))
}

// Acquire implements burdockrank.LeaseStore.
func (l *leases) Acquire(ctx context.Context, name, holder string, ttl burdockclock.Millis) (burdockstore.Lease, error) {
	own, ok := l.own(name)
	if !ok {
		own, ok = l.adopt(name, holder)
	}
	var err error
	if ok {
		err = l.renew(ctx, name, own)
	} else {
		own, err = l.take(ctx, name, holder, ttl)
	}
	return burdockstore.Lease{Name: name, Holder: holder, Fence: own.fence, TTL: ttl}, err
}

func (l *leases) own(name string) (heldLease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own, ok := l.held[name]
	return own, ok
}

// adopt finds a lease whose writing had no answer and took effect.
func (l *leases) adopt(name, holder string) (heldLease, bool) {
	item, ok := l.mirror.Get(prefixLease + name)
	if !ok || string(item.Value) != holder || item.Lease == 0 {
		return heldLease{}, false
	}
	own := heldLease{id: item.Lease, fence: burdockid.Fence(item.Created)}
	l.keep(name, own)
	return own, true
}

func (l *leases) keep(name string, own heldLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[name] = own
}

func (l *leases) forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, name)
}

func (l *leases) renew(ctx context.Context, name string, own heldLease) error {
	err := l.store.Renew(ctx, own.id)
	if errorx.IsOfType(err, burdockkv.ErrNotFound) {
		l.forget(name)
		return burdockstore.ErrConflict.Wrap(err, "the lease %s has ended", name)
	}
	return err
}

func (l *leases) take(ctx context.Context, name, holder string, ttl burdockclock.Millis) (heldLease, error) {
	if !l.mirror.Known() {
		return heldLease{}, burdockstore.ErrUnavailable.New("the store has not been read yet")
	}
	key := prefixLease + name
	if item, ok := l.holder(name); ok {
		return heldLease{}, burdockstore.ErrConflict.New("%s is held by %s", name, item.Value)
	}
	if !l.due(name) {
		return heldLease{}, burdockstore.ErrConflict.New("another agent is to try for %s first", name)
	}
	id, err := l.store.Grant(ctx, ttl)
	if err != nil {
		return heldLease{}, burdockstore.ErrUnavailable.Wrap(err, "lease %s", name)
	}
	openedKey, epoch := openKey(l.seat().Group)
	rev, err := l.store.Write(ctx, []burdockkv.Condition{{Key: key}}, []burdockkv.Put{
		{Key: key, Value: []byte(holder), Lease: id},
		{Key: openedKey, Value: epoch},
	})
	switch {
	case err == nil:
		own := heldLease{id: id, fence: burdockid.Fence(rev)}
		l.keep(name, own)
		return own, nil
	case errorx.IsOfType(err, burdockkv.ErrConflict):
		// It would lapse by itself; nothing is under it.
		_ = l.store.Revoke(ctx, id)
		return heldLease{}, burdockstore.ErrConflict.Wrap(err, "lease %s", name)
	}
	return heldLease{}, burdockstore.ErrUnavailable.Wrap(err, "lease %s", name)
}

// Fence implements burdockrank.LeaseStore. A key that is not there has left its
// number behind nowhere; the store's revision is at least as high, and lower
// than that of any later holder.
func (l *leases) Fence(ctx context.Context, name string) (burdockid.Fence, error) {
	key := prefixLease + name
	items, rev, err := l.store.List(ctx, key)
	if err != nil {
		return 0, burdockstore.ErrUnavailable.Wrap(err, "fence of %s", name)
	}
	for _, item := range items {
		if item.Key == key {
			return burdockid.Fence(item.Created), nil
		}
	}
	return burdockid.Fence(rev), nil
}

// Release implements burdockrank.LeaseStore.
func (l *leases) Release(ctx context.Context, name, _ string) error {
	own, ok := l.own(name)
	if !ok {
		return nil
	}
	l.forget(name)
	return l.store.Revoke(ctx, own.id)
}
