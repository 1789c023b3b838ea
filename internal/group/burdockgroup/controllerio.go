package burdockgroup

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Lease is the group's lease in the platform's store, as its holder knows it.
type Lease struct {
	Fence burdockid.Fence `json:"fence"`
	// Until is when it lapses, by the holder's boot clock and counted from
	// before the request that got or renewed it.
	Until burdockclock.Millis `json:"until"`
}

// ControllerInput is something that happens to a Controller.
type ControllerInput interface{ controllerInput() }

// LeaseHeld says that the lease was got or renewed.
type LeaseHeld struct{ Lease Lease }

// LeaseLost says that the store refused to renew the lease.
type LeaseLost struct{}

// ReportReceived is a rank's answer to an order.
type ReportReceived struct{ Report Report }

// MapWanted is the content of the map that the group shall use next. It
// replaces an earlier one whose change has not begun.
type MapWanted struct{ Content []byte }

// MapFound answers a NeedMap.
type MapFound struct {
	Map     burdockid.MapVersion
	Content []byte
}

// RankWaiting passes on a rank's NotifyWaiting.
type RankWaiting struct{ From burdockid.Rank }

// ControllerTick lets the controller look at the time. It is due every
// ControllerConfig.Retry.
type ControllerTick struct{}

func (LeaseHeld) controllerInput()      {}
func (LeaseLost) controllerInput()      {}
func (ReportReceived) controllerInput() {}
func (MapWanted) controllerInput()      {}
func (MapFound) controllerInput()       {}
func (RankWaiting) controllerInput()    {}
func (ControllerTick) controllerInput() {}

// ControllerOutput is something that a Controller wants done.
type ControllerOutput interface{ controllerOutput() }

// SendOrder sends an order to a rank, unless NotAfter has passed on the boot
// clock; that is looked at right before the order is written. A process that
// is frozen between the look and the write sends an order after its lease has
// lapsed: the ranks' check of the order's number is there for this window.
type SendOrder struct {
	Order    Order
	NotAfter burdockclock.Millis
	// Resend says that the order was sent before and not answered.
	Resend bool
}

// NeedMap asks for the content of a map that no agent has kept. Map 0 stands
// for any map, for a group that has none; it is answered by MapWanted.
type NeedMap struct{ Map burdockid.MapVersion }

// MapInForce says that all ranks use a map.
type MapInForce struct{ Map burdockid.MapVersion }

// MapLoadFailed says that a rank could not load the wanted map, which is given up.
type MapLoadFailed struct {
	Map  burdockid.MapVersion
	Rank burdockid.Rank
}

// SteppedDown says that the controller no longer acts under its lease.
type SteppedDown struct{ Reason StepDown }

// SplitDetected says that ranks reported different maps for one step, or that
// their statuses don't fit together. Split is nil in the second case.
type SplitDetected struct{ Split *Split }

func (SendOrder) controllerOutput()     {}
func (NeedMap) controllerOutput()       {}
func (MapInForce) controllerOutput()    {}
func (MapLoadFailed) controllerOutput() {}
func (SteppedDown) controllerOutput()   {}
func (SplitDetected) controllerOutput() {}

// StepDown says why a controller stopped acting.
type StepDown string

// Reasons to step down.
const (
	StepDownLost     StepDown = "leaseLost"       // the store said so
	StepDownLapsed   StepDown = "leaseLapsed"     // the boot clock says so
	StepDownReplaced StepDown = "newerController" // a rank has seen a higher fencing number
)
