package burdockgroup

import "burdockbend.example/burdockbend/internal/base/burdockid"

// growLeadIfLate doubles the lead if a rank has already stopped at the switch step while
// other ranks still have to arm or commit, because the group loses steps then.
func (c *Controller) growLeadIfLate(s EngineStatus) {
	deciding := c.machine.State() == ControllerArming || c.machine.State() == ControllerCommitting
	if deciding && !c.cfg.MinimizeLead && s.Base != 0 && s.Held && s.Next == s.HoldAt && c.goal.At == s.HoldAt && !c.leadGrown {
		c.growLead()
	}
}

// measuredLead returns the lead that the measured rounds and steps require.
func (c *Controller) measuredLead() burdockid.Step {
	if c.cfg.MinRetry == 0 {
		return 0
	}
	return min(c.timing.lead(), c.cfg.MaxSwitchLead)
}

// growLead doubles the lead, once for each change.
func (c *Controller) growLead() {
	c.lead = min(max(c.lead, 1)*2, c.cfg.MaxSwitchLead)
	c.leadGrown = true
}

// trimLead reduces the lead by the steps that this change did not need.
//
// It is for popularity that shifts every few seconds, in a group whose steps are
// sometimes short and sometimes long. A lead that grew while steps were short would delay
// each later change by long steps, and those steps are long because the change has yet to
// come. The steps left when all ranks have committed were not needed: releasing the ranks
// takes less time than the step in progress, or holds the group for part of one.
func (c *Controller) trimLead() {
	unused := c.goal.At
	for _, m := range c.members {
		unused = min(unused, c.goal.At.Since(m.status.Next))
	}
	c.lead = max(c.lead.Since(unused), c.cfg.SwitchLead, 1)
}
