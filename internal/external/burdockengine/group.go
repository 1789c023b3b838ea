package burdockengine

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// Incarnation tells one run of an engine from the next. Each is empty when it starts.
type Incarnation string

// GroupStep is a step that an engine finished, and the map that it used.
type GroupStep struct {
	Step burdockid.Step       `json:"step"`
	Map  burdockid.MapVersion `json:"map"`
}

// GroupSteps is what an engine finished lately, the oldest first.
type GroupSteps struct {
	Incarnation Incarnation `json:"life"`
	Steps       []GroupStep `json:"steps"`
}

// GroupCounts is how many tokens an engine sent to each expert since its start,
// by layer, and what a placement has to fit into.
type GroupCounts struct {
	Incarnation Incarnation          `json:"life"`
	Tokens      [][]burdockid.Tokens `json:"tokens"`
	// Slots is the number of experts that the rank has memory for in each layer.
	Slots int `json:"slots"`
	// MaxLoads is the number of new experts of one layer that a rank can load
	// for one map; 0 is no bound.
	MaxLoads    int                      `json:"maxLoads,omitempty"`
	ExpertBytes burdockid.Bytes          `json:"expertBytes"`
	StoreRate   burdockid.BytesPerSecond `json:"storeRate"`
	// Speed is the engine's, as it was known when it counted; 0 if it is not.
	Speed burdockspeed.Speed `json:"speed,omitempty"`
}

// GroupEngine is the engine of one rank of a lock-stepped group. Its agent
// gives it one order at a time.
type GroupEngine interface {
	// Order carries out one order and returns the status after it. An engine
	// that checks fencing numbers answers a lower one than it has seen with an
	// ErrOldFence, but for ReadStatus.
	Order(ctx context.Context, fence burdockid.Fence, order burdockgroup.EngineOrder) (burdockgroup.EngineStatus, error)
	// Steps returns the finished steps from one on that the engine remembers.
	Steps(ctx context.Context, from burdockid.Step) (GroupSteps, error)
	// Counts returns the popularity of the experts.
	Counts(ctx context.Context) (GroupCounts, error)
}

// ResidentExpertsReporter is a GroupEngine that tells what it holds.
type ResidentExpertsReporter interface {
	// ResidentExperts returns the map in use and the experts that the engine holds of it,
	// by layer.
	ResidentExperts(ctx context.Context) (burdockid.MapVersion, [][]burdockid.Expert, error)
}

// SpeedReporter is a GroupEngine that tells how fast it is.
type SpeedReporter interface {
	// Speed returns the engine's speed as it was last known, at no call; 0 if it
	// is not known.
	Speed() burdockspeed.Speed
}

// ErrOldFence says that the engine has seen a higher fencing number and did not
// carry out the order.
var ErrOldFence = Errors.NewType("oldFence")
