package burdockrank

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// A map that is wanted at the wrong moment costs callers a group that is uneven
// for longer: it voids one that is on its way, or keeps the right one waiting.
func TestOccasionToPlan(t *testing.T) {
	const now = burdockclock.Hour
	cases := []struct {
		name   string
		change func(o *occasion)
		want   bool
	}{
		{"counts that are new", func(*occasion) {}, true},
		{"nothing new", func(o *occasion) { o.news = false }, false},
		{"half of a turn seen", func(o *occasion) { o.turning = true }, false},
		{"a change just ended", func(o *occasion) { o.changedAt = now - 1 }, false},
		{"a map is on its way", func(o *occasion) { o.wishedAt = now - 1 }, false},
		{"a map is on its way for too long", func(o *occasion) { o.wishedAt = now - wishMost }, true},
		{"counts are missing", func(o *occasion) { o.unheard = true }, false},
		{"no map, no news", func(o *occasion) { o.first, o.news = true, false }, true},
		{"no map, half of a turn seen", func(o *occasion) { o.first, o.turning = true, true }, true},
		{"no map, counts are missing", func(o *occasion) { o.first, o.unheard = true, true }, false},
	}
	for _, c := range cases {
		o := occasion{now: now, changedAt: now - burdockclock.Second, gap: burdockclock.Second, news: true}
		c.change(&o)
		if got := o.plan(); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
}
