// Package burdockspeed says how fast the engines of a lock-stepped group are
// against what is usual, and how much work an engine that is slower should get.
//
// The package is pure: no clock, no input or output.
package burdockspeed

import (
	"fmt"
	"math"
)

// Speed is how fast an engine works: 1 is usual, 0.5 takes twice the time for
// the same work.
type Speed float64

// Baseline is the speed of an engine of which nothing else is known.
const Baseline Speed = 1

const (
	// mostSlowdown bounds what is believed of an engine. One that takes a hundred
	// times as long stalls its group whatever is placed on it, so a larger figure
	// says no more, or is a fault of the measurement.
	mostSlowdown = 100
	// leastSlowdown is the reverse, for an engine that says it is faster.
	leastSlowdown = 1.0 / mostSlowdown
	// notable is the ratio of two speeds from which on the difference is worth
	// acting on. A map is planned within a few per cent of even, so a speed that
	// differs by less changes no map.
	notable = 1.1
)

// FromSlowdown returns the speed of an engine that takes so many times as long
// as usual. It reports false for a figure that no engine can mean: 0, below 0,
// not a number, or out of all proportion.
func FromSlowdown(times float64) (Speed, bool) {
	if !(times >= leastSlowdown && times <= mostSlowdown) {
		return Baseline, false
	}
	return Speed(1 / times), true
}

// SignificantChange reports whether an engine's speed has changed so much that others
// should hear of it.
func SignificantChange(before, now Speed) bool {
	return before != now && (before >= now*notable || now >= before*notable)
}

// IsSlow reports whether an engine is notably slower than usual; one whose speed is
// not known, 0, is not.
func IsSlow(s Speed) bool { return s > 0 && s < Baseline && SignificantChange(Baseline, s) }

// StepCost is what the operators publish of an engine's work in one step.
type StepCost struct {
	// BaseStepMillis is the part of a step that doesn't depend on what runs.
	BaseStepMillis float64
	// StepMillisPerRequest is the part for each request that runs.
	StepMillisPerRequest float64
	// ExpertShare is the part of SequenceMillis that the group's experts do,
	// wherever they are held; the rest is the engine's own.
	ExpertShare float64
	// TypicalRequests is how many requests an engine usually runs at a time.
	TypicalRequests float64
}

// leastWeight keeps a slow engine in reach: when no other may be chosen, an
// answer that is late is better than none.
const leastWeight = 0.01

// Weight returns the part of the usual requests that an engine should get, from
// leastWeight to 1, if its peers are of usual speed.
//
// Load: a group in lock-step, one of whose engines has turned slow for some
// seconds. Harm prevented: all ranks wait for the slowest one's own part of a
// pass, which is its fixed part and what its own requests add, over its speed;
// so the requests of one slow engine make those of the whole group late. The
// engine gets as many as leave its own part as long as that of its peers, which
// is none as soon as its fixed part alone is longer. With the figures of a group
// that runs seven requests at each engine that is so from a slowdown of 1.2 on.
func (w StepCost) Weight(s Speed) float64 {
	if s >= Baseline {
		return 1
	}
	own := w.StepMillisPerRequest * (1 - w.ExpertShare) * w.TypicalRequests
	if !(own > 0) || math.IsInf(own, 0) {
		return leastWeight
	}
	weight := float64(s) - w.BaseStepMillis/own*(1-float64(s))
	return math.Max(leastWeight, weight)
}

// String returns the speed as logs show it.
func (s Speed) String() string { return fmt.Sprintf("%.2f", float64(s)) }
