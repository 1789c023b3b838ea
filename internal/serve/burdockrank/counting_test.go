package burdockrank

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// Callers of a large group wait for a map that fits. Counts take most of the
// controller's link, and each round of a change waits for its reports behind them.
// While the group rests, and in a small group, counts are asked for all the time: a
// turn of popularity is seen the sooner.
func TestCountsDoNotHoldUpAChange(t *testing.T) {
	rests := burdockgroup.ControllerState{Phase: burdockgroup.ControllerResting, RoundTime: 50}
	awaits := rests
	awaits.Goal.Map = 9
	tests := []struct {
		name  string
		state burdockgroup.ControllerState
		took  burdockclock.Millis // by a round of counts
		want  bool
	}{
		{"at rest", rests, 90, false},
		{"until the step of a change is past", awaits, 90, true},
		{"while ranks commit", burdockgroup.ControllerState{Phase: burdockgroup.ControllerCommitting, RoundTime: 50}, 90, true},
		{"in a small group", burdockgroup.ControllerState{Phase: burdockgroup.ControllerCommitting, RoundTime: 20}, 10, false},
		{"before rounds have been seen", burdockgroup.ControllerState{Phase: burdockgroup.ControllerReading}, 90, false},
	}
	for _, test := range tests {
		p := &planning{roundTook: test.took}
		if got := p.inTheWay(test.state); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
}
