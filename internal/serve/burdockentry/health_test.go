package burdockentry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
)

func change(level burdockeject.Level, cause burdockeject.Cause) burdockeject.Change {
	return burdockeject.Change{Upstream: "u", Level: level, Weight: level.Weight(), Cause: cause}
}

// The state dump must show each transition of an upstream through ejection, probing and
// recovery, and the chart must reject none of them.
func TestHealthFollowsTheChart(t *testing.T) {
	h := newHealth()
	checkState := func(want burdockcharts.UpstreamState) {
		t.Helper()
		if got := h.state("u"); got != want {
			t.Errorf("state: got %s, want %s", got, want)
		}
	}
	h.applyChange(1, change(burdockeject.LevelHalf, burdockeject.CauseFailing))
	checkState(burdockcharts.UpstreamSuspect)
	h.applyChange(2, change(burdockeject.LevelQuarter, burdockeject.CauseFailing))
	checkState(burdockcharts.UpstreamSuspect)
	h.applyChange(3, change(burdockeject.LevelEjected, burdockeject.CauseFailing))
	checkState(burdockcharts.UpstreamEjected)
	h.fire(4, "u", burdockcharts.UpstreamEventProbe, "")
	checkState(burdockcharts.UpstreamProbing)
	h.fire(5, "u", burdockcharts.UpstreamEventProbeFailed, "")
	checkState(burdockcharts.UpstreamEjected)
	h.fire(6, "u", burdockcharts.UpstreamEventProbe, "")
	h.applyChange(7, change(burdockeject.LevelQuarter, burdockeject.CauseRecovered))
	checkState(burdockcharts.UpstreamSuspect)
	h.applyChange(8, change(burdockeject.LevelHalf, burdockeject.CauseRecovered))
	h.applyChange(9, change(burdockeject.LevelFull, burdockeject.CauseRecovered))
	checkState(burdockcharts.UpstreamHealthy)
	h.applyChange(10, change(burdockeject.LevelEjected, burdockeject.CauseLeaving))
	checkState(burdockcharts.UpstreamLeaving)
	h.applyChange(11, change(burdockeject.LevelFull, burdockeject.CauseRecovered))
	checkState(burdockcharts.UpstreamHealthy)
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

// The three upstreams of a small service restart one after the other within five
// seconds. If the entry probed leaving upstreams only that often, it would refuse
// requests although two of the three are back.
func TestReturnedUpstreamsOfASmallServiceAreFoundSoon(t *testing.T) {
	p := newPool("s", "a", rand.NewPCG(1, 2))
	p.members = map[burdockid.Upstream]burdockmember.Upstream{"u1": {Name: "u1"}, "u2": {Name: "u2"}, "u3": {Name: "u3"}}
	p.tracker.SetMembers(0, []burdockid.Upstream{"u1", "u2", "u3"})
	now := 10 * burdockclock.Second
	p.observeIncarnation(now, "u1", "first", true)
	p.dueProbes(now)
	if got := p.dueProbes(now + shortLeavingProbeInterval); len(got) != 1 || got[0].Name != "u1" {
		t.Errorf("a third is leaving: got %v probed, want u1", got)
	}
	for i := range 6 {
		name := burdockid.Upstream(fmt.Sprint("more", i))
		p.members[name] = burdockmember.Upstream{Name: name}
	}
	p.dueProbes(now + 2*shortLeavingProbeInterval)
	if got := p.dueProbes(now + 3*shortLeavingProbeInterval); len(got) != 0 {
		t.Errorf("one of many is leaving: got %v probed, want none yet", got)
	}
}
