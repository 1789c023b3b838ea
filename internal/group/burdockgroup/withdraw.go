package burdockgroup

import "burdockbend.example/burdockbend/internal/base/burdockid"

// stuck reports whether the change can neither go forward nor was let go at any
// rank: all stop before its step, some have committed, and the others can't load
// the map.
//
// Failure: a rank loses the next map after others have committed to it, as when
// a newer controller has it load another one, and its engine takes no version
// below the highest that it has had. Symptom: the ranks that have committed wait
// for ever for the one that can't, and no request of the group is served again.
// It is enough to take the commits back: no rank has been released, so none can
// begin the step, and the group goes on with the map that it has. The same holds
// when no agent has kept the map's content.
func (c *Controller) stuck() bool {
	failed := false
	for _, m := range c.members {
		if m.order != nil || !m.fresh || !m.status.heldAt(c.goal.At) || m.status.Next > c.goal.At {
			return false
		}
		switch {
		case m.status.Switch.Map == c.goal.Map:
		case !m.status.has(c.goal.Map) && (m.status.Failed == c.goal.Map || c.lost(c.goal.Map)):
			failed = true
		default:
			return false
		}
	}
	return failed
}

// lost reports whether nobody knows the content of a map.
func (c *Controller) lost(v burdockid.MapVersion) bool {
	return c.contents[v] == nil && c.keeper(v) < 0
}

// withdrawAll takes the commits back and then lets the ranks go. A rank is let
// go only when none has a switch any more.
func (c *Controller) withdrawAll() bool {
	if !c.drive() {
		return false
	}
	c.wanted, c.target = nil, 0
	for i, m := range c.members {
		if !m.status.has(c.goal.Map) {
			c.emit(MapLoadFailed{Map: c.goal.Map, Rank: burdockid.Rank(i)})
		}
	}
	c.goal = Goal{Kind: GoalRun, Base: c.goal.Base}
	return c.fire(controllerAllWithdrawn, "")
}
