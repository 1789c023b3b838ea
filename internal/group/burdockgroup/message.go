// Package burdockgroup changes the expert map of a lock-stepped group of ranks so that
// all ranks use the same map in every step.
//
// A Rank runs in the agent beside each engine and sends it all its orders. A Controller
// runs in one agent of the group, under the group's lease. Both are state machines: they
// take an input and the time, and return the actions for the caller to carry out.
// docs/design/mapchange.md describes the protocol and its reasons.
package burdockgroup

import "burdockbend.example/burdockbend/internal/base/burdockid"

// Number orders the orders of all controllers that a group ever has: first by the fencing
// number of the lease, then by the controller's own sequence number. A rank accepts each
// number once and never a lower one, so an order that arrives late, twice or out of
// sequence has no effect.
type Number struct {
	Fence burdockid.Fence `json:"fence"`
	Seq   uint64          `json:"seq"`
}

// Less reports whether n comes before other.
func (n Number) Less(other Number) bool {
	if n.Fence != other.Fence {
		return n.Fence < other.Fence
	}
	return n.Seq < other.Seq
}

// Order is sent by a controller to one rank, which answers with a Report.
type Order struct {
	Number Number
	To     burdockid.Rank
	// Incarnation identifies the agent process that the controller has read. An agent
	// that has replaced it refuses the order, because the controller decided by the old
	// agent's report. Read leaves it empty.
	Incarnation burdockid.Incarnation
	Body        OrderBody
}

// OrderBody is one of Read, Load, Arm, Commit, Release, Abort, Withdraw and Begin.
type OrderBody interface{ orderBody() }

// Read requests the rank's status and voids every order with a lower number.
type Read struct {
	// Want, if not 0, also requests the content of that map.
	Want burdockid.MapVersion
}

// Load makes the engine load a map. The rank answers before the load is complete.
type Load struct {
	Map     burdockid.MapVersion
	Content []byte
}

// Arm makes the engine stop before step At. The engine must have loaded Map.
type Arm struct {
	Map burdockid.MapVersion
	At  burdockid.Step
}

// Commit makes an armed engine use Map from step At on. The engine still stops before
// that step.
type Commit struct {
	Map burdockid.MapVersion
	At  burdockid.Step
}

// Release lets a committed engine run step At. It is sent when all ranks have committed.
type Release struct{ At burdockid.Step }

// Abort lets an armed engine run on with its present map.
type Abort struct{}

// Withdraw cancels the commit to a map from step At on; the engine still stops before
// that step. It is sent while all ranks stop there.
type Withdraw struct{ At burdockid.Step }

// Begin gives an engine without a map the one that it uses from now on.
type Begin struct{ Map burdockid.MapVersion }

func (Read) orderBody()     {}
func (Load) orderBody()     {}
func (Arm) orderBody()      {}
func (Commit) orderBody()   {}
func (Release) orderBody()  {}
func (Abort) orderBody()    {}
func (Withdraw) orderBody() {}
func (Begin) orderBody()    {}

// Report is a rank's answer to an order.
type Report struct {
	Number      Number // of the order
	From        burdockid.Rank
	Incarnation burdockid.Incarnation
	Refusal     Refusal
	// HighestFence is the highest fencing number that the rank has seen.
	HighestFence burdockid.Fence
	// Status is the engine's status after the order. It is unset in a refusal.
	Status EngineStatus
	// Kept lists the maps whose content the agent has kept and can provide.
	Kept []burdockid.MapVersion
	// Content is the content of the map that a Read wanted, if the agent has it.
	Content []byte
}

// Refusal is the reason why a rank did not carry out an order.
type Refusal string

// Refusals. The empty one means that the order was carried out.
const (
	RefusalNone             Refusal = ""
	RefusalLearning         Refusal = "learning"         // the agent is new and knows no fencing number yet
	RefusalBusy             Refusal = "busy"             // the engine has not answered the previous order
	RefusalOldNumber        Refusal = "oldNumber"        // a higher number has been seen
	RefusalWrongIncarnation Refusal = "wrongIncarnation" // the agent has been replaced since it was read
	RefusalWrongRank        Refusal = "wrongRank"        // the order is for another rank
	RefusalNoMap            Refusal = "noMap"            // load of version 0 or without content
	RefusalNotAllowed       Refusal = "notAllowed"       // rank.chart rejects it in this state
	RefusalNotLoaded        Refusal = "notLoaded"        // the map of an arm, commit or begin is not loaded
	RefusalNotArmed         Refusal = "notArmed"         // commit, release or withdraw for a step at which the engine is not held
	RefusalNotEmpty         Refusal = "notEmpty"         // begin for an engine that has a map
	RefusalMapDiffers       Refusal = "mapDiffers"       // load of a known version with other content
)
