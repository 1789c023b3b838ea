// Package burdockeject detects upstreams that fail, or that are slower than their peers
// on comparable requests, and reduces their weight step by step.
//
// An entry keeps one Tracker for each service and passes the weights to its placer. The
// package is pure: time and randomness are passed in. A Tracker is not safe for
// concurrent use.
package burdockeject

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Observation is what one offer shows about an upstream (ResponseStarted, Completed,
// Failed or ConnectFailed), or a successful probe without a request (ProbeSucceeded). A
// refusal is not an observation: it shows load, not health.
type Observation interface{ observation() }

// ResponseStarted is an accepted offer whose response has started. It shows that the
// upstream is reachable, long before the end of the response shows its speed.
type ResponseStarted struct{}

// ProbeSucceeded is a health check without a request that the upstream answered.
type ProbeSucceeded struct{}

// Completed is a request that an upstream has completed.
type Completed struct {
	// Duration is the processing time, without the time in a queue.
	Duration burdockclock.Millis
	// Cost is the size of the request. Durations are compared per unit of it.
	Cost burdockid.Tokens
	// Samples is the number of requests that Duration and Cost are the mean of: 1 for a
	// request of this entry, more where the upstream's agent reports the mean of its own
	// recent requests. 0 counts as 1.
	Samples int
}

// Failed is an offer that broke off: the connection went silent or the response was cut.
type Failed struct{}

// ConnectFailed is an offer that was never sent because no connection could be made.
type ConnectFailed struct{}

func (ResponseStarted) observation() {}
func (ProbeSucceeded) observation()  {}
func (Completed) observation()       {}
func (Failed) observation()          {}
func (ConnectFailed) observation()   {}

// Level is a degree of ejection.
type Level uint8

// Levels, in order of decreasing weight.
const (
	LevelFull Level = iota
	LevelHalf
	LevelQuarter
	LevelEjected
)

// Weight returns the share of its regular load that an upstream gets at l.
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

// String returns the name of the level, as shown in the state dump.
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

// Cause is the reason for a change of level.
type Cause string

// Causes of a change of level.
const (
	CauseSlow      Cause = "slow"
	CauseFailing   Cause = "failing"
	CauseLeaving   Cause = "leaving"
	CauseRecovered Cause = "recovers"
)

// Change is a change of one upstream's weight, to be passed to the placer and logged.
type Change struct {
	Upstream burdockid.Upstream
	Level    Level
	Weight   float64
	Cause    Cause
}

// Tracker tracks the health of the upstreams of one service.
type Tracker struct {
	cfg     Config
	rnd     *rand.Rand
	records map[burdockid.Upstream]*record
	members int
	peers   peers
	// removedSlow and removedFailing are the sums of the weight removed for each cause;
	// an ejected upstream counts 1.
	removedSlow    float64
	removedFailing float64
	probes         probeHeap
	lastProbeAt    burdockclock.Millis
}

// New returns a tracker without members. The source rnd must be used by nothing else;
// zero fields of cfg take their defaults.
func New(cfg Config, rnd *rand.Rand) *Tracker {
	return &Tracker{
		cfg:     cfg.withDefaults(),
		rnd:     rnd,
		records: make(map[burdockid.Upstream]*record),
	}
}
