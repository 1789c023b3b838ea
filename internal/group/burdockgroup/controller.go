package burdockgroup

import (
	"bytes"
	"slices"

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
	// LoadPoll is the time between two questions whether a rank has loaded a
	// map. Loads take seconds; each question to 32 ranks costs as much as a
	// round of the change itself.
	LoadPoll burdockclock.Millis
	// Poll is the time between two readings of a group at rest. Ranks that
	// wait say so themselves, so it only has to find what nobody noticed, and
	// its messages count against the agent's control traffic.
	Poll burdockclock.Millis
	// Lead is how many steps ahead of the ranks the step of a change is set.
	// The change is free if its three rounds end before that step; each step
	// of lead too few holds the group for a step. It doubles when it proved
	// too small, up to MaxLead, which bounds how late a change takes hold.
	Lead    burdockid.Step
	MaxLead burdockid.Step
	// ArmBudget is the rest of the lease that a controller must have to arm.
	// A lease that lapses while ranks are armed holds the group until there is
	// a next controller, which during an outage of the store can't be.
	ArmBudget burdockclock.Millis
}

const controllerEvents = 32

// member is what the controller knows of one rank.
type member struct {
	incarnation burdockid.Incarnation
	fresh       bool // heard of in this reading or later
	status      EngineStatus
	kept        []burdockid.MapVersion
	refusal     Refusal
	order       *Order // sent and not answered
	sentAt      burdockclock.Millis
	answeredAt  burdockclock.Millis
}

func (m *member) waitingFor() uint64 {
	if m.order == nil {
		return 0
	}
	return m.order.Number.Seq
}

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
	members  []member
	goal     Goal
	passing  bool // some rank has yet to reach the step of the change
	contents map[burdockid.MapVersion][]byte
	neededAt burdockclock.Millis
	wanted   []byte               // content of the next map; nil if none
	target   burdockid.MapVersion // its version, once given
	last     []byte               // content that was wanted last and came into force
	inForce  burdockid.MapVersion
	checker  Checker
}

// NewController returns a controller without a lease.
func NewController(cfg ControllerConfig) *Controller {
	return &Controller{
		cfg:      cfg,
		machine:  controllerChart.Start(),
		journal:  burdockchart.NewJournal(controllerEvents),
		lead:     cfg.Lead,
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
		c.surpriseIn(ControllerResting, "a rank waits")
	case ControllerTick:
	}
}

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

func (c *Controller) takeReport(report Report) {
	if report.From < 0 || int(report.From) >= len(c.members) || c.machine.State() == ControllerIdle {
		return
	}
	if report.Highest > c.lease.Fence {
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
	m.order = nil
	m.fresh = true
	m.answeredAt = c.now
	m.incarnation = report.Incarnation
	m.status = report.Status
	m.kept = report.Kept
	c.noteLead(report.Status)
	if split := c.checker.Observe(report.From, report.Status.LastStep, report.Status.LastMap); split != nil {
		c.emit(SplitSeen{Split: split})
	}
}

// noteLead doubles the lead if a rank already stands at the step of the
// change while the others still commit: the group loses steps.
func (c *Controller) noteLead(s EngineStatus) {
	deciding := c.machine.State() == ControllerArming || c.machine.State() == ControllerCommitting
	if deciding && s.Base != 0 && s.Held && s.Next == s.HoldAt && c.goal.At == s.HoldAt && !c.grown {
		c.growLead()
	}
}

// growLead doubles the lead, once for each change.
func (c *Controller) growLead() {
	c.lead = min(max(c.lead, 1)*2, c.cfg.MaxLead)
	c.grown = true
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
		return c.drive() && c.enter(GoalRelease, controllerAllCommitted)
	case ControllerReleasing:
		return c.releaseAll()
	default:
		return false
	}
}

func (c *Controller) enter(kind GoalKind, e controllerEvent) bool {
	c.goal.Kind = kind
	return c.fire(e, "")
}

func (c *Controller) read() bool {
	all := true
	for i := range c.members {
		if !c.members[i].fresh {
			all = false
			c.ask(i, Read{})
		}
	}
	return all && c.decide()
}

func (c *Controller) statuses() []EngineStatus {
	statuses := make([]EngineStatus, len(c.members))
	for i, m := range c.members {
		statuses[i] = m.status
	}
	return statuses
}

func (c *Controller) decide() bool {
	goal, found := judge(c.statuses())
	c.goal = goal
	c.passing = goal.Map != 0
	c.noteInForce()
	switch found {
	case verdictSplit:
		c.emit(SplitSeen{})
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
	if c.passing || c.goal.Base == 0 {
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

func (c *Controller) rest() bool {
	c.wantAnyMap()
	if c.wanted != nil && !c.passing && c.baseKnown() {
		c.noteInForce()
		if c.wanted != nil {
			c.startChange()
			return c.fire(controllerMapWanted, "")
		}
	}
	pause := c.cfg.Poll
	if c.passing {
		pause = c.cfg.Retry
	}
	if c.now-c.since < pause {
		return false
	}
	c.surprise("time to read again")
	return true
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
			c.emit(MapRefused{Map: c.target, Rank: burdockid.Rank(i)})
			c.wanted, c.target = nil, 0
			return c.fire(controllerGiveUp, "a rank could not load it")
		}
	}
	if !c.drive() || c.lease.Until-c.now < c.cfg.ArmBudget {
		return false
	}
	if c.now-c.lastAnswer() > c.cfg.Retry {
		// The ranks have run on since; the step would be set too early.
		c.surprise("statuses are old")
		return true
	}
	c.grown = false
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
	return last + max(c.lead, 1)
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
			c.growLead()
			c.forget()
			return c.fire(controllerTooLate, "a rank has begun the step")
		}
	}
	return c.drive() && c.enter(GoalCommit, controllerAllArmed)
}

func (c *Controller) releaseAll() bool {
	if !c.drive() || !c.fire(controllerAllReleased, "") {
		return false
	}
	c.forget()
	return true
}

// drive brings every rank nearer to the goal and reports whether all are there.
func (c *Controller) drive() bool {
	all := true
	for i := range c.members {
		if !c.driveOne(i) {
			all = false
		}
	}
	return all
}

func (c *Controller) driveOne(i int) bool {
	m := &c.members[i]
	if m.order != nil {
		c.ask(i, m.order.Body)
		return false
	}
	body, done := c.goal.next(m.status)
	if done && c.goal.Kind == GoalRun && c.goal.Base != 0 && !slices.Contains(m.kept, c.goal.Base) {
		return c.refill(i)
	}
	if done {
		return true
	}
	switch body := body.(type) {
	case nil:
		c.askLater(i, Read{})
	case Load:
		c.askLoad(i, body.Map)
	default:
		c.ask(i, body)
	}
	return false
}

// refill gives an agent the content of the map in use, if anyone has it.
func (c *Controller) refill(i int) bool {
	if c.contents[c.goal.Base] == nil && c.keeper(c.goal.Base) < 0 {
		return true
	}
	c.askLoad(i, c.goal.Base)
	return false
}

func (c *Controller) askLoad(i int, v burdockid.MapVersion) {
	content, ok := c.contents[v]
	if !ok {
		c.fetch(v)
		return
	}
	load := Load{Map: v, Content: content}
	if c.members[i].status.Failed == v {
		c.askLater(i, load)
		return
	}
	c.ask(i, load)
}

func (c *Controller) keeper(v burdockid.MapVersion) int {
	return slices.IndexFunc(c.members, func(m member) bool { return slices.Contains(m.kept, v) })
}

// fetch gets the content of a map from an agent that has kept it.
func (c *Controller) fetch(v burdockid.MapVersion) {
	if i := c.keeper(v); i >= 0 {
		c.ask(i, Read{Want: v})
		return
	}
	c.need(v)
}

func (c *Controller) need(v burdockid.MapVersion) {
	if c.neededAt == 0 || c.now-c.neededAt >= c.cfg.Retry {
		c.neededAt = c.now
		c.emit(NeedMap{Map: v})
	}
}

// askLater asks a rank that loads, when it is due.
func (c *Controller) askLater(i int, body OrderBody) {
	if c.now-c.members[i].answeredAt >= c.cfg.LoadPoll {
		c.ask(i, body)
	}
}

// ask sends an order, or sends the unanswered one again when that is due. A
// rank has one order at a time, so that its answer is never of two minds.
func (c *Controller) ask(i int, body OrderBody) {
	m := &c.members[i]
	if m.order != nil {
		if c.now-m.sentAt >= c.cfg.Retry {
			c.send(m)
		}
		return
	}
	c.seq++
	order := Order{Number: Number{Fence: c.lease.Fence, Seq: c.seq}, To: burdockid.Rank(i), Body: body}
	if _, isRead := body.(Read); !isRead {
		order.Incarnation = m.incarnation
	}
	m.order = &order
	c.send(m)
}

func (c *Controller) send(m *member) {
	m.sentAt = c.now
	c.emit(SendOrder{Order: *m.order, NotAfter: c.lease.Until})
}
