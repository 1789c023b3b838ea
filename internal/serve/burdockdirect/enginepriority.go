package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// enginePriority returns the priority that an offer states to an engine; nil if the service
// has no shared admission: engines then serve requests best in their order of arrival.
func enginePriority(cfg *burdocksite.Config, s burdockid.Service, mode SharedAdmission, class burdockqueue.Class) *int {
	if !sharedAdmission(cfg, s, mode) {
		return nil
	}
	return new(int(min(max(class, 0), numPriorities-1)))
}
