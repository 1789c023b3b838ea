package burdockgroup

import "burdockbend.example/burdockbend/internal/base/burdockid"

// stuck reports whether a change cannot complete and no rank has been released yet: all
// ranks stop before the switch step, some have committed, and the others cannot load the
// map.
//
// This happens when a rank loses the next map after others have committed to it, for
// example because a newer controller has it load another map and its engine accepts no
// version below the highest that it has had. It also happens when no agent has kept the
// map's content. The committed ranks would wait forever for the one that cannot commit,
// and no request of the group would be served again. Withdrawing the commits is enough:
// no rank has been released, so none can begin the switch step, and the group continues
// with its present map.
func (c *Controller) stuck() bool {
	failed := false
	for _, m := range c.members {
		if m.order != nil || !m.fresh || !m.status.heldAt(c.goal.At) || m.status.Next > c.goal.At {
			return false
		}
		switch {
		case m.status.Switch.Map == c.goal.Map:
		case !m.status.has(c.goal.Map) && (m.status.Failed == c.goal.Map || c.contentLost(c.goal.Map)):
			failed = true
		default:
			return false
		}
	}
	return failed
}

// contentLost reports whether neither the controller nor any agent has the content of a
// map.
func (c *Controller) contentLost(v burdockid.MapVersion) bool {
	return c.contents[v] == nil && c.contentHolder(v) < 0
}

// withdrawAll withdraws the commits and then lets the ranks run on. No rank may run on
// until none has a switch any more.
func (c *Controller) withdrawAll() bool {
	if !c.drive() {
		return false
	}
	c.wanted, c.wantedVersion = nil, 0
	for i, m := range c.members {
		if !m.status.has(c.goal.Map) {
			c.emit(MapLoadFailed{Map: c.goal.Map, Rank: burdockid.Rank(i)})
		}
	}
	c.goal = Goal{Kind: GoalRun, Base: c.goal.Base}
	return c.fire(controllerAllWithdrawn, "")
}
