package burdockgroup

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// GoalKind is the kind of state that a controller brings every rank to.
type GoalKind string

// Kinds of goals.
const (
	GoalRun      GoalKind = "run"      // runs with Base; not armed
	GoalLoad     GoalKind = "load"     // has loaded Map
	GoalArm      GoalKind = "arm"      // stops before step At
	GoalCommit   GoalKind = "commit"   // uses Map from step At on
	GoalWithdraw GoalKind = "withdraw" // stops before step At and keeps Base
	GoalRelease  GoalKind = "release"  // as commit, but no longer stops
)

// Goal is the state that a controller brings every rank to.
type Goal struct {
	Kind GoalKind             `json:"kind"`
	Base burdockid.MapVersion `json:"base"` // map used before step At; 0 in a group that never ran
	Map  burdockid.MapVersion `json:"map"`
	At   burdockid.Step       `json:"at"`
}

// next returns the order that brings an engine closer to the goal, or done if the engine
// has reached it. Neither means that the engine is still loading. A returned Load has no
// content.
func (g Goal) next(s EngineStatus) (body OrderBody, done bool) {
	switch g.Kind {
	case GoalLoad:
		return nextLoad(s, g.Map)
	case GoalArm:
		return g.nextArm(s)
	case GoalCommit:
		return g.nextCommit(s)
	case GoalWithdraw:
		if s.Switch.Map != 0 {
			return Withdraw{At: g.At}, false
		}
		return nil, true
	case GoalRelease:
		if s.Held {
			return Release{At: g.At}, false
		}
		return nil, true
	default:
		return g.nextRun(s)
	}
}

func (g Goal) nextRun(s EngineStatus) (OrderBody, bool) {
	if s.Held {
		return Abort{}, false
	}
	if s.Base == 0 && g.Base != 0 {
		return nextBegin(s, g.Base)
	}
	return nil, true
}

func (g Goal) nextArm(s EngineStatus) (OrderBody, bool) {
	// The load comes first, even for an engine that is held already: the engine may have
	// been restarted while its agent kept running, and be held without the map.
	if body, loaded := nextLoad(s, g.Map); !loaded {
		return body, false
	}
	if !s.heldAt(g.At) {
		return Arm{Map: g.Map, At: g.At}, false
	}
	return nil, true
}

// nextCommit also handles an engine that was replaced: it is committed as the others are,
// and then gets the base map if steps before At are left.
func (g Goal) nextCommit(s EngineStatus) (OrderBody, bool) {
	switch {
	case s.Base == g.Map:
		return nil, true
	case s.Next > g.At && s.Base == 0 && s.Switch.Map == 0:
		return nextBegin(s, g.Map)
	case s.Switch.Map == g.Map:
		return g.nextBase(s)
	}
	if body, armed := g.nextArm(s); !armed {
		return body, false
	}
	return Commit{Map: g.Map, At: g.At}, false
}

// nextBase gives a committed engine the map for the steps before At. If every engine of
// the group was lost, none has the old map any longer and none has run a step since, so
// the next map is used at once.
func (g Goal) nextBase(s EngineStatus) (OrderBody, bool) {
	if s.Base != 0 || s.Next >= g.At {
		return nil, true
	}
	if g.Base == 0 {
		return nextBegin(s, g.Map)
	}
	return nextBegin(s, g.Base)
}

func nextLoad(s EngineStatus, v burdockid.MapVersion) (OrderBody, bool) {
	switch {
	case s.has(v):
		return nil, true
	case s.Loading == v:
		return nil, false
	default:
		return Load{Map: v}, false
	}
}

func nextBegin(s EngineStatus, v burdockid.MapVersion) (OrderBody, bool) {
	if body, loaded := nextLoad(s, v); !loaded {
		return body, false
	}
	return Begin{Map: v}, false
}

// verdict is the conclusion that a controller draws from the statuses of all ranks.
type verdict string

const (
	verdictSettled verdict = "settled" // nothing to do
	verdictUndone  verdict = "undone"  // no rank has committed: roll back
	verdictDecided verdict = "decided" // some rank has committed: complete the change
	verdictSplit   verdict = "split"   // the statuses contradict each other; no order can reconcile them
)

// judge decides whether an interrupted change is completed or rolled back. It serves a
// controller whose predecessor may have died at any point of a change. Release is sent
// only after every rank has committed. So if no rank has committed, none has run step At
// with the new map, and rolling back is safe: the reading has voided every commit still
// in flight. If one rank has committed, none was sent an abort, and completing is safe.
//
// A replaced rank is empty and has lost its state. The other ranks are enough: if the
// replaced one ran step At with the new map, all of them had committed.
func judge(statuses []EngineStatus) (Goal, verdict) {
	goal := Goal{Kind: GoalRun}
	for _, s := range statuses {
		if s.Switch.Map == 0 {
			continue
		}
		if goal.Map != 0 && (goal.Map != s.Switch.Map || goal.At != s.Switch.At) {
			return goal, verdictSplit
		}
		goal.Map, goal.At = s.Switch.Map, s.Switch.At
	}
	for _, s := range statuses {
		if s.Base == 0 || s.Base == goal.Map {
			continue
		}
		if goal.Base != 0 && goal.Base != s.Base {
			return goal, verdictSplit
		}
		goal.Base = s.Base
	}
	if goal.Map != 0 {
		return judgeDecided(goal, statuses)
	}
	return goal, judgeUndone(goal, statuses)
}

func judgeDecided(goal Goal, statuses []EngineStatus) (Goal, verdict) {
	goal.Kind = GoalCommit
	settled := true
	for _, s := range statuses {
		if goal.Base != 0 && s.Base == goal.Base && s.Switch.Map == 0 && s.Next > goal.At {
			return goal, verdictSplit
		}
		_, done := goal.next(s)
		settled = settled && done && !s.Held
	}
	if settled {
		return goal, verdictSettled
	}
	return goal, verdictDecided
}

func judgeUndone(goal Goal, statuses []EngineStatus) verdict {
	for _, s := range statuses {
		if _, done := goal.next(s); !done {
			return verdictUndone
		}
	}
	return verdictSettled
}
