package burdockhosted

import (
	"context"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"github.com/joomcode/errorx"
)

// RankReport is what the engine beside an agent says of itself.
type RankReport struct {
	Group string
	// Epoch counts how often the group was formed. Nothing that was prepared,
	// armed or held in one epoch is there in the next.
	Epoch int64
	Rank  burdockid.Rank
	Ranks int
	Open  bool // the group runs
	// StartedAt is when the engine started, in milliseconds; 0 if it doesn't say.
	StartedAt int64
	// OrderCount counts the orders that the engine has begun.
	OrderCount int64
	Busy       bool
	Step       burdockid.Step // last pass that was begun
	Map        int64          // 0 is the map that each epoch begins with
	// Prepared is the map whose copy is complete; 0 for none.
	Prepared  int64
	ArmedMap  int64 // 0 for none
	ArmedStep burdockid.Step
	Held      bool
	HeldStep  burdockid.Step
	// Slowdown is how many times as long as usual the engine takes; nil if it
	// doesn't say.
	Slowdown *float64
}

// RankOrder is one of Prepare, Arm, Disarm, Hold and Resume.
type RankOrder interface{ rankOrder() }

// Prepare has the engine copy the experts that a map gives it. Experts holds
// them by layer and rank.
type Prepare struct {
	Version int64
	Experts [][][]int
}

// Arm has the engine use a prepared map from a pass on.
type Arm struct {
	Version int64
	Step    burdockid.Step
}

// Disarm takes back an Arm.
type Disarm struct{ Version int64 }

// Hold keeps the group from beginning a pass until Resume.
type Hold struct{ Step burdockid.Step }

// Resume ends a Hold.
type Resume struct{ Step burdockid.Step }

func (Prepare) rankOrder() {}
func (Arm) rankOrder()     {}
func (Disarm) rankOrder()  {}
func (Hold) rankOrder()    {}
func (Resume) rankOrder()  {}

// Rank is the engine of one rank, on the same VM.
type Rank interface {
	Report(ctx context.Context) (RankReport, error)
	// Counts returns the epoch and how often each expert was chosen since the
	// engine started, by layer and expert in one row.
	Counts(ctx context.Context) (epoch int64, counts []burdockid.Tokens, err error)
	// Held returns the epoch, the map in use, and the experts that the engine
	// holds of it, by layer.
	Held(ctx context.Context) (epoch, version int64, experts [][]burdockid.Expert, err error)
	// Order gives an order that is void in another epoch, and once the engine
	// has begun more orders than after. An ErrRefused says that it was not
	// carried out and won't be; after an ErrNoAnswer it may have been, or may
	// yet.
	Order(ctx context.Context, epoch, after int64, order RankOrder) error
}

// Errors is the namespace of the errors of a Rank.
var Errors = errorx.NewNamespace("hosted")

var (
	// ErrRefused says that an order does not fit the engine's state.
	ErrRefused = Errors.NewType("refused")
	// ErrNoAnswer says that no answer came.
	ErrNoAnswer = Errors.NewType("noAnswer")
	// ErrNoGroup says that the engine is in no group that runs.
	ErrNoGroup = Errors.NewType("noGroup")
)
