package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// SharedAdmission selects the services with shared admission.
type SharedAdmission string

// Values of SharedAdmission.
const (
	// SharedAdmissionAuto selects the services with engines whose streaming routes differ
	// in priority or objective.
	SharedAdmissionAuto SharedAdmission = "auto"
	// SharedAdmissionOn selects all services with engines that get streams.
	SharedAdmissionOn SharedAdmission = "on"
	// SharedAdmissionOff selects none.
	SharedAdmissionOff SharedAdmission = "off"
)

// sharedAdmission reports whether a service has shared admission.
func sharedAdmission(cfg *burdocksite.Config, service burdockid.Service, mode SharedAdmission) bool {
	if cfg == nil || cfg.Services[service].Engine == nil || mode == SharedAdmissionOff {
		return false
	}
	if mode == SharedAdmissionOn {
		return cfg.HasStreams(service)
	}
	return cfg.MixedUrgency(service)
}

// sharedAdmission reports whether the entries share the admission to the request's service.
func (req *request) sharedAdmission() bool { return req.enginePriority != nil }
