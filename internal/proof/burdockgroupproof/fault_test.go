package burdockgroupproof

import (
	"net/http"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
)

// longerThanLease is longer than the lease of a group's controller.
const longerThanLease = 13 * time.Second

// The controlling agent is killed while it arms the ranks, and restarts without
// state. No rank has committed, so the next controller disarms them.
func TestControllerKilledWhileArming(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, g *burdockprograms.Group) {
		killController(t, g, burdockgroup.ControllerArming)
	})
}

// The controlling agent is killed while it sends the commit orders. If any rank
// has committed, the next controller must complete the change.
func TestControllerKilledWhileCommitting(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, g *burdockprograms.Group) {
		killController(t, g, burdockgroup.ControllerCommitting)
	})
}

func killController(t *testing.T, g *burdockprograms.Group, phase burdockgroup.ControllerPhase) {
	t.Helper()
	rank := awaitPhase(t, g, phase)
	g.Agents[rank].Kill()
	time.Sleep(time.Second)
	g.StartAgent(t, g.Agents[rank])
}

// The controlling agent is frozen while ranks commit, for longer than its lease.
// Another agent takes over and reads all ranks except the frozen agent's. The
// frozen one then resumes and still believes that it holds the lease.
func TestControllerFrozenPastItsLease(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, g *burdockprograms.Group) {
		rank := awaitPhase(t, g, burdockgroup.ControllerCommitting)
		g.Agents[rank].Freeze()
		time.Sleep(longerThanLease)
		g.Agents[rank].Thaw()
	})
}

// The agent of a rank is replaced while the ranks are being armed. The new agent
// doesn't know which orders the old one accepted, so it must learn the highest
// fencing number before it accepts another.
func TestAgentReplacedWhileArming(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, g *burdockprograms.Group) {
		rank := otherRank(awaitPhase(t, g, burdockgroup.ControllerArming))
		g.Agents[rank].Kill()
		g.StartAgent(t, g.Agents[rank])
	})
}

// The agent of a rank is replaced while ranks commit. The engine that the new
// agent finds may or may not have committed.
func TestAgentReplacedWhileCommitting(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, g *burdockprograms.Group) {
		rank := otherRank(awaitPhase(t, g, burdockgroup.ControllerCommitting))
		g.Agents[rank].Kill()
		g.StartAgent(t, g.Agents[rank])
	})
}

// An engine is replaced by one without a map while the ranks load the next map.
// It joins with the map in use.
func TestEngineReplacedWhileLoading(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, g *burdockprograms.Group) {
		g.ReplaceEngine(t, otherRank(awaitPhase(t, g, burdockgroup.ControllerLoading)))
	})
}

// An engine is replaced while ranks commit. The new engine must join as committed
// and run the steps before the switch with the old map.
func TestEngineReplacedWhileCommitting(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, g *burdockprograms.Group) {
		g.ReplaceEngine(t, otherRank(awaitPhase(t, g, burdockgroup.ControllerCommitting)))
	})
}

// The store fails while the ranks are being armed and stays down for longer than
// the lease. The controller completes the change under its current lease and steps
// down when that expires; the ranks keep running steps.
func TestStoreOutMidChange(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, g *burdockprograms.Group) {
		awaitPhase(t, g, burdockgroup.ControllerArming)
		g.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.Down})
		time.Sleep(longerThanLease)
		awaitSteps(t, g, 20)
		g.Store.SetFault(t, burdockfault.Setting{})
	})
}

// The store fails while the ranks are being armed, then the agent of a rank is
// replaced. The new agent can't read the fencing number from the store and learns
// it from all its peers. If it starts too slowly, the lease expires and the group
// waits until the store is back.
func TestAgentReplacedWhileTheStoreIsOut(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, g *burdockprograms.Group) {
		rank := otherRank(awaitPhase(t, g, burdockgroup.ControllerArming))
		g.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.Down})
		g.Agents[rank].Kill()
		g.StartAgent(t, g.Agents[rank])
		burdockprograms.Eventually(t, "the new agent knows the fencing number", func() bool {
			state, ok := g.State(rank)
			return ok && state.Rank.Highest.Fence > 0
		})
		g.Store.SetFault(t, burdockfault.Setting{})
	})
}

// lateCommitDelayMillis is how long the engine delays each order, in milliseconds.
// With a switch lead of 32 steps it is armed in time, but commits after the switch step.
const lateCommitDelayMillis = 400

// The check of the step logs must detect ranks that use different maps in one
// step. One engine reports that it pauses before the switch step but runs on, and
// it handles orders so slowly that it runs that step with the old map before it
// commits.
func TestCheckSeesASplit(t *testing.T) {
	cfg := settings(false)
	cfg.IgnoreHold = map[int]bool{ranks - 1: true}
	g := burdockprograms.StartGroup(t, cfg)
	awaitMaps(t, g, 1)
	g.Agents[ranks-1].Upstream.SetFault(t, burdockfault.Setting{DelayMillis: lateCommitDelayMillis, Only: http.MethodPost})
	burdockprograms.Eventually(t, "two ranks used different maps in one step", func() bool {
		return mapConflict(g.Log()) != nil
	})
	t.Log(mapConflict(g.Log()))
}
