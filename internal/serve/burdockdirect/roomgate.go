package burdockdirect

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/decide/burdockroom"
)

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
	return demands[:min(len(demands), burdockroom.MaxCustomers)]
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
