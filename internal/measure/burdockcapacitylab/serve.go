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
	"burdockbend.example/burdockbend/internal/state/burdockhome"
)

// PoolCost is what one entry's knowledge of the upstreams of one service
// costs.
type PoolCost struct {
	Upstreams int
	Bytes     int64
	// Choose is one choice with its end and the load report.
	Choose time.Duration
	// SetSame and SetOther take up members: the same ones, or one fewer.
	SetSame  time.Duration
	SetOther time.Duration
}

// pool is what an entry holds for a service.
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
	p.set(membersOf(n))
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

func membersOf(n int) []burdockplace.Member {
	members := make([]burdockplace.Member, n)
	for i := range members {
		members[i] = burdockplace.Member{Upstream: upstreamName(i), DataCentre: dataCentre(i), Weight: 1}
	}
	return members
}

// MeasurePool measures a pool of n upstreams.
func MeasurePool(n int) PoolCost {
	p, held := heapOf(func() pool { return newPool(n) })
	cost := PoolCost{Upstreams: n, Bytes: held}
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
	members := membersOf(n)
	cost.SetSame = processorTime(func() { p.set(members) })
	odd := 0
	cost.SetOther = processorTime(func() {
		odd = 1 - odd
		p.set(members[odd:])
	})
	runtime.KeepAlive(p)
	return cost
}

// LedgerCost is what the memory of n keys costs their home.
type LedgerCost struct {
	Keys  int
	Bytes int64
	// Decide is the processor time to look at one repeated key.
	Decide time.Duration
	// Lines is the processor time to gather one slot's keys for a handover.
	Lines time.Duration
	// Take is the processor time to take over a slot with as many keys again
	// for each ten that are there, which came in the same span.
	Take time.Duration
}

// MeasureLedger measures a ledger of n keys over all slots.
func MeasureLedger(n int) LedgerCost {
	l, held := heapOf(func() *burdockledger.Ledger {
		l := burdockledger.New()
		for slot := range burdockledger.Slot(burdockledger.SlotCount) {
			l.AcquireSlot(slot, 0)
		}
		for i := range n {
			l.Decide(burdockclock.Millis(i), askOf(i))
		}
		return l
	})
	cost := LedgerCost{Keys: n, Bytes: held}
	repeat := askOf(0)
	cost.Decide = processorTime(func() { l.Decide(1, repeat) })
	cost.Lines = processorTime(func() { l.ExportSlot(burdockledger.SlotOf(repeat.Key)) })
	cost.Take = measureTake(l, n)
	runtime.KeepAlive(l)
	return cost
}

const takenShare = 10

func measureTake(l *burdockledger.Ledger, n int) time.Duration {
	lines := make([]burdockledger.HandoverRecord, n/takenShare)
	for i := range lines {
		a := askOf(n + i)
		lines[i] = burdockledger.HandoverRecord{Key: a.Key, Request: a.Request, Fingerprint: a.Fingerprint, ReceivedAt: burdockclock.Millis(i * takenShare)}
	}
	before := used()
	l.ImportSlot(0, 0, lines)
	return used() - before
}

func askOf(i int) burdockledger.KeyedRequest {
	key := burdockid.IdempotencyKey(fmt.Sprintf("key-%d", i))
	return burdockledger.KeyedRequest{Key: burdockledger.KeyOf("amplifier-lab", key), Request: burdockid.NewRequest(), Fingerprint: 1}
}

// HomesCost is what looking after the homes of a service's keys costs one
// agent, at each of its rounds twice a second.
type HomesCost struct {
	Members int
	// Settled is a round in which every slot has a home that counts.
	Settled time.Duration
	// Homeless is a round in which no slot has: the first start of a service.
	Homeless time.Duration
	// Rank is one slot's order of preference for one upstream.
	Rank time.Duration
}

// MeasureHomes measures an agent of a service of n upstreams.
func MeasureHomes(n int) HomesCost {
	service := serviceName(0)
	members := make([]burdockid.Upstream, n)
	for i := range members {
		members[i] = upstreamName(i)
	}
	settled := burdockhome.Owners{}
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		settled[slot] = burdockhome.VersionedOwner{Owner: burdockhome.Owner{Upstream: members[1+int(slot)%(n-1)], Incarnation: "1"}, Version: 1}
	}
	c := burdockhome.NewClaimer(burdockhome.Self{Service: service, Upstream: members[0], Incarnation: "1"})
	// At instant 0 only slots that prefer this agent are claimed, so that each
	// round looks at all of them.
	return HomesCost{
		Members:  n,
		Settled:  processorTime(func() { c.Claims(0, 0, settled, members) }),
		Homeless: processorTime(func() { c.Claims(0, 0, burdockhome.Owners{}, members) }),
		Rank:     processorTime(func() { burdockhome.Rank(service, 7, members, members[0]) }),
	}
}
