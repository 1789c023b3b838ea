package burdockrank

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// maxWantedTime is how long a wanted map may take to come into force before the planner
// is asked again.
const maxWantedTime = burdockclock.Minute

// planTrigger decides whether to ask the planner for a map now.
type planTrigger struct {
	now               burdockclock.Millis
	wantedAt          burdockclock.Millis // when the pending map was wanted; 0 if none is pending
	changedAt         burdockclock.Millis // when the map in use came into force
	minChangeInterval burdockclock.Millis // minimum time between two changes
	noMap             bool                // the group has no map
	countsMissing     bool                // the counts of some required rank are not known yet
	newInput          bool                // new counts or speeds since the planner was last asked
	shiftUnsettled    bool                // the newest counts have yet to be confirmed
}

// due reports whether to ask the planner.
//
// While popularity shifts, planning on each change of the counts yields one map after the
// other, each of which voids the load of the one before. So no map is planned while one
// is pending, before the minimum time between two changes is over, or while the newest
// counts have yet to be confirmed. A map planned on the first half of a shift would delay
// the map for the whole shift by half a second and load experts that nobody needs.
func (t planTrigger) due() bool {
	switch {
	case t.countsMissing, t.wantedAt != 0 && t.now-t.wantedAt < maxWantedTime:
		return false
	case t.noMap:
		return true
	}
	return t.newInput && !t.shiftUnsettled && t.now-t.changedAt >= t.minChangeInterval
}
