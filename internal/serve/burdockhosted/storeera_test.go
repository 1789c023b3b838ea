package burdockhosted

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/serve/burdockrank"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// kvCopy is a copy of a fakeKV.
type kvCopy struct {
	rev    burdockkv.Revision
	items  map[string]burdockkv.Item
	leases map[burdockkv.LeaseID]bool
	next   int64
}

func (f *fakeKV) copy() kvCopy {
	return kvCopy{f.rev, maps.Clone(f.items), maps.Clone(f.leases), f.next}
}

// restore replaces the store's state by an older copy and begins a new era. Revisions and
// lease numbers are given out again from those of the copy on.
func (f *fakeKV) restore(c kvCopy) {
	f.era++
	f.rev, f.next = c.rev, c.next
	f.items, f.leases = map[string]burdockkv.Item{}, map[burdockkv.LeaseID]bool{}
	for key, item := range c.items {
		item.Modified.Era, item.Created.Era = f.era, f.era
		if !item.Lease.IsZero() {
			item.Lease.Era = f.era
		}
		f.items[key] = item
	}
	for id := range c.leases {
		f.leases[burdockkv.LeaseID{Era: f.era, Number: id.Number}] = true
	}
}

// The store is restored from a copy without the lease. Its revisions go back, and the next
// holder's key is created at the very revision at which the first one's was. If both had
// the same fencing number, engines would obey two controllers.
func TestStoreEraMakesFencesGrow(t *testing.T) {
	store := newFakeKV()
	store.era = 1
	before := store.copy()
	a, b := newLeaseAgent(store), newLeaseAgent(store)
	first, err := a.acquire("a")
	if err != nil {
		t.Fatal(err)
	}
	store.restore(before)
	second, err := b.acquire("b")
	if err != nil || second.Fence <= first.Fence {
		t.Errorf("after the return: got fence %d, %v, want one above %d", second.Fence, err, first.Fence)
	}
	if _, err := a.acquire("a"); !errorx.IsOfType(err, burdockstore.ErrConflict) {
		t.Errorf("the first holder renews: got %v, want a conflict", err)
	}
}

// The copy still has the lease. Its holder must not go on with its old fencing number,
// which is below what agents that start now read from the store.
func TestStoreEraHolderGetsNewFence(t *testing.T) {
	store := newFakeKV()
	store.era = 1
	a, b := newLeaseAgent(store), newLeaseAgent(store)
	first, _ := a.acquire("a")
	store.restore(store.copy())
	if _, err := a.acquire("a"); !errorx.IsOfType(err, burdockstore.ErrConflict) {
		t.Fatalf("renewal: got %v, want a conflict, so that the controller stops giving orders", err)
	}
	again, err := a.acquire("a")
	if err != nil || again.Fence <= first.Fence {
		t.Errorf("the same holder: got fence %d, %v, want one above %d", again.Fence, err, first.Fence)
	}
	if got, _ := b.Fence(context.Background(), "duty"); got != again.Fence {
		t.Errorf("fence in the store: got %d, want %d", got, again.Fence)
	}
}

// leaseStep is a step of a history of two agents and a store.
type leaseStep int

const (
	stepAcquireA leaseStep = iota
	stepAcquireB
	stepLapse
	stepCopy
	stepRestore
	leaseSteps
)

// eraHistory runs a history and checks every grant against all before it.
type eraHistory struct {
	store   *fakeKV
	agents  [2]*leaseAgent
	copy    kvCopy
	holder  map[burdockid.Fence]int
	highest burdockid.Fence
}

func newEraHistory() *eraHistory {
	store := newFakeKV()
	store.era = 1
	return &eraHistory{
		store: store, agents: [2]*leaseAgent{newLeaseAgent(store), newLeaseAgent(store)}, copy: store.copy(),
		holder: map[burdockid.Fence]int{},
	}
}

// run carries out one step and returns what is wrong with it; "" if nothing is.
func (h *eraHistory) run(step leaseStep) string {
	switch step {
	case stepAcquireA, stepAcquireB:
		return h.acquire(int(step - stepAcquireA))
	case stepLapse:
		for id := range h.store.leases {
			h.store.lapse(id)
		}
	case stepCopy:
		h.copy = h.store.copy()
	case stepRestore:
		h.store.restore(h.copy)
	}
	return ""
}

func (h *eraHistory) acquire(agent int) string {
	lease, err := h.agents[agent].acquire(fmt.Sprint(agent))
	if err != nil {
		return ""
	}
	if other, given := h.holder[lease.Fence]; given && other != agent {
		return fmt.Sprintf("agents 0 and 1 both have fence %d", lease.Fence)
	}
	if lease.Fence < h.highest {
		return fmt.Sprintf("agent %d has fence %d, below %d", agent, lease.Fence, h.highest)
	}
	h.holder[lease.Fence], h.highest = agent, lease.Fence
	return ""
}

// Two agents, one lease, and a store that may be restored at any moment from a copy that
// was made at any moment: in all histories of seven steps no two agents ever have
// the same fencing number, and none is granted a lower one than was granted before.
func TestStoreEraFencesInAllHistories(t *testing.T) {
	const length = 7
	histories := 0
	steps := make([]leaseStep, length)
	var extend func(n int)
	extend = func(n int) {
		if n == length {
			histories++
			h := newEraHistory()
			for i, step := range steps {
				if wrong := h.run(step); wrong != "" {
					t.Fatalf("history %v: %s", steps[:i+1], wrong)
				}
			}
			return
		}
		for step := range leaseSteps {
			steps[n] = step
			extend(n + 1)
		}
	}
	extend(0)
	t.Logf("%d histories", histories)
}

// The copy lacks the address of an agent. Its controller could not reach the rank, so the
// agent writes its address again, and only then.
func TestStoreEraAddressIsWrittenAgain(t *testing.T) {
	store := newFakeKV()
	store.era = 1
	d := newDirectory(func(string) Rank { return nil }, "10.0.0.1:80", "10.0.0.1:7000", store, nil, zap.NewNop())
	before := store.copy()
	key := rankKey("g", 3)
	publish := func() {
		d.publishTriedAt = d.publishTriedAt.Add(-addressRetryDelay)
		d.publish(key)
		if !d.verifyAt.IsZero() {
			d.verifyAt = d.verifyAt.Add(-verifySpread)
			d.publish(key)
		}
	}
	publish()
	with := store.copy()
	store.restore(before)
	publish()
	if got, want := string(store.items[key].Value), d.value(); got != want {
		t.Errorf("address after the return: got %q, want %q", got, want)
	}
	store.restore(with)
	calls := store.calls
	publish()
	publish()
	if got := store.calls - calls; got != 0 {
		t.Errorf("writes though the copy has the address: got %d, want none", got)
	}
}

// The copy lacks the crashes that an entry has reported. An entry that starts later would
// let the request crash further upstreams, so they are reported again until they expire.
func TestStoreEraCrashesAreReportedAgain(t *testing.T) {
	store := newFakeKV()
	store.era = 1
	before := store.copy()
	p := newTestPublisher(store)
	p.publish([]burdockkv.Put{{Key: prefixNotifications + "a"}})
	p.writeAll()
	store.restore(before)
	p.queueLost(time.Now())
	p.writeAll()
	if _, ok := store.items[prefixNotifications+"a"]; !ok {
		t.Error("the notification was not written again")
	}
	store.restore(before)
	p.queueLost(time.Now().Add(p.ttl.Duration()))
	p.writeAll()
	if _, ok := store.items[prefixNotifications+"a"]; ok {
		t.Error("an expired notification was written again")
	}
}

// A fencing number is the high part of a map's version, which engines take as a signed
// number of 64 bits.
func TestStoreEraFenceFitsMapVersion(t *testing.T) {
	const versionCountBits, years = 16, 5
	latest := fenceAt(burdockkv.Position{Era: 1000, Revision: 400 * 86_400 * 365 * years})
	if got := int64(uint64(latest) << versionCountBits); got <= 0 {
		t.Errorf("version of fence %d: got %d, want it above 0", latest, got)
	}
	if a, b := fenceAt(burdockkv.Position{Era: 1, Revision: 1<<fenceRevisionBits - 1}), fenceAt(burdockkv.Position{Era: 2, Revision: 1}); a >= b {
		t.Errorf("fences of eras 1 and 2: got %d and %d, want them to grow", a, b)
	}
}

// Hundreds of agents must not watch the lease of their group, or each change of its holder
// would cost a call by each of them.
func TestOnlyCandidatesWatchLease(t *testing.T) {
	for _, ranks := range []int{1, 2, 8, 16, 24, 63, 72, 192, 512, 1960} {
		watching, positions := 0, map[int]bool{}
		for rank := range ranks {
			l := &leaseStore{assignment: func() burdockrank.Assignment {
				return burdockrank.Assignment{Group: "g@1", Rank: burdockid.Rank(rank), Ranks: ranks}
			}}
			if l.isCandidate() {
				watching++
			}
			position := attemptPosition(burdockid.Rank(rank), ranks, 77)
			if positions[position] {
				t.Errorf("%d ranks: two agents have position %d", ranks, position)
			}
			positions[position] = true
		}
		if got, want := watching, min(ranks, candidateCount); got != want {
			t.Errorf("%d ranks: got %d candidates, want %d", ranks, got, want)
		}
	}
}
