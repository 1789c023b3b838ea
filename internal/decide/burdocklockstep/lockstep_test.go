package burdocklockstep

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

func wantState(t *testing.T, v *View, now burdockclock.Millis, want State) {
	t.Helper()
	if got := v.State(now); got != want {
		t.Errorf("at %d ms: got %s, want %s", now, got, want)
	}
}

// Guards against filling a group that stands: its silence would pass for room.
func TestSilenceOfAllStreamsIsAStand(t *testing.T) {
	v := New(Config{StallTimeout: 400})
	v.FirstEvent(1000)
	v.StreamEvent(1060)
	wantState(t, v, 1459, Advancing)
	wantState(t, v, 1460, Stalled)
	if got, want := v.RunningClock(3000), burdockclock.Millis(1460); got != want {
		t.Errorf("clock while the group stands: got %d, want %d", got, want)
	}
	v.StreamEvent(3060)
	wantState(t, v, 3060, Advancing)
	if got, want := v.RunningClock(3160), burdockclock.Millis(1560); got != want {
		t.Errorf("clock after the stand: got %d, want %d", got, want)
	}
}

// Guards against an entry that starts while the group stands, and fills it as it has no
// stream that shows it.
func TestOffersWithoutAnEventAreAStand(t *testing.T) {
	v := New(Config{FirstEventTimeout: 1000})
	v.StreamOffered(1000)
	v.StreamOffered(1500)
	wantState(t, v, 1999, Advancing)
	wantState(t, v, 2000, Stalled)
	v.StreamEnded(2500, false)
	wantState(t, v, 2500, Stalled)
	v.StreamEnded(2600, false)
	wantState(t, v, 2600, Closed)
	v.FirstEvent(3000)
	wantState(t, v, 3000, Advancing)
}

// Guards against a stand that is seen where no stream runs.
func TestWithoutStreamsNothingStands(t *testing.T) {
	v := New(Config{StallTimeout: 400})
	wantState(t, v, 10_000, Advancing)
	v.FirstEvent(1000)
	v.StreamEnded(1100, true)
	wantState(t, v, 10_000, Advancing)
}

// Guards against refusing callers while a group forms: that it is closed has to be
// known, and that it has opened again too.
func TestRefusalsOfEnginesWithRoomMeanClosed(t *testing.T) {
	v := New(Config{MinProbeInterval: 50, MaxProbeInterval: 100})
	v.EngineRefused(1000, "a")
	wantState(t, v, 1000, Advancing)
	v.EngineRefused(1010, "a")
	wantState(t, v, 1010, Advancing)
	v.EngineRefused(1020, "b")
	wantState(t, v, 1020, Closed)
	var probes []burdockclock.Millis
	for now := burdockclock.Millis(1020); now < 1400; now++ {
		if v.TryProbe(now) {
			probes = append(probes, now)
		}
	}
	if got, want := len(probes), 4; got != want { // after 50, 75, 100 and 100 ms
		t.Errorf("probes: got %d at %v, want %d", got, probes, want)
	}
	v.ProbeNow(1360)
	if !v.TryProbe(1360) {
		t.Error("once the group is said to have opened: got no probe, want one at once")
	}
	v.EngineAccepted(1400)
	wantState(t, v, 1400, Advancing)
	if v.TryProbe(1500) {
		t.Error("a probe of a group that is open: got one, want none")
	}
}

// Guards against closing a group for one engine that has its own reason to refuse.
func TestRefusalsBesideEventsCloseNothing(t *testing.T) {
	v := New(Config{StallTimeout: 400})
	v.FirstEvent(1000)
	v.EngineRefused(1010, "a")
	v.EngineRefused(1020, "b")
	wantState(t, v, 1020, Advancing)
	v.StreamEvent(1100)
	v.EngineRefused(1600, "a")
	wantState(t, v, 1600, Stalled)
	v.EngineRefused(1610, "b")
	wantState(t, v, 1610, Closed)
}

// Guards against filling a group that stands once its last caller has left, and
// against a head without an event that passes for movement.
func TestStandWithoutCallersIsClosed(t *testing.T) {
	v := New(Config{StallTimeout: 400})
	v.FirstEvent(1000)
	v.StreamEnded(3000, true)
	wantState(t, v, 3000, Closed)
	v.EngineAccepted(3100)
	wantState(t, v, 3100, Closed)
	if got, want := v.RunningClock(3900), burdockclock.Millis(1400); got != want {
		t.Errorf("clock: got %d, want %d", got, want)
	}
	v.FirstEvent(3900)
	wantState(t, v, 3900, Advancing)
}

// Guards against an entry that starts nothing for ever because what would show the
// group's opening got lost.
func TestClosedIsNotBelievedForEver(t *testing.T) {
	v := New(Config{ClosedTTL: 1000})
	v.EngineRefused(1000, "a")
	v.EngineRefused(1000, "b")
	v.EngineRefused(1900, "c")
	wantState(t, v, 2800, Closed)
	wantState(t, v, 2900, Advancing)
	v.EngineRefused(3000, "a")
	wantState(t, v, 3000, Closed)
	stood := New(Config{StallTimeout: 400, StalledClosedTTL: 6000})
	stood.FirstEvent(1000)
	stood.StreamEnded(3000, true)
	wantState(t, stood, 8900, Closed)
	wantState(t, stood, 9000, Advancing)
}
