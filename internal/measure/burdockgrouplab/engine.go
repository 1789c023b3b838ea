package burdockgrouplab

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// engine is a model of one rank's engine.
type engine struct {
	status      burdockgroup.EngineStatus
	unfinished  burdockid.Step // lowest step that is not finished
	busy        bool           // running a step
	checksFence bool           // refuses orders with an old fencing number
	ignoresHold bool           // reports that it is held, but keeps running
	resumesAny  bool           // resumes even if held for another switch
	maxFence    burdockid.Fence
	generation  int // counts replacements
	loadEnd     instant
}

// apply carries out an order and reports whether the engine accepted it.
func (e *engine) apply(fence burdockid.Fence, order burdockgroup.EngineOrder) bool {
	_, reads := order.(burdockgroup.ReadStatus)
	if e.checksFence && fence < e.maxFence && !reads {
		return false
	}
	e.maxFence = max(e.maxFence, fence)
	s := &e.status
	switch order := order.(type) {
	case burdockgroup.LoadMap:
		if !e.has(order.Map) {
			s.Loading, s.Spare = order.Map, 0
		}
	case burdockgroup.HoldAt:
		if s.Next <= order.Step {
			s.Held, s.HoldAt = true, order.Step
		}
	case burdockgroup.UseFrom:
		if s.Held && s.HoldAt == order.Step && s.Spare == order.Map {
			s.Switch = burdockgroup.Switch{Map: order.Map, At: order.Step}
			s.Spare = 0
		}
	case burdockgroup.Resume:
		if e.resumesAny || s.Held && s.HoldAt == order.Step && s.Switch == order.Switch {
			s.Held, s.HoldAt = false, 0
		}
	case burdockgroup.DropSwitch:
		if s.Held && s.HoldAt == order.Step && s.Switch == order.Switch {
			s.Spare, s.Switch = s.Switch.Map, burdockgroup.Switch{}
		}
	case burdockgroup.BeginWith:
		e.beginWith(order.Map)
	}
	return true
}

func (e *engine) beginWith(v burdockid.MapVersion) {
	s := &e.status
	if s.Base != 0 || !e.has(v) {
		return
	}
	s.Base = v
	if s.Spare == v {
		s.Spare = 0
	}
}

func (e *engine) has(v burdockid.MapVersion) bool {
	s := e.status
	return v != 0 && (s.Base == v || s.Switch.Map == v || s.Spare == v || s.Loading == v)
}

func (e *engine) loaded() {
	e.status.Spare, e.status.Loading = e.status.Loading, 0
}

// held reports whether the engine may not begin its next step.
func (e *engine) held() bool {
	return e.status.Held && e.status.Next >= e.status.HoldAt && !e.ignoresHold
}

// begin begins the next step and returns the step and the map that it uses. It
// reports false if the engine has no map.
func (e *engine) begin() (burdockid.Step, burdockid.MapVersion, bool) {
	s := &e.status
	if s.Switch.Map != 0 && s.Next >= s.Switch.At {
		s.Base, s.Switch = s.Switch.Map, burdockgroup.Switch{}
	}
	if s.Base == 0 {
		return 0, 0, false
	}
	step := s.Next
	s.Next++
	e.busy = true
	return step, s.Base, true
}

func (e *engine) finish() {
	e.busy = false
	e.unfinished = e.status.Next
	e.status.LastStep, e.status.LastMap = e.status.Next-1, e.status.Base
}

// replace puts an engine without maps in place of this one, at the same step.
func (e *engine) replace() {
	*e = engine{
		status:      burdockgroup.EngineStatus{Next: e.unfinished},
		unfinished:  e.unfinished,
		checksFence: e.checksFence,
		ignoresHold: e.ignoresHold,
		resumesAny:  e.resumesAny,
		generation:  e.generation + 1,
	}
}
