package burdockgroup

import "burdockbend.example/burdockbend/internal/base/burdockid"

// noteLead doubles the lead if a rank already stands at the step of the
// change while the others still commit: the group loses steps.
func (c *Controller) noteLead(s EngineStatus) {
	deciding := c.machine.State() == ControllerArming || c.machine.State() == ControllerCommitting
	if deciding && !c.cfg.MinimizeLead && s.Base != 0 && s.Held && s.Next == s.HoldAt && c.goal.At == s.HoldAt && !c.grown {
		c.growLead()
	}
}

// observedLead returns the lead that the latest rounds and steps ask for.
func (c *Controller) observedLead() burdockid.Step {
	if c.cfg.MinRetry == 0 {
		return 0
	}
	return min(c.timing.lead(), c.cfg.MaxSwitchLead)
}

// growLead doubles the lead, once for each change.
func (c *Controller) growLead() {
	c.lead = min(max(c.lead, 1)*2, c.cfg.MaxSwitchLead)
	c.grown = true
}

// trimLead takes off the lead what this change left of it.
//
// Load: popularity that turns every few seconds, in a group whose steps are
// short at one time and long at another. Harm prevented: a lead that grew while
// steps were short puts each later change off by steps that are long, and those
// steps are long because the change has yet to come. The steps that are left
// when all ranks have committed were not needed: releasing takes less time than
// the step that runs meanwhile, or holds the group for a part of one.
func (c *Controller) trimLead() {
	left := c.goal.At
	for _, m := range c.members {
		left = min(left, c.goal.At.Since(m.status.Next))
	}
	c.lead = max(c.lead.Since(left), c.cfg.SwitchLead, 1)
}
