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
	Findings burdockfinding.List // for ReasonInput and ReasonFault: what is wrong
}

// Move replaces the present map.
type Move struct {
	Reason Reason
	Map    *Map
	Moves  []Load
	Cost   burdockclock.Millis // time that the weight store needs
	// Saving is the time that the steps are expected to lose less until the
	// popularity changes, with the noise's part taken off. It says nothing
	// of the part of a move that need forced.
	Saving burdockclock.Millis
}

func (Stay) isDecision() {}
func (Move) isDecision() {}

// Load orders a rank to fetch an expert. What a rank holds and the new map
// does not name is dropped; that costs nothing.
type Load struct {
	Layer  burdockid.Layer
	Rank   burdockid.Rank
	Expert burdockid.Expert
}

// Reason says why a decision was taken.
type Reason string

// The reasons of a Stay.
const (
	// ReasonInput: the input has findings, so nothing could be decided.
	ReasonInput Reason = "inputInvalid"
	// ReasonEven: no change was found that lowers the skew.
	ReasonEven Reason = "nothingToGain"
	// ReasonCost: moving costs more than the skew that it saves is worth.
	ReasonCost Reason = "costOutweighsSaving"
	// ReasonNoise: the saving is no larger than what noise in the popularity
	// makes appear by itself.
	ReasonNoise Reason = "savingWithinNoise"
)

// ReasonFault is the reason of a Stay too: the planner made a map that fails
// its own check.
const ReasonFault Reason = "plannerFault"

// The reasons of a Move.
const (
	// ReasonFirst: there was no map of this shape.
	ReasonFirst Reason = "firstPlacement"
	// ReasonNeed: the present map can't be used, because a rank was lost,
	// replaced, or has less memory than before.
	ReasonNeed Reason = "presentMapUnusable"
	// ReasonSkew: the skew saved is worth more than the move.
	ReasonSkew Reason = "savingOutweighsCost"
)

// Loads returns what ranks have to fetch to get from one map to another.
func Loads(from, to *Map) []Load {
	var list []Load
	for l := range burdockid.Layer(to.shape.Layers) {
		for r := range burdockid.Rank(to.shape.Ranks) {
			for _, e := range to.holds[to.index(l, r)] {
				if !from.Holds(l, r, burdockid.Expert(e)) {
					list = append(list, Load{Layer: l, Rank: r, Expert: burdockid.Expert(e)})
				}
			}
		}
	}
	return list
}
