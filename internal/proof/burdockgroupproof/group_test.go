// Package burdockgroupproof brings about the failures that the change of a
// group's expert map is made for, on the built programs as separate processes.
// docs/PROOFS.md lists them.
package burdockgroupproof

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/internal/standin/burdockfakeengine"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
)

func TestMain(m *testing.M) {
	status := m.Run()
	burdockprograms.CleanUp()
	os.Exit(status)
}

const (
	ranks = 3
	step  = 20 * time.Millisecond
	load  = time.Second
	// drift turns the popularity of each layer in half a minute of steps, one
	// layer after the other.
	drift  = 1500
	layers = 8
	// eager lets a profile's groups change their map for little gain.
	eager = "[profile.experts]\nskewWeight = 1000.0\ncostWeight = 1.0\nholdMillis = 2000\n"
)

// settings returns a group whose popularity drifts.
func settings(fenced bool) burdockprograms.GroupConfig {
	return burdockprograms.GroupConfig{
		Ranks: ranks, Step: step, Load: load, Fenced: fenced, DriftEvery: drift, Layers: layers, ProfileExtra: eager,
	}
}

// bothKinds runs a test with engines that check fencing numbers, and with
// engines that ignore them.
func bothKinds(t *testing.T, test func(t *testing.T, g *burdockprograms.Group)) {
	t.Helper()
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%v", fenced), func(t *testing.T) {
			t.Parallel()
			g := burdockprograms.StartGroup(t, settings(fenced))
			test(t, g)
			settle(t, g)
		})
	}
}

// splitOf returns the first step for which two ranks used different maps.
func splitOf(log burdockfakeengine.LockstepLog) error {
	for rank, runs := range log.Ranks {
		for _, run := range runs {
			for _, other := range log.Ranks[0] {
				from, to := max(run.From, other.From), min(run.To, other.To)
				if from <= to && run.Map != other.Map {
					return fmt.Errorf("step %d: rank 0 used map %x, rank %d map %x", from, other.Map, rank, run.Map)
				}
			}
		}
	}
	return nil
}

// mapsOf returns the maps that rank 0 has used, in turn.
func mapsOf(log burdockfakeengine.LockstepLog) []burdockid.MapVersion {
	var maps []burdockid.MapVersion
	for _, run := range log.Ranks[0] {
		if n := len(maps); n == 0 || maps[n-1] != run.Map {
			maps = append(maps, run.Map)
		}
	}
	return maps
}

// awaitMaps waits until a number of maps have been in use.
func awaitMaps(t *testing.T, g *burdockprograms.Group, n int) {
	t.Helper()
	burdockprograms.Eventually(t, fmt.Sprintf("%d maps have been in use", n), func() bool {
		log := g.Log()
		return len(log.Ranks) > 0 && len(mapsOf(log)) >= n
	})
}

// awaitSteps waits until all ranks have gone on by a number of steps.
func awaitSteps(t *testing.T, g *burdockprograms.Group, n burdockid.Step) {
	t.Helper()
	before, _ := burdockprograms.Last(g.Log())
	burdockprograms.Eventually(t, fmt.Sprintf("all ranks ran %d more steps", n), func() bool {
		last, all := burdockprograms.Last(g.Log())
		return all && last >= before+n
	})
}

// controllerOf waits for a rank whose agent controls the group in one of the
// phases, and returns it.
func controllerOf(t *testing.T, g *burdockprograms.Group, phases ...burdockgroup.ControllerPhase) int {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for time.Now().Before(deadline) {
		for rank := range g.Agents {
			state, ok := g.State(rank)
			for _, phase := range phases {
				if ok && state.Controller.Phase == phase {
					return rank
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no agent controls the group in %v", phases)
	return 0
}

// slowOrder is what the engine of the last rank takes for an order in tests that
// bring about a failure in one phase: longer than the ranks' retry, and long
// enough for the test to see each phase.
const slowOrder = 150

// inPhase waits until a change of a group that steps has come to a phase, and
// returns its controller's rank.
func inPhase(t *testing.T, g *burdockprograms.Group, phase burdockgroup.ControllerPhase) int {
	t.Helper()
	awaitMaps(t, g, 1)
	awaitSteps(t, g, 5)
	g.Agents[ranks-1].Upstream.SetFault(t, burdockfault.Setting{DelayMillis: slowOrder, Only: http.MethodPost})
	return controllerOf(t, g, phase)
}

// other returns a rank that is not the one given.
func other(rank int) int { return (rank + 1) % ranks }

// settle waits until the group steps on and changes its map once more, and
// checks that all ranks agree on the map of each step, and that no agent saw
// otherwise.
func settle(t *testing.T, g *burdockprograms.Group) {
	t.Helper()
	g.Agents[ranks-1].Upstream.SetFault(t, burdockfault.Setting{})
	awaitMaps(t, g, len(mapsOf(g.Log()))+1)
	awaitSteps(t, g, 20)
	log := g.Log()
	if err := splitOf(log); err != nil {
		t.Error(err)
	}
	for rank := range g.Agents {
		if state, ok := g.State(rank); !ok || len(state.Faults) > 0 {
			t.Errorf("rank %d: state there %v, faults %v; want none", rank, ok, state.Faults)
		} else if state.Traffic.Orders > 0 {
			t.Logf("rank %d sent as controller: %+v", rank, state.Traffic)
		}
	}
	last, _ := burdockprograms.Last(log)
	t.Logf("%d steps on all ranks, maps %x", last+1, mapsOf(log))
}

// The group steps, and its map changes as popularity drifts, with no failure.
// Its engines start empty, so the first map is one that its controller plans on
// counts of nothing; the next ones follow what the engines report.
func TestMapFollowsPopularity(t *testing.T) {
	bothKinds(t, func(t *testing.T, g *burdockprograms.Group) { awaitMaps(t, g, 3) })
}

// The group's map changes although one engine takes longer to answer than its
// agent's retry. The agent asks again while the answer is on its way; were that
// answer passed over for the later question, the rank would never be seen.
func TestSlowEngineDoesNotStopTheChange(t *testing.T) {
	g := burdockprograms.StartGroup(t, settings(true))
	inPhase(t, g, burdockgroup.ControllerResting)
	awaitMaps(t, g, len(mapsOf(g.Log()))+1)
	settle(t, g)
}
