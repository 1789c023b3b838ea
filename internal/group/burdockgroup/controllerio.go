package burdockgroup

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Lease is the group's lease in the platform's store, as its holder knows it.
type Lease struct {
	Fence burdockid.Fence `json:"fence"`
	// Until is when the lease expires on the holder's boot clock. It is counted from
	// before the request that acquired or renewed the lease was sent.
	Until burdockclock.Millis `json:"until"`
}

// ControllerInput is an event for Controller.Handle.
type ControllerInput interface{ controllerInput() }

// LeaseHeld reports that the lease was acquired or renewed.
type LeaseHeld struct{ Lease Lease }

// LeaseLost reports that the store refused to renew the lease.
type LeaseLost struct{}

// ReportReceived is a rank's answer to an order.
type ReportReceived struct{ Report Report }

// MapWanted is the content of the map that the group is to use next. It replaces an
// earlier one whose change has not begun.
type MapWanted struct{ Content []byte }

// MapFound answers a NeedMap.
type MapFound struct {
	Map     burdockid.MapVersion
	Content []byte
}

// RankWaiting delivers a rank's NotifyWaiting.
type RankWaiting struct{ From burdockid.Rank }

// ControllerTick lets the controller check its timeouts. It is due every
// ControllerConfig.Retry.
type ControllerTick struct{}

func (LeaseHeld) controllerInput()      {}
func (LeaseLost) controllerInput()      {}
func (ReportReceived) controllerInput() {}
func (MapWanted) controllerInput()      {}
func (MapFound) controllerInput()       {}
func (RankWaiting) controllerInput()    {}
func (ControllerTick) controllerInput() {}

// ControllerOutput is an action that Controller.Handle asks its caller to carry out.
type ControllerOutput interface{ controllerOutput() }

// SendOrder sends an order to a rank, unless NotAfter has passed on the boot clock, which
// is checked right before the order is written. A process that is frozen between the
// check and the write sends an order after its lease has expired; the ranks' check of the
// order's number covers this window.
type SendOrder struct {
	Order    Order
	NotAfter burdockclock.Millis
	// Resend is true if the order was sent before and not answered.
	Resend bool
}

// NeedMap requests the content of a map that no agent has kept. Map 0 stands for any map,
// for a group that has none; it is answered by MapWanted.
type NeedMap struct{ Map burdockid.MapVersion }

// MapInForce reports that all ranks use a map.
type MapInForce struct{ Map burdockid.MapVersion }

// MapLoadFailed reports that a rank could not load the wanted map, whose change is given
// up.
type MapLoadFailed struct {
	Map  burdockid.MapVersion
	Rank burdockid.Rank
}

// SteppedDown reports that the controller no longer acts under its lease.
type SteppedDown struct{ Reason StepDown }

// SplitDetected reports that ranks used different maps in one step, or that their
// statuses contradict each other. Split is nil in the second case.
type SplitDetected struct{ Split *Split }

func (SendOrder) controllerOutput()     {}
func (NeedMap) controllerOutput()       {}
func (MapInForce) controllerOutput()    {}
func (MapLoadFailed) controllerOutput() {}
func (SteppedDown) controllerOutput()   {}
func (SplitDetected) controllerOutput() {}

// StepDown is the reason why a controller stopped acting.
type StepDown string

// Reasons to step down.
const (
	StepDownLost     StepDown = "leaseLost"       // the store refused the renewal
	StepDownLapsed   StepDown = "leaseLapsed"     // the lease expired on the boot clock
	StepDownReplaced StepDown = "newerController" // a rank has seen a higher fencing number
)
