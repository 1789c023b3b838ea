package burdockgroup

import (
	"bytes"
	"slices"
)

func (c *Controller) handleReport(report Report) {
	if report.From < 0 || int(report.From) >= len(c.members) || c.machine.State() == ControllerIdle {
		return
	}
	if report.HighestFence > c.lease.Fence {
		c.stepDown(StepDownReplaced)
		return
	}
	m := &c.members[report.From]
	if m.order == nil || report.Number != m.order.Number {
		return // late or repeated: its status may be out of date
	}
	m.refusal = report.Refusal
	switch report.Refusal {
	case RefusalNone:
		c.accept(m, report)
	case RefusalLearning, RefusalBusy:
		// The same order is sent again when its retry is due.
	default:
		c.readAgain("a rank refused an order: " + string(report.Refusal))
	}
}

func (c *Controller) accept(m *member, report Report) {
	if read, ok := m.order.Body.(Read); ok && read.Want != 0 && report.Content != nil {
		c.contents[read.Want] = report.Content
	}
	c.recordTiming(m, report.Status)
	m.order = nil
	m.fresh = true
	m.answeredAt = c.now
	m.incarnation = report.Incarnation
	m.status = report.Status
	m.kept = report.Kept
	c.growLeadIfLate(report.Status)
	if split := c.checker.Observe(report.From, report.Status.LastStep, report.Status.LastMap); split != nil {
		c.emit(SplitDetected{Split: split})
	}
}

func (c *Controller) readAll() bool {
	all := true
	for i := range c.members {
		if !c.members[i].fresh {
			all = false
			c.sendOrder(i, Read{})
		}
	}
	if !all {
		return false
	}
	c.timing.endRound()
	return c.decide()
}

// recordTiming records how long a rank took to answer and which step is next. The answer
// time of a load says nothing about the network, and that of an order which was sent
// again is ambiguous.
func (c *Controller) recordTiming(m *member, s EngineStatus) {
	if _, isLoad := m.order.Body.(Load); !isLoad && !m.resent {
		c.timing.recordAnswer(c.now - m.sentAt)
	}
	c.timing.recordStep(c.now, s.Next)
}

func (c *Controller) statuses() []EngineStatus {
	statuses := make([]EngineStatus, len(c.members))
	for i, m := range c.members {
		statuses[i] = m.status
	}
	return statuses
}

func (c *Controller) decide() bool {
	c.leadApplied = false
	goal, found := judge(c.statuses())
	c.goal = goal
	c.switchPending = goal.Map != 0
	c.inconsistent = found == verdictSplit
	c.trigger.found(found == verdictUndone || found == verdictDecided, c.cfg)
	c.updateInForce()
	switch found {
	case verdictSplit:
		c.emit(SplitDetected{})
		return c.fire(controllerFoundSettled, "the ranks' statuses contradict each other; no order is safe")
	case verdictDecided:
		return c.fire(controllerFoundDecided, "some rank has committed")
	case verdictUndone:
		return c.fire(controllerFoundUndone, "no rank has committed")
	}
	if c.contentMissing() {
		return c.fire(controllerFoundUndone, "an agent lacks the map's content")
	}
	return c.fire(controllerFoundSettled, "")
}

// updateInForce detects that a change is complete.
func (c *Controller) updateInForce() {
	c.dropUnusedContents()
	if c.switchPending || c.inconsistent || c.goal.Base == 0 {
		return
	}
	if c.wanted != nil && (c.goal.Base == c.wantedVersion || bytes.Equal(c.contents[c.goal.Base], c.wanted)) {
		c.lastContent = c.wanted
		c.wanted, c.wantedVersion = nil, 0
	}
	if c.inForce != c.goal.Base {
		c.inForce = c.goal.Base
		c.emit(MapInForce{Map: c.inForce})
	}
}

func (c *Controller) dropUnusedContents() {
	for v := range c.contents {
		if v != c.goal.Base && v != c.goal.Map && v != c.wantedVersion {
			delete(c.contents, v)
		}
	}
}

// contentMissing reports whether an agent lacks the content of the map in use while
// another has it. A rolling update replaces agents one by one; if none got the content
// again, the last replacement would lose it.
func (c *Controller) contentMissing() bool {
	if c.goal.Base == 0 {
		return false
	}
	holders := 0
	for _, m := range c.members {
		if slices.Contains(m.kept, c.goal.Base) {
			holders++
		}
	}
	return holders > 0 && holders < len(c.members)
}
