package burdockrank

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// In a large group, counts take most of the controller's link, and the reports of a map
// change wait behind them in each round. Counts are therefore not requested during a
// change. They are requested all the time while no change is under way and in a small
// group, so that a shift of popularity is seen early.
func TestCountsDoNotDelayMapChange(t *testing.T) {
	resting := burdockgroup.ControllerState{Phase: burdockgroup.ControllerResting, RoundTime: 50}
	switching := resting
	switching.Goal.Map = 9
	tests := []struct {
		name  string
		state burdockgroup.ControllerState
		round burdockclock.Millis // of a round of counts
		want  bool
	}{
		{"no change", resting, 90, false},
		{"until the step of a change has passed", switching, 90, true},
		{"while ranks commit", burdockgroup.ControllerState{Phase: burdockgroup.ControllerCommitting, RoundTime: 50}, 90, true},
		{"in a small group", burdockgroup.ControllerState{Phase: burdockgroup.ControllerCommitting, RoundTime: 20}, 10, false},
		{"no round measured yet", burdockgroup.ControllerState{Phase: burdockgroup.ControllerReading}, 90, false},
	}
	for _, test := range tests {
		p := &planning{roundDuration: test.round}
		if got := p.countsDelayChange(test.state); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
}
