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

func (c *Controller) checkResting() bool {
	c.restoreLastMap()
	if c.canStartChange() {
		c.updateInForce()
		if c.wanted != nil {
			c.startChange()
			return c.fire(controllerMapWanted, "")
		}
	}
	rested := c.now - c.since
	if c.trigger.due(rested, c.cfg) {
		c.readAgain("a rank is waiting")
		return true
	}
	if rested < c.pollInterval() {
		return false
	}
	c.readAgain("poll interval elapsed")
	return true
}

// canStartChange reports whether a change is wanted and the group is ready for it. A
// group whose ranks contradict each other is left alone, because no order to it is known
// to be safe.
func (c *Controller) canStartChange() bool {
	return c.wanted != nil && c.now >= c.nextChangeAt && !c.switchPending && !c.inconsistent && c.ensureBaseContent()
}

// pollInterval returns the time between two readings of the group.
func (c *Controller) pollInterval() burdockclock.Millis {
	if c.switchPending && !c.inconsistent {
		return cmp.Or(c.cfg.SwitchPoll, c.cfg.Retry)
	}
	return c.cfg.Poll
}

// ensureBaseContent reports whether the content of the map in use is known, and requests
// it if not. A controller that completed its predecessor's change wants the same content;
// unless it can tell, it makes every rank load that content a second time.
func (c *Controller) ensureBaseContent() bool {
	base := c.goal.Base
	if base == 0 || c.contents[base] != nil || c.contentHolder(base) < 0 {
		return true
	}
	c.fetch(base)
	return false
}

// restoreLastMap gives a group that lost all its engines the map that it had. Otherwise
// the group stays stalled until its popularity calls for another map.
func (c *Controller) restoreLastMap() {
	if c.goal.Base != 0 || c.switchPending || c.wanted != nil {
		return
	}
	if c.lastContent != nil {
		c.wanted = c.lastContent
		return
	}
	c.requestMap(0)
}

// versionCountBits is the number of low bits of a map version that count the versions
// created under one lease.
const versionCountBits = 16

// startChange gives the wanted map a version, which contains the fencing number. If two
// controllers each counted up from the last version, two maps could get the same version
// and a split would go undetected.
func (c *Controller) startChange() {
	if c.wantedVersion == 0 {
		c.versionCount++
		c.wantedVersion = burdockid.MapVersion(uint64(c.lease.Fence)<<versionCountBits | uint64(c.versionCount))
		c.contents[c.wantedVersion] = c.wanted
	}
	c.goal = Goal{Kind: GoalLoad, Base: c.goal.Base, Map: c.wantedVersion}
}

// rereadIfEmpty reads the group again if a rank's engine was replaced before all ranks
// were armed. The old engine may have begun the very step that the new one is to run
// next, with the old map, so the change must not be set at that step: the rank first gets
// the old map. Once all ranks were armed, none had begun the switch step, and a replaced
// rank joins as committed.
func (c *Controller) rereadIfEmpty() bool {
	if c.goal.Base == 0 {
		return false
	}
	for _, m := range c.members {
		if m.status.Base == 0 {
			c.readAgain("a rank's engine has no map")
			return true
		}
	}
	return false
}

func (c *Controller) loadAll() bool {
	if c.rereadIfEmpty() {
		return true
	}
	for i, m := range c.members {
		if m.status.Failed == c.wantedVersion && m.order == nil {
			c.emit(MapLoadFailed{Map: c.wantedVersion, Rank: burdockid.Rank(i)})
			c.wanted, c.wantedVersion = nil, 0
			return c.fire(controllerGiveUp, "a rank could not load the map")
		}
	}
	if !c.drive() || c.lease.Until-c.now < c.armBudget() {
		return false
	}
	if c.now-c.lastAnsweredAt() > c.retryInterval(nil) {
		// The ranks have run on since; the switch step would be too early.
		c.readAgain("statuses are too old to set the switch step")
		return true
	}
	c.leadGrown, c.leadApplied = false, true
	c.goal.At = c.switchStep()
	return c.enter(GoalArm, controllerAllLoaded)
}

func (c *Controller) lastAnsweredAt() burdockclock.Millis {
	var last burdockclock.Millis
	for _, m := range c.members {
		last = max(last, m.answeredAt)
	}
	return last
}

// switchStep returns the first step that uses the next map. A group that has no map yet
// runs no step, so it switches at the step that it is to run next.
func (c *Controller) switchStep() burdockid.Step {
	first, last := c.members[0].status.Next, c.members[0].status.Next
	for _, m := range c.members {
		first, last = min(first, m.status.Next), max(last, m.status.Next)
	}
	if c.goal.Base == 0 {
		return first
	}
	return last + max(c.lead, c.measuredLead(), 1)
}

// armAll reads all ranks again if a rank has already begun the switch step. The reading
// voids the arm orders still in flight: one that took effect after the others were
// aborted would hold the group.
func (c *Controller) armAll() bool {
	if c.rereadIfEmpty() {
		return true
	}
	for _, m := range c.members {
		if m.status.Next > c.goal.At && !m.status.heldAt(c.goal.At) {
			c.delayNextChange()
			c.growLead()
			c.discardStatuses()
			return c.fire(controllerTooLate, "a rank has already begun the switch step")
		}
	}
	if c.drive() {
		return c.enter(GoalCommit, controllerAllArmed)
	}
	return c.armTimedOut() && c.cancelChange()
}

// armTimedOut reports whether some rank has taken too long to confirm that it is armed.
func (c *Controller) armTimedOut() bool {
	return c.cfg.ArmTimeout > 0 && c.now-c.since > c.armTimeout()
}

// cancelChange aborts the change at the ranks that answer.
//
// It handles a rank that is cut off or frozen just as the group is to be armed. The other
// ranks stop before the switch step, and without the abort the whole group stalls for as
// long as that rank stays away. No rank has been told to commit, and none will be in this
// change, so each may run on with its present map. The unreachable rank stops the group
// only if the arm order did reach it; it then reports that it is waiting once it is back.
func (c *Controller) cancelChange() bool {
	c.goal = Goal{Kind: GoalRun, Base: c.goal.Base}
	for i := range c.members {
		c.members[i].order = nil
	}
	return c.fire(controllerOverdue, "a rank did not confirm in time that it is armed")
}

// delayNextChange postpones the next attempt if the lead cannot grow any more. On a
// network slower than MaxSwitchLead allows for, each attempt holds the ranks that were
// armed in time and is then aborted; back-to-back attempts would keep the group stalled
// for a change that never completes.
func (c *Controller) delayNextChange() {
	if c.lead >= c.cfg.MaxSwitchLead {
		c.nextChangeAt = c.now + c.cfg.Poll
	}
}

func (c *Controller) commitAll() bool {
	if !c.drive() {
		return c.stuck() && c.enter(GoalWithdraw, controllerStuck)
	}
	if c.cfg.MinimizeLead && c.leadApplied && !c.leadGrown {
		c.trimLead()
	}
	return c.enter(GoalRelease, controllerAllCommitted)
}

func (c *Controller) releaseAll() bool {
	if !c.drive() || !c.fire(controllerAllReleased, "") {
		return false
	}
	c.discardStatuses()
	return true
}
