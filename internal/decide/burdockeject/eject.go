// Package burdockeject judges upstreams against their peers on the same work
// and takes work away, by degrees, from those that are slow or failing.
//
// An entry keeps one Tracker for each service and hands the weights to its
// placer. The package is pure: time and randomness are passed in. A Tracker
// is not safe for concurrent use.
package burdockeject

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Observation is what one offer tells of an upstream: ResponseStarted, Completed, Failed
// or ConnectFailed; or ProbeSucceeded, what a probe without an offer does.
// A refusal is neither; it is load, not health.
type Observation interface{ observation() }

// ResponseStarted is an offer that was taken and whose answer has begun. It shows that
// the upstream can be reached, long before the answer ends and shows its pace.
type ResponseStarted struct{}

// ProbeSucceeded is a probe without a request: the upstream was asked how it is, and
// answered.
type ProbeSucceeded struct{}

// Completed is work that an upstream completed.
type Completed struct {
	// Duration is the time that the work took, without waiting in a queue.
	Duration burdockclock.Millis
	// Cost is how much it was.
	Cost burdockid.Tokens
	// Samples is how many requests Duration and Cost are the mean of: 1 for what
	// the entry saw itself, more where the upstream's agent reports the mean
	// of its own recent ones. 0 counts as 1.
	Samples int
}

// Failed is an offer that broke: a silent connection, an answer cut.
type Failed struct{}

// ConnectFailed is an offer that was never sent, since no connection could be made.
type ConnectFailed struct{}

func (ResponseStarted) observation() {}
func (ProbeSucceeded) observation()  {}
func (Completed) observation()       {}
func (Failed) observation()          {}
func (ConnectFailed) observation()   {}

// Level is a degree of ejection.
type Level uint8

// Degrees, each with less work than the one before.
const (
	LevelFull Level = iota
	LevelHalf
	LevelQuarter
	LevelEjected
)

// Weight returns the share of its usual work that an upstream gets at l.
func (l Level) Weight() float64 {
	switch l {
	case LevelFull:
		return 1
	case LevelHalf:
		return 0.5
	case LevelQuarter:
		return 0.25
	default:
		return 0
	}
}

// String returns the name of the level as the state dump shows it.
func (l Level) String() string {
	switch l {
	case LevelFull:
		return "full"
	case LevelHalf:
		return "half"
	case LevelQuarter:
		return "quarter"
	default:
		return "out"
	}
}

// Cause says why an upstream stands where it does.
type Cause string

// Causes of a change of level.
const (
	CauseSlow      Cause = "slow"
	CauseFailing   Cause = "failing"
	CauseLeaving   Cause = "leaving"
	CauseRecovered Cause = "recovers"
)

// Change is a change of one upstream's weight, to be handed to the placer and
// to the log.
type Change struct {
	Upstream burdockid.Upstream
	Level    Level
	Weight   float64
	Cause    Cause
}

// Tracker judges the upstreams of one service.
type Tracker struct {
	cfg     Config
	rnd     *rand.Rand
	records map[burdockid.Upstream]*record
	members int
	peers   peers
	// lost is the sum of work taken away, in whole upstreams, by cause.
	lostSlow    float64
	lostFailing float64
	probes      probeHeap
	probedAt    burdockclock.Millis
}

// New returns a tracker without members. The source rnd must be used by
// nothing else; fields of cfg that are zero take their defaults.
func New(cfg Config, rnd *rand.Rand) *Tracker {
	return &Tracker{
		cfg:     cfg.withDefaults(),
		rnd:     rnd,
		records: make(map[burdockid.Upstream]*record),
	}
}
