// Package burdockgroupproof injects the failures that a change of a group's expert
// map must survive, with the built programs as separate processes. docs/PROOFS.md
// lists them.
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
	ranks    = 3
	stepTime = 20 * time.Millisecond
	loadTime = time.Second
	// driftSteps is the number of steps, half a minute, in which the popularity of the
	// experts changes in every layer, one layer after the other.
	driftSteps = 1500
	layers     = 8
	// eagerPlacement makes a profile's groups change their map for a small gain.
	eagerPlacement = "[profile.experts]\nskewWeight = 1000.0\ncostWeight = 1.0\nholdMillis = 2000\n"
)

// settings returns the configuration of a group whose expert popularity drifts.
func settings(fenced bool) burdockprograms.GroupConfig {
	return burdockprograms.GroupConfig{
		Ranks: ranks, Step: stepTime, Load: loadTime, Fenced: fenced, DriftEvery: driftSteps, Layers: layers, ProfileExtra: eagerPlacement,
	}
}

// withAndWithoutFencing runs a test with engines that check fencing numbers and with
// engines that ignore them, and checks that the group recovers.
func withAndWithoutFencing(t *testing.T, test func(t *testing.T, g *burdockprograms.Group)) {
	t.Helper()
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%v", fenced), func(t *testing.T) {
			t.Parallel()
			g := burdockprograms.StartGroup(t, settings(fenced))
			test(t, g)
			checkRecovery(t, g)
		})
	}
}

// mapConflict returns an error if a rank ran a step with a different map than rank 0.
func mapConflict(log burdockfakeengine.LockstepLog) error {
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

// usedMaps returns the maps that rank 0 has used, in order.
func usedMaps(log burdockfakeengine.LockstepLog) []burdockid.MapVersion {
	var maps []burdockid.MapVersion
	for _, run := range log.Ranks[0] {
		if n := len(maps); n == 0 || maps[n-1] != run.Map {
			maps = append(maps, run.Map)
		}
	}
	return maps
}

// awaitMaps waits until rank 0 has used n maps.
func awaitMaps(t *testing.T, g *burdockprograms.Group, n int) {
	t.Helper()
	burdockprograms.Eventually(t, fmt.Sprintf("%d maps have been in use", n), func() bool {
		log := g.Log()
		return len(log.Ranks) > 0 && len(usedMaps(log)) >= n
	})
}

// awaitSteps waits until all ranks have run n more steps.
func awaitSteps(t *testing.T, g *burdockprograms.Group, n burdockid.Step) {
	t.Helper()
	before, _ := burdockprograms.Last(g.Log())
	burdockprograms.Eventually(t, fmt.Sprintf("all ranks ran %d more steps", n), func() bool {
		last, all := burdockprograms.Last(g.Log())
		return all && last >= before+n
	})
}

// awaitController waits until the controller of the group is in one of the phases,
// and returns its rank.
func awaitController(t *testing.T, g *burdockprograms.Group, phases ...burdockgroup.ControllerPhase) int {
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
	t.Fatalf("no controller of the group reached one of the phases %v", phases)
	return 0
}

// orderDelayMillis is the delay of each order at the engine of the last rank, in
// milliseconds. It is longer than the agents' retry interval, and long enough for
// a test to observe each phase.
const orderDelayMillis = 150

// awaitPhase waits until the group runs steps and its controller is in the phase, and
// returns the controller's rank. It delays the orders at the last rank's engine.
func awaitPhase(t *testing.T, g *burdockprograms.Group, phase burdockgroup.ControllerPhase) int {
	t.Helper()
	awaitMaps(t, g, 1)
	awaitSteps(t, g, 5)
	g.Agents[ranks-1].Upstream.SetFault(t, burdockfault.Setting{DelayMillis: orderDelayMillis, Only: http.MethodPost})
	return awaitController(t, g, phase)
}

// otherRank returns a rank other than the given one.
func otherRank(rank int) int { return (rank + 1) % ranks }

// checkRecovery removes the engine's delay and waits until the group has changed its map
// once more and run 20 further steps. It checks that all ranks used the same map in each
// step, and that no agent recorded a fault.
func checkRecovery(t *testing.T, g *burdockprograms.Group) {
	t.Helper()
	g.Agents[ranks-1].Upstream.SetFault(t, burdockfault.Setting{})
	awaitMaps(t, g, len(usedMaps(g.Log()))+1)
	awaitSteps(t, g, 20)
	log := g.Log()
	if err := mapConflict(log); err != nil {
		t.Error(err)
	}
	for rank := range g.Agents {
		if state, ok := g.State(rank); !ok || len(state.Faults) > 0 {
			t.Errorf("rank %d: got state %v, faults %v; want the state and no faults", rank, ok, state.Faults)
		} else if state.Traffic.Orders > 0 {
			t.Logf("rank %d sent as controller: %+v", rank, state.Traffic)
		}
	}
	last, _ := burdockprograms.Last(log)
	t.Logf("%d steps on all ranks, maps %x", last+1, usedMaps(log))
}

// Without failures, the map changes as popularity drifts. The engines start without
// a map, so the controller plans the first one without expert counts and the next
// ones from the counts that the engines report.
func TestMapFollowsPopularity(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, g *burdockprograms.Group) { awaitMaps(t, g, 3) })
}

// One engine answers more slowly than its agent's retry interval, so the agent asks
// again before the answer arrives. If it dropped that answer because a newer request
// is pending, it would never learn the rank's state and the map would never change.
func TestSlowEngineDoesNotStopTheChange(t *testing.T) {
	g := burdockprograms.StartGroup(t, settings(true))
	awaitPhase(t, g, burdockgroup.ControllerResting)
	awaitMaps(t, g, len(usedMaps(g.Log()))+1)
	checkRecovery(t, g)
}
