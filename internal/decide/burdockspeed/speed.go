// Package burdockspeed expresses how fast the engines of a lock-step group are, relative
// to a baseline, and which share of requests a slow engine should get.
//
// The package is pure: no clock, no input or output.
package burdockspeed

import (
	"fmt"
	"math"
)

// Speed is the speed of an engine relative to the baseline: at 0.5 the same work takes
// twice the time.
type Speed float64

// Baseline is the speed of an engine about which nothing else is known.
const Baseline Speed = 1

const (
	// maxSlowdown is the largest accepted slowdown. An engine that takes a hundred times
	// as long stalls its group whatever is placed on it. A larger figure adds no
	// information, or is a measurement error.
	maxSlowdown = 100
	// minSlowdown is the corresponding limit for an engine that is faster than the
	// baseline.
	minSlowdown = 1.0 / maxSlowdown
	// significantRatio is the ratio of two speeds from which a difference counts. Expert
	// maps are balanced to within a few per cent, so a smaller difference changes no map.
	significantRatio = 1.1
)

// FromSlowdown returns the speed of an engine that takes slowdown times as long as the
// baseline. It returns false for an impossible figure: zero, negative, not a number or
// out of range.
func FromSlowdown(slowdown float64) (Speed, bool) {
	if !(slowdown >= minSlowdown && slowdown <= maxSlowdown) {
		return Baseline, false
	}
	return Speed(1 / slowdown), true
}

// SignificantChange reports whether an engine's speed has changed enough to notify
// others.
func SignificantChange(before, now Speed) bool {
	return before != now && (before >= now*significantRatio || now >= before*significantRatio)
}

// IsSlow reports whether an engine is significantly slower than the baseline. An unknown
// speed, 0, is not slow.
func IsSlow(s Speed) bool { return s > 0 && s < Baseline && SignificantChange(Baseline, s) }

// StepCost is the cost of one step of an engine, as published by the operators.
type StepCost struct {
	// BaseStepMillis is the part of a step that does not depend on the running requests.
	BaseStepMillis float64
	// StepMillisPerRequest is the part for each running request.
	StepMillisPerRequest float64
	// ExpertShare is the share of StepMillisPerRequest that the group's experts take, on
	// whichever rank; the engine itself takes the rest.
	ExpertShare float64
	// TypicalRequests is the typical number of running requests of an engine.
	TypicalRequests float64
}

// minWeight keeps a slow engine selectable: if no other can be chosen, a late response is
// better than none.
const minWeight = 0.01

// Weight returns the share of the typical requests that an engine should get, from
// minWeight to 1, if its peers run at the baseline speed.
//
// In a lock-step group, all ranks wait for the slowest one. A rank's local part of a step
// is its base time plus the time for its own requests, divided by its speed. So the
// requests of one engine that turns slow for some seconds delay those of the whole group.
// The engine gets as many requests as keep its local part as short as that of its peers,
// and none once its base time alone is longer. For a group with seven requests per
// engine, that is so from a slowdown of 1.2.
func (c StepCost) Weight(s Speed) float64 {
	if s >= Baseline {
		return 1
	}
	localRequestMillis := c.StepMillisPerRequest * (1 - c.ExpertShare) * c.TypicalRequests
	if !(localRequestMillis > 0) || math.IsInf(localRequestMillis, 0) {
		return minWeight
	}
	weight := float64(s) - c.BaseStepMillis/localRequestMillis*(1-float64(s))
	return math.Max(minWeight, weight)
}

// String returns the speed as shown in logs.
func (s Speed) String() string { return fmt.Sprintf("%.2f", float64(s)) }
