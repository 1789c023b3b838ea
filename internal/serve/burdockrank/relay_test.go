package burdockrank

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockprofile"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"go.uber.org/zap"
)

// idleEngine is an engine that accepts every order and runs no step.
type idleEngine struct{ loaded burdockid.MapVersion }

func (e *idleEngine) Order(_ context.Context, _ burdockid.Fence, order burdockgroup.EngineOrder) (burdockgroup.EngineStatus, error) {
	if load, ok := order.(burdockgroup.LoadMap); ok {
		e.loaded = load.Map
	}
	return burdockgroup.EngineStatus{Next: 1, Base: 1, Spare: e.loaded}, nil
}

func (e *idleEngine) Steps(context.Context, burdockid.Step) (burdockengine.GroupSteps, error) {
	return burdockengine.GroupSteps{}, nil
}

func (e *idleEngine) Counts(context.Context) (burdockengine.GroupCounts, error) {
	return burdockengine.GroupCounts{}, nil
}

// relayGroup holds the agents of a group, each behind its own server.
type relayGroup struct {
	members []*member
	network pipeNetwork
	dead    map[burdockid.Rank]relayAgentFault // how agents fail
}

// relayAgentFault is how an agent fails; "" stands for not at all.
type relayAgentFault string

const (
	agentKilled relayAgentFault = "killed"
	agentFrozen relayAgentFault = "frozen"
)

// Agent implements Directory.
func (g *relayGroup) Agent(_ string, rank burdockid.Rank) string {
	return fmt.Sprintf("10.0.0.%d:80", rank)
}

// Assignment implements Directory.
func (g *relayGroup) Assignment() Assignment { return Assignment{} }

// Refresh implements Directory.
func (g *relayGroup) Refresh(string) {}

// Reload implements Directory.
func (g *relayGroup) Reload(context.Context, string) {}

// Experts implements Directory.
func (g *relayGroup) Experts() burdockprofile.Experts { return burdockprofile.Experts{} }

func newRelayGroup(t *testing.T, ranks int) *relayGroup {
	t.Helper()
	g := &relayGroup{network: pipeNetwork{}, dead: map[burdockid.Rank]relayAgentFault{}}
	for rank := range burdockid.Rank(ranks) {
		deps := Deps{Clock: burdockclock.Wall(), Engine: &idleEngine{}, Directory: g, Peers: g.network.peers(t), Log: zap.NewNop()}
		deps.Tuning.setDefaults()
		host := NewHost("u", deps)
		m := newMember(Assignment{Group: "g", Rank: rank, Ranks: ranks}, "u", deps, rand.New(rand.NewPCG(1, uint64(rank))), nil)
		host.current = m
		m.done.Add(1)
		go m.engine.loop()
		t.Cleanup(func() { m.cancel(); m.done.Wait() })
		m.handle(burdockgroup.FenceFromStore{Fence: 1})
		mux := http.NewServeMux()
		mux.Handle(burdockwire.NewGroupServiceHandler(host))
		g.members = append(g.members, m)
		g.network.serve(t, g.Agent("g", rank), g.faulty(rank, mux))
	}
	return g
}

// faulty wraps an agent's handler so that it fails as g.dead says.
func (g *relayGroup) faulty(rank burdockid.Rank, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch g.dead[rank] {
		case agentKilled:
			panic(http.ErrAbortHandler)
		case agentFrozen:
			// The server notices that the caller has gone only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		h.ServeHTTP(w, r)
	})
}

// send sends all ranks but the first an order through branches, and returns the reports
// and failures by rank.
func (g *relayGroup) send(t *testing.T, common *burdockwire.GroupRelayRequest) (map[burdockid.Rank]*burdockwire.GroupReport, map[burdockid.Rank]string) {
	t.Helper()
	common.Group, common.Degree = "g", 3
	if common.PatienceMillis == 0 {
		common.PatienceMillis = 5000
	}
	var orders []*burdockwire.GroupRelayOrder
	for rank := 1; rank < len(g.members); rank++ {
		incarnation := string(g.members[rank].incarnation)
		orders = append(orders, &burdockwire.GroupRelayOrder{To: int32(rank), Seq: uint64(rank), Incarnation: incarnation, Agent: g.Agent("g", burdockid.Rank(rank))})
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	results := make(chan branchResult, len(orders))
	parts := partition(orders, int(common.Degree))
	for _, part := range parts {
		go branch{member: g.members[0], common: common, orders: part, results: results}.run(ctx)
	}
	reports, failures := map[burdockid.Rank]*burdockwire.GroupReport{}, map[burdockid.Rank]string{}
	for active := len(parts); active > 0; {
		select {
		case got := <-results:
			for _, report := range got.res.GetReports() {
				reports[burdockid.Rank(report.GetFrom())] = report
			}
			for _, failed := range got.res.GetFailures() {
				failures[burdockid.Rank(failed.GetRank())] = failed.GetReason()
			}
			if got.ended {
				active--
			}
		case <-ctx.Done():
			t.Fatal("the branches did not end")
		}
	}
	return reports, failures
}

// read has all ranks but the first read with a fence. Like a controller, it asks again while a rank is
// still learning its engine's state.
func (g *relayGroup) read(t *testing.T, fence uint64) {
	t.Helper()
	for range 1000 {
		reports, failures := g.send(t, &burdockwire.GroupRelayRequest{Fence: fence, Kind: burdockwire.GroupOrderKind_GROUP_ORDER_KIND_READ})
		if len(failures) > 0 {
			t.Fatalf("reads that failed: got %v, want none", failures)
		}
		if !anyRefused(t, reports) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("a rank goes on refusing to read")
}

// anyRefused reports whether a rank has refused to read as it does for a while after its start.
func anyRefused(t *testing.T, reports map[burdockid.Rank]*burdockwire.GroupReport) bool {
	t.Helper()
	refused := false
	for rank, report := range reports {
		switch burdockgroup.Refusal(report.GetRefusal()) {
		case burdockgroup.RefusalNone:
		case burdockgroup.RefusalLearning, burdockgroup.RefusalBusy:
			refused = true
		default:
			t.Fatalf("rank %d: got refusal %q to a read, want none", rank, report.GetRefusal())
		}
	}
	return refused
}

// A large group is stalled while one rank lacks its order. A round is relayed by agents
// some of which are killed or frozen. Every other rank must still get its order, and the
// controller must learn which ranks did not. Each frozen agent may delay the ranks behind
// it by the request's patience, and no longer.
//
// The time is simulated: on a busy machine, live agents exceed any patience that is short
// enough for a test, and a live agent that exceeds it is rightly bypassed.
func TestRelayBypassesDeadAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRelayGroup(t, 40)
		for rank, fault := range map[burdockid.Rank]relayAgentFault{
			1: agentKilled, 2: agentKilled, 5: agentKilled, 14: agentFrozen, 15: agentFrozen, 20: agentKilled, 27: agentFrozen, 39: agentKilled,
		} {
			g.dead[rank] = fault
		}
		const patience = 400
		began := time.Now()
		reports, failures := g.send(t, &burdockwire.GroupRelayRequest{Fence: 2, Kind: burdockwire.GroupOrderKind_GROUP_ORDER_KIND_READ, PatienceMillis: patience})
		// Ranks 14 and 15 are frozen and come first in the same branch, one after the other.
		if got, want := time.Since(began), 2*patience*time.Millisecond; got != want {
			t.Errorf("the round took %v, want %v", got, want)
		}
		for rank := burdockid.Rank(1); rank < 40; rank++ {
			_, reported := reports[rank]
			_, failed := failures[rank]
			if dead := g.dead[rank] != ""; reported == dead || failed != dead {
				t.Errorf("rank %d, %q: got a report %t and a failure %t", rank, g.dead[rank], reported, failed)
			}
		}
	})
}

// A controller that lost its lease sends a round through relays. Each rank knows the
// fence of its successor and refuses the order, as it would refuse a direct one.
func TestRelayedOrderWithOldFenceIsRefused(t *testing.T) {
	g := newRelayGroup(t, 10)
	g.read(t, 7)
	reports, _ := g.send(t, &burdockwire.GroupRelayRequest{Fence: 6, Kind: burdockwire.GroupOrderKind_GROUP_ORDER_KIND_ARM, Map: 9, At: 12})
	for rank := burdockid.Rank(1); rank < 10; rank++ {
		if got, want := reports[rank].GetRefusal(), string(burdockgroup.RefusalOldNumber); got != want {
			t.Errorf("rank %d: got refusal %q, want %q", rank, got, want)
		}
	}
}

// The next map is sent as its difference from the map in use. One agent has just started
// and doesn't know the map in use. It must not load a map that it can't reconstruct, and
// the controller must learn that it needs the full map.
func TestMapDifferenceNeedsKnownBase(t *testing.T) {
	g := newRelayGroup(t, 12)
	shape := burdockexpert.Shape{Layers: 2, Ranks: 12, Experts: 30}
	base, next := burdockexpert.NewMap(shape), burdockexpert.NewMap(shape)
	for l := range burdockid.Layer(shape.Layers) {
		for e := range burdockid.Expert(shape.Experts) {
			base.Add(l, burdockid.Rank(int(e)%shape.Ranks), e)
			next.Add(l, burdockid.Rank((int(e)+int(e)%5)%shape.Ranks), e)
		}
	}
	content, err := base.Encode()
	if err != nil {
		t.Fatal(err)
	}
	difference, err := next.Difference(base)
	if err != nil {
		t.Fatal(err)
	}
	const withoutBase = 4
	for rank, m := range g.members {
		if rank != withoutBase {
			m.mu.Lock()
			m.storeContent(burdockgroup.Load{Map: 50, Content: content})
			m.mu.Unlock()
		}
	}
	g.read(t, 2)
	reports, failures := g.send(t, &burdockwire.GroupRelayRequest{
		Fence: 3, Kind: burdockwire.GroupOrderKind_GROUP_ORDER_KIND_LOAD, Map: 51, Content: difference, Base: 50, Digest: next.Digest(),
	})
	for rank := burdockid.Rank(1); rank < 12; rank++ {
		if rank == withoutBase {
			if failures[rank] == "" || g.members[rank].content(51) != nil {
				t.Errorf("rank %d: got no failure, or a map that it can't reconstruct", rank)
			}
			continue
		}
		if got, want := reports[rank].GetStatus().GetSpare(), uint64(51); got != want {
			t.Errorf("rank %d: got map %d loaded, want %d", rank, got, want)
		}
		if got, err := burdockexpert.Decode(g.members[rank].content(51)); err != nil || !got.Equal(next) {
			t.Errorf("rank %d: got another map than the next one, or %v", rank, err)
		}
	}
}

func TestMalformedRelayIsRefused(t *testing.T) {
	g := newRelayGroup(t, 3)
	order := func(to ...int32) []*burdockwire.GroupRelayOrder {
		var list []*burdockwire.GroupRelayOrder
		for _, rank := range to {
			list = append(list, &burdockwire.GroupRelayOrder{To: rank, Agent: g.Agent("g", 0)})
		}
		return list
	}
	tests := []struct {
		name string
		req  *burdockwire.GroupRelayRequest
	}{
		{"no orders", &burdockwire.GroupRelayRequest{Group: "g", Degree: 2}},
		{"no degree", &burdockwire.GroupRelayRequest{Group: "g", Orders: order(1, 2)}},
		{"another rank's first", &burdockwire.GroupRelayRequest{Group: "g", Degree: 2, Orders: order(2, 1)}},
		{"a rank twice", &burdockwire.GroupRelayRequest{Group: "g", Degree: 2, Orders: order(1, 2, 2)}},
		{"a rank beyond the group", &burdockwire.GroupRelayRequest{Group: "g", Degree: 2, Orders: order(1, 3)}},
		{"another group", &burdockwire.GroupRelayRequest{Group: "h", Degree: 2, Orders: order(1)}},
	}
	client := burdockwire.NewGroupServiceClient(g.members[0].deps.Peers.Client, "http://"+g.Agent("g", 1))
	for _, test := range tests {
		stream, err := client.Relay(context.Background(), connect.NewRequest(test.req))
		if err == nil {
			if stream.Receive() {
				t.Errorf("%s: got an answer", test.name)
			}
			err = stream.Err()
		}
		if code := connect.CodeOf(err); code != connect.CodeInvalidArgument && code != connect.CodeUnavailable {
			t.Errorf("%s: got %v, want a refusal", test.name, err)
		}
	}
}

// The controller's traffic for one map change, by the size of the group: the rounds to
// load, hold, commit and release, through the tree that the link calls for. Whole maps to
// each agent would be 1.6 MB with 192 ranks. A link of 6 Mbit/s needs two seconds for
// that, while the responses of the engine on the same VM wait.
func TestControllerTrafficOfAMapChange(t *testing.T) {
	for _, test := range []struct{ ranks, difference, maxBytes int }{
		{16, 100, 64 << 10}, {72, 450, 64 << 10}, {192, 1100, 64 << 10}, {512, 3000, 160 << 10},
	} {
		m := &member{deps: Deps{Tuning: Tuning{LinkBytesPerMilli: 750}}}
		bytes := 0.0
		for _, content := range []int{test.difference, 0, 0, 0} {
			cost := m.relayCost(content)
			n := test.ranks - 1
			branches := cost.branches(n)
			bytes += float64(min(branches, n))*cost.message + float64(n)*cost.order
		}
		if bytes > float64(test.maxBytes) {
			t.Errorf("%d ranks: got %.0f bytes, want at most %d", test.ranks, bytes, test.maxBytes)
		}
	}
}

func TestEachAgentGetsOneOrder(t *testing.T) {
	for _, n := range []int{1, 2, 3, 15, 71, 191, 511} {
		for _, branches := range []int{1, 2, 6, 14, 600} {
			if got, want := reached(n, branches), n; got != want {
				t.Errorf("%d agents in %d branches: got %d orders, want %d", n, branches, got, want)
			}
		}
	}
}

// reached counts the agents that get an order.
func reached(n, branches int) int {
	list := make([]int, n)
	total := 0
	for _, part := range partition(list, branches) {
		total += 1 + reached(len(part)-1, branches)
	}
	return total
}

// A round through the chosen tree takes no longer than direct calls, and only a fraction
// of their time with hundreds of agents. Few agents are called directly.
func TestTreeIsFasterThanDirectCalls(t *testing.T) {
	for _, test := range []struct {
		n     int
		ratio float64 // maximum fraction of the time of direct calls
	}{{2, 1}, {15, 1}, {71, 0.6}, {191, 0.35}, {511, 0.25}} {
		cost := (&member{deps: Deps{Tuning: Tuning{LinkBytesPerMilli: 750}}}).relayCost(1000)
		branches := cost.branches(test.n)
		if got, limit := cost.roundTime(test.n, branches), test.ratio*cost.roundTime(test.n, test.n); got > limit {
			t.Errorf("%d agents in %d branches: got %.0f ms, want at most %.0f ms", test.n, branches, got, limit)
		}
	}
	unknown := (&member{}).relayCost(1000)
	if got, want := unknown.branches(191), 191; got != want {
		t.Errorf("without a known link: got %d branches, want %d, direct calls", got, want)
	}
}

// BenchmarkRound reports the time of a round in the cost model, in milliseconds, for
// direct calls and through the tree.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{16, 72, 192, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cost := (&member{deps: Deps{Tuning: Tuning{LinkBytesPerMilli: 750}}}).relayCost(1000)
			branches := 0
			for b.Loop() {
				branches = cost.branches(n - 1)
			}
			b.ReportMetric(cost.roundTime(n-1, n-1), "each-ms")
			b.ReportMetric(cost.roundTime(n-1, branches), "tree-ms")
		})
	}
}
