package burdockdirect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/decide/burdockroom"
)

const (
	// maxComparedEngines is how many random engines are compared if their loads are known.
	// Entries that compare more agree more often on the same engine before they hear of each
	// other's streams.
	maxComparedEngines = 6
	// maxReportedCustomers and maxReportedEngines bound what a report lists.
	maxReportedCustomers = 32
	maxReportedEngines   = 256
)

// SharedServices returns the services whose room is shared by the entries, sorted.
func (e *Entry) SharedServices() []burdockid.Service {
	cfg := e.deps.Site.Now().Config
	if cfg == nil {
		return nil
	}
	var names []burdockid.Service
	for name := range cfg.Services {
		if sharedAdmission(cfg, name, e.cfg.SharedAdmission) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RoomReport returns what this entry reports to the coordinator of a service's room. The
// caller sets Entry, Process and Sequence.
func (e *Entry) RoomReport(service burdockid.Service) burdockroom.Report {
	p := e.pool(service)
	r := p.gate.roomReport()
	r.Engines = p.engineLoads()
	return r
}

// SetRoomPart sets the entry's part of a service's room, which is valid until a boot time.
func (e *Entry) SetRoomPart(service burdockid.Service, part burdockroom.Part, validUntil burdockclock.Millis) {
	p := e.pool(service)
	p.gate.setRoomPart(part, validUntil)
	p.setRoomLoads(e.now(), part.Loads)
}

// engineLoads returns the offers in flight by engine; the largest ones if there are more
// than a report may list.
func (p *pool) engineLoads() []burdockroom.EngineLoad {
	p.mu.Lock()
	loads := make([]burdockroom.EngineLoad, 0, len(p.inFlight))
	p.reportedInFlight = p.engineStreams()
	for u, n := range p.reportedInFlight {
		loads = append(loads, burdockroom.EngineLoad{Engine: u, Streams: n})
	}
	p.mu.Unlock()
	slices.SortFunc(loads, func(a, b burdockroom.EngineLoad) int {
		return cmp.Or(cmp.Compare(b.Streams, a.Streams), cmp.Compare(a.Engine, b.Engine))
	})
	return loads[:min(len(loads), maxReportedEngines)]
}

// sharedLoadsFreshFor is how long the streams at each engine over all entries are known well
// enough to compare many engines: as long as a part is usually valid. With older counts, all
// entries would send to the same engines.
const sharedLoadsFreshFor burdockclock.Millis = 600

// engineStreams returns this entry's offers in flight and those that failed lately, by engine.
// The lock must be held.
func (p *pool) engineStreams() map[burdockid.Upstream]int {
	streams := maps.Clone(p.inFlight)
	for u, n := range p.failedLately {
		streams[u] += n
	}
	return streams
}

// failedWeight is how many streams a failed offer counts as: two of them within the time of an
// answer fill an engine with the usual number of slots.
const failedWeight = 5

// holdFailed lets an offer that failed count as streams for as long as an answer takes.
//
// An engine that cuts off every request at once looks idle. Where the least loaded engine is
// chosen, it would get most of all requests and fail them.
func (p *pool) holdFailed(u burdockid.Upstream) {
	hold := p.typicalAnswerTime().Duration()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedLately[u] += failedWeight
	time.AfterFunc(hold, func() { p.releaseFailed(u) })
}

func (p *pool) releaseFailed(u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failedLately[u] -= failedWeight; p.failedLately[u] <= 0 {
		delete(p.failedLately, u)
	}
}

// setRoomLoads passes the streams at each engine over all entries to the placer.
//
// An entry hears of one engine in a response every few seconds. Near the limit, one stream in
// four then begins at an engine that has no free slot, although others have some, and waits
// there for several times as long as a first event takes.
func (p *pool) setRoomLoads(now burdockclock.Millis, loads []burdockroom.EngineLoad) {
	if len(loads) == 0 || len(loads) >= maxReportedEngines {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[burdockid.Upstream]int, len(loads))
	for _, l := range loads {
		all[l.Engine] = l.Streams
	}
	own := p.engineStreams()
	for u, member := range p.members {
		others := max(all[u]-p.reportedInFlight[u], 0)
		p.placer.Report(now, u, burdockplace.Report{Running: others + own[u], Slots: member.Slots})
	}
	p.loadsKnownUntil = now + sharedLoadsFreshFor
}

// comparedEngines returns how many engines a choice compares; 0 for the placer's usual
// choice. The lock must be held.
func (p *pool) comparedEngines(now burdockclock.Millis) int {
	if now >= p.loadsKnownUntil {
		return 0
	}
	return maxComparedEngines
}

// roomReport returns the demand of the gate, and what it has measured.
func (g *gate) roomReport() burdockroom.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := burdockroom.Report{Demands: make([]burdockroom.Demand, numPriorities), Customers: g.waitingCustomers()}
	for p := range r.Demands {
		r.Demands[p].Priority = p
	}
	running := g.queue.Load().Running
	for class, load := range g.queue.ClassLoads() {
		demand := &r.Demands[class/queueClassesPerPriority]
		demand.Running += load.Running
		demand.Waiting += min(load.Queued, g.startable(class, running))
	}
	g.excludeStuck(r.Demands)
	if g.limit != nil {
		r.Capacity, r.Slowdown = g.limit.Capacity(), g.limit.MeasuredSlowdown()
	}
	return r
}

// startable returns how many more requests of a queue class the entry would start if it had
// the room: late ones leave some to others, and room for them would stay unused. The lock
// must be held.
func (g *gate) startable(class, running int) int {
	if g.timeliness == nil || class%queueClassesPerPriority == 0 || g.timeliness.lateRoomAt == 0 {
		return maxQueued
	}
	return max(g.timeliness.lateRoom[class/queueClassesPerPriority]-running, 0)
}

// excludeStuck takes the streams of stalled groups out of the demands, the least urgent
// first: they use none of the capacity of the groups that advance. The lock must be held.
func (g *gate) excludeStuck(demands []burdockroom.Demand) {
	stuck := g.stuckStreams(g.clock.Boot())
	for p := len(demands) - 1; p >= 0; p-- {
		taken := min(stuck, demands[p].Running)
		demands[p].Running -= taken
		stuck -= taken
	}
}

// stuckStreams returns the number of streams of stalled groups. The lock must be held.
func (g *gate) stuckStreams(now burdockclock.Millis) int {
	if g.groups == nil {
		return 0
	}
	return g.groups.stuckStreams(now)
}

// waitingCustomers returns what customers have waiting by priority, the largest first, as
// many as a report may list. The lock must be held.
func (g *gate) waitingCustomers() []burdockroom.CustomerDemand {
	type key struct {
		priority int
		customer burdockid.Customer
	}
	sums := map[key]burdockqueue.CustomerLoad{}
	for _, load := range g.queue.QueuedByCustomer() {
		k := key{int(load.Class) / queueClassesPerPriority, load.Customer}
		sum := sums[k]
		sum.Queued, sum.Cost = sum.Queued+load.Queued, sum.Cost+load.Cost
		sums[k] = sum
	}
	demands := make([]burdockroom.CustomerDemand, 0, len(sums))
	for k, sum := range sums {
		demands = append(demands, burdockroom.CustomerDemand{Priority: k.priority, Customer: k.customer, Waiting: sum.Queued, Cost: sum.Cost})
	}
	slices.SortFunc(demands, func(a, b burdockroom.CustomerDemand) int {
		return cmp.Or(cmp.Compare(b.Cost, a.Cost), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Customer, b.Customer))
	})
	return demands[:min(len(demands), maxReportedCustomers)]
}

// setRoomPart sets the gate's part of the room. The limits of a coordinator that is still
// learning carry no information, so a part that is still valid stays in force then.
func (g *gate) setRoomPart(part burdockroom.Part, until burdockclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if part.Learning && !g.part.Learning && g.clock.Boot() < g.partUntil {
		return
	}
	g.part, g.partUntil = part, until
	if g.limit != nil {
		g.limit.SetTypicalSlowdown(part.Slowdown)
	}
	g.dispatch()
}

// roomLimits returns the limits of the gate's part of the room, by priority; nil if there is
// none that is valid now, so that the entry decides alone. The lock must be held.
func (g *gate) roomLimits(now burdockclock.Millis) []int {
	if now >= g.partUntil || g.part.Learning {
		return nil
	}
	return g.part.Limits
}

// classBounds is what bounds the classes of the queue besides its slots.
type classBounds struct {
	// closed reports that no group advances. A request of any class may then probe one.
	closed bool
	limits []int // of the part of the room; nil if the entry decides alone
	stuck  int   // streams of stalled groups, which run besides
}

func (b classBounds) equal(other classBounds) bool {
	return b.closed == other.closed && b.stuck == other.stuck && slices.Equal(b.limits, other.limits)
}

// limit bounds a queue class by the part of the room, if there is one. A class always may
// start the entry's first stream: a bound of 0 would mean none.
func (b classBounds) limit(class *burdockqueue.ClassConfig, index int) {
	if priority := index / queueClassesPerPriority; priority < len(b.limits) {
		class.MaxRunning = max(b.limits[priority]+b.stuck, 1)
	}
}

// boundClasses applies bounds to the queue if they have changed. The lock must be held.
func (g *gate) boundClasses(b classBounds) {
	if b.equal(g.bounds) {
		return
	}
	g.bounds = b
	g.queue.Reconfigure(g.clock.Boot(), g.queueConfig())
}

// roomUse is what one priority has of the entry's part of the room and what it uses.
type roomUse struct {
	limit   int // -1 if the entry has no part
	running int
}

// roomUse returns what a priority has and uses, for metrics.
func (g *gate) roomUse(priority int) roomUse {
	g.mu.Lock()
	defer g.mu.Unlock()
	use := roomUse{limit: -1}
	if limits := g.roomLimits(g.clock.Boot()); priority < len(limits) {
		use.limit = limits[priority]
	}
	for class, load := range g.queue.ClassLoads() {
		if class/queueClassesPerPriority == priority {
			use.running += load.Running
		}
	}
	return use
}
