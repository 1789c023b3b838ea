package burdockgroup

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	stuckMap burdockid.MapVersion = 7
	newerMap burdockid.MapVersion = 8
	stuckAt  burdockid.Step       = 5
)

// newStuckGroup returns a group in which two ranks have committed and the third has a
// newer map loaded in place of theirs. Its engine accepts no lower version.
func newStuckGroup() *simGroup {
	g := newSimGroup(3)
	for i := range g.engines {
		g.engines[i] = EngineStatus{
			Next: stuckAt, Base: 1, LastStep: stuckAt - 1, LastMap: 1, Held: true, HoldAt: stuckAt,
			Switch: Switch{Map: stuckMap, At: stuckAt},
		}
	}
	g.engines[2].Switch, g.engines[2].Spare, g.highest[2] = Switch{}, newerMap, newerMap
	return g
}

// A controller dies after some ranks have committed, and another has one rank load a
// newer map in place of theirs. That rank cannot load the older map again, and the others
// wait for it before the switch step, so no request of the group is answered again. No
// rank has been released, so the commits can be withdrawn.
func TestStuckCommitsAreWithdrawn(t *testing.T) {
	g := newStuckGroup()
	g.kept = stuckMap
	g.checkRecovers(t)
}

// As above, but all agents were killed meanwhile, so the content of the map that two
// ranks have committed to is lost.
func TestCommitsToLostMapAreWithdrawn(t *testing.T) { newStuckGroup().checkRecovers(t) }

func (g *simGroup) checkRecovers(t *testing.T) {
	t.Helper()
	for g.now < 2*burdockclock.Second {
		g.tick()
	}
	for i, e := range g.engines {
		if e.Held || e.Switch.Map != 0 || e.Base != 1 {
			t.Errorf("rank %d: got %+v, want it running with map 1", i, e)
		}
	}
	if got := g.engines[0].Next; got <= stuckAt {
		t.Errorf("next step after two seconds: got %d, want more than %d", got, stuckAt)
	}
	before := g.inForce
	g.handleOutputs(g.c.Handle(g.now, MapWanted{Content: []byte("another")}))
	for g.now < 4*burdockclock.Second {
		g.tick()
	}
	if g.inForce == before {
		t.Errorf("map in force after another was wanted: still %d", before)
	}
}

// One of the committed ranks has already been released, so it may begin the switch step.
// The commits of the others must stay, otherwise they would run that step with another
// map.
func TestCommitsStayOnceRankIsReleased(t *testing.T) {
	g := newStuckGroup()
	g.engines[0].Held = false
	for g.now < 2*burdockclock.Second {
		g.tick()
	}
	if got, want := g.engines[1].Switch, (Switch{Map: stuckMap, At: stuckAt}); got != want {
		t.Errorf("rank 1's switch: got %+v, want %+v", got, want)
	}
}
