package burdockdirect

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockroom"
)

// SharedServices returns the services whose room is shared by the entries, sorted.
func (e *Entry) SharedServices() []burdockid.Service {
	cfg := e.deps.Site.Now().Config
	if cfg == nil {
		return nil
	}
	var names []burdockid.Service
	for name := range cfg.Services {
		if sharedAdmission(cfg, name, e.cfg.SharedAdmission) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RoomReport returns what this entry reports to the coordinator of a service's room. The
// caller sets Entry, Process and Sequence.
func (e *Entry) RoomReport(service burdockid.Service) burdockroom.Report {
	p := e.pool(service)
	r := p.gate.roomReport()
	r.Engines = p.takeEngineLoads()
	return r
}

// SetRoomPart sets the entry's part of a service's room, which is valid until a boot time.
func (e *Entry) SetRoomPart(service burdockid.Service, part burdockroom.Part, validUntil burdockclock.Millis) {
	p := e.pool(service)
	p.gate.setRoomPart(part, validUntil)
	p.setRoomLoads(e.now(), part.Loads)
}
