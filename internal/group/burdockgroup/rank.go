package burdockgroup

import (
	"bytes"
	"fmt"
	"maps"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdockchart"
)

// RankConfig configures a Rank.
type RankConfig struct {
	Rank        burdockid.Rank
	Ranks       int // in the group
	Incarnation burdockid.Incarnation
	// Retry is the time after which an unanswered request is sent again.
	Retry burdockclock.Millis
	// NotifyDelay is how long a rank is held or empty before it notifies the controller.
	// Too short a delay costs a message for each change; too long a delay lengthens the
	// time for which a group is stalled after its controller has died.
	NotifyDelay burdockclock.Millis
	// Contents is the content of maps that the agent kept under an earlier assignment to
	// the same group. What the engine doesn't have is dropped.
	Contents map[burdockid.MapVersion][]byte
}

// rankEvents is the number of past events that the state dump shows.
const rankEvents = 16

// Rank carries out a controller's orders on one engine. All orders to the engine pass
// through it, so its checks also protect engines that check nothing.
type Rank struct {
	cfg     RankConfig
	machine burdockchart.Machine[RankPhase, rankEvent]
	journal *burdockchart.Journal
	now     burdockclock.Millis
	since   burdockclock.Millis // when the current phase was entered
	out     []RankOutput

	highest      Number
	fenceAnswers map[burdockid.Rank]FenceAnswered // peers' answers while learning; nil afterwards
	status       EngineStatus
	contents     map[burdockid.MapVersion][]byte

	lastPhase      RankPhase // last phase that followed from an engine status
	notifyInterval burdockclock.Millis
	notifyAt       burdockclock.Millis // when to notify the controller that the rank still waits

	ticket        uint64
	engineAskedAt burdockclock.Millis
	unreported    *Order // order to report on when the engine has answered
}

// NewRank returns a rank whose agent has just started or has just been assigned to it.
func NewRank(cfg RankConfig) *Rank {
	r := &Rank{
		cfg:          cfg,
		machine:      rankChart.Start(),
		journal:      burdockchart.NewJournal(rankEvents),
		fenceAnswers: map[burdockid.Rank]FenceAnswered{},
		contents:     map[burdockid.MapVersion][]byte{},
	}
	maps.Copy(r.contents, cfg.Contents)
	return r
}

// Handle processes one input at time now and returns the outputs that the caller has to
// carry out.
func (r *Rank) Handle(now burdockclock.Millis, in RankInput) []RankOutput {
	r.now, r.out = now, nil
	switch in := in.(type) {
	case OrderReceived:
		r.handleOrder(in.Order)
	case FenceFromStore:
		r.learnFence(in.Fence, "from the store")
	case FenceAsked:
		known := r.machine.State() != RankLearning
		r.emit(AnswerFence{To: in.From, Fence: r.highest.Fence, Known: known})
	case FenceAnswered:
		r.handleFenceAnswer(in)
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

// fire fires an event of the state machine and records it for the state dump.
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

// learnFence raises the highest fencing number that the rank knows. An agent that has
// just started has lost what its predecessor saw. If it accepted orders at once, one from
// a controller that lost its lease long ago would pass, and two controllers would command
// one group.
func (r *Rank) learnFence(fence burdockid.Fence, reason string) {
	if fence > r.highest.Fence {
		r.highest = Number{Fence: fence}
	}
	if r.machine.State() != RankLearning {
		return
	}
	if r.fire(rankFenceLearned, reason) == nil {
		r.fenceAnswers = nil
		r.sendToEngine(ReadStatus{})
	}
}

// handleFenceAnswer learns the fencing number from the peers while the store is
// unavailable. A controller acts only after it has read all ranks, so each peer that has
// not been restarted knows the number of every controller that has acted. The rank waits
// for all peers, because a peer that the newest controller could not reach knows only an
// older number. If no peer knows a number, only the store can provide it.
func (r *Rank) handleFenceAnswer(answer FenceAnswered) {
	invalidPeer := answer.From < 0 || int(answer.From) >= r.cfg.Ranks || answer.From == r.cfg.Rank
	if invalidPeer || r.machine.State() != RankLearning {
		return
	}
	r.fenceAnswers[answer.From] = answer
	if len(r.fenceAnswers) < r.cfg.Ranks-1 {
		return
	}
	var highest burdockid.Fence
	known := false
	for _, p := range r.fenceAnswers {
		known = known || p.Known
		highest = max(highest, p.Fence)
	}
	if known {
		r.learnFence(highest, "from the peers")
	}
}

func (r *Rank) handleOrder(o Order) {
	if reason := r.checkOrder(o); reason != RefusalNone {
		r.refuse(o, reason)
		return
	}
	body := o.Body
	if o.Number == r.highest {
		// The order was carried out and its report was lost. Carried out again, an arm
		// repeated after an abort would hold the group.
		body = Read{Want: wantedMap(body)}
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
	r.unreported = &o
	r.sendToEngine(engineOrder)
}

// checkOrder checks an order before anything else. The fencing number voids the orders of
// a controller that was paused past the end of its lease, which the engine itself may not
// check.
func (r *Rank) checkOrder(o Order) Refusal {
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

func wantedMap(body OrderBody) burdockid.MapVersion {
	if read, ok := body.(Read); ok {
		return read.Want
	}
	return 0
}

// translate converts an order to a state machine event and an engine order.
func (r *Rank) translate(body OrderBody) (rankEvent, EngineOrder, Refusal) {
	switch body := body.(type) {
	case Load:
		return rankLoad, LoadMap(body), r.storeContent(body)
	case Arm:
		return rankArm, HoldAt{Step: body.At}, r.requireLoaded(body.Map)
	case Commit:
		return rankCommit, UseFrom{Map: body.Map, Step: body.At}, firstRefusal(r.requireLoaded(body.Map), r.requireHeld(body.At))
	case Release:
		return rankRelease, Resume{Step: body.At, Switch: r.status.Switch}, r.requireHeld(body.At)
	case Abort:
		return rankAbort, Resume{Step: r.status.HoldAt}, RefusalNone
	case Withdraw:
		return rankWithdraw, DropSwitch{Step: body.At, Switch: r.status.Switch}, r.requireHeld(body.At)
	case Begin:
		return rankBegin, BeginWith(body), r.requireEmpty(body.Map)
	default:
		return rankRead, ReadStatus{}, RefusalNone
	}
}

// storeContent keeps a map's content, so that a later controller can load it on a rank
// that was replaced.
func (r *Rank) storeContent(l Load) Refusal {
	if l.Map == 0 || len(l.Content) == 0 {
		return RefusalNoMap
	}
	if old, ok := r.contents[l.Map]; ok && !bytes.Equal(old, l.Content) {
		return RefusalMapDiffers
	}
	r.contents[l.Map] = l.Content
	return RefusalNone
}

func (r *Rank) requireLoaded(v burdockid.MapVersion) Refusal {
	if !r.status.has(v) {
		return RefusalNotLoaded
	}
	return RefusalNone
}

func (r *Rank) requireHeld(at burdockid.Step) Refusal {
	if !r.status.heldAt(at) {
		return RefusalNotArmed
	}
	return RefusalNone
}

func (r *Rank) requireEmpty(v burdockid.MapVersion) Refusal {
	if r.status.Base != 0 {
		return RefusalNotEmpty
	}
	return r.requireLoaded(v)
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

func (r *Rank) sendToEngine(order EngineOrder) {
	r.ticket++
	r.engineAskedAt = r.now
	r.emit(OrderEngine{Ticket: r.ticket, Fence: r.highest.Fence, Order: order})
}

func (r *Rank) engineAnswered(in EngineAnswered) {
	if in.Ticket != r.ticket || in.Failed || r.machine.State() != RankOrdering {
		// After a failure the next tick reads the status, because only the engine knows
		// whether it has accepted the order.
		return
	}
	r.status = in.Status
	r.dropUnusedContents()
	if r.fire(eventOf(in.Status), "") != nil {
		return
	}
	r.restartNotifyTimer()
	if r.unreported != nil {
		r.report(*r.unreported)
		r.unreported = nil
	}
}

func (r *Rank) restartNotifyTimer() {
	if phase := r.machine.State(); phase != r.lastPhase {
		r.lastPhase = phase
		r.notifyInterval = r.cfg.NotifyDelay
		r.notifyAt = r.now + r.notifyInterval
	}
}

func eventOf(s EngineStatus) rankEvent {
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

// dropUnusedContents drops the content of maps that the engine no longer has.
func (r *Rank) dropUnusedContents() {
	for v := range r.contents {
		if !r.status.has(v) && r.status.Loading != v {
			delete(r.contents, v)
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
		Kept:         sortedKeys(r.contents),
	}
	if v := wantedMap(o.Body); v != 0 {
		report.Content = r.contents[v]
	}
	r.emit(SendReport{Report: report})
}

func (r *Rank) engineLost() {
	if r.fire(rankEngineLost, "") == nil && r.machine.State() == RankOrdering {
		r.sendToEngine(ReadStatus{})
	}
}

// stepFinished checks that the engine used the map that it was ordered to use.
func (r *Rank) stepFinished(in StepFinished) {
	want := r.status.mapAt(in.Step)
	statusKnown := r.machine.State() != RankLearning && r.machine.State() != RankOrdering
	if statusKnown && want != 0 && in.Step >= r.status.Next && in.Map != want {
		r.emit(MapMismatch{Step: in.Step, Got: in.Map, Want: want})
	}
	r.status.LastStep, r.status.LastMap = in.Step, in.Map
}

func (r *Rank) tick() {
	switch r.machine.State() {
	case RankLearning:
		r.requestFence()
	case RankOrdering:
		if r.now-r.engineAskedAt >= r.cfg.Retry {
			r.sendToEngine(ReadStatus{})
		}
	case RankEmpty, RankArmed, RankCommitted:
		r.notifyWaiting()
	}
}

// maxNotifyFactor limits how far the interval between two NotifyWaiting grows, as a
// multiple of NotifyDelay. A group that cannot be helped, for example for lack of a map,
// must not flood the network with notifications.
const maxNotifyFactor = 16

func (r *Rank) notifyWaiting() {
	if r.now < r.notifyAt {
		return
	}
	r.notifyInterval = min(2*r.notifyInterval, maxNotifyFactor*r.cfg.NotifyDelay)
	r.notifyAt = r.now + r.notifyInterval
	r.emit(NotifyWaiting{From: r.cfg.Rank})
}

func (r *Rank) requestFence() {
	r.emit(ReadFence{})
	for peer := range burdockid.Rank(r.cfg.Ranks) {
		if peer != r.cfg.Rank {
			r.emit(AskFence{To: peer})
		}
	}
}
