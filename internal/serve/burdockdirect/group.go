package burdockdirect

import (
	"context"
	"maps"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocklockstep"
	"go.uber.org/zap"
)

const (
	// stallGaps is how many maximum event gaps have to pass without any event before a
	// group counts as stalled.
	stallGaps = 3
	// budgetRetryInterval is how often a request asks for a retry while the budget has
	// none left.
	budgetRetryInterval burdockclock.Millis = 100
)

// group is the gate's view of one lock-step group of its engines. The group is closed while
// its engines refuse new requests, as they do until all ranks have joined.
type group struct {
	*burdocklockstep.View
	state burdocklockstep.State // as last logged
}

// groups holds the gate's views of the lock-step groups of its engines. The gate's lock
// protects it.
//
// The engines of a service may form several groups. One that is closed or stalled must not
// stop requests to the others.
type groups struct {
	maxEventGap burdockclock.Millis
	// of holds the group of each engine. It is nil, and all engines count as one group, if
	// they are not known to form several.
	of    map[burdockid.Upstream]burdockid.Group
	views map[burdockid.Group]*group
	// opened is closed when any group begins to advance while none did.
	opened chan struct{}
}

// newGroups returns the view of engines whose callers accept gaps of up to maxEventGap
// between events.
func newGroups(maxEventGap burdockclock.Millis) *groups {
	s := &groups{maxEventGap: maxEventGap, views: map[burdockid.Group]*group{}, opened: make(chan struct{})}
	s.setMembers(nil)
	return s
}

// setMembers sets the group of each engine; see groups.of. Views of groups that stay are
// kept.
func (s *groups) setMembers(of map[burdockid.Upstream]burdockid.Group) {
	names := map[burdockid.Group]bool{}
	for _, name := range of {
		names[name] = true
	}
	if len(names) < 2 {
		of, names = nil, map[burdockid.Group]bool{"": true}
	}
	s.of = of
	maps.DeleteFunc(s.views, func(name burdockid.Group, _ *group) bool { return !names[name] })
	for name := range names {
		if s.views[name] == nil {
			s.views[name] = s.newView(len(names))
		}
	}
}

// newView returns the view of one of n groups.
//
// If there are several, a request that one of them refuses is offered to another, and a
// group that is wrongly taken for closed costs little. An entry with few requests offers
// each group so few that waiting for a second refusal would use up the offers of many.
func (s *groups) newView(n int) *group {
	cfg := burdocklockstep.Config{StallTimeout: stallGaps * s.maxEventGap}
	if n > 1 {
		cfg.MinRefusals = 1
	}
	return &group{View: burdocklockstep.New(cfg), state: burdocklockstep.Advancing}
}

// view returns the view of an engine's group. For an engine whose group is not known it
// returns one that is not kept, so nothing closes it.
func (s *groups) view(u burdockid.Upstream) *group {
	if g := s.views[s.of[u]]; g != nil {
		return g
	}
	return s.newView(1)
}

// state returns Advancing if any group advances, as callers can be served then; otherwise
// Stalled if any is stalled, and Closed if all are closed.
func (s *groups) state(now burdockclock.Millis) burdocklockstep.State {
	best := burdocklockstep.Closed
	for _, g := range s.views {
		switch state := g.State(now); {
		case state == burdocklockstep.Advancing:
			return state
		case state == burdocklockstep.Stalled:
			best = state
		}
	}
	return best
}

// available reports whether an engine may get new requests: its group advances, or none
// does.
func (s *groups) available(now burdockclock.Millis, u burdockid.Upstream) bool {
	if s.of == nil {
		return true
	}
	g, known := s.views[s.of[u]]
	return !known || g.State(now) == burdocklockstep.Advancing || s.state(now) != burdocklockstep.Advancing
}

// stuckStreams returns the number of streams at groups that don't advance while another one
// does. They take no place at the engines of the others.
func (s *groups) stuckStreams(now burdockclock.Millis) int {
	if s == nil || s.of == nil {
		return 0
	}
	stuck := 0
	for _, g := range s.views {
		if g.State(now) != burdocklockstep.Advancing {
			stuck += g.OpenStreams()
		}
	}
	return stuck
}

// runningClock returns now less the time in which no group ran steps.
func (s *groups) runningClock(now burdockclock.Millis) burdockclock.Millis {
	var latest burdockclock.Millis
	for _, g := range s.views {
		latest = max(latest, g.RunningClock(now))
	}
	return latest
}

// nextProbeAt returns when the next probe of a closed group is due; false if none is closed.
func (s *groups) nextProbeAt(now burdockclock.Millis) (at burdockclock.Millis, ok bool) {
	for _, g := range s.views {
		if g.State(now) == burdocklockstep.Closed && (!ok || g.NextProbeAt() < at) {
			at, ok = g.NextProbeAt(), true
		}
	}
	return at, ok
}

// tryProbe reports whether a closed group may be probed now, and if so takes the turn.
func (s *groups) tryProbe(now burdockclock.Millis) bool {
	for _, g := range s.views {
		if g.TryProbe(now) {
			return true
		}
	}
	return false
}

// reportedOpen records that a group has opened. Without a known name, any closed group may
// be the one.
func (s *groups) reportedOpen(now burdockclock.Millis, name burdockid.Group) {
	if g := s.views[name]; g != nil && s.of != nil {
		g.ReportedOpen(now)
		return
	}
	for _, g := range s.views {
		g.ProbeNow(now)
	}
}

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
	if state == burdocklockstep.Advancing && g.state != state {
		close(g.groups.opened)
		g.groups.opened = make(chan struct{})
	}
	g.state = state
	return state
}

// availableEngines returns the engines that may get new requests. The lock must be held.
func (g *gate) availableEngines(now burdockclock.Millis) []burdockid.Upstream {
	if g.groups == nil {
		return g.engines
	}
	var list []burdockid.Upstream
	for _, u := range g.engines {
		if g.groups.available(now, u) {
			list = append(list, u)
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
		g.limit.SetEngines(g.availableEngines(g.clock.Boot()))
		g.dispatch()
	}
}

// streamLimit returns how many streams may run, given how many do now. While no group
// advances, the queue is paused and none starts. If wanted, one request at a time may probe
// a closed group to find out whether it has opened. The lock must be held.
func (g *gate) streamLimit(now burdockclock.Millis, running int, wanted bool) int {
	state := g.updateGroupState(now)
	g.queue.Pause(now, state != burdocklockstep.Advancing)
	switch {
	case state == burdocklockstep.Advancing:
		stuck := g.groups.stuckStreams(now)
		return g.limit.MaxStreams(g.reportClock(), max(running-stuck, 0)) + stuck
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

// awaitGroupOpen blocks while the group is closed and it is not this request's turn to
// probe it. It reports false when the request should not wait any longer.
//
// After a power cut, or when a rank of the group dies, all engines refuse everything until
// the group has formed again, about a second after they are back. A caller refused in that
// time loses one of its few retries, and one whose first attempt was cut off by the
// failure itself is never served. The group opens well within the time that callers wait.
func (o *offers) awaitGroupOpen(ctx context.Context) bool {
	g := o.pool.gate
	first := o.sent+o.unreached+o.owedRetries == 0 // just admitted by the gate
	if first || o.owedRetries == 0 && g.openSignal() == nil {
		return true
	}
	for ctx.Err() == nil && o.mayWait() {
		opened := g.openSignal()
		if (opened == nil || g.tryProbe()) && o.payOwedRetries() {
			return true
		}
		o.waitForOpen(ctx, opened)
	}
	return false
}

// mayWait reports whether a first event could still arrive before the caller gives up. The
// caller of a stream that has begun ends the wait by disconnecting.
func (o *offers) mayWait() bool {
	return o.caller.headWritten || o.entry.now() < o.req.arrived+o.pool.gate.maxWaitFor(o.req)
}

// maxWaitFor returns how long a request may wait in total before it is placed.
func (g *gate) maxWaitFor(req *request) burdockclock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.maxWait > 0 {
		return g.maxWait
	}
	return req.deadline - req.arrived
}

// payOwedRetries charges the budget for the request's offers that a closed group refused.
// It reports false if the budget has none left.
func (o *offers) payOwedRetries() bool {
	for ; o.owedRetries > 0; o.owedRetries-- {
		if !o.pool.takeRetry(o.entry.now()) {
			return false
		}
	}
	return true
}

// waitForOpen waits for the group to open, for budgetRetryInterval at most.
func (o *offers) waitForOpen(ctx context.Context, opened <-chan struct{}) {
	timer := time.NewTimer(budgetRetryInterval.Duration())
	defer timer.Stop()
	select {
	case <-opened:
	case <-timer.C:
	case <-ctx.Done():
	}
}
