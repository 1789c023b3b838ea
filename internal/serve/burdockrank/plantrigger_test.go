package burdockrank

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// A map that is planned at the wrong moment keeps the group uneven for longer: it voids a
// pending one, or delays the right one.
func TestPlanTrigger(t *testing.T) {
	const now = burdockclock.Hour
	cases := []struct {
		name   string
		change func(t *planTrigger)
		want   bool
	}{
		{"new counts", func(*planTrigger) {}, true},
		{"no new counts", func(t *planTrigger) { t.newInput = false }, false},
		{"unconfirmed shift", func(t *planTrigger) { t.shiftUnsettled = true }, false},
		{"a change just ended", func(t *planTrigger) { t.changedAt = now - 1 }, false},
		{"a map is pending", func(t *planTrigger) { t.wantedAt = now - 1 }, false},
		{"a map is pending for too long", func(t *planTrigger) { t.wantedAt = now - maxWantedTime }, true},
		{"counts are missing", func(t *planTrigger) { t.countsMissing = true }, false},
		{"no map, no new counts", func(t *planTrigger) { t.noMap, t.newInput = true, false }, true},
		{"no map, unconfirmed shift", func(t *planTrigger) { t.noMap, t.shiftUnsettled = true, true }, true},
		{"no map, counts are missing", func(t *planTrigger) { t.noMap, t.countsMissing = true, true }, false},
	}
	for _, c := range cases {
		trigger := planTrigger{now: now, changedAt: now - burdockclock.Second, minChangeInterval: burdockclock.Second, newInput: true}
		c.change(&trigger)
		if got := trigger.due(); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
}
