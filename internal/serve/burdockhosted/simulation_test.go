package burdockhosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

// fakeGroup simulates the platform's side of a group: engines that run steps together,
// never compare their maps, and may leave an order unanswered and carry it out seconds
// later.
type fakeGroup struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     burdockclock.Millis
	step    burdockid.Step
	ranks   []*fakeRank
	faults  bool
	delayed []delayedEngineOrder
	used    map[int64]bool // maps used in some step
}

type delayedEngineOrder struct {
	at         burdockclock.Millis
	rank       *fakeRank
	orderCount int64
	order      RankOrder
}

type fakeRank struct {
	group      *fakeGroup
	number     int
	orders     int64
	version    int64 // map in use
	maxVersion int64
	prepared   int64
	readyAt    burdockclock.Millis // of prepared
	armed      int64
	armedStep  burdockid.Step
	held       bool
	heldStep   burdockid.Step
}

// runStep runs the next step unless a rank holds it, and checks that all ranks use the
// same map in it.
func (g *fakeGroup) runStep() {
	next := g.step + 1
	for _, r := range g.ranks {
		if r.held && r.heldStep == next {
			return
		}
	}
	g.step = next
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == next {
			r.version, r.armed, r.prepared = r.armed, 0, 0
		}
	}
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.t.Fatalf("seed %d: step %d: rank 0 uses map %d and rank %d map %d", g.seed, next, g.ranks[0].version, r.number, r.version)
		}
	}
	g.used[g.ranks[0].version] = true
}

func (g *fakeGroup) applyDelayed() {
	due := slices.Clone(g.delayed)
	g.delayed = slices.DeleteFunc(g.delayed, func(l delayedEngineOrder) bool { return l.at <= g.now })
	for _, l := range due {
		if l.at <= g.now {
			_ = l.rank.apply(l.orderCount, l.order) // refused if another order came first
		}
	}
}

// Report implements Rank.
func (r *fakeRank) Report(context.Context) (RankReport, error) {
	report := RankReport{
		Group: "g", Epoch: 1, Rank: burdockid.Rank(r.number), Ranks: len(r.group.ranks), Open: true,
		OrderCount: r.orders, Step: r.group.step, Map: r.version, ArmedMap: r.armed, ArmedStep: r.armedStep,
		Held: r.held, HeldStep: r.heldStep,
	}
	if r.group.now >= r.readyAt {
		report.Prepared = r.prepared
	}
	return report, nil
}

// Counts implements Rank.
func (r *fakeRank) Counts(context.Context) (int64, []burdockid.Tokens, error) { return 1, nil, nil }

// Held implements Rank.
func (r *fakeRank) Held(context.Context) (int64, int64, [][]burdockid.Expert, error) {
	return 1, r.version, nil, nil
}

// Order implements Rank.
func (r *fakeRank) Order(_ context.Context, _, orderCount int64, order RankOrder) error {
	g := r.group
	if !g.faults || g.random.Float64() > 0.25 {
		return r.apply(orderCount, order)
	}
	if g.random.Float64() < 0.4 {
		_ = r.apply(orderCount, order) // the answer is lost
	} else {
		at := g.now + burdockclock.Millis(2000+g.random.IntN(10_000))
		g.delayed = append(g.delayed, delayedEngineOrder{at: at, rank: r, orderCount: orderCount, order: order})
	}
	return ErrNoAnswer.New("no answer")
}

func (r *fakeRank) apply(orderCount int64, order RankOrder) error {
	valid := orderCount == r.orders
	switch o := order.(type) {
	case Prepare:
		valid = valid && o.Version > r.maxVersion && r.armed == 0
		if valid {
			r.maxVersion, r.prepared, r.readyAt = o.Version, o.Version, r.group.now+100
		}
	case Arm:
		valid = valid && r.prepared == o.Version && r.group.now >= r.readyAt && o.Step > r.group.step
		if valid {
			r.armed, r.armedStep = o.Version, o.Step
		}
	case Disarm:
		valid = valid && r.armed == o.Version
		if valid {
			r.armed = 0
		}
	case Hold:
		valid = valid && !r.held && o.Step > r.group.step
		if valid {
			r.held, r.heldStep = true, o.Step
		}
	case Resume:
		valid = valid && r.held && r.heldStep == o.Step
		if valid {
			r.held = false
		}
	}
	if !valid {
		return ErrRefused.New("%#v", order)
	}
	r.orders++
	return nil
}

// agentModel is the agent of one rank: its state machine and its engine.
type agentModel struct {
	rank   *burdockgroup.Rank
	engine *engine
	frozen bool
}

// remoteRank is a rank as seen from another VM: its reports are outdated.
type remoteRank struct {
	*fakeRank
	reports []RankReport // newest last; each is returned reportAge after it was recorded
	at      []burdockclock.Millis
}

// reportAge is the age of a report on another VM.
const reportAge = 230 * burdockclock.Millis(1)

// record keeps the current report for later.
func (r *remoteRank) record() {
	report, _ := r.fakeRank.Report(context.Background())
	r.reports, r.at = append(r.reports, report), append(r.at, r.group.now)
	for len(r.at) > 1 && r.at[1] <= r.group.now-reportAge {
		r.reports, r.at = r.reports[1:], r.at[1:]
	}
}

// Report implements Rank.
func (r *remoteRank) Report(ctx context.Context) (RankReport, error) {
	if len(r.reports) == 0 {
		return r.fakeRank.Report(ctx)
	}
	return r.reports[0], nil
}

// proxyModel controls one engine from the VM of a controller.
type proxyModel struct {
	rank   *burdockgroup.Rank
	engine *engine
}

// simulation runs controllers and agents on a fakeGroup.
type simulation struct {
	*fakeGroup
	agents       []*agentModel
	remoteRanks  []*remoteRank
	proxies      [][]*proxyModel // by controller and rank; nil while orders go to the agent
	remoteOrders bool            // engines also take orders from the controller's VM
	controllers  []*burdockgroup.Controller
	paused       []bool // by controller
	// withoutStore makes each controller continue without the store until it learns of a
	// newer one. presumed holds the lease that each controller presumes to hold; zero for
	// none.
	withoutStore bool
	// killsAll kills all agents at once now and then. killedFence is the fencing number
	// of the lease that the latest of these kills has left without a holder.
	killsAll    bool
	killedFence burdockid.Fence
	presumed    []burdockgroup.Lease
	messages    []message
	idleUntil   burdockclock.Millis // until then there are no requests, so no steps
	mapsInForce int
}

// message is an order to an agent or a report to a controller that has yet to arrive.
type message struct {
	at         burdockclock.Millis
	controller int
	order      *burdockgroup.Order
	report     *burdockgroup.Report
}

func newSimulation(t *testing.T, seed uint64, ranks int) *simulation {
	s := &simulation{fakeGroup: &fakeGroup{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), faults: true, used: map[int64]bool{}}}
	spec := func() *burdocksite.Engine { return &burdocksite.Engine{Layers: 1, Experts: 4, ExpertSlots: 2} }
	for i := range ranks {
		r := &fakeRank{group: s.fakeGroup, number: i}
		s.ranks = append(s.ranks, r)
		s.agents = append(s.agents, &agentModel{engine: &engine{rank: r, spec: spec, epoch: 1, speed: newEngineSpeed(zap.NewNop())}})
		s.restart(i)
	}
	for _, r := range s.ranks {
		s.remoteRanks = append(s.remoteRanks, &remoteRank{fakeRank: r})
	}
	s.proxies = make([][]*proxyModel, 2)
	s.controllers = make([]*burdockgroup.Controller, 2)
	s.paused, s.presumed = make([]bool, 2), make([]burdockgroup.Lease, 2)
	for c := range s.controllers {
		s.start(c)
	}
	return s
}

// start replaces a controller with a new one.
func (s *simulation) start(c int) {
	cfg := burdockgroup.DefaultControllerConfig(len(s.ranks))
	tuning(0).AdjustController(&cfg)
	s.controllers[c], s.proxies[c] = burdockgroup.NewController(cfg), make([]*proxyModel, len(s.ranks))
	s.paused[c], s.presumed[c] = false, burdockgroup.Lease{}
}

// killAll replaces all agents, and the controllers with them.
func (s *simulation) killAll() {
	s.killedFence = s.fence()
	s.messages = nil
	for i := range s.agents {
		s.agents[i].frozen = false
		s.restart(i)
	}
	for c := range s.controllers {
		s.start(c)
	}
}

// restart replaces an agent with one that has no memory of the old one's state.
func (s *simulation) restart(i int) {
	cfg := burdockgroup.DefaultRankConfig(burdockid.Rank(i), len(s.ranks), burdockid.NewIncarnation())
	s.agents[i].rank = burdockgroup.NewRank(cfg)
	s.agents[i].engine.loading, s.agents[i].engine.failed = 0, 0
	s.handleAgentOutputs(i, s.agents[i].rank.Handle(s.now, burdockgroup.FenceFromStore{Fence: 1}))
}

func (s *simulation) delay() burdockclock.Millis {
	if s.faults && s.random.Float64() < 0.03 {
		return burdockclock.Millis(500 + s.random.IntN(4000))
	}
	return burdockclock.Millis(1 + s.random.IntN(15))
}

// handleAgentOutputs carries out what an agent's state machine returned.
func (s *simulation) handleAgentOutputs(i int, outs []burdockgroup.RankOutput) {
	for _, out := range outs {
		switch out := out.(type) {
		case burdockgroup.OrderEngine:
			status, err := s.agents[i].engine.Order(context.Background(), out.Fence, out.Order)
			s.handleAgentOutputs(i, s.agents[i].rank.Handle(s.now, burdockgroup.EngineAnswered{Ticket: out.Ticket, Status: status, Failed: err != nil}))
		case burdockgroup.SendReport:
			for c := range s.controllers {
				report := out.Report
				s.messages = append(s.messages, message{at: s.now + s.delay(), controller: c, report: &report})
			}
		case burdockgroup.NotifyWaiting:
			for c := range s.controllers {
				s.handleInput(c, burdockgroup.RankWaiting(out))
			}
		}
	}
}

// handleInput passes an input to a controller and sends what it returns.
func (s *simulation) handleInput(c int, in burdockgroup.ControllerInput) {
	if s.paused[c] {
		return
	}
	for _, out := range s.controllers[c].Handle(s.now, in) {
		switch out := out.(type) {
		case burdockgroup.SendOrder:
			if s.faults && s.random.Float64() < 0.05 {
				continue // lost
			}
			order := out.Order
			s.messages = append(s.messages, message{at: s.now + s.delay(), controller: c, order: &order})
		case burdockgroup.MapInForce:
			s.mapsInForce++
		case burdockgroup.SteppedDown:
			s.presumed[c] = burdockgroup.Lease{}
		}
	}
}

func (s *simulation) deliver() {
	due := slices.Clone(s.messages)
	s.messages = slices.DeleteFunc(s.messages, func(l message) bool { return l.at <= s.now })
	for _, l := range due {
		switch {
		case l.at > s.now:
		case l.order != nil:
			s.deliverOrder(l.controller, *l.order)
		default:
			s.handleInput(l.controller, burdockgroup.ReportReceived{Report: *l.report})
		}
	}
}

// deliverOrder passes an order to the rank's agent. With remoteOrders it goes to the
// controller's proxy if the agent is frozen, and sometimes if the agent is only slow;
// then the agent may carry it out as well.
func (s *simulation) deliverOrder(controller int, order burdockgroup.Order) {
	i := int(order.To)
	frozen := s.agents[i].frozen
	unresponsive := s.remoteOrders && (frozen || s.faults && s.random.Float64() < 0.1)
	if !frozen && (!unresponsive || s.random.Float64() < 0.5) {
		s.handleAgentOutputs(i, s.agents[i].rank.Handle(s.now, burdockgroup.OrderReceived{Order: order}))
	}
	if !unresponsive {
		if !frozen {
			s.proxies[controller][i] = nil
		}
		return
	}
	p := s.proxies[controller][i]
	if p == nil {
		spec := func() *burdocksite.Engine { return &burdocksite.Engine{Layers: 1, Experts: 4, ExpertSlots: 2} }
		cfg := burdockgroup.DefaultRankConfig(order.To, len(s.ranks), burdockid.NewIncarnation())
		p = &proxyModel{rank: burdockgroup.NewRank(cfg), engine: &engine{rank: s.remoteRanks[i], spec: spec, epoch: 1, speed: newEngineSpeed(zap.NewNop())}}
		s.proxies[controller][i] = p
	}
	s.handleProxyOutputs(p, controller, p.rank.Handle(s.now, burdockgroup.FenceFromStore{Fence: order.Number.Fence}))
	s.handleProxyOutputs(p, controller, p.rank.Handle(s.now, burdockgroup.RankTick{}))
	s.handleProxyOutputs(p, controller, p.rank.Handle(s.now, burdockgroup.OrderReceived{Order: order}))
}

// handleProxyOutputs carries out what a proxy's state machine returned.
func (s *simulation) handleProxyOutputs(p *proxyModel, controller int, outs []burdockgroup.RankOutput) {
	for _, out := range outs {
		switch out := out.(type) {
		case burdockgroup.OrderEngine:
			status, err := p.engine.Order(context.Background(), out.Fence, out.Order)
			s.handleProxyOutputs(p, controller, p.rank.Handle(s.now, burdockgroup.EngineAnswered{Ticket: out.Ticket, Status: status, Failed: err != nil}))
		case burdockgroup.SendReport:
			report := out.Report
			s.messages = append(s.messages, message{at: s.now + s.delay() + reportAge, controller: controller, report: &report})
		}
	}
}

// injectFaults freezes, resumes and replaces agents and controllers.
func (s *simulation) injectFaults() {
	if s.now >= s.idleUntil && s.random.IntN(80) == 0 {
		s.idleUntil = s.now + burdockclock.Millis(s.random.IntN(10_000))
	}
	if s.killsAll && s.random.IntN(60) == 0 {
		s.killAll()
	}
	switch i := s.random.IntN(len(s.agents)); s.random.IntN(60) {
	case 0:
		s.agents[i].frozen = !s.agents[i].frozen
	case 1:
		s.restart(i)
	case 2:
		c := s.random.IntN(len(s.controllers))
		s.paused[c] = !s.paused[c]
	}
}

func (s *simulation) content() []byte {
	m := burdockexpert.NewMap(burdockexpert.Shape{Layers: 1, Ranks: len(s.ranks), Experts: 4})
	for e := range 4 {
		m.Add(0, burdockid.Rank(s.random.IntN(len(s.ranks))), burdockid.Expert(e))
	}
	content, err := m.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	return content
}

// run simulates the time up to until, in steps of 10 ms.
func (s *simulation) run(until burdockclock.Millis) {
	for ; s.now < until; s.now += 10 {
		s.applyDelayed()
		for _, r := range s.remoteRanks {
			r.record()
		}
		s.deliver()
		if s.now%40 == 0 && s.now >= s.idleUntil {
			s.runStep()
		}
		if s.now%50 == 0 {
			for i, a := range s.agents {
				if !a.frozen {
					s.handleAgentOutputs(i, a.rank.Handle(s.now, burdockgroup.RankTick{}))
				}
			}
			for c := range s.controllers {
				s.handleInput(c, burdockgroup.ControllerTick{})
			}
			if s.faults {
				s.injectFaults()
			}
		}
		if s.now%400 == 0 {
			s.renewLeases()
		}
		if s.now%700 == 0 {
			s.handleInput(s.leaseHolder(), burdockgroup.MapWanted{Content: s.content()})
		}
	}
}

// leaseHolder returns the controller that holds the lease. It changes every four seconds.
func (s *simulation) leaseHolder() int {
	return int(s.now/(4*burdockclock.Second)) % len(s.controllers)
}

func (s *simulation) fence() burdockid.Fence {
	return burdockid.Fence(10 + s.now/(4*burdockclock.Second))
}

func (s *simulation) renewLeases() {
	fence := s.fence()
	if fence == s.killedFence {
		return // the lease has yet to lapse
	}
	until := (s.now/(4*burdockclock.Second) + 1) * 4 * burdockclock.Second
	held := burdockgroup.Lease{Fence: fence, Until: min(s.now+leaseTTL, until)}
	for c, lease := range s.presumed {
		if c != s.leaseHolder() && !s.paused[c] && s.now < lease.Until {
			s.presumeLease(c, burdockgroup.Lease{Fence: lease.Fence, Until: s.now + leaseTTL})
		}
	}
	if s.withoutStore {
		held.Until = s.now + leaseTTL
	}
	s.presumeLease(s.leaseHolder(), held)
}

// presumeLease notifies a controller that it holds a lease.
func (s *simulation) presumeLease(c int, lease burdockgroup.Lease) {
	if s.withoutStore && !s.paused[c] {
		s.presumed[c] = lease
	}
	s.handleInput(c, burdockgroup.LeaseHeld{Lease: lease})
}

// If two ranks use different maps in one step, the tokens of their requests are wrong.
// Orders stay unanswered and are carried out seconds later; controllers lose their lease,
// or freeze and resume during a change; agents are replaced and lose their state. In any
// order of these events the maps must agree in each step, and after the faults the group
// must keep running and change its map again.
func TestDelayedOrdersNeverMixMaps(t *testing.T) { runSimulations(t, func(*simulation) {}) }

// As before, and a group must not stall for good while the controller's VM controls
// engines whose agents are frozen or slow. Slow agents send orders too, and the
// controller's reports are outdated.
func TestRemoteOrdersNeverMixMapsOrStall(t *testing.T) {
	runSimulations(t, func(s *simulation) { s.remoteOrders = true })
}

// As before, with two agents that control the group at once: the store turns away the
// lease holder, which continues without it, and gives the lease to another agent. Both
// control engines until a rank notifies the old one of the new one.
func TestControllersWithoutStoreNeverMixMapsOrStall(t *testing.T) {
	runSimulations(t, func(s *simulation) { s.remoteOrders, s.withoutStore = true, true })
}

// As before, and all agents are killed at once again and again, so that none has the
// content of maps that some ranks have committed to.
func TestAgentsKilledTogetherNeverMixMapsOrStall(t *testing.T) {
	runSimulations(t, func(s *simulation) { s.remoteOrders, s.withoutStore, s.killsAll = true, true, true })
}

func runSimulations(t *testing.T, set func(s *simulation)) {
	seeds := uint64(400)
	if testing.Short() {
		seeds = 50
	}
	changes := 0
	for seed := range seeds {
		s := newSimulation(t, seed, 2+int(seed%4))
		set(s)
		s.run(20 * burdockclock.Second)
		s.faults, s.idleUntil = false, 0
		for i := range s.agents {
			s.agents[i].frozen = false
		}
		for c := range s.paused {
			s.paused[c] = false
		}
		s.run(40 * burdockclock.Second) // the last delayed order is carried out at 32 s
		changes += len(s.used)
		before, maps := s.step, len(s.used)
		s.run(48 * burdockclock.Second)
		if got, minimum := s.step-before, burdockid.Step(100); got < minimum {
			t.Errorf("seed %d: got %d steps in 8 s after the faults, want %d at least", seed, got, minimum)
		}
		if got := len(s.used) - maps; got < 2 {
			t.Errorf("seed %d: got %d map changes in 8 s after the faults, want 2 at least", seed, got)
		}
		if t.Failed() {
			for c := range s.controllers {
				t.Logf("%+v", s.controllers[c].State())
			}
			return
		}
	}
	if changes < int(seeds) {
		t.Errorf("map changes in all simulations: got %d, want %d at least", changes, seeds)
	}
}

// The streams of a whole group get no events while it stalls. An agent freezes just when
// its group is being armed, so the other ranks hold the step of the switch and wait. They
// must be released long before the agent is back.
func TestFrozenAgentDoesNotStallGroupWhileArming(t *testing.T) {
	s := newSimulation(t, 1, 4)
	s.faults = false
	for s.controllers[s.leaseHolder()].State().Phase != burdockgroup.ControllerArming {
		if s.now > 4*burdockclock.Second {
			t.Fatal("no map change was begun")
		}
		s.run(s.now + 10)
	}
	s.agents[1].frozen = true
	before := s.step
	s.run(s.now + 3*burdockclock.Second)
	// A step takes 40 ms. Arming times out after a quarter of a second, and undoing it
	// takes a few messages.
	if got, minimum := s.step-before, burdockid.Step(55); got < minimum {
		t.Errorf("got %d steps in 3 s, want %d at least", got, minimum)
	}
}
