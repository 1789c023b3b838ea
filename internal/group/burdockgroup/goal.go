package burdockgroup

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// GoalKind is what a controller brings every rank to.
type GoalKind string

// Kinds of goals.
const (
	GoalRun      GoalKind = "run"      // runs with Base; nothing armed
	GoalLoad     GoalKind = "load"     // has Map loaded
	GoalArm      GoalKind = "arm"      // stops before step At
	GoalCommit   GoalKind = "commit"   // will use Map from step At on, or does already
	GoalWithdraw GoalKind = "withdraw" // stops before step At, and won't use Map from it on
	GoalRelease  GoalKind = "release"  // as commit, and no longer stops
)

// Goal is the state that a controller is bringing every rank to.
type Goal struct {
	Kind GoalKind             `json:"kind"`
	Base burdockid.MapVersion `json:"base"` // used before step At; 0 in a group that never ran
	Map  burdockid.MapVersion `json:"map"`
	At   burdockid.Step       `json:"at"`
}

// next returns the order that brings an engine nearer to the goal, or whether
// it is there. Neither means to wait for a load. A Load comes without content.
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
	// Loaded comes first, also for an engine that is held already: it may have
	// been restarted beside its agent and hold without the map.
	if body, loaded := nextLoad(s, g.Map); !loaded {
		return body, false
	}
	if !s.heldAt(g.At) {
		return Arm{Map: g.Map, At: g.At}, false
	}
	return nil, true
}

// nextCommit also brings in an engine that was replaced: it is committed as
// the others are, then given the base map if steps before At are left.
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

// nextBase gives a committed engine the map for the steps before At. If every
// engine of the group was lost, no engine knows that map any longer and none
// has run a step since, so the next map serves at once.
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

// verdict is what a controller makes of the status of all ranks.
type verdict string

const (
	verdictSettled verdict = "settled" // nothing to do
	verdictUndone  verdict = "undone"  // no rank has committed: go back
	verdictDecided verdict = "decided" // some rank has committed: go forward
	verdictSplit   verdict = "split"   // no order can bring the ranks together
)

// judge decides whether an interrupted change goes forward or back. It is made
// for a controller that takes over from one that died anywhere in a change.
// Release is sent only after every rank has committed, so if no rank has,
// none has run step At with the new map: back is safe, since the reading has
// voided every commit still on its way. If one rank has committed, none was
// sent an abort: forward is safe.
//
// A rank that was replaced is empty and cannot tell. It is enough to ask the
// others: if it ran step At with the new map, all of them had committed.
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
