package burdockrank

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// TestOrderTimeoutGrowsWithGroup guards against stalls of seconds at each map change of a
// large group. The controller sends each rank its map at once over one narrow link, and
// the last one arrives after a quarter of a second. With a fixed timeout, that rank's
// healthy agent is taken for frozen, and its engine is ordered remotely at each step for
// which the group is paused.
func TestOrderTimeoutGrowsWithGroup(t *testing.T) {
	const (
		ranks    = 72
		mapBytes = 3504 // encoded size of a map of 72 ranks, 12 layers and 3 slots
		perMilli = 1000 // bytes per millisecond on an 8 Mbit/s link
	)
	queue := burdockclock.Millis(ranks * mapBytes / perMilli)
	for _, body := range []burdockgroup.OrderBody{burdockgroup.Load{}, burdockgroup.Arm{}, burdockgroup.Commit{}, burdockgroup.Release{}} {
		if got, want := orderAnswerTimeout(ranks, body), 2*queue; got < want {
			t.Errorf("orderAnswerTimeout(%d, %T) = %d ms, want %d ms or more", ranks, body, got, want)
		}
	}
	if got, want := orderAnswerTimeout(4, burdockgroup.Arm{}), 300*burdockclock.Millis(1); got > want {
		t.Errorf("orderAnswerTimeout(4, Arm) = %d ms, want %d ms or less: a small group is stalled while an agent is frozen", got, want)
	}
}
