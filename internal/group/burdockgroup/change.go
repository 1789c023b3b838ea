package burdockgroup

import (
	"cmp"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

func (c *Controller) enter(kind GoalKind, e controllerEvent) bool {
	c.goal.Kind = kind
	return c.fire(e, "")
}

func (c *Controller) rest() bool {
	c.wantAnyMap()
	if c.mayChange() {
		c.noteInForce()
		if c.wanted != nil {
			c.startChange()
			return c.fire(controllerMapWanted, "")
		}
	}
	rested := c.now - c.since
	if c.nudges.due(rested, c.cfg) {
		c.surprise("a rank waits")
		return true
	}
	if rested < c.restTime() {
		return false
	}
	c.surprise("time to read again")
	return true
}

// mayChange reports whether a change is wanted and the group is ready for it.
// One that contradicts itself is left alone: no order to it is known to be safe.
func (c *Controller) mayChange() bool {
	return c.wanted != nil && c.now >= c.changeAt && !c.passing && !c.contrary && c.baseKnown()
}

// restTime returns the time between two readings of the group.
func (c *Controller) restTime() burdockclock.Millis {
	if c.passing && !c.contrary {
		return cmp.Or(c.cfg.SwitchPoll, c.cfg.Retry)
	}
	return c.cfg.Poll
}

// baseKnown reports whether the content of the map in use is known, and asks
// for it if not. A controller that ended the change of its predecessor wants
// the same content, and would have every rank load it a second time.
func (c *Controller) baseKnown() bool {
	base := c.goal.Base
	if base == 0 || c.contents[base] != nil || c.keeper(base) < 0 {
		return true
	}
	c.fetch(base)
	return false
}

// wantAnyMap gives a group that lost all its engines the map that it had. It
// would stand still otherwise until its popularity calls for another one.
func (c *Controller) wantAnyMap() {
	if c.goal.Base != 0 || c.passing || c.wanted != nil {
		return
	}
	if c.last != nil {
		c.wanted = c.last
		return
	}
	c.need(0)
}

// versionBits is the room for versions given out under one lease.
const versionBits = 16

// startChange gives the wanted map a version. The fencing number is part of
// it: two controllers that each count up from the last version would give
// two maps the same one, and a split could not be seen.
func (c *Controller) startChange() {
	if c.target == 0 {
		c.maps++
		c.target = burdockid.MapVersion(uint64(c.lease.Fence)<<versionBits | uint64(c.maps))
		c.contents[c.target] = c.wanted
	}
	c.goal = Goal{Kind: GoalLoad, Base: c.goal.Base, Map: c.target}
}

// foundEmpty reads again if a rank's engine was replaced before all were armed.
// Its predecessor may have begun the very step that the new engine is to run
// next, with the old map, so the change may not be set at that step: the rank
// has to be brought in with the old map first. Once all were armed, none had
// begun the step of the change, and a replaced rank comes in as committed.
func (c *Controller) foundEmpty() bool {
	if c.goal.Base == 0 {
		return false
	}
	for _, m := range c.members {
		if m.status.Base == 0 {
			c.surprise("a rank is empty")
			return true
		}
	}
	return false
}

func (c *Controller) loadAll() bool {
	if c.foundEmpty() {
		return true
	}
	for i, m := range c.members {
		if m.status.Failed == c.target && m.order == nil {
			c.emit(MapLoadFailed{Map: c.target, Rank: burdockid.Rank(i)})
			c.wanted, c.target = nil, 0
			return c.fire(controllerGiveUp, "a rank could not load it")
		}
	}
	if !c.drive() || c.lease.Until-c.now < c.armBudget() {
		return false
	}
	if c.now-c.lastAnswer() > c.retry(nil) {
		// The ranks have run on since; the step would be set too early.
		c.surprise("statuses are old")
		return true
	}
	c.grown, c.timed = false, true
	c.goal.At = c.stepOfChange()
	return c.enter(GoalArm, controllerAllLoaded)
}

func (c *Controller) lastAnswer() burdockclock.Millis {
	var last burdockclock.Millis
	for _, m := range c.members {
		last = max(last, m.answeredAt)
	}
	return last
}

// stepOfChange returns the step from which the next map is used. A group that
// has no map yet stands still, so the change is at the step that it is to run.
func (c *Controller) stepOfChange() burdockid.Step {
	first, last := c.members[0].status.Next, c.members[0].status.Next
	for _, m := range c.members {
		first, last = min(first, m.status.Next), max(last, m.status.Next)
	}
	if c.goal.Base == 0 {
		return first
	}
	return last + max(c.lead, c.observedLead(), 1)
}

// armAll reads all ranks again if the step of the change came too early. The
// reading voids the arms that are still on their way: one that took effect
// after the others were taken back would hold the group.
func (c *Controller) armAll() bool {
	if c.foundEmpty() {
		return true
	}
	for _, m := range c.members {
		if m.status.Next > c.goal.At && !m.status.heldAt(c.goal.At) {
			c.pauseChanges()
			c.growLead()
			c.forget()
			return c.fire(controllerTooLate, "a rank has begun the step")
		}
	}
	if c.drive() {
		return c.enter(GoalCommit, controllerAllArmed)
	}
	return c.overdue() && c.letGo()
}

// overdue reports whether some rank has not answered for too long that it is
// armed.
func (c *Controller) overdue() bool {
	return c.cfg.ArmTimeout > 0 && c.now-c.since > c.armPatience()
}

// letGo takes the change back at the ranks that answer.
//
// Failure: a rank is cut off or frozen just as the group is to be armed.
// Symptom: the other ranks stop before the step of the change and the whole
// group stands, for as long as the rank stays away. None has been told to
// commit, and none will be in this change, so each may run on with the map that
// it has. The silent rank stops the group only if its arm did reach it; then it
// says that it waits once it is back.
func (c *Controller) letGo() bool {
	c.goal = Goal{Kind: GoalRun, Base: c.goal.Base}
	for i := range c.members {
		c.members[i].order = nil
	}
	return c.fire(controllerOverdue, "a rank does not answer")
}

// pauseChanges puts the next attempt off if the lead cannot grow any more. On a
// network that is slower than MaxLead allows for, each attempt holds the ranks
// that were armed in time and is then taken back; one after the other would keep
// the group standing for a change that never comes.
func (c *Controller) pauseChanges() {
	if c.lead >= c.cfg.MaxSwitchLead {
		c.changeAt = c.now + c.cfg.Poll
	}
}

func (c *Controller) commitAll() bool {
	if !c.drive() {
		return c.stuck() && c.enter(GoalWithdraw, controllerStuck)
	}
	if c.cfg.MinimizeLead && c.timed && !c.grown {
		c.trimLead()
	}
	return c.enter(GoalRelease, controllerAllCommitted)
}

func (c *Controller) releaseAll() bool {
	if !c.drive() || !c.fire(controllerAllReleased, "") {
		return false
	}
	c.forget()
	return true
}
