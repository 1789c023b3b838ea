package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocklockstep"
	"go.uber.org/zap"
)

// updateGroupState updates the groups' states, logs changes, and wakes waiting requests once
// a group advances. The lock must be held.
func (g *gate) updateGroupState(now burdockclock.Millis) burdocklockstep.State {
	if g.groups == nil {
		return burdocklockstep.Advancing
	}
	changed := false
	for name, group := range g.groups.views {
		old, current := group.state, group.State(now)
		if old == current {
			continue
		}
		group.state, changed = current, true
		g.log.Info("group state", zap.String("group", string(name)), zap.String("from", string(old)), zap.String("to", string(current)))
	}
	state := g.groups.state(now)
	if changed {
		g.limit.SetEngines(g.availableEngines(now))
	}
	if state == burdocklockstep.Advancing && g.state == burdocklockstep.Closed {
		g.limit.Restart(g.reportClock())
	}
	if state == burdocklockstep.Advancing && g.state != state {
		close(g.groups.opened)
		g.groups.opened = make(chan struct{})
	}
	g.state = state
	return state
}

// availableEngines returns the engines that may get new requests. The lock must be held.
func (g *gate) availableEngines(now burdockclock.Millis) []burdockid.Upstream {
	var list []burdockid.Upstream
	for _, u := range g.members {
		if now >= g.pausedUntil[u.ID] && (g.groups == nil || g.groups.available(now, u.ID)) {
			list = append(list, u.ID)
		}
	}
	return list
}

// unavailable returns a function that reports whether an engine gets no new requests
// because its group is closed or stalled while another one advances.
func (g *gate) unavailable() func(burdockid.Upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.groups == nil || g.groups.of == nil || g.groups.state(g.clock.Boot()) != burdocklockstep.Advancing {
		return func(burdockid.Upstream) bool { return false }
	}
	now := g.clock.Boot()
	closed := map[burdockid.Group]bool{}
	for name, group := range g.groups.views {
		closed[name] = group.State(now) != burdocklockstep.Advancing
	}
	of := g.groups.of
	return func(u burdockid.Upstream) bool { return closed[of[u]] }
}

// setGroups sets the lock-step group of each engine.
func (g *gate) setGroups(of map[burdockid.Upstream]burdockid.Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.groupOf = of
	if g.groups != nil {
		g.groups.setMembers(of)
		g.updateCapacity()
	}
}

// streamLimit returns how many streams may run, given how many do now. While no group
// advances, the queue is paused and none starts. If wanted, one request at a time may probe
// a closed group to find out whether it has opened. The lock must be held.
func (g *gate) streamLimit(now burdockclock.Millis, running int, wanted bool) int {
	state := g.updateGroupState(now)
	g.queue.Pause(now, state != burdocklockstep.Advancing)
	if state != burdocklockstep.Advancing {
		g.boundClasses(classBounds{closed: true})
	}
	switch {
	case state == burdocklockstep.Advancing:
		stuck := g.stuckStreams(now)
		own := g.limit.MaxStreams(g.reportClock(), max(running-stuck, 0))
		limits := g.roomLimits(now)
		g.boundClasses(classBounds{limits: limits, stuck: stuck})
		if limits != nil {
			return limits[0] + stuck
		}
		return own + stuck
	case wanted && g.groups.tryProbe(now):
		g.queue.AllowProbe(now)
		return max(g.slots, running+1)
	}
	return g.slots
}

// groupOpened records that a lock-step group has opened.
func (g *gate) groupOpened(name burdockid.Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.groups != nil {
		g.groups.reportedOpen(g.clock.Boot(), name)
		g.dispatch()
	}
}

// NotifyGroupOpened reports that a lock-step group has opened. A closed group is offered
// requests at once.
func (e *Entry) NotifyGroupOpened(name burdockid.Group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		p.groupOpened()
		p.gate.groupOpened(name)
	}
}

// SetGroups replaces the lock-step groups of the engines, by address.
func (e *Entry) SetGroups(groups map[string]burdockid.Group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.groups = groups
	for _, p := range e.pools {
		p.setGroups(groups)
	}
}

// setGroups sets the lock-step groups of the service's engines, by address.
func (p *pool) setGroups(groups map[string]burdockid.Group) {
	p.mu.Lock()
	p.groups = groups
	of := p.groupOfMembers()
	p.mu.Unlock()
	p.gate.setGroups(of)
}

// groupOfMembers returns the groups of the members whose group is known. The lock must be
// held.
func (p *pool) groupOfMembers() map[burdockid.Upstream]burdockid.Group {
	of := map[burdockid.Upstream]burdockid.Group{}
	for id, u := range p.members {
		if name, ok := p.groups[u.Address]; ok {
			of[id] = name
		}
	}
	return of
}

// reportClock returns the time by which load reports age. It stands still while no group
// runs steps.
func (g *gate) reportClock() burdockclock.Millis {
	now := g.clock.Boot()
	if g.groups == nil {
		return now
	}
	return g.groups.runningClock(now)
}

// engineAccepted records that an engine has begun to answer.
func (g *gate) engineAccepted(u burdockid.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.groups != nil {
		g.groups.view(u).EngineAccepted(g.clock.Boot())
		g.dispatch()
	}
}

// streamOffered records that a stream is offered to an engine.
func (g *gate) streamOffered(u burdockid.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.groups != nil {
		g.groups.view(u).StreamOffered(g.clock.Boot())
	}
}

// streamEnded records the end of an offered stream, which had begun or not.
func (g *gate) streamEnded(u burdockid.Upstream, begun bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.groups != nil {
		g.groups.view(u).StreamEnded(g.clock.Boot(), begun)
	}
}

// engineRefused records an engine's refusal. It reports whether the refusal says nothing
// about the request: the engine's group is closed, or its process was replaced by another.
func (g *gate) engineRefused(u burdockid.Upstream, res notRun) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.groups == nil || !res.hadFreeSlots && !res.replaced {
		return false
	}
	now := g.clock.Boot()
	if res.replaced && g.groups.of != nil {
		// Of several groups, this one need not be closed.
		return true
	}
	view := g.groups.view(u)
	view.EngineRefused(now, u)
	g.updateGroupState(now)
	return view.State(now) == burdocklockstep.Closed
}

// openSignal returns a channel that is closed when a group advances; nil unless all are
// closed.
func (g *gate) openSignal() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.groupsClosed() {
		return nil
	}
	return g.groups.opened
}

// groupsClosed reports whether all groups are closed. The lock must be held.
func (g *gate) groupsClosed() bool {
	return g.groups != nil && g.groups.state(g.clock.Boot()) == burdocklockstep.Closed
}

// tryProbe reports whether a retry may probe the closed group now, and if so takes the
// turn. Queued requests go first, since their offers cost no retry.
func (g *gate) tryProbe() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.groups != nil && g.queue.Load().Queued == 0 && g.groups.tryProbe(g.clock.Boot())
}
