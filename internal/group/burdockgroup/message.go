// Package burdockgroup changes the expert map of a lock-stepped group of ranks
// so that in every step all ranks use the same map.
//
// A Rank runs in the agent beside each rank and is its engine's only door. A
// Controller runs in one agent of the group, under the group's lease. Both are
// state machines: they take an input and the time, and return what is to be
// done. docs/design/mapchange.md gives the protocol and its reasons.
package burdockgroup

import "burdockbend.example/burdockbend/internal/base/burdockid"

// Number orders the orders of all controllers that a group ever has: first by
// the fencing number of the lease, then by the controller's own count. A rank
// takes each number once and never goes back, so an order that arrives late,
// twice or out of turn has no effect.
type Number struct {
	Fence burdockid.Fence `json:"fence"`
	Seq   uint64          `json:"seq"`
}

// Less reports whether n was given out before other.
func (n Number) Less(other Number) bool {
	if n.Fence != other.Fence {
		return n.Fence < other.Fence
	}
	return n.Seq < other.Seq
}

// Order goes from a controller to one rank, which answers with a Report.
type Order struct {
	Number Number
	To     burdockid.Rank
	// Incarnation is the run of the agent that the controller has read. An
	// agent replaced since then refuses the order, because the controller
	// judged by what its predecessor said. Read leaves it empty.
	Incarnation burdockid.Incarnation
	Body        OrderBody
}

// OrderBody is one of Read, Load, Arm, Commit, Release, Abort,
// Withdraw and Begin.
type OrderBody interface{ orderBody() }

// Read asks for the rank's status and voids every order with a lower number.
type Read struct {
	// Want, if not 0, asks for the content of that map too.
	Want burdockid.MapVersion
}

// Load has the engine load a map. The rank answers before it is loaded.
type Load struct {
	Map     burdockid.MapVersion
	Content []byte
}

// Arm has the engine stop before step At. The engine must have Map loaded.
type Arm struct {
	Map burdockid.MapVersion
	At  burdockid.Step
}

// Commit has an armed engine use Map from step At on. It still stops there.
type Commit struct {
	Map burdockid.MapVersion
	At  burdockid.Step
}

// Release lets a committed engine run step At. A controller sends it when all
// ranks have committed.
type Release struct{ At burdockid.Step }

// Abort lets an armed engine run on with the map that it has.
type Abort struct{}

// Withdraw takes back the commit to a map from step At on; the engine goes on to
// stop before that step. It is sent while all ranks stop there.
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
	// Status is the engine's status after the order. A refusal has none.
	Status EngineStatus
	// Kept lists the maps whose content the agent can pass on.
	Kept []burdockid.MapVersion
	// Content is that of the map which a Read wanted, if the agent has it.
	Content []byte
}

// Refusal says why a rank did not carry out an order.
type Refusal string

// Refusals. The empty one means that the order was carried out.
const (
	RefusalNone             Refusal = ""
	RefusalLearning         Refusal = "learning"         // the agent is new and knows no fencing number yet
	RefusalBusy             Refusal = "busy"             // the engine has not answered the last order
	RefusalOldNumber        Refusal = "oldNumber"        // a higher number was seen
	RefusalWrongIncarnation Refusal = "wrongIncarnation" // the agent was replaced since it was read
	RefusalWrongRank        Refusal = "wrongRank"        // the order is for another rank
	RefusalNoMap            Refusal = "noMap"            // load of version 0 or of no content
	RefusalNotAllowed       Refusal = "notAllowed"       // rank.chart rejects it in this state
	RefusalNotLoaded        Refusal = "notLoaded"        // arm or begin with a map that isn't loaded
	RefusalNotArmed         Refusal = "notArmed"         // commit or release for another step than the held one
	RefusalNotEmpty         Refusal = "notEmpty"         // begin, but the engine has a map
	RefusalMapDiffers       Refusal = "mapDiffers"       // load of a known version with other content
)
