package burdockgroup

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockchart"
)

// ControllerConfig configures a controller.
type ControllerConfig struct {
	Ranks int
	// Retry is the time after which an unanswered order is sent again. It is a few round
	// trips: a shorter one doubles the messages on a slow link.
	Retry burdockclock.Millis
	// MinRetry, if set, lets the time before an order is sent again follow the measured
	// round time, between MinRetry and Retry. The lead of a change then follows it too.
	MinRetry burdockclock.Millis
	// LoadRetry replaces Retry for load orders, which may be answered only when the load
	// has ended; 0 means that they are treated as the others.
	LoadRetry burdockclock.Millis
	// LoadPoll is the time between two queries whether a rank has loaded a map. Loads
	// take seconds, and querying 32 ranks costs as much as a round of the change itself.
	LoadPoll burdockclock.Millis
	// SwitchPoll is the time between two readings of a group whose ranks have committed
	// but not all reached the switch step; 0 means Retry.
	SwitchPoll burdockclock.Millis
	// Poll is the time between two readings of a group at rest. Waiting ranks report by
	// themselves, so the poll only has to find what went unnoticed, and its messages
	// count against the agent's control traffic.
	Poll burdockclock.Millis
	// SwitchLead is how many steps ahead of the ranks the switch step is set, that is,
	// the first step with the next map. A change loses no step if its three rounds end
	// before the switch step; each missing step of lead holds the group for one step. The
	// lead doubles when it proved too small, up to MaxSwitchLead, which bounds how late a
	// change takes effect.
	SwitchLead    burdockid.Step
	MaxSwitchLead burdockid.Step
	// MinimizeLead keeps the lead as short as possible: it doubles only when a rank has
	// begun the switch step, not when ranks reach it before the rounds end, and falls
	// again by the steps that a change did not need. It is for groups whose steps last
	// longer than a round, where each step of lead delays the map. Elsewhere a lead that
	// never falls holds the group less often: on a network with a long tail of delays and
	// with steps of 4.5 ms, a change loses 0.2 steps instead of 2.4.
	MinimizeLead bool
	// ArmTimeout is how long a rank may take to confirm that it is armed; after that, the
	// change is aborted at the other ranks. 0 means no limit.
	ArmTimeout burdockclock.Millis
	// ArmBudget is the remaining lease time that a controller needs to arm the ranks. A
	// lease that expires while ranks are armed holds the group until there is a new
	// controller, which cannot happen during an outage of the store.
	ArmBudget burdockclock.Millis
	// MaxArmBudget, if set, lets the budget follow the measured round time, between
	// ArmBudget and MaxArmBudget.
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

	lease          Lease
	seq            uint64
	versionCount   uint16 // versions created under this lease
	lead           burdockid.Step
	leadGrown      bool // the lead was doubled in this change
	leadApplied    bool // this controller set the switch step of the change, using the lead
	members        []member
	goal           Goal
	switchPending  bool                // some rank has yet to reach the switch step
	inconsistent   bool                // the ranks' statuses contradict each other
	nextChangeAt   burdockclock.Millis // earliest start of the next change
	trigger        readTrigger
	contents       map[burdockid.MapVersion][]byte
	mapRequestedAt burdockclock.Millis
	wanted         []byte               // content of the next map; nil if none
	wantedVersion  burdockid.MapVersion // version of wanted; 0 until its change starts
	lastContent    []byte               // last wanted content that came into force
	inForce        burdockid.MapVersion
	checker        Checker
	timing         timing
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

// Handle processes one input and returns the outputs that the caller has to carry out.
// now is the boot clock's time, read right before the call.
func (c *Controller) Handle(now burdockclock.Millis, in ControllerInput) []ControllerOutput {
	c.now, c.out = now, nil
	c.handleInput(in)
	// The lease is checked before each order on a clock that counts while the VM is
	// suspended: a controller that resumes after its lease has expired sends none.
	if c.machine.State() != ControllerIdle && now >= c.lease.Until {
		c.stepDown(StepDownLapsed)
	}
	c.advance()
	return c.out
}

func (c *Controller) handleInput(in ControllerInput) {
	switch in := in.(type) {
	case LeaseHeld:
		c.leaseHeld(in.Lease)
	case LeaseLost:
		c.stepDown(StepDownLost)
	case ReportReceived:
		c.handleReport(in.Report)
	case MapWanted:
		c.setWanted(in.Content)
	case MapFound:
		c.contents[in.Map] = in.Content
	case RankWaiting:
		c.trigger.pending = true
	case ControllerTick:
	}
}

// Base returns the map that the group uses, as far as the controller knows; 0 if none is
// known.
func (c *Controller) Base() burdockid.MapVersion { return c.goal.Base }

func (c *Controller) setWanted(content []byte) {
	if len(content) == 0 {
		return // an agent that keeps an empty map would look like one that keeps none
	}
	c.wanted, c.wantedVersion = content, 0
	c.readAgainIn(ControllerLoading, "another map is wanted")
}

func (c *Controller) emit(out ControllerOutput) { c.out = append(c.out, out) }

// fire fires an event of the state machine and records it for the state dump.
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
		return // a late answer to an old request
	}
	if lease.Fence > c.lease.Fence {
		c.fire(controllerLeaseLost, "a new lease was acquired")
		c.seq, c.versionCount, c.wantedVersion = 0, 0, 0
	}
	c.lease = lease
	if c.fire(controllerLeaseHeld, "") {
		c.discardStatuses()
	}
}

func (c *Controller) stepDown(reason StepDown) {
	if c.fire(controllerLeaseLost, string(reason)) {
		c.emit(SteppedDown{Reason: reason})
	}
}

// readAgain starts a new reading of all ranks, because one is not in the state that was
// read.
func (c *Controller) readAgain(reason string) {
	if c.fire(controllerSurprise, reason) {
		c.discardStatuses()
	}
}

func (c *Controller) readAgainIn(phase ControllerPhase, reason string) {
	if c.machine.State() == phase {
		c.readAgain(reason)
	}
}

// discardStatuses marks all statuses as out of date and drops the open orders, so that
// nothing is decided by them.
func (c *Controller) discardStatuses() {
	for i := range c.members {
		c.members[i].fresh = false
		c.members[i].order = nil
	}
}

// advance acts on the current phase until the phase no longer changes.
func (c *Controller) advance() {
	for c.advanceOnce() {
	}
}

// advanceOnce acts on the current phase and reports whether the phase changed.
func (c *Controller) advanceOnce() bool {
	switch c.machine.State() {
	case ControllerReading:
		return c.readAll()
	case ControllerResting:
		return c.checkResting()
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
