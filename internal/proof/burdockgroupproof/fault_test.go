package burdockgroupproof

import (
	"net/http"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
	"burdockbend.example/burdockbend/internal/standin/burdockfault"
)

// pastLease is longer than a group's lease lasts.
const pastLease = 13 * time.Second

// The group steps on with one map. The agent that controls it is killed while
// the ranks are being armed, and comes back empty. None has committed, so the
// next controller takes the arms back.
func TestControllerKilledWhileArming(t *testing.T) {
	bothKinds(t, func(t *testing.T, g *burdockprograms.Group) {
		killController(t, g, burdockgroup.ControllerArming)
	})
}

// The same while ranks are told to commit: some have and some have not, and the
// next controller has to go forward if any has.
func TestControllerKilledWhileCommitting(t *testing.T) {
	bothKinds(t, func(t *testing.T, g *burdockprograms.Group) {
		killController(t, g, burdockgroup.ControllerCommitting)
	})
}

func killController(t *testing.T, g *burdockprograms.Group, phase burdockgroup.ControllerPhase) {
	t.Helper()
	rank := inPhase(t, g, phase)
	g.Agents[rank].Kill()
	time.Sleep(time.Second)
	g.StartAgent(t, g.Agents[rank])
}

// The group steps on with one map. The agent that controls it is frozen while
// ranks commit, past its lease; another one takes over and reads all ranks but
// the frozen one's. Then it wakes in the belief that it still holds the lease.
func TestControllerFrozenPastItsLease(t *testing.T) {
	bothKinds(t, func(t *testing.T, g *burdockprograms.Group) {
		rank := inPhase(t, g, burdockgroup.ControllerCommitting)
		g.Agents[rank].Freeze()
		time.Sleep(pastLease)
		g.Agents[rank].Thaw()
	})
}

// The group steps on with one map. The agent beside a rank is replaced while
// the ranks are being armed. The new one has forgotten which orders it has
// taken, and learns the fencing number before it takes another.
func TestAgentReplacedWhileArming(t *testing.T) {
	bothKinds(t, func(t *testing.T, g *burdockprograms.Group) {
		rank := other(inPhase(t, g, burdockgroup.ControllerArming))
		g.Agents[rank].Kill()
		g.StartAgent(t, g.Agents[rank])
	})
}

// The same while ranks commit: the new agent finds an engine that may have
// committed, or not yet.
func TestAgentReplacedWhileCommitting(t *testing.T) {
	bothKinds(t, func(t *testing.T, g *burdockprograms.Group) {
		rank := other(inPhase(t, g, burdockgroup.ControllerCommitting))
		g.Agents[rank].Kill()
		g.StartAgent(t, g.Agents[rank])
	})
}

// The group steps on with one map. An engine is replaced by an empty one while
// the ranks load the next map; it is brought in with the map in use.
func TestEngineReplacedWhileLoading(t *testing.T) {
	bothKinds(t, func(t *testing.T, g *burdockprograms.Group) {
		g.ReplaceEngine(t, other(inPhase(t, g, burdockgroup.ControllerLoading)))
	})
}

// The same while ranks commit: the new engine has to come in as committed, and
// to run the steps before the change with the map before it.
func TestEngineReplacedWhileCommitting(t *testing.T) {
	bothKinds(t, func(t *testing.T, g *burdockprograms.Group) {
		g.ReplaceEngine(t, other(inPhase(t, g, burdockgroup.ControllerCommitting)))
	})
}

// The group steps on while the store is out for longer than the lease. The
// store goes out while the ranks are being armed; the controller ends the
// change under the lease that it has, and steps down when that lapses.
func TestStoreOutMidChange(t *testing.T) {
	bothKinds(t, func(t *testing.T, g *burdockprograms.Group) {
		inPhase(t, g, burdockgroup.ControllerArming)
		g.Store.SetFault(t, burdockfault.Setting{Mode: burdockfault.Down})
		time.Sleep(pastLease)
		awaitSteps(t, g, 20)
		g.Store.SetFault(t, burdockfault.Setting{})
	})
}

// The group steps on with one map. The store goes out while the ranks are being
// armed, and then the agent beside a rank is replaced. The new one can't ask the
// store for the fencing number; it learns it from all its peers. If it were slow
// to start, the lease would lapse and the group wait until the store is back.
func TestAgentReplacedWhileTheStoreIsOut(t *testing.T) {
	bothKinds(t, func(t *testing.T, g *burdockprograms.Group) {
		rank := other(inPhase(t, g, burdockgroup.ControllerArming))
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

// tooSlowOrder is what the engine takes for an order that is armed in time with
// a lead of 32 steps, and told to commit after the step of the change has come.
const tooSlowOrder = 400

// The check of the step logs fails when a group does split. One engine says
// that it is held before the step of a change and runs on. It is so slow to
// take orders that it has run that step, with the old map, when it commits.
func TestCheckSeesASplit(t *testing.T) {
	cfg := settings(false)
	cfg.IgnoreHold = map[int]bool{ranks - 1: true}
	g := burdockprograms.StartGroup(t, cfg)
	awaitMaps(t, g, 1)
	g.Agents[ranks-1].Upstream.SetFault(t, burdockfault.Setting{DelayMillis: tooSlowOrder, Only: http.MethodPost})
	burdockprograms.Eventually(t, "two ranks used different maps in one step", func() bool {
		return splitOf(g.Log()) != nil
	})
	t.Log(splitOf(g.Log()))
}
