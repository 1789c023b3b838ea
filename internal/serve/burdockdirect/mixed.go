package burdockdirect

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// mixedUrgency reports whether the streaming routes of a service differ in priority or
// objective.
func mixedUrgency(cfg *burdocksite.Config, s burdockid.Service) bool {
	var first *burdocksite.Route
	for i := range cfg.Routes {
		route := &cfg.Routes[i]
		leadsTo := func(share burdocksite.Share) bool { return share.Service == s }
		if !route.Stream || !slices.ContainsFunc(route.Shares, leadsTo) {
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
