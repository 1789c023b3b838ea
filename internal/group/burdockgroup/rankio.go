package burdockgroup

import "burdockbend.example/burdockbend/internal/base/burdockid"

// RankInput is an event for Rank.Handle.
type RankInput interface{ rankInput() }

// OrderReceived is an order from a controller.
type OrderReceived struct{ Order Order }

// FenceFromStore is the fencing number that the group's lease has in the store.
type FenceFromStore struct{ Fence burdockid.Fence }

// FenceAsked is a peer's request for the highest fencing number.
type FenceAsked struct{ From burdockid.Rank }

// FenceAnswered is a peer's answer to AskFence. Known is false if the peer itself is
// still learning the number.
type FenceAnswered struct {
	From  burdockid.Rank
	Fence burdockid.Fence
	Known bool
}

// EngineAnswered is the engine's answer to the OrderEngine with the same ticket. Failed
// is true if there was no answer or an error; Status is unset then.
type EngineAnswered struct {
	Ticket uint64
	Status EngineStatus
	Failed bool
}

// EngineLost reports that the engine was restarted or its connection broke.
type EngineLost struct{}

// StepFinished reports that the engine ran a step with a map.
type StepFinished struct {
	Step burdockid.Step
	Map  burdockid.MapVersion
}

// RankTick lets the rank check its timeouts. It is due every RankConfig.Retry.
type RankTick struct{}

func (OrderReceived) rankInput()  {}
func (FenceFromStore) rankInput() {}
func (FenceAsked) rankInput()     {}
func (FenceAnswered) rankInput()  {}
func (EngineAnswered) rankInput() {}
func (EngineLost) rankInput()     {}
func (StepFinished) rankInput()   {}
func (RankTick) rankInput()       {}

// RankOutput is an action that Rank.Handle asks its caller to carry out.
type RankOutput interface{ rankOutput() }

// SendReport answers an order.
type SendReport struct{ Report Report }

// ReadFence requests a FenceFromStore.
type ReadFence struct{}

// AskFence requests a peer's highest fencing number; the peer receives it as FenceAsked.
type AskFence struct{ To burdockid.Rank }

// AnswerFence answers a peer, which receives it as FenceAnswered.
type AnswerFence struct {
	To    burdockid.Rank
	Fence burdockid.Fence
	Known bool
}

// OrderEngine sends an order to the engine. Fence is for engines that check fencing
// numbers.
type OrderEngine struct {
	Ticket uint64
	Fence  burdockid.Fence
	Order  EngineOrder
}

// NotifyWaiting notifies the group's current controller that the rank is held or empty
// and therefore stalls its group. The controller receives it as RankWaiting.
type NotifyWaiting struct{ From burdockid.Rank }

// MapMismatch reports that the engine ran a step with another map than ordered.
type MapMismatch struct {
	Step burdockid.Step
	Got  burdockid.MapVersion
	Want burdockid.MapVersion
}

func (SendReport) rankOutput()    {}
func (ReadFence) rankOutput()     {}
func (AskFence) rankOutput()      {}
func (AnswerFence) rankOutput()   {}
func (OrderEngine) rankOutput()   {}
func (NotifyWaiting) rankOutput() {}
func (MapMismatch) rankOutput()   {}
