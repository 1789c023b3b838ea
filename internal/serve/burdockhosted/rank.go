package burdockhosted

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/joomcode/errorx"
)

// RankReport is the state that an engine reports to its agent.
type RankReport struct {
	Group string
	// Epoch counts how often the group was formed. Maps prepared or armed and holds set
	// in one epoch do not exist in the next.
	Epoch int64
	Rank  burdockid.Rank
	Ranks int
	Open  bool // the group is running
	// StartedAt is when the engine started, in milliseconds; 0 if it does not report it.
	StartedAt int64
	// OrderCount is the number of orders that the engine has begun.
	OrderCount int64
	Busy       bool
	Step       burdockid.Step // last step that was begun
	Map        int64          // version in use; 0 is the initial map of the epoch
	// Prepared is the version whose experts are completely copied; 0 if there is none.
	Prepared  int64
	ArmedMap  int64 // version that is to take effect at ArmedStep; 0 if there is none
	ArmedStep burdockid.Step
	Held      bool
	HeldStep  burdockid.Step
	// Slowdown is the time that the engine takes for its work, relative to the usual
	// time; nil if it does not report it.
	Slowdown *float64
}

// RankOrder is one of Prepare, Arm, Disarm, Hold and Resume.
type RankOrder interface{ rankOrder() }

// Prepare makes the engine copy the experts that a map assigns to it. Experts holds the
// experts by layer and rank.
type Prepare struct {
	Version int64
	Experts [][][]int
}

// Arm makes the engine use a prepared map from a step on.
type Arm struct {
	Version int64
	Step    burdockid.Step
}

// Disarm cancels an Arm.
type Disarm struct{ Version int64 }

// Hold makes the engine, and with it the whole group, pause before a step until Resume.
type Hold struct{ Step burdockid.Step }

// Resume ends a Hold.
type Resume struct{ Step burdockid.Step }

func (Prepare) rankOrder() {}
func (Arm) rankOrder()     {}
func (Disarm) rankOrder()  {}
func (Hold) rankOrder()    {}
func (Resume) rankOrder()  {}

// Rank is the client of the engine of one rank, on this VM or another one.
type Rank interface {
	Report(ctx context.Context) (RankReport, error)
	// Counts returns the epoch and how often each expert was selected since the engine
	// started, in one slice ordered by layer and expert.
	Counts(ctx context.Context) (epoch int64, counts []burdockid.Tokens, err error)
	// Held returns the epoch, the version of the map in use and the experts of it that
	// the engine holds, by layer.
	Held(ctx context.Context) (epoch, version int64, experts [][]burdockid.Expert, err error)
	// Order sends an order. The order is void in another epoch, and if the engine has
	// begun more orders than orderCount. ErrRefused means that it was not carried out and
	// will not be. After ErrNoAnswer it may have been carried out, or may be later.
	Order(ctx context.Context, epoch, orderCount int64, order RankOrder) error
}

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("hosted")

var (
	// ErrRefused means that an order does not fit the engine's state.
	ErrRefused = Errors.NewType("refused")
	// ErrNoAnswer means that the engine did not answer.
	ErrNoAnswer = Errors.NewType("noAnswer")
	// ErrNoGroup means that the engine is not in a running group.
	ErrNoGroup = Errors.NewType("noGroup")
)
