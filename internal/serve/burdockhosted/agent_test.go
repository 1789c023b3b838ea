package burdockhosted

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// All streams of a large group pause at once whenever its map changes. The three
// rounds of orders take 2 ms a rank, a pass under load a tenth of a second; a
// step of the change that comes before the rounds end makes the group stand, and
// that pause with the pass is longer than callers accept.
func TestLeadCoversTheRoundsOfALargeGroup(t *testing.T) {
	const (
		perRank = 2 * burdockclock.Millis(1)
		pass    = 50 * burdockclock.Millis(1)
		most    = 3 // passes that a change may wait for nothing
	)
	for _, ranks := range []int{4, 16, 72, 144} {
		cfg := burdockgroup.DefaultControllerConfig(ranks)
		pace().Controller(&cfg)
		rounds := perRank * burdockclock.Millis(ranks)
		lead := pass * burdockclock.Millis(cfg.Lead)
		if lead < rounds || lead > rounds+most*pass {
			t.Errorf("%d ranks: a lead of %d passes takes %d ms, want %d to %d", ranks, cfg.Lead, lead, rounds, rounds+most*pass)
		}
	}
}
