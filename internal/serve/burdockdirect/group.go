package burdockdirect

import (
	"maps"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocklockstep"
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
