package burdockexpert

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Decision is the result of planning: a Stay or a Move.
type Decision interface {
	isDecision()
}

// Stay keeps the current map.
type Stay struct {
	Reason   Reason
	Findings burdockfinding.List // only for ReasonInputInvalid and ReasonPlannerFault
}

// Move replaces the current map.
type Move struct {
	Reason Reason
	Map    *Map
	Loads  []ExpertLoad
	Cost   burdockclock.Millis // time that the weight store needs for Loads
	// Saving is the time that the steps are expected to save within the
	// horizon, less the part that may be noise. It does not include the
	// effect of the loads that make an unusable map usable.
	Saving burdockclock.Millis
}

func (Stay) isDecision() {}
func (Move) isDecision() {}

// ExpertLoad is an expert that a rank has to load from the weight store. Experts
// that the new map no longer places on a rank are dropped, which costs nothing.
type ExpertLoad struct {
	Layer  burdockid.Layer
	Rank   burdockid.Rank
	Expert burdockid.Expert
}

// Reason is the reason for a decision.
type Reason string

// The reasons of a Stay.
const (
	// ReasonInputInvalid: the input did not pass its check.
	ReasonInputInvalid Reason = "inputInvalid"
	// ReasonNothingToGain: no change was found that lowers the imbalance.
	ReasonNothingToGain Reason = "nothingToGain"
	// ReasonCostOutweighsSaving: loading the experts costs more than it saves.
	ReasonCostOutweighsSaving Reason = "costOutweighsSaving"
	// ReasonSavingWithinNoise: noise in the popularity alone may explain the
	// saving.
	ReasonSavingWithinNoise Reason = "savingWithinNoise"
)

// ReasonPlannerFault is a reason of a Stay too: the computed map did not pass its
// check, which is a bug in the planner.
const ReasonPlannerFault Reason = "plannerFault"

// The reasons of a Move.
const (
	// ReasonFirstPlacement: there is no current map of this shape.
	ReasonFirstPlacement Reason = "firstPlacement"
	// ReasonMapUnusable: the current map can't be used, as a rank was lost or
	// replaced or has fewer slots than before.
	ReasonMapUnusable Reason = "presentMapUnusable"
	// ReasonSavingOutweighsCost: the change saves more than its loads cost.
	ReasonSavingOutweighsCost Reason = "savingOutweighsCost"
)

// RequiredLoads returns the experts that the ranks have to load to get from one
// map to another.
func RequiredLoads(from, to *Map) []ExpertLoad {
	var list []ExpertLoad
	for l := range burdockid.Layer(to.shape.Layers) {
		for r := range burdockid.Rank(to.shape.Ranks) {
			for _, e := range to.placement[to.index(l, r)] {
				if !from.Holds(l, r, burdockid.Expert(e)) {
					list = append(list, ExpertLoad{Layer: l, Rank: r, Expert: burdockid.Expert(e)})
				}
			}
		}
	}
	return list
}
