package burdockdirect

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Guards against answers that seem older than the crashes before them because the wall clock was
// set back.
func TestSteadyClockIgnoresStepsOfTheWallClock(t *testing.T) {
	manual := burdockclock.NewManual(1000)
	manual.StepWall(50_000)
	clock := newSteadyClock(manual.Clock())
	manual.StepWall(-30_000)
	manual.Advance(10)
	if got, want := clock.now(), burdockclock.Millis(51_010); got != want {
		t.Errorf("after a step back: got %d, want %d", got, want)
	}
}
