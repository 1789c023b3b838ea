package burdockrank

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// TestLargeGroupIsWaitedForLonger: callers of a large group wait seconds at each
// change of its map. The controller sends each rank its map at once over one
// narrow link, the last arrives after a quarter of a second, and the sound agent
// is taken for frozen; each step in which the group stands then goes the slow way.
func TestLargeGroupIsWaitedForLonger(t *testing.T) {
	const (
		ranks    = 72
		mapBytes = 3504 // a map of 72 ranks, 12 layers and 3 slots, as sent
		perMilli = 1000 // bytes a millisecond of an 8 Mbit/s link
	)
	queue := burdockclock.Millis(ranks * mapBytes / perMilli)
	for _, body := range []burdockgroup.OrderBody{burdockgroup.Load{}, burdockgroup.Arm{}, burdockgroup.Commit{}, burdockgroup.Release{}} {
		if got, want := patience(ranks, body), 2*queue; got < want {
			t.Errorf("patience(%d, %T) = %d ms, want %d ms or more", ranks, body, got, want)
		}
	}
	if got, want := patience(4, burdockgroup.Arm{}), 300*burdockclock.Millis(1); got > want {
		t.Errorf("patience(4, Arm) = %d ms, want %d ms or less: a small group stands when an agent is frozen", got, want)
	}
}
