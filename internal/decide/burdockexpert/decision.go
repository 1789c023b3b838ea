package burdockexpert

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockfinding"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Decision is what a planner wants done: a Stay or a Move.
type Decision interface {
	isDecision()
}

// Stay keeps the present map.
type Stay struct {
	Reason   Reason
	Findings burdockfinding.List // for ReasonInputInvalid and ReasonPlannerFault: what is wrong
}

// Move replaces the present map.
type Move struct {
	Reason Reason
	Map    *Map
	Loads  []ExpertLoad
	Cost   burdockclock.Millis // time that the weight store needs
	// Saving is the time that the steps are expected to lose less until the
	// popularity changes, with the noise's part taken off. It says nothing
	// of the part of a move that need forced.
	Saving burdockclock.Millis
}

func (Stay) isDecision() {}
func (Move) isDecision() {}

// ExpertLoad orders a rank to fetch an expert. What a rank holds and the new map
// does not name is dropped; that costs nothing.
type ExpertLoad struct {
	Layer  burdockid.Layer
	Rank   burdockid.Rank
	Expert burdockid.Expert
}

// Reason says why a decision was taken.
type Reason string

// The reasons of a Stay.
const (
	// ReasonInputInvalid: the input has findings, so nothing could be decided.
	ReasonInputInvalid Reason = "inputInvalid"
	// ReasonNothingToGain: no change was found that lowers the skew.
	ReasonNothingToGain Reason = "nothingToGain"
	// ReasonCostOutweighsSaving: moving costs more than the skew that it saves is worth.
	ReasonCostOutweighsSaving Reason = "costOutweighsSaving"
	// ReasonSavingWithinNoise: the saving is no larger than what noise in the popularity
	// makes appear by itself.
	ReasonSavingWithinNoise Reason = "savingWithinNoise"
)

// ReasonPlannerFault is the reason of a Stay too: the planner made a map that fails
// its own check.
const ReasonPlannerFault Reason = "plannerFault"

// The reasons of a Move.
const (
	// ReasonFirstPlacement: there was no map of this shape.
	ReasonFirstPlacement Reason = "firstPlacement"
	// ReasonMapUnusable: the present map can't be used, because a rank was lost,
	// replaced, or has less memory than before.
	ReasonMapUnusable Reason = "presentMapUnusable"
	// ReasonSavingOutweighsCost: the skew saved is worth more than the move.
	ReasonSavingOutweighsCost Reason = "savingOutweighsCost"
)

// RequiredLoads returns what ranks have to fetch to get from one map to another.
func RequiredLoads(from, to *Map) []ExpertLoad {
	var list []ExpertLoad
	for l := range burdockid.Layer(to.shape.Layers) {
		for r := range burdockid.Rank(to.shape.Ranks) {
			for _, e := range to.holds[to.index(l, r)] {
				if !from.Holds(l, r, burdockid.Expert(e)) {
					list = append(list, ExpertLoad{Layer: l, Rank: r, Expert: burdockid.Expert(e)})
				}
			}
		}
	}
	return list
}
