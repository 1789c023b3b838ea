package burdockgroup

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockchart"
)

// ControllerConfig sets a controller's sizes and times.
type ControllerConfig struct {
	Ranks int
	// Retry is the time after which an unanswered order is sent again. It is
	// a few round trips: shorter doubles the messages on a slow link.
	Retry burdockclock.Millis
	// MinRetry, if set, has the time before an order is sent again follow what
	// rounds have taken, between MinRetry and Retry; the lead of a change follows
	// them too.
	MinRetry burdockclock.Millis
	// LoadRetry is the time for orders to load, which may be answered when the load
	// has ended; 0 takes that of the others.
	LoadRetry burdockclock.Millis
	// LoadPoll is the time between two questions whether a rank has loaded a
	// map. Loads take seconds; each question to 32 ranks costs as much as a
	// round of the change itself.
	LoadPoll burdockclock.Millis
	// SwitchPoll is the time between two readings of a group whose ranks have yet
	// to reach the step of a change; 0 takes Retry.
	SwitchPoll burdockclock.Millis
	// Poll is the time between two readings of a group at rest. Ranks that
	// wait say so themselves, so it only has to find what nobody noticed, and
	// its messages count against the agent's control traffic.
	Poll burdockclock.Millis
	// SwitchLead is how many steps ahead of the ranks the step of a change is set.
	// The change is free if its three rounds end before that step; each step
	// of lead too few holds the group for a step. It doubles when it proved
	// too small, up to MaxLead, which bounds how late a change takes hold.
	SwitchLead    burdockid.Step
	MaxSwitchLead burdockid.Step
	// MinimizeLead keeps the lead as short as it can be: it doubles only when a
	// rank had begun the step of the change, not when ranks reach it before the
	// rounds end, and falls again by the steps that a change had left over. It is
	// for groups whose steps last longer than a round and whose map is late with
	// each of them. Elsewhere a lead that is kept holds the group less often: on
	// a network with a long tail of delays and with steps of 4.5 ms, 0.2 steps
	// are lost for each change in place of 2.4.
	MinimizeLead bool
	// ArmTimeout is how long a rank may take to answer that it is armed; 0 is no
	// bound. Beyond it the others are let go.
	ArmTimeout burdockclock.Millis
	// ArmBudget is the rest of the lease that a controller must have to arm.
	// A lease that lapses while ranks are armed holds the group until there is
	// a next controller, which during an outage of the store can't be.
	ArmBudget burdockclock.Millis
	// MaxArmBudget, if set, has the budget follow what rounds have taken, between
	// ArmBudget and this.
	MaxArmBudget burdockclock.Millis
}

const controllerEvents = 32

// Controller changes the map of one group while it holds the group's lease.
type Controller struct {
	cfg     ControllerConfig
	machine burdockchart.Machine[ControllerPhase, controllerEvent]
	journal *burdockchart.Journal
	now     burdockclock.Millis
	since   burdockclock.Millis
	out     []ControllerOutput

	lease    Lease
	seq      uint64
	maps     uint16 // versions given out under this lease
	lead     burdockid.Step
	grown    bool // the lead was doubled in this change
	timed    bool // the step of this change was set with the lead
	members  []member
	goal     Goal
	passing  bool                // some rank has yet to reach the step of the change
	contrary bool                // the ranks contradict each other
	changeAt burdockclock.Millis // when the next change may begin
	nudges   nudges
	contents map[burdockid.MapVersion][]byte
	neededAt burdockclock.Millis
	wanted   []byte               // content of the next map; nil if none
	target   burdockid.MapVersion // its version, once given
	last     []byte               // content that was wanted last and came into force
	inForce  burdockid.MapVersion
	checker  Checker
	timing   timing
}

// NewController returns a controller without a lease.
func NewController(cfg ControllerConfig) *Controller {
	cfg.Ranks = max(cfg.Ranks, 1)
	return &Controller{
		cfg:      cfg,
		machine:  controllerChart.Start(),
		journal:  burdockchart.NewJournal(controllerEvents),
		lead:     cfg.SwitchLead,
		members:  make([]member, cfg.Ranks),
		contents: map[burdockid.MapVersion][]byte{},
	}
}

// Handle takes one input at time now, which is the boot clock's, read right
// before the call. It returns what is to be done.
func (c *Controller) Handle(now burdockclock.Millis, in ControllerInput) []ControllerOutput {
	c.now, c.out = now, nil
	c.take(in)
	// The lease is looked at on a clock that counts while the VM is suspended,
	// before each order: a controller that wakes past its lease sends none.
	if c.machine.State() != ControllerIdle && now >= c.lease.Until {
		c.stepDown(StepDownLapsed)
	}
	c.advance()
	return c.out
}

func (c *Controller) take(in ControllerInput) {
	switch in := in.(type) {
	case LeaseHeld:
		c.leaseHeld(in.Lease)
	case LeaseLost:
		c.stepDown(StepDownLost)
	case ReportReceived:
		c.takeReport(in.Report)
	case MapWanted:
		c.want(in.Content)
	case MapFound:
		c.contents[in.Map] = in.Content
	case RankWaiting:
		c.nudges.pending = true
	case ControllerTick:
	}
}

// Base returns the map that the group uses, as far as the controller knows.
func (c *Controller) Base() burdockid.MapVersion { return c.goal.Base }

func (c *Controller) want(content []byte) {
	if len(content) == 0 {
		return // no map; an agent that keeps it could not be told from one that doesn't
	}
	c.wanted, c.target = content, 0
	c.surpriseIn(ControllerLoading, "another map is wanted")
}

func (c *Controller) emit(out ControllerOutput) { c.out = append(c.out, out) }

// fire drives the chart and notes the event for the state dump.
func (c *Controller) fire(e controllerEvent, reason string) bool {
	from := c.machine.State()
	moved, err := c.machine.Fire(e)
	if err != nil {
		reason = err.Error()
	}
	if moved {
		c.since = c.now
	}
	if moved || err != nil {
		c.journal.Add(burdockchart.Entry{At: c.now, Event: string(e), From: string(from), To: string(c.machine.State()), Reason: reason})
	}
	return moved
}

func (c *Controller) leaseHeld(lease Lease) {
	if lease.Fence < c.lease.Fence {
		return // the answer to an old request
	}
	if lease.Fence > c.lease.Fence {
		c.fire(controllerLeaseLost, "a new lease")
		c.seq, c.maps, c.target = 0, 0, 0
	}
	c.lease = lease
	if c.fire(controllerLeaseHeld, "") {
		c.forget()
	}
}

func (c *Controller) stepDown(reason StepDown) {
	if c.fire(controllerLeaseLost, string(reason)) {
		c.emit(SteppedDown{Reason: reason})
	}
}

// surprise starts to read all ranks again, because one is not as it was read.
func (c *Controller) surprise(reason string) {
	if c.fire(controllerSurprise, reason) {
		c.forget()
	}
}

func (c *Controller) surpriseIn(phase ControllerPhase, reason string) {
	if c.machine.State() == phase {
		c.surprise(reason)
	}
}

// forget drops what was read, so that nothing is decided by it.
func (c *Controller) forget() {
	for i := range c.members {
		c.members[i].fresh = false
		c.members[i].order = nil
	}
}

// advance does what the present phase asks for, until nothing changes.
func (c *Controller) advance() {
	for c.work() {
	}
}

// work reports whether the phase changed.
func (c *Controller) work() bool {
	switch c.machine.State() {
	case ControllerReading:
		return c.read()
	case ControllerResting:
		return c.rest()
	case ControllerSettling:
		return c.drive() && c.fire(controllerAllSettled, "")
	case ControllerLoading:
		return c.loadAll()
	case ControllerArming:
		return c.armAll()
	case ControllerCommitting:
		return c.commitAll()
	case ControllerWithdrawing:
		return c.withdrawAll()
	case ControllerReleasing:
		return c.releaseAll()
	default:
		return false
	}
}
