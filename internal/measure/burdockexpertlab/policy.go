package burdockexpertlab

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
)

// policy determines when and how the expert map changes: planned, timed or never.
type policy interface {
	isPolicy()
}

// planned runs burdockexpert.Planner after each step.
type planned struct {
	planner *burdockexpert.Planner
	weights burdockexpert.Weights
}

// timed solves the map from scratch at a fixed interval of steps, whatever the cost.
type timed struct {
	steps int
}

// never keeps the initial map.
type never struct{}

func (planned) isPolicy() {}
func (timed) isPolicy()   {}
func (never) isPolicy()   {}

// policyRun is the state of one policy in an experiment.
type policyRun struct {
	name       string
	policy     policy
	currentMap *burdockexpert.Map
	skews      []float64 // by step
	moves      int
	mapChanges int // map changes that moved at least one expert
	moveTime   burdockclock.Millis
}

func newPlannedRun(w burdockexpert.Weights) *policyRun {
	return &policyRun{
		name:   fmt.Sprintf("planned %g:%g", w.Skew, w.Cost),
		policy: planned{planner: burdockexpert.New(burdockexpert.Config{}), weights: w},
	}
}

func newTimedRun(steps int) *policyRun {
	return &policyRun{name: fmt.Sprintf("timer %d", steps), policy: timed{steps: steps}}
}

// chooseMap lets the policy choose the map for the step after the given one.
func (p *policyRun) chooseMap(step int, in burdockexpert.Input, cfg Config) {
	switch pol := p.policy.(type) {
	case never:
	case timed:
		if (step+1)%pol.steps == 0 {
			p.adopt(burdockexpert.Solve(in.Popularity, in.Ranks), cfg)
		}
	case planned:
		in.Current, in.Weights = p.currentMap, pol.weights
		now := burdockclock.Millis(step+1) * cfg.Window
		if move, ok := pol.planner.Plan(now, in).(burdockexpert.Move); ok {
			p.adopt(move.Map, cfg)
		}
	}
}

// adopt switches to the map m and records the cost of the change.
func (p *policyRun) adopt(m *burdockexpert.Map, cfg Config) {
	n := len(burdockexpert.RequiredLoads(p.currentMap, m))
	p.currentMap = m
	if n == 0 {
		return
	}
	p.moves += n
	p.mapChanges++
	p.moveTime += cfg.moveDuration(n)
}
