package burdockdirect

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// urgentWindow is how long after a request less urgent ones leave the slots of cold and
	// rate-limited upstreams to others like it. Requests that come more seldom gain little
	// from slots that stay unused for them.
	urgentWindow = 2 * burdockclock.Second
	// starvationBound is the time after which requests of a priority of which none has been
	// placed take slots like the most urgent ones, and after which one that waits is started.
	// The division of the room has the same bound: it grants a start that the queue of an
	// entry has to give to that priority.
	starvationBound = 2 * burdockclock.Second
)

// urgency holds, by class, when a request last wanted an upstream and when one last got it.
type urgency struct{ wanted, placed [numPriorities]instant }

// instant is a time that may not have come yet.
type instant struct {
	at    burdockclock.Millis
	known bool
}

// within reports whether the instant is known and no longer ago than d.
func (i instant) within(now, d burdockclock.Millis) bool { return i.known && now-i.at <= d }

// recordUrgency records a choice for a request. passedOver reports that upstreams were passed
// over because their slots are reserved. The lock must be held.
func (p *pool) recordUrgency(now burdockclock.Millis, req *request, placed, passedOver bool) {
	if !req.sharedAdmission() {
		return
	}
	class := *req.enginePriority
	p.urgency.wanted[class] = instant{now, true}
	if placed {
		p.urgency.placed[class] = instant{now, true}
	}
	if passedOver {
		p.entry.meters.countReserved(p.service, placed)
	}
}

// isLessUrgent reports whether the request leaves slots to more urgent ones: entries share
// the admission to its service, more urgent ones have come recently, and its own class
// isn't starved. The lock must be held.
func (p *pool) isLessUrgent(now burdockclock.Millis, req *request) bool {
	if !req.sharedAdmission() || !p.urgency.placed[*req.enginePriority].within(now, starvationBound) {
		return false
	}
	for class := range *req.enginePriority {
		if p.urgency.wanted[class].within(now, urgentWindow) {
			return true
		}
	}
	return false
}

// isReserved reports whether the slot that an upstream has now is reserved for more urgent
// requests. The lock must be held.
func (p *pool) isReserved(now burdockclock.Millis, u burdockid.Upstream) bool {
	return !p.cold.AllowsLessUrgent(now, u) || !p.rateLimits.AllowsLessUrgent(now, u)
}

// countReserved counts a choice that passed over upstreams whose slots are reserved for more
// urgent requests, and whether another one took the request.
func (m *meters) countReserved(service burdockid.Service, placed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("burdock_direct_reserved_slots_total{service=%q,placed=\"%t\"}", service, placed)).Inc()
}
