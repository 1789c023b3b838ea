package burdockexpertlab

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
)

// policy is a way to choose the next map: planned, timed or never.
type policy interface {
	isPolicy()
}

// planned asks the product's planner after each step.
type planned struct {
	planner *burdockexpert.Planner
	weights burdockexpert.Weights
}

// timed solves afresh after every so many steps, whatever that costs.
type timed struct {
	steps int
}

// never keeps the first map.
type never struct{}

func (planned) isPolicy() {}
func (timed) isPolicy()   {}
func (never) isPolicy()   {}

// player carries one policy through a run.
type player struct {
	name    string
	policy  policy
	present *burdockexpert.Map
	skews   []float64 // by step
	moves   int
	changes int // decisions that moved something
	moving  burdockclock.Millis
}

func newPlanned(w burdockexpert.Weights) *player {
	return &player{
		name:   fmt.Sprintf("planned %g:%g", w.Skew, w.Cost),
		policy: planned{planner: burdockexpert.New(burdockexpert.Config{}), weights: w},
	}
}

func newTimed(steps int) *player {
	return &player{name: fmt.Sprintf("timer %d", steps), policy: timed{steps: steps}}
}

// next lets the policy choose the map for the step after this one.
func (p *player) next(step int, in burdockexpert.Input, cfg Config) {
	switch pol := p.policy.(type) {
	case never:
	case timed:
		if (step+1)%pol.steps == 0 {
			p.take(burdockexpert.Solve(in.Popularity, in.Ranks), cfg)
		}
	case planned:
		in.Current, in.Weights = p.present, pol.weights
		now := burdockclock.Millis(step+1) * cfg.Window
		if move, ok := pol.planner.Plan(now, in).(burdockexpert.Move); ok {
			p.take(move.Map, cfg)
		}
	}
}

// take counts what a change of map costs and makes it.
func (p *player) take(m *burdockexpert.Map, cfg Config) {
	n := len(burdockexpert.RequiredLoads(p.present, m))
	p.present = m
	if n == 0 {
		return
	}
	p.moves += n
	p.changes++
	p.moving += cfg.moveCost(n)
}
