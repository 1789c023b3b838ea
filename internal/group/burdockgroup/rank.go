package burdockgroup

import (
	"bytes"
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockchart"
)

// RankConfig says which rank a Rank speaks for.
type RankConfig struct {
	Rank        burdockid.Rank
	Ranks       int // in the group
	Incarnation burdockid.Incarnation
	// Retry is the time after which an unanswered question is asked again.
	Retry burdockclock.Millis
	// NotifyDelay is how long a rank is held or empty before it says so. Too
	// short costs a message for each change; too long adds to the time for
	// which a group stands still after its controller has died.
	NotifyDelay burdockclock.Millis
}

// rankEvents is the number of past events that the state dump shows.
const rankEvents = 16

// Rank carries out a controller's orders on one engine. It is the engine's
// only door, so its checks also protect engines that check nothing.
type Rank struct {
	cfg     RankConfig
	machine burdockchart.Machine[RankPhase, rankEvent]
	journal *burdockchart.Journal
	now     burdockclock.Millis
	since   burdockclock.Millis // when the present state was entered
	out     []RankOutput

	highest Number
	peers   map[burdockid.Rank]FenceAnswered // answers while learning
	status  EngineStatus
	kept    map[burdockid.MapVersion][]byte

	settled RankPhase // last phase that the engine's status gave
	sayGap  burdockclock.Millis
	sayAt   burdockclock.Millis // when to say that the rank still waits

	ticket  uint64
	askedAt burdockclock.Millis
	answer  *Order // the order to report on when the engine has answered
}

// NewRank returns a rank whose agent has just started.
func NewRank(cfg RankConfig) *Rank {
	return &Rank{
		cfg:     cfg,
		machine: rankChart.Start(),
		journal: burdockchart.NewJournal(rankEvents),
		peers:   map[burdockid.Rank]FenceAnswered{},
		kept:    map[burdockid.MapVersion][]byte{},
	}
}

// Handle takes one input at time now and returns what is to be done.
func (r *Rank) Handle(now burdockclock.Millis, in RankInput) []RankOutput {
	r.now, r.out = now, nil
	switch in := in.(type) {
	case OrderReceived:
		r.takeOrder(in.Order)
	case FenceFromStore:
		r.learn(in.Fence, "from the store")
	case FenceAsked:
		known := r.machine.State() != RankLearning
		r.emit(AnswerFence{To: in.From, Fence: r.highest.Fence, Known: known})
	case FenceAnswered:
		r.hearPeer(in)
	case EngineAnswered:
		r.engineAnswered(in)
	case EngineLost:
		r.engineLost()
	case StepFinished:
		r.stepFinished(in)
	case RankTick:
		r.tick()
	}
	return r.out
}

func (r *Rank) emit(out RankOutput) { r.out = append(r.out, out) }

// fire drives the chart and notes the event for the state dump.
func (r *Rank) fire(e rankEvent, reason string) error {
	from := r.machine.State()
	moved, err := r.machine.Fire(e)
	if err != nil {
		reason = err.Error()
	}
	if moved {
		r.since = r.now
	}
	if moved || err != nil {
		r.journal.Add(burdockchart.Entry{At: r.now, Event: string(e), From: string(from), To: string(r.machine.State()), Reason: reason})
	}
	return err
}

// learn takes the highest fencing number. An agent that has just started has
// forgotten what its predecessor saw. If it took orders at once, one from a
// controller that lost its lease long ago would pass, and two controllers
// would command one group.
func (r *Rank) learn(fence burdockid.Fence, reason string) {
	if fence > r.highest.Fence {
		r.highest = Number{Fence: fence}
	}
	if r.machine.State() != RankLearning {
		return
	}
	if r.fire(rankFenceLearned, reason) == nil {
		r.peers = nil
		r.askEngine(ReadStatus{})
	}
}

// hearPeer learns from the peers while the store is out. A controller acts only
// after it has read all ranks, so each peer that has kept its memory knows the
// number of every controller that has acted. All peers are heard, so that one
// that was out of reach of the newest controller doesn't decide alone; and one
// at least must know, else only the store can tell.
func (r *Rank) hearPeer(told FenceAnswered) {
	stranger := told.From < 0 || int(told.From) >= r.cfg.Ranks || told.From == r.cfg.Rank
	if stranger || r.machine.State() != RankLearning {
		return
	}
	r.peers[told.From] = told
	if len(r.peers) < r.cfg.Ranks-1 {
		return
	}
	var highest burdockid.Fence
	known := false
	for _, p := range r.peers {
		known = known || p.Known
		highest = max(highest, p.Fence)
	}
	if known {
		r.learn(highest, "from the peers")
	}
}

func (r *Rank) takeOrder(o Order) {
	if reason := r.admit(o); reason != RefusalNone {
		r.refuse(o, reason)
		return
	}
	body := o.Body
	if o.Number == r.highest {
		// A repeat: the order was carried out, its report was lost. Carried
		// out again, an arm repeated after an abort would hold the group.
		body = Read{Want: wanted(body)}
	}
	r.highest = o.Number
	event, engineOrder, refusal := r.translate(body)
	if refusal == RefusalNone && r.fire(event, fmt.Sprintf("fence %d seq %d", o.Number.Fence, o.Number.Seq)) != nil {
		refusal = RefusalNotAllowed
	}
	if refusal != RefusalNone {
		r.refuse(o, refusal)
		return
	}
	r.answer = &o
	r.askEngine(engineOrder)
}

// admit checks an order before anything else. The fencing number voids the
// orders of a controller that was paused past its lease and woke, which the
// engine itself may not check.
func (r *Rank) admit(o Order) Refusal {
	_, isRead := o.Body.(Read)
	switch {
	case o.To != r.cfg.Rank:
		return RefusalWrongRank
	case r.machine.State() == RankLearning:
		return RefusalLearning
	case o.Number.Less(r.highest):
		return RefusalOldNumber
	case !isRead && o.Incarnation != r.cfg.Incarnation:
		return RefusalWrongIncarnation
	case r.machine.State() == RankOrdering:
		return RefusalBusy
	}
	return RefusalNone
}

func wanted(body OrderBody) burdockid.MapVersion {
	if read, ok := body.(Read); ok {
		return read.Want
	}
	return 0
}

// translate turns an order into an event of the chart and an engine order.
func (r *Rank) translate(body OrderBody) (rankEvent, EngineOrder, Refusal) {
	switch body := body.(type) {
	case Load:
		return rankLoad, LoadMap(body), r.keep(body)
	case Arm:
		return rankArm, HoldAt{Step: body.At}, r.needLoaded(body.Map)
	case Commit:
		return rankCommit, UseFrom{Map: body.Map, Step: body.At}, firstRefusal(r.needLoaded(body.Map), r.needHold(body.At))
	case Release:
		return rankRelease, Resume{Step: body.At, Switch: r.status.Switch}, r.needHold(body.At)
	case Abort:
		return rankAbort, Resume{Step: r.status.HoldAt}, RefusalNone
	case Withdraw:
		return rankWithdraw, DropSwitch{Step: body.At, Switch: r.status.Switch}, r.needHold(body.At)
	case Begin:
		return rankBegin, BeginWith(body), r.needEmpty(body.Map)
	default:
		return rankRead, ReadStatus{}, RefusalNone
	}
}

// keep stores a map's content, so that a later controller can load it on a
// rank that was replaced.
func (r *Rank) keep(l Load) Refusal {
	if l.Map == 0 || len(l.Content) == 0 {
		return RefusalNoMap
	}
	if old, ok := r.kept[l.Map]; ok && !bytes.Equal(old, l.Content) {
		return RefusalMapDiffers
	}
	r.kept[l.Map] = l.Content
	return RefusalNone
}

func (r *Rank) needLoaded(v burdockid.MapVersion) Refusal {
	if !r.status.has(v) {
		return RefusalNotLoaded
	}
	return RefusalNone
}

func (r *Rank) needHold(at burdockid.Step) Refusal {
	if !r.status.heldAt(at) {
		return RefusalNotArmed
	}
	return RefusalNone
}

func (r *Rank) needEmpty(v burdockid.MapVersion) Refusal {
	if r.status.Base != 0 {
		return RefusalNotEmpty
	}
	return r.needLoaded(v)
}

func firstRefusal(refusals ...Refusal) Refusal {
	for _, refusal := range refusals {
		if refusal != RefusalNone {
			return refusal
		}
	}
	return RefusalNone
}

func (r *Rank) refuse(o Order, reason Refusal) {
	r.emit(SendReport{Report: Report{
		Number:       o.Number,
		From:         r.cfg.Rank,
		Incarnation:  r.cfg.Incarnation,
		Refusal:      reason,
		HighestFence: r.highest.Fence,
	}})
}

func (r *Rank) askEngine(order EngineOrder) {
	r.ticket++
	r.askedAt = r.now
	r.emit(OrderEngine{Ticket: r.ticket, Fence: r.highest.Fence, Order: order})
}

func (r *Rank) engineAnswered(in EngineAnswered) {
	if in.Ticket != r.ticket || in.Failed || r.machine.State() != RankOrdering {
		// After a failure the next tick reads the status: only the engine
		// knows whether it has taken the order.
		return
	}
	r.status = in.Status
	r.dropUnused()
	if r.fire(seen(in.Status), "") != nil {
		return
	}
	r.noteSettled()
	if r.answer != nil {
		r.report(*r.answer)
		r.answer = nil
	}
}

func (r *Rank) noteSettled() {
	if phase := r.machine.State(); phase != r.settled {
		r.settled = phase
		r.sayGap = r.cfg.NotifyDelay
		r.sayAt = r.now + r.sayGap
	}
}

func seen(s EngineStatus) rankEvent {
	switch {
	case s.Held && s.Switch.Map != 0:
		return rankSeenCommitted
	case s.Held:
		return rankSeenArmed
	case s.Base == 0 && s.Switch.Map == 0:
		return rankSeenEmpty
	default:
		return rankSeenRunning
	}
}

// dropUnused forgets the content of maps that the engine no longer has.
func (r *Rank) dropUnused() {
	for v := range r.kept {
		if !r.status.has(v) && r.status.Loading != v {
			delete(r.kept, v)
		}
	}
}

func (r *Rank) report(o Order) {
	report := Report{
		Number:       o.Number,
		From:         r.cfg.Rank,
		Incarnation:  r.cfg.Incarnation,
		HighestFence: r.highest.Fence,
		Status:       r.status,
		Kept:         sortedKeys(r.kept),
	}
	if v := wanted(o.Body); v != 0 {
		report.Content = r.kept[v]
	}
	r.emit(SendReport{Report: report})
}

func (r *Rank) engineLost() {
	if r.fire(rankEngineLost, "") == nil && r.machine.State() == RankOrdering {
		r.askEngine(ReadStatus{})
	}
}

// stepFinished asserts that the engine used the map that it was ordered to.
func (r *Rank) stepFinished(in StepFinished) {
	want := r.status.mapAt(in.Step)
	settled := r.machine.State() != RankLearning && r.machine.State() != RankOrdering
	if settled && want != 0 && in.Step >= r.status.Next && in.Map != want {
		r.emit(MapMismatch{Step: in.Step, Got: in.Map, Want: want})
	}
	r.status.LastStep, r.status.LastMap = in.Step, in.Map
}

func (r *Rank) tick() {
	switch r.machine.State() {
	case RankLearning:
		r.askFence()
	case RankOrdering:
		if r.now-r.askedAt >= r.cfg.Retry {
			r.askEngine(ReadStatus{})
		}
	case RankEmpty, RankArmed, RankCommitted:
		r.sayWaiting()
	}
}

// mostPatience is the factor up to which the gap between two NotifyWaiting grows.
// A group that no one can help, for want of a map, say, must not fill the
// network with calls for help.
const mostPatience = 16

func (r *Rank) sayWaiting() {
	if r.now < r.sayAt {
		return
	}
	r.sayGap = min(2*r.sayGap, mostPatience*r.cfg.NotifyDelay)
	r.sayAt = r.now + r.sayGap
	r.emit(NotifyWaiting{From: r.cfg.Rank})
}

func (r *Rank) askFence() {
	r.emit(ReadFence{})
	for peer := range burdockid.Rank(r.cfg.Ranks) {
		if peer != r.cfg.Rank {
			r.emit(AskFence{To: peer})
		}
	}
}
