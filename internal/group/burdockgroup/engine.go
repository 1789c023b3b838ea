package burdockgroup

import "burdockbend.example/burdockbend/internal/base/burdockid"

// Switch is an engine's pending change to another map, which it uses from step At on. The
// zero value means that there is none.
type Switch struct {
	Map burdockid.MapVersion `json:"map"`
	At  burdockid.Step       `json:"at"`
}

// EngineStatus is an engine's own report of its state. Map version 0 means no map.
type EngineStatus struct {
	Next    burdockid.Step       `json:"next"`    // first step that has not begun
	Base    burdockid.MapVersion `json:"base"`    // used in steps before Switch.At
	Switch  Switch               `json:"switch"`  // zero again once step Switch.At has begun; its map is Base then
	Spare   burdockid.MapVersion `json:"spare"`   // loaded but not used; the next load replaces it
	Loading burdockid.MapVersion `json:"loading"` // being loaded
	Failed  burdockid.MapVersion `json:"failed"`  // last map that could not be loaded
	Held    bool                 `json:"held"`    // pauses before step HoldAt until released
	HoldAt  burdockid.Step       `json:"holdAt"`
	// Last step that was finished, and the map that it used.
	LastStep burdockid.Step       `json:"lastStep"`
	LastMap  burdockid.MapVersion `json:"lastMap"`
}

// has reports whether the engine has map v loaded.
func (s EngineStatus) has(v burdockid.MapVersion) bool {
	return v != 0 && (s.Base == v || s.Switch.Map == v || s.Spare == v)
}

// heldAt reports whether the engine stops before step at.
func (s EngineStatus) heldAt(at burdockid.Step) bool { return s.Held && s.HoldAt == at }

// mapAt returns the map that the engine uses in a step not yet run.
func (s EngineStatus) mapAt(step burdockid.Step) burdockid.MapVersion {
	if s.Switch.Map != 0 && step >= s.Switch.At {
		return s.Switch.Map
	}
	return s.Base
}

// EngineOrder is one of ReadStatus, LoadMap, HoldAt, UseFrom, Resume, DropSwitch and
// BeginWith. Each is answered with the status after it. The engine processes the orders
// of one agent in sequence, so ReadStatus reflects the ones before it.
type EngineOrder interface{ engineOrder() }

// ReadStatus requests the status. An engine that checks fencing numbers answers it
// whatever the number: an agent that was replaced may know a lower number than its engine
// and still needs the status.
type ReadStatus struct{}

// LoadMap starts to load a map in place of the spare one. The engine ignores it for a map
// that it has.
type LoadMap struct {
	Map     burdockid.MapVersion
	Content []byte
}

// HoldAt makes the engine pause before a step until it is released, in place of an
// earlier hold. The engine ignores it if it has begun the step.
type HoldAt struct{ Step burdockid.Step }

// UseFrom schedules the switch to a loaded map at a step. The engine ignores it unless it
// is held at that step.
type UseFrom struct {
	Map  burdockid.MapVersion
	Step burdockid.Step
}

// Resume ends the hold before a step. The engine ignores it unless it is held there with
// that switch. A replaced agent may have left a commit in flight; if it takes effect
// between the status that the new agent read and an abort, the engine must not run on.
type Resume struct {
	Step   burdockid.Step
	Switch Switch
}

// DropSwitch withdraws a switch; the hold before its step stays. The engine ignores it
// unless it is held there with that switch. Engines that accept a load of the same map
// again may lack this order.
type DropSwitch struct {
	Step   burdockid.Step
	Switch Switch
}

// BeginWith sets the base map of an engine that has none to a loaded map.
type BeginWith struct{ Map burdockid.MapVersion }

func (ReadStatus) engineOrder() {}
func (LoadMap) engineOrder()    {}
func (HoldAt) engineOrder()     {}
func (UseFrom) engineOrder()    {}
func (Resume) engineOrder()     {}
func (DropSwitch) engineOrder() {}
func (BeginWith) engineOrder()  {}
