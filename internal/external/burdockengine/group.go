package burdockengine

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// Incarnation identifies one run of an engine. An engine is empty when it starts.
type Incarnation string

// GroupStep is a step that an engine has finished, and the map that it used for it.
type GroupStep struct {
	Step burdockid.Step       `json:"step"`
	Map  burdockid.MapVersion `json:"map"`
}

// GroupSteps holds the steps that an engine finished recently, oldest first.
type GroupSteps struct {
	Incarnation Incarnation `json:"life"`
	Steps       []GroupStep `json:"steps"`
}

// GroupCounts holds the number of tokens that an engine has sent to each expert since it
// started, by layer, and the limits that a placement has to respect.
type GroupCounts struct {
	Incarnation Incarnation          `json:"life"`
	Tokens      [][]burdockid.Tokens `json:"tokens"`
	// Slots is the number of experts per layer that the rank has memory for.
	Slots int `json:"slots"`
	// MaxLoads is the maximum number of new experts per layer that the rank can load for
	// one map; 0 means no limit.
	MaxLoads    int                      `json:"maxLoads,omitempty"`
	ExpertBytes burdockid.Bytes          `json:"expertBytes"`
	StoreRate   burdockid.BytesPerSecond `json:"storeRate"`
	// Speed is the engine's speed when it reported the counts; 0 means unknown.
	Speed burdockspeed.Speed `json:"speed,omitempty"`
}

// GroupEngine is the engine of one rank of a lock-stepped group. Its agent
// sends it one order at a time.
type GroupEngine interface {
	// Order executes one order and returns the status after it. An engine that checks
	// fencing tokens rejects an order other than ReadStatus with an ErrOldFence if it has
	// seen a higher token.
	Order(ctx context.Context, fence burdockid.Fence, order burdockgroup.EngineOrder) (burdockgroup.EngineStatus, error)
	// Steps returns those finished steps, beginning with from, that the engine remembers.
	Steps(ctx context.Context, from burdockid.Step) (GroupSteps, error)
	// Counts returns the tokens per expert and the limits of a placement.
	Counts(ctx context.Context) (GroupCounts, error)
}

// ResidentExpertsReporter is a GroupEngine that can report its resident experts.
type ResidentExpertsReporter interface {
	// ResidentExperts returns the map in use and, by layer, the experts of it that are in
	// the engine's memory.
	ResidentExperts(ctx context.Context) (burdockid.MapVersion, [][]burdockid.Expert, error)
}

// SpeedReporter is a GroupEngine that can report its speed.
type SpeedReporter interface {
	// Speed returns the last known speed without a call to the engine; 0 means unknown.
	Speed() burdockspeed.Speed
}

// ErrOldFence reports that the engine has seen a higher fencing token and did not execute
// the order.
var ErrOldFence = Errors.NewType("oldFence")
