package burdockentry

import (
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
)

func change(level burdockeject.Level, cause burdockeject.Cause) burdockeject.Change {
	return burdockeject.Change{Upstream: "u", Level: level, Weight: level.Weight(), Cause: cause}
}

// An operator reads in the dump how an upstream fell, was probed and came
// back, step by step, and none of the steps is one that the chart rejects.
func TestHealthFollowsTheChart(t *testing.T) {
	h := newHealth()
	step := func(want burdockcharts.UpstreamState) {
		t.Helper()
		if got := h.state("u"); got != want {
			t.Errorf("state: got %s, want %s", got, want)
		}
	}
	h.change(1, change(burdockeject.LevelHalf, burdockeject.CauseFailing))
	step(burdockcharts.UpstreamSuspect)
	h.change(2, change(burdockeject.LevelQuarter, burdockeject.CauseFailing))
	step(burdockcharts.UpstreamSuspect)
	h.change(3, change(burdockeject.LevelOut, burdockeject.CauseFailing))
	step(burdockcharts.UpstreamEjected)
	h.fire(4, "u", burdockcharts.UpstreamEventProbe, "")
	step(burdockcharts.UpstreamProbing)
	h.fire(5, "u", burdockcharts.UpstreamEventProbeFailed, "")
	step(burdockcharts.UpstreamEjected)
	h.fire(6, "u", burdockcharts.UpstreamEventProbe, "")
	h.change(7, change(burdockeject.LevelQuarter, burdockeject.CauseRecovers))
	step(burdockcharts.UpstreamSuspect)
	h.change(8, change(burdockeject.LevelHalf, burdockeject.CauseRecovers))
	h.change(9, change(burdockeject.LevelFull, burdockeject.CauseRecovers))
	step(burdockcharts.UpstreamHealthy)
	h.change(10, change(burdockeject.LevelOut, burdockeject.CauseLeaving))
	step(burdockcharts.UpstreamLeaving)
	h.change(11, change(burdockeject.LevelFull, burdockeject.CauseRecovers))
	step(burdockcharts.UpstreamHealthy)
	var got []string
	for _, e := range h.dump().Events {
		got = append(got, e.From+">"+e.To)
	}
	want := []string{
		"healthy>suspect", "suspect>ejected", "ejected>probing", "probing>ejected", "ejected>probing",
		"probing>suspect", "suspect>healthy", "healthy>leaving", "leaving>gone",
	}
	if !slices.Equal(got, want) {
		t.Errorf("events: got %v, want %v", got, want)
	}
}
