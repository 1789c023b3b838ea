package burdockgroup

import (
	"bytes"
	"slices"
)

func (c *Controller) takeReport(report Report) {
	if report.From < 0 || int(report.From) >= len(c.members) || c.machine.State() == ControllerIdle {
		return
	}
	if report.HighestFence > c.lease.Fence {
		c.stepDown(StepDownReplaced)
		return
	}
	m := &c.members[report.From]
	if m.order == nil || report.Number != m.order.Number {
		return // late, or repeated: what it says may no longer be so
	}
	m.refusal = report.Refusal
	switch report.Refusal {
	case RefusalNone:
		c.accept(m, report)
	case RefusalLearning, RefusalBusy:
		// The same order is sent again when its retry is due.
	default:
		c.surprise("rank refused: " + string(report.Refusal))
	}
}

func (c *Controller) accept(m *member, report Report) {
	if read, ok := m.order.Body.(Read); ok && read.Want != 0 && report.Content != nil {
		c.contents[read.Want] = report.Content
	}
	c.noteTiming(m, report.Status)
	m.order = nil
	m.fresh = true
	m.answeredAt = c.now
	m.incarnation = report.Incarnation
	m.status = report.Status
	m.kept = report.Kept
	c.noteLead(report.Status)
	if split := c.checker.Observe(report.From, report.Status.LastStep, report.Status.LastMap); split != nil {
		c.emit(SplitDetected{Split: split})
	}
}

func (c *Controller) read() bool {
	all := true
	for i := range c.members {
		if !c.members[i].fresh {
			all = false
			c.ask(i, Read{})
		}
	}
	if !all {
		return false
	}
	c.timing.ended()
	return c.decide()
}

// noteTiming takes in how long a rank took to answer and which step is next. A
// load says nothing of the way, nor does an order of which it isn't known which
// sending was answered.
func (c *Controller) noteTiming(m *member, s EngineStatus) {
	if _, isLoad := m.order.Body.(Load); !isLoad && !m.again {
		c.timing.answered(c.now - m.sentAt)
	}
	c.timing.stepSeen(c.now, s.Next)
}

func (c *Controller) statuses() []EngineStatus {
	statuses := make([]EngineStatus, len(c.members))
	for i, m := range c.members {
		statuses[i] = m.status
	}
	return statuses
}

func (c *Controller) decide() bool {
	c.timed = false
	goal, found := judge(c.statuses())
	c.goal = goal
	c.passing = goal.Map != 0
	c.contrary = found == verdictSplit
	c.nudges.found(found == verdictUndone || found == verdictDecided, c.cfg)
	c.noteInForce()
	switch found {
	case verdictSplit:
		c.emit(SplitDetected{})
		return c.fire(controllerFoundSettled, "ranks contradict each other; no order is safe")
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

// noteInForce sees the end of a change.
func (c *Controller) noteInForce() {
	c.dropContents()
	if c.passing || c.contrary || c.goal.Base == 0 {
		return
	}
	if c.wanted != nil && (c.goal.Base == c.target || bytes.Equal(c.contents[c.goal.Base], c.wanted)) {
		c.last = c.wanted
		c.wanted, c.target = nil, 0
	}
	if c.inForce != c.goal.Base {
		c.inForce = c.goal.Base
		c.emit(MapInForce{Map: c.inForce})
	}
}

func (c *Controller) dropContents() {
	for v := range c.contents {
		if v != c.goal.Base && v != c.goal.Map && v != c.target {
			delete(c.contents, v)
		}
	}
}

// contentMissing reports whether an agent lacks the content of the map in use
// while another has it. Agents are replaced one by one in a rolling update; if
// none were given the content again, the last replacement would lose it.
func (c *Controller) contentMissing() bool {
	if c.goal.Base == 0 {
		return false
	}
	keepers := 0
	for _, m := range c.members {
		if slices.Contains(m.kept, c.goal.Base) {
			keepers++
		}
	}
	return keepers > 0 && keepers < len(c.members)
}
