package burdockdirect

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/decide/burdockroom"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// SharedAdmission selects the services whose room is shared by the entries.
type SharedAdmission string

// Values of SharedAdmission.
const (
	// SharedAdmissionAuto selects the services with engines whose streams differ in
	// urgency.
	SharedAdmissionAuto SharedAdmission = "auto"
	// SharedAdmissionOn selects all services with engines that get streams.
	SharedAdmissionOn SharedAdmission = "on"
	// SharedAdmissionOff selects none, as does the empty value.
	SharedAdmissionOff SharedAdmission = "off"
)

const (
	// maxReportedCustomers and maxReportedEngines bound what a report lists.
	maxReportedCustomers = 32
	maxReportedEngines   = 256
)

// applies reports whether the entries share the room of a service.
func (s SharedAdmission) applies(cfg *burdocksite.Config, service burdocksite.Service) bool {
	switch {
	case service.Engine == nil:
		return false
	case s == SharedAdmissionAuto:
		return cfg.MixedUrgency(service.Name)
	}
	return s == SharedAdmissionOn && cfg.HasStreams(service.Name)
}

// SharedServices returns the services whose room is shared by the entries, sorted.
func (e *Entry) SharedServices() []burdockid.Service {
	cfg := e.deps.Site.Now().Config
	if cfg == nil {
		return nil
	}
	var names []burdockid.Service
	for name, service := range cfg.Services {
		service.Name = name
		if e.cfg.SharedAdmission.applies(cfg, service) {
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
	e.pool(service).gate.setRoomPart(part, validUntil)
}

// engineLoads returns the offers in flight by engine; the largest ones if there are more
// than a report may list.
func (p *pool) engineLoads() []burdockroom.EngineLoad {
	p.mu.Lock()
	loads := make([]burdockroom.EngineLoad, 0, len(p.inFlight))
	for u, n := range p.inFlight {
		loads = append(loads, burdockroom.EngineLoad{Engine: u, Streams: n})
	}
	p.mu.Unlock()
	slices.SortFunc(loads, func(a, b burdockroom.EngineLoad) int {
		return cmp.Or(cmp.Compare(b.Streams, a.Streams), cmp.Compare(a.Engine, b.Engine))
	})
	return loads[:min(len(loads), maxReportedEngines)]
}

// roomReport returns the demand of the gate, and what it has measured.
func (g *gate) roomReport() burdockroom.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := burdockroom.Report{Demands: make([]burdockroom.Demand, numPriorities), Customers: g.waitingCustomers()}
	for p := range r.Demands {
		r.Demands[p].Priority = p
	}
	for class, load := range g.queue.ClassLoads() {
		demand := &r.Demands[class/queueClassesPerPriority]
		demand.Running += load.Running
		demand.Waiting += load.Queued
	}
	if g.limit != nil {
		r.Capacity, r.Slowdown = g.limit.Capacity(), g.limit.MeasuredSlowdown()
	}
	return r
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
}

// roomPart returns the gate's part of the room; false if there is none that is valid now.
// The lock must be held.
func (g *gate) roomPart(now burdockclock.Millis) (burdockroom.Part, bool) {
	return g.part, now < g.partUntil
}
