package burdockhosted

import (
	"context"
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/serve/burdockrank"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// fakeKV is a store with leases on keys. It can lose the answer to a write.
type fakeKV struct {
	era       burdockkv.Era
	rev       burdockkv.Revision
	items     map[string]burdockkv.Item
	leases    map[burdockkv.LeaseID]bool
	next      int64
	loseWrite bool
	calls     int
}

func newFakeKV() *fakeKV {
	return &fakeKV{rev: 100, items: map[string]burdockkv.Item{}, leases: map[burdockkv.LeaseID]bool{}}
}

// now returns the store's current position.
func (f *fakeKV) now() burdockkv.Position { return burdockkv.Position{Era: f.era, Revision: f.rev} }

// Era implements burdockkv.Store.
func (f *fakeKV) Era() burdockkv.Era { return f.era }

// List implements burdockkv.Store.
func (f *fakeKV) List(_ context.Context, prefix string, _ burdockkv.Read) ([]burdockkv.Item, burdockkv.Position, error) {
	var list []burdockkv.Item
	for key, item := range f.items {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			list = append(list, item)
		}
	}
	return list, f.now(), nil
}

// Watch implements burdockkv.Store.
func (f *fakeKV) Watch(context.Context, string, burdockkv.Position, burdockclock.Millis) ([]burdockkv.Item, burdockkv.Position, error) {
	return nil, burdockkv.Position{}, burdockkv.ErrUnavailable.New("not watched here")
}

// Write implements burdockkv.Store.
func (f *fakeKV) Write(_ context.Context, conditions []burdockkv.Condition, puts []burdockkv.Put) (burdockkv.Position, error) {
	f.calls++
	for _, c := range conditions {
		if f.items[c.Key].Modified.Revision != c.Modified.Revision {
			return burdockkv.Position{}, burdockkv.ErrConflict.New("%s", c.Key)
		}
	}
	f.rev++
	for _, p := range puts {
		f.items[p.Key] = burdockkv.Item{Key: p.Key, Value: p.Value, Lease: p.Lease, Modified: f.now(), Created: f.now()}
	}
	if f.loseWrite {
		f.loseWrite = false
		return burdockkv.Position{}, burdockkv.ErrUnavailable.New("the answer is lost")
	}
	return f.now(), nil
}

// Grant implements burdockkv.Store.
func (f *fakeKV) Grant(context.Context, burdockclock.Millis) (burdockkv.LeaseID, error) {
	f.calls++
	f.next++
	id := burdockkv.LeaseID{Era: f.era, Number: f.next}
	f.leases[id] = true
	return id, nil
}

// Renew implements burdockkv.Store.
func (f *fakeKV) Renew(_ context.Context, id burdockkv.LeaseID) error {
	if !f.leases[id] {
		return burdockkv.ErrNotFound.New("%d", id.Number)
	}
	return nil
}

// Revoke implements burdockkv.Store.
func (f *fakeKV) Revoke(_ context.Context, id burdockkv.LeaseID) error {
	f.lapse(id)
	return nil
}

// lapse ends a lease and removes its keys.
func (f *fakeKV) lapse(id burdockkv.LeaseID) {
	delete(f.leases, id)
	for key, item := range f.items {
		if item.Lease == id {
			delete(f.items, key)
			f.rev++
		}
	}
}

// leaseAgent is the lease store of one agent, with a mirror that the test updates from
// the store.
type leaseAgent struct {
	*leaseStore
	store  *fakeKV
	mirror *burdockkv.Mirror
	clock  *burdockclock.Manual
}

func newLeaseAgent(store *fakeKV) *leaseAgent {
	return newLeaseAgentAt(store, burdockrank.Assignment{})
}

func newLeaseAgentAt(store *fakeKV, assignment burdockrank.Assignment) *leaseAgent {
	m, clock := burdockkv.NewMirror(), burdockclock.NewManual(1)
	l := newLeaseStore(store, m, clock.Clock(), func() burdockrank.Assignment { return assignment }, zap.NewNop())
	return &leaseAgent{leaseStore: l, store: store, mirror: m, clock: clock}
}

func (h *leaseAgent) acquire(name string) (burdockstore.Lease, error) {
	items, _, _ := h.store.List(context.Background(), prefixLease, burdockkv.ReadLatest)
	h.mirror.Listed(items)
	return h.Acquire(context.Background(), "duty", name, 1000)
}

func TestOneHolderAtATime(t *testing.T) {
	store := newFakeKV()
	a, b := newLeaseAgent(store), newLeaseAgent(store)
	first, err := a.acquire("a")
	if err != nil {
		t.Fatal(err)
	}
	calls := store.calls
	if _, err := b.acquire("b"); !errorx.IsOfType(err, burdockstore.ErrConflict) {
		t.Errorf("second holder: got %v, want a conflict", err)
	}
	if got := store.calls - calls; got != 0 {
		t.Errorf("calls while another holds the lease: got %d, want 0", got)
	}
	store.lapse(a.held["duty"].id)
	second, err := b.acquire("b")
	if err != nil || second.Fence <= first.Fence {
		t.Errorf("after it lapsed: got fence %d, %v, want one above %d", second.Fence, err, first.Fence)
	}
	if _, err := a.acquire("a"); !errorx.IsOfType(err, burdockstore.ErrConflict) {
		t.Errorf("the first holder renews: got %v, want a conflict", err)
	}
}

// The write that acquires the lease takes effect, but its answer is lost. The agent must
// recognize the lease as its own; otherwise the group has no controller.
func TestLostAnswerToLeaseWrite(t *testing.T) {
	store := newFakeKV()
	store.loseWrite = true
	a := newLeaseAgent(store)
	if _, err := a.acquire("a"); !errorx.IsOfType(err, burdockstore.ErrUnavailable) {
		t.Fatalf("got %v, want no answer", err)
	}
	lease, err := a.acquire("a")
	if err != nil || lease.Fence == 0 {
		t.Errorf("second try: got %+v, %v, want the lease", lease, err)
	}
}

// An agent starts when the lease has lapsed and its key is gone. The fencing number that
// it reads must be at least that of the previous holder and below that of the next one.
func TestFenceOfLapsedLease(t *testing.T) {
	store := newFakeKV()
	a, b := newLeaseAgent(store), newLeaseAgent(store)
	first, _ := a.acquire("a")
	store.lapse(a.held["duty"].id)
	learned, err := b.Fence(context.Background(), "duty")
	if err != nil {
		t.Fatal(err)
	}
	second, _ := b.acquire("b")
	if got := fmt.Sprint(learned >= first.Fence, learned < second.Fence); got != "true true" {
		t.Errorf("read fence %d between holders with %d and %d, want it between", learned, first.Fence, second.Fence)
	}
}

// lapsedLeaseGroup holds the agents of a group whose lease has lapsed.
type lapsedLeaseGroup struct {
	store    *fakeKV
	agents   []*leaseAgent // nil for a dead agent
	listedAt []burdockclock.Millis
	now      burdockclock.Millis
}

// newLapsedLeaseGroup returns agents that have seen a holder whose lease has lapsed.
func newLapsedLeaseGroup(ranks int, dead func(rank int) bool) *lapsedLeaseGroup {
	a := &lapsedLeaseGroup{store: newFakeKV(), listedAt: make([]burdockclock.Millis, ranks)}
	before := newLeaseAgentAt(a.store, burdockrank.Assignment{Group: "g@1", Rank: 5, Ranks: ranks})
	_, _ = before.Acquire(context.Background(), groupLease, "before", 1000)
	for rank := range ranks {
		assignment := burdockrank.Assignment{Group: "g@1", Rank: burdockid.Rank(rank), Ranks: ranks}
		h := newLeaseAgentAt(a.store, assignment)
		a.agents = append(a.agents, h)
		a.list(h)
		_, _ = h.Acquire(context.Background(), groupLease, fmt.Sprint(rank), 1000)
		if dead(rank) {
			a.agents[rank] = nil
		}
	}
	for id := range a.store.leases {
		a.store.lapse(id)
	}
	a.store.calls = 0
	return a
}

// groupLease is the name of the group's lease.
var groupLease = burdockrank.LeaseName("g@1")

func (a *lapsedLeaseGroup) list(h *leaseAgent) {
	items, _, _ := a.store.List(context.Background(), prefixLease, burdockkv.ReadLatest)
	h.mirror.Listed(items)
}

// readInterval is how old an agent's mirror may be.
func (h *leaseAgent) readInterval() burdockclock.Millis {
	if h.isCandidate() {
		return candidateWatchDelay
	}
	return h.pollInterval()
}

// run lets each agent try for the lease every 50 ms, with a mirror that is as old as it may
// be. It returns the time at which the first agent acquired the lease; 0 if
// none did.
func (a *lapsedLeaseGroup) run(until burdockclock.Millis) burdockclock.Millis {
	acquiredAt := burdockclock.Millis(0)
	for a.now = 10; a.now <= until; a.now += 10 {
		for rank, h := range a.agents {
			if h == nil {
				continue
			}
			h.clock.Advance(10)
			if a.now == 10 || a.now-a.listedAt[rank] >= h.readInterval() {
				a.listedAt[rank] = a.now
				a.list(h)
			}
			if (a.now/10+burdockclock.Millis(rank))%5 != 0 {
				continue
			}
			if _, err := h.Acquire(context.Background(), groupLease, fmt.Sprint(rank), 1000); err == nil && acquiredAt == 0 {
				acquiredAt = a.now
			}
		}
	}
	return acquiredAt
}

// Callers of a large group wait while it has no controller. If hundreds of agents try for
// a lapsed lease at once, the store is overloaded each time. A lapse must cost a handful
// of calls, and there must soon be a new holder even if many agents died together with
// the previous one.
func TestLapsedLeaseCostsFewStoreCalls(t *testing.T) {
	tests := []struct {
		name  string
		ranks int
		dead  func(rank int) bool
		limit burdockclock.Millis // maximum time without a holder
	}{
		{"all alive", 192, func(int) bool { return false }, 200},
		{"a small group", 2, func(int) bool { return false }, 200},
		{"every other one dead", 512, func(rank int) bool { return rank%2 == 0 }, 300},
		{"one data centre dead", 192, func(rank int) bool { return rank >= 90 && rank < 130 }, 400},
		{"all candidates but one dead", 192, func(rank int) bool { return rank%25 == 0 && rank != 50 }, 900},
		{"one left", 192, func(rank int) bool { return rank != 100 }, 10_000},
	}
	for _, test := range tests {
		a := newLapsedLeaseGroup(test.ranks, test.dead)
		acquiredAt := a.run(test.limit)
		if acquiredAt == 0 {
			t.Errorf("%s: no holder after %d ms", test.name, test.limit)
		}
		if got, limit := a.store.calls, 20; got > limit {
			t.Errorf("%s: got %d calls, want %d at most", test.name, got, limit)
		}
		t.Logf("%s: a holder after %d ms, %d calls", test.name, acquiredAt, a.store.calls)
	}
}
