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

// A stalled group must not be filled with requests: without events it seems to have room.
func TestNoEventsMeanStalled(t *testing.T) {
	v := New(Config{StallTimeout: 400})
	v.FirstEvent(1000)
	v.StreamEvent(1060)
	wantState(t, v, 1459, Advancing)
	wantState(t, v, 1460, Stalled)
	if got, want := v.RunningClock(3000), burdockclock.Millis(1460); got != want {
		t.Errorf("clock while the group is stalled: got %d, want %d", got, want)
	}
	v.StreamEvent(3060)
	wantState(t, v, 3060, Advancing)
	if got, want := v.RunningClock(3160), burdockclock.Millis(1560); got != want {
		t.Errorf("clock after the stall: got %d, want %d", got, want)
	}
}

// An entry that starts while the group is stalled has no stream with an event. It must
// still notice the stall from its offers, and not fill the group.
func TestOffersWithoutEventsMeanStalled(t *testing.T) {
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

// Without open streams, a lack of events is not a stall.
func TestNotStalledWithoutStreams(t *testing.T) {
	v := New(Config{StallTimeout: 400})
	wantState(t, v, 10_000, Advancing)
	v.FirstEvent(1000)
	v.StreamEnded(1100, true)
	wantState(t, v, 10_000, Advancing)
}

// Callers wait instead of being refused while a group is closed. This needs the closed
// state to be detected, and the opening too.
func TestRefusalsDespiteRoomMeanClosed(t *testing.T) {
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
		t.Error("after a report that the group has opened: got no probe, want one at once")
	}
	v.EngineAccepted(1400)
	wantState(t, v, 1400, Advancing)
	if v.TryProbe(1500) {
		t.Error("probe of an open group: got one, want none")
	}
}

// A group that advances is not closed because single engines refuse for reasons of their
// own.
func TestRefusalsDoNotCloseAdvancingGroup(t *testing.T) {
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

// A group that was stalled when its last stream ended must not be filled with requests. A
// response header without an event does not show that the group advances.
func TestStalledGroupWithoutStreamsIsClosed(t *testing.T) {
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

// If the event that would show the group's opening is lost, the closed state has to
// expire; otherwise the entry never starts a request again.
func TestClosedStateExpires(t *testing.T) {
	v := New(Config{ClosedTTL: 1000})
	v.EngineRefused(1000, "a")
	v.EngineRefused(1000, "b")
	v.EngineRefused(1900, "c")
	wantState(t, v, 2800, Closed)
	wantState(t, v, 2900, Advancing)
	v.EngineRefused(3000, "a")
	wantState(t, v, 3000, Closed)
	stalled := New(Config{StallTimeout: 400, StalledClosedTTL: 6000})
	stalled.FirstEvent(1000)
	stalled.StreamEnded(3000, true)
	wantState(t, stalled, 8900, Closed)
	wantState(t, stalled, 9000, Advancing)
}
