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

// newStuckGroup returns a group in which two ranks have committed and the third
// has a newer map loaded in place of theirs. Its engine takes no lower version.
func newStuckGroup() *pacedGroup {
	g := newPacedGroup(3)
	for i := range g.engines {
		g.engines[i] = EngineStatus{
			Next: stuckAt, Base: 1, LastStep: stuckAt - 1, LastMap: 1, Held: true, HoldAt: stuckAt,
			Switch: Switch{Map: stuckMap, At: stuckAt},
		}
	}
	g.engines[2].Switch, g.engines[2].Spare, g.highest[2] = Switch{}, newerMap, newerMap
	return g
}

// No request of the group is answered again. A controller dies after some ranks
// have committed; another has one rank load a newer map in place of theirs. That
// rank can't load the older one again, and the others wait for it before the
// step of the change. Since none was let go, the commits can be taken back.
func TestCommitsThatCannotGoForwardAreTakenBack(t *testing.T) {
	g := newStuckGroup()
	g.kept = stuckMap
	g.checkGoesOn(t)
}

// The same, and all agents were killed meanwhile, so that nobody has the content
// of the map that two ranks have committed to.
func TestCommitsToALostMapAreTakenBack(t *testing.T) { newStuckGroup().checkGoesOn(t) }

func (g *pacedGroup) checkGoesOn(t *testing.T) {
	t.Helper()
	for g.now < 2*burdockclock.Second {
		g.pass()
	}
	for i, e := range g.engines {
		if e.Held || e.Switch.Map != 0 || e.Base != 1 {
			t.Errorf("rank %d: got %+v, want it to run on with map 1", i, e)
		}
	}
	if got := g.engines[0].Next; got <= stuckAt {
		t.Errorf("next step after two seconds: got %d, want more than %d", got, stuckAt)
	}
	before := g.inForce
	g.take(g.c.Handle(g.now, MapWanted{Content: []byte("another")}))
	for g.now < 4*burdockclock.Second {
		g.pass()
	}
	if g.inForce == before {
		t.Errorf("map in force after another was wanted: got %d still", before)
	}
}

// One of the ranks that committed was let go already, so it may begin the step.
// Then the others must not be taken back: they would run it with another map.
func TestCommitsAreNotTakenBackOnceARankWasLetGo(t *testing.T) {
	g := newStuckGroup()
	g.engines[0].Held = false
	for g.now < 2*burdockclock.Second {
		g.pass()
	}
	if got, want := g.engines[1].Switch, (Switch{Map: stuckMap, At: stuckAt}); got != want {
		t.Errorf("rank 1's switch: got %+v, want %+v", got, want)
	}
}
