package burdockcapacitylab

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
	"burdockbend.example/burdockbend/internal/state/burdockowner"
)

// PoolCost is what an entry spends on the upstreams of one service.
type PoolCost struct {
	Upstreams int
	Bytes     int64
	// Choose is the time of one choice, the end of its request, and a load report.
	Choose time.Duration
	// SetSame is the time to apply the same members again, SetOther the time to apply
	// members of which one was added or removed.
	SetSame  time.Duration
	SetOther time.Duration
}

// pool is the state that an entry keeps for a service.
type pool struct {
	placer  *burdockplace.Placer
	tracker *burdockeject.Tracker
	budget  *burdockretry.Budget
}

func newPool(n int) pool {
	random := rand.New(rand.NewPCG(1, 1))
	p := pool{
		placer:  burdockplace.New(burdockplace.Config{}, random),
		tracker: burdockeject.New(burdockeject.Config{}, random),
		budget:  burdockretry.New(burdockretry.Config{}, random),
	}
	p.set(poolMembers(n))
	return p
}

func (p pool) set(members []burdockplace.Member) {
	names := make([]burdockid.Upstream, len(members))
	for i, m := range members {
		names[i] = m.Upstream
	}
	p.tracker.SetMembers(0, names)
	p.placer.SetMembers(0, members)
}

func poolMembers(n int) []burdockplace.Member {
	members := make([]burdockplace.Member, n)
	for i := range members {
		members[i] = burdockplace.Member{Upstream: upstreamName(i), DataCentre: dataCentre(i), Weight: 1}
	}
	return members
}

// MeasurePool measures a pool of n upstreams.
func MeasurePool(n int) PoolCost {
	p, heapBytes := heapOf(func() pool { return newPool(n) })
	cost := PoolCost{Upstreams: n, Bytes: heapBytes}
	now := burdockclock.Millis(0)
	prefix := []uint64{1, 2, 3, 4}
	cost.Choose = processorTime(func() {
		now++
		prefix[3] = uint64(now)
		choice, _ := p.placer.Choose(now, burdockplace.Request{Prefix: prefix, DataCentre: dataCentre(0)})
		p.placer.Sent(now, choice.Upstream, 100)
		p.placer.Done(now, choice.Upstream, 100)
		p.placer.Report(now, choice.Upstream, burdockplace.Report{Running: int(now % 8), Slots: 16})
	})
	members := poolMembers(n)
	cost.SetSame = processorTime(func() { p.set(members) })
	first := 0
	cost.SetOther = processorTime(func() {
		first = 1 - first
		p.set(members[first:])
	})
	runtime.KeepAlive(p)
	return cost
}

// LedgerCost is what an agent spends on the records of n idempotency keys.
type LedgerCost struct {
	Keys  int
	Bytes int64
	// Decide is the processor time to decide on one repeated key.
	Decide time.Duration
	// Lines is the processor time to export one slot's keys for a handover.
	Lines time.Duration
	// Take is the processor time to import a slot with a tenth as many keys as the
	// ledger holds. They were received within the same time as those of the ledger.
	Take time.Duration
}

// MeasureLedger measures a ledger of n keys over all slots.
func MeasureLedger(n int) LedgerCost {
	l, heapBytes := heapOf(func() *burdockledger.Ledger {
		l := burdockledger.New()
		for slot := range burdockledger.Slot(burdockledger.SlotCount) {
			l.AcquireSlot(slot, 0)
		}
		for i := range n {
			l.Decide(burdockclock.Millis(i), keyedRequest(i))
		}
		return l
	})
	cost := LedgerCost{Keys: n, Bytes: heapBytes}
	repeat := keyedRequest(0)
	cost.Decide = processorTime(func() { l.Decide(1, repeat) })
	cost.Lines = processorTime(func() { l.ExportSlot(burdockledger.SlotOf(repeat.Key)) })
	cost.Take = measureImport(l, n)
	runtime.KeepAlive(l)
	return cost
}

const importDivisor = 10

func measureImport(l *burdockledger.Ledger, n int) time.Duration {
	records := make([]burdockledger.HandoverRecord, n/importDivisor)
	for i := range records {
		req := keyedRequest(n + i)
		records[i] = burdockledger.HandoverRecord{Key: req.Key, Request: req.Request, Fingerprint: req.Fingerprint, ReceivedAt: burdockclock.Millis(i * importDivisor)}
	}
	before := processCPUTime()
	l.ImportSlot(0, 0, records)
	return processCPUTime() - before
}

func keyedRequest(i int) burdockledger.KeyedRequest {
	key := burdockid.IdempotencyKey(fmt.Sprintf("key-%d", i))
	return burdockledger.KeyedRequest{Key: burdockledger.KeyOf("amplifier-lab", key), Request: burdockid.NewRequest(), Fingerprint: 1}
}

// OwnersCost is what an agent spends on the slot owners of its service in each of its
// rounds, of which there are two per second.
type OwnersCost struct {
	Members int
	// Settled is the time of a round in which every slot has a valid owner.
	Settled time.Duration
	// Unowned is the time of a round without any owners: the first start of a service.
	Unowned time.Duration
	// Rank is the time to compute an upstream's rank in the order that a slot prefers.
	Rank time.Duration
}

// MeasureOwners measures an agent of a service of n upstreams.
func MeasureOwners(n int) OwnersCost {
	service := serviceName(0)
	members := make([]burdockid.Upstream, n)
	for i := range members {
		members[i] = upstreamName(i)
	}
	settled := burdockowner.Owners{}
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		settled[slot] = burdockowner.VersionedOwner{Owner: burdockowner.Owner{Upstream: members[1+int(slot)%(n-1)], Incarnation: "1"}, Version: 1}
	}
	c := burdockowner.NewClaimer(burdockowner.Self{Service: service, Upstream: members[0], Incarnation: "1"})
	// At time 0 the claimer claims only slots that prefer this agent, so each round
	// checks all slots.
	return OwnersCost{
		Members: n,
		Settled: processorTime(func() { c.Claims(0, 0, settled, members) }),
		Unowned: processorTime(func() { c.Claims(0, 0, burdockowner.Owners{}, members) }),
		Rank:    processorTime(func() { burdockowner.Rank(service, 7, members, members[0]) }),
	}
}
