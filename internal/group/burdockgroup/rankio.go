package burdockgroup

import "burdockbend.example/burdockbend/internal/base/burdockid"

// RankInput is something that happens to a Rank.
type RankInput interface{ rankInput() }

// OrderReceived is an order from a controller.
type OrderReceived struct{ Order Order }

// FenceFromStore is the fencing number that the group's lease has in the store.
type FenceFromStore struct{ Fence burdockid.Fence }

// FenceAsked is a peer's question for the highest fencing number.
type FenceAsked struct{ From burdockid.Rank }

// FenceAnswered is a peer's answer. Known is false if the peer itself is learning.
type FenceAnswered struct {
	From  burdockid.Rank
	Fence burdockid.Fence
	Known bool
}

// EngineAnswered is the engine's answer to an OrderEngine with the same
// ticket. Failed is true if there was none, or an error; Status is unset then.
type EngineAnswered struct {
	Ticket uint64
	Status EngineStatus
	Failed bool
}

// EngineLost says that the engine was restarted or its connection broke.
type EngineLost struct{}

// StepFinished says that the engine ran a step, and with which map.
type StepFinished struct {
	Step burdockid.Step
	Map  burdockid.MapVersion
}

// RankTick lets the rank look at the time. It is due every RankConfig.Retry.
type RankTick struct{}

func (OrderReceived) rankInput()  {}
func (FenceFromStore) rankInput() {}
func (FenceAsked) rankInput()     {}
func (FenceAnswered) rankInput()  {}
func (EngineAnswered) rankInput() {}
func (EngineLost) rankInput()     {}
func (StepFinished) rankInput()   {}
func (RankTick) rankInput()       {}

// RankOutput is something that a Rank wants done.
type RankOutput interface{ rankOutput() }

// SendReport answers an order.
type SendReport struct{ Report Report }

// ReadFence asks for a FenceFromStore.
type ReadFence struct{}

// AskFence asks a peer, which takes it as FenceAsked.
type AskFence struct{ To burdockid.Rank }

// AnswerFence answers a peer, which takes it as FenceAnswered.
type AnswerFence struct {
	To    burdockid.Rank
	Fence burdockid.Fence
	Known bool
}

// OrderEngine is an order to the engine. Fence is for engines that check it.
type OrderEngine struct {
	Ticket uint64
	Fence  burdockid.Fence
	Order  EngineOrder
}

// NotifyWaiting tells the group's controller, whoever it is, that the rank is
// held or empty and so holds back its group. The controller takes it as
// RankWaiting.
type NotifyWaiting struct{ From burdockid.Rank }

// MapMismatch says that the engine ran a step with another map than ordered.
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
