package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// mixedUrgency reports whether the streaming routes of a service differ in priority or
// objective, so that less urgent work can delay more urgent work there.
func mixedUrgency(cfg *burdocksite.Config, s burdockid.Service) bool {
	var first *burdocksite.Route
	for i := range cfg.Routes {
		route := &cfg.Routes[i]
		if !route.Stream || !serves(route, s) {
			continue
		}
		if first == nil {
			first = route
		}
		if route.Priority != first.Priority || route.Objective != first.Objective {
			return true
		}
	}
	return false
}

func serves(route *burdocksite.Route, s burdockid.Service) bool {
	for _, share := range route.Shares {
		if share.Service == s {
			return true
		}
	}
	return false
}

// enginePriority returns the priority that an offer states to an engine; nil if the service
// has no shared admission: engines then serve requests best in their order of arrival.
func enginePriority(cfg *burdocksite.Config, s burdockid.Service, mode SharedAdmission, class burdockqueue.Class) *int {
	if !sharedAdmission(cfg, s, mode) {
		return nil
	}
	return new(int(min(max(class, 0), numPriorities-1)))
}
