package burdockrank

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/external/burdockstore"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"go.uber.org/zap"
)

const (
	joinStep     = 20 * time.Millisecond
	joinRanks    = 3
	joinSettling = 30 * time.Second // longer than a lease, a reading and a change take together
)

// joinGroup is a group of engines in lock-step whose agents learn of its ranks at
// different times. It implements LeaseStore.
type joinGroup struct {
	hosts []*Host

	mu      sync.Mutex
	ranks   [joinRanks]int // by agent: number of ranks that it knows
	engines [joinRanks]*joinEngine
	down    bool // the store answers no request
	holder  string
	until   time.Time
	fence   burdockid.Fence
}

// joinEngine is the engine of one rank. Maps are loaded at once.
type joinEngine struct {
	group  *joinGroup
	rank   burdockid.Rank
	status burdockgroup.EngineStatus
	steps  []burdockengine.GroupStep
}

func (e *joinEngine) Order(_ context.Context, _ burdockid.Fence, order burdockgroup.EngineOrder) (burdockgroup.EngineStatus, error) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	s := &e.status
	switch order := order.(type) {
	case burdockgroup.LoadMap:
		if s.Base != order.Map && s.Switch.Map != order.Map {
			s.Spare = order.Map
		}
	case burdockgroup.HoldAt:
		if s.Next <= order.Step {
			s.Held, s.HoldAt = true, order.Step
		}
	case burdockgroup.UseFrom:
		if s.Held && s.HoldAt == order.Step && s.Spare == order.Map {
			s.Switch, s.Spare = burdockgroup.Switch{Map: order.Map, At: order.Step}, 0
		}
	case burdockgroup.Resume:
		if s.Held && s.HoldAt == order.Step && s.Switch == order.Switch {
			s.Held, s.HoldAt = false, 0
		}
	case burdockgroup.BeginWith:
		if s.Base == 0 && s.Spare == order.Map {
			s.Base, s.Spare = order.Map, 0
		}
	}
	return *s, nil
}

func (e *joinEngine) Steps(_ context.Context, from burdockid.Step) (burdockengine.GroupSteps, error) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	steps := burdockengine.GroupSteps{Incarnation: "e"}
	for _, s := range e.steps {
		if s.Step >= from {
			steps.Steps = append(steps.Steps, s)
		}
	}
	return steps, nil
}

func (e *joinEngine) Counts(context.Context) (burdockengine.GroupCounts, error) {
	return burdockengine.GroupCounts{
		Incarnation: "e", Tokens: [][]burdockid.Tokens{{40, 30, 20, 10}}, Slots: 4, ExpertBytes: 1e6, StoreRate: 1e9,
	}, nil
}

// begin runs the next step unless the engine is held, has no map or is ahead of another.
func (e *joinEngine) begin(slowest burdockid.Step) {
	s := &e.status
	if s.Next > slowest || s.Held && s.Next >= s.HoldAt {
		return
	}
	if s.Switch.Map != 0 && s.Next >= s.Switch.At {
		s.Base, s.Switch = s.Switch.Map, burdockgroup.Switch{}
	}
	if s.Base == 0 {
		return
	}
	e.steps = append(e.steps, burdockengine.GroupStep{Step: s.Next, Map: s.Base})
	s.LastStep, s.LastMap = s.Next, s.Base
	s.Next++
}

// run lets the engines run steps. Each begins a step when all have finished the one before.
func (g *joinGroup) run(ctx context.Context) {
	ticker := time.NewTicker(joinStep)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		g.mu.Lock()
		slowest := g.engines[0].status.Next
		for _, e := range g.engines {
			slowest = min(slowest, e.status.Next)
		}
		for _, e := range g.engines {
			e.begin(slowest)
		}
		g.mu.Unlock()
	}
}

func (g *joinGroup) statuses() [joinRanks]burdockgroup.EngineStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	var statuses [joinRanks]burdockgroup.EngineStatus
	for i, e := range g.engines {
		statuses[i] = e.status
	}
	return statuses
}

// Acquire implements LeaseStore.
func (g *joinGroup) Acquire(_ context.Context, name, holder string, ttl burdockclock.Millis) (burdockstore.Lease, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.down:
		return burdockstore.Lease{}, burdockstore.ErrUnavailable.New("the store is down")
	case g.holder != holder && time.Now().Before(g.until):
		return burdockstore.Lease{}, burdockstore.ErrConflict.New("%s holds the lease", g.holder)
	case g.holder != holder:
		g.fence++
	}
	g.holder, g.until = holder, time.Now().Add(ttl.Duration())
	return burdockstore.Lease{Name: name, Holder: holder, Fence: g.fence, TTL: ttl}, nil
}

// Fence implements LeaseStore.
func (g *joinGroup) Fence(context.Context, string) (burdockid.Fence, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return 0, burdockstore.ErrUnavailable.New("the store is down")
	}
	return g.fence, nil
}

// Release implements LeaseStore.
func (g *joinGroup) Release(_ context.Context, _, holder string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return burdockstore.ErrUnavailable.New("the store is down")
	}
	if g.holder == holder {
		g.holder, g.until = "", time.Time{}
	}
	return nil
}

func (g *joinGroup) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
}

// joinDirectory is the Directory of one agent.
type joinDirectory struct {
	group *joinGroup
	rank  burdockid.Rank
}

func (d joinDirectory) Assignment() Assignment {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if int(d.rank) >= d.group.ranks[d.rank] {
		return Assignment{}
	}
	return Assignment{Group: "g", Rank: d.rank, Ranks: d.group.ranks[d.rank]}
}

func (joinDirectory) Agent(_ string, rank burdockid.Rank) string {
	return fmt.Sprintf("10.0.0.%d:80", rank)
}

func (joinDirectory) Refresh(string) {}

func (joinDirectory) Reload(context.Context, string) {}

func (joinDirectory) Experts() burdockprofile.Experts {
	return burdockprofile.Experts{SkewWeight: 1, CostWeight: 1, HoldMillis: burdockclock.Second}
}

// setRanks lets one agent learn how many ranks the group has.
func (g *joinGroup) setRanks(agent, ranks int) {
	g.mu.Lock()
	g.ranks[agent] = ranks
	g.mu.Unlock()
	g.hosts[agent].updateAssignment()
}

func newJoinGroup(t *testing.T) *joinGroup {
	t.Helper()
	g, network := &joinGroup{}, pipeNetwork{}
	for rank := range burdockid.Rank(joinRanks) {
		g.engines[rank] = &joinEngine{group: g, rank: rank}
		directory := joinDirectory{g, rank}
		host := NewHost(burdockid.Upstream(fmt.Sprint("u-", rank)), Deps{
			Clock: burdockclock.Wall(), Engine: g.engines[rank], Store: g, Directory: directory, Peers: network.peers(t), Log: zap.NewNop(),
		})
		mux := http.NewServeMux()
		mux.Handle(burdockwire.NewGroupServiceHandler(host))
		network.serve(t, directory.Agent("g", rank), mux)
		g.hosts = append(g.hosts, host)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go g.run(ctx)
	t.Cleanup(cancel)
	for _, host := range g.hosts {
		t.Cleanup(func() { host.replace(nil) })
	}
	return g
}

// The agents learn of the ranks one by one: two of them form a group and put a map in
// force before they learn of the third, whose engine is empty. The two have begun a step
// with the map and wait for the third, so it must get that map. If the agents dropped its
// content when the number of ranks changed, no one would have it, and the group would
// never run another step.
func TestRankJoinsGroupWithMap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newJoinGroup(t)
		g.setRanks(0, 2)
		g.setRanks(1, 2)
		time.Sleep(joinSettling)
		before := g.statuses()
		if before[0].Base == 0 || before[0].Base != before[1].Base || before[2].Base != 0 || before[0].Next != 1 {
			t.Fatalf("two of three ranks: got %+v, want a map in force at two, which wait for the third after one step", before)
		}
		// No agent holds the lease until all have learned of the third rank, so no
		// controller gives the content to the agents that no longer have it.
		g.setDown(true)
		for agent := range joinRanks {
			g.setRanks(agent, joinRanks)
		}
		g.setDown(false)
		time.Sleep(joinSettling)
		for rank, s := range g.statuses() {
			if s.Next < 100 {
				t.Errorf("rank %d: got %+v, want 100 steps; its controller: %+v", rank, s, g.hosts[rank].member().leadership.state().Events)
			}
		}
		g.checkMaps(t)
	})
}

// Another group may give the version of a map to other content. An agent that is assigned
// to another group must not keep the map as one of that group's.
func TestContentIsNotKeptForAnotherGroup(t *testing.T) {
	old := &member{assignment: Assignment{Group: "g", Ranks: 2}, contents: []mapContent{{version: 7, content: []byte("x")}}}
	for _, test := range []struct {
		want Assignment
		kept int
	}{
		{Assignment{Group: "g", Ranks: 3}, 1},
		{Assignment{Group: "g", Rank: 1, Ranks: 2}, 1},
		{Assignment{Group: "h", Ranks: 2}, 0},
	} {
		if got := len(keptContents(old, test.want)); got != test.kept {
			t.Errorf("%+v: got %d maps, want %d", test.want, got, test.kept)
		}
	}
	if got := len(keptContents(nil, Assignment{Group: "g", Ranks: 2})); got != 0 {
		t.Errorf("without an assignment before: got %d maps, want 0", got)
	}
}

// checkMaps checks that all ranks ran each step with the same map.
func (g *joinGroup) checkMaps(t *testing.T) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, first := range g.engines[0].steps {
		for _, e := range g.engines[1:] {
			if i < len(e.steps) && e.steps[i] != first {
				t.Errorf("rank %d ran %+v, rank 0 %+v", e.rank, e.steps[i], first)
			}
		}
	}
}
