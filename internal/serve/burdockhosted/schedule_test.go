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

// fakeGroup is the platform's side of a group: engines that pass in lock-step,
// never compare their maps, and may leave an order unanswered and carry it out
// seconds later.
type fakeGroup struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	now    burdockclock.Millis
	step   burdockid.Step
	ranks  []*fakeRank
	faults bool
	late   []lateOrder
	used   map[int64]bool // maps that some pass used
}

type lateOrder struct {
	at    burdockclock.Millis
	rank  *fakeRank
	after int64
	order RankOrder
}

type fakeRank struct {
	group     *fakeGroup
	number    int
	orders    int64
	version   int64 // map in use
	highest   int64
	prepared  int64
	readyAt   burdockclock.Millis // of prepared
	armed     int64
	armedStep burdockid.Step
	held      bool
	heldStep  burdockid.Step
}

// pass runs the next pass if no rank holds it, and checks that all ranks use
// the same map in it.
func (g *fakeGroup) pass() {
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
			g.t.Fatalf("seed %d: pass %d: rank 0 uses map %d and rank %d map %d", g.seed, next, g.ranks[0].version, r.number, r.version)
		}
	}
	g.used[g.ranks[0].version] = true
}

func (g *fakeGroup) carryOutLate() {
	due := slices.Clone(g.late)
	g.late = slices.DeleteFunc(g.late, func(l lateOrder) bool { return l.at <= g.now })
	for _, l := range due {
		if l.at <= g.now {
			_ = l.rank.apply(l.after, l.order) // refused if another one came first
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
func (r *fakeRank) Order(_ context.Context, _, after int64, order RankOrder) error {
	g := r.group
	if !g.faults || g.random.Float64() > 0.25 {
		return r.apply(after, order)
	}
	if g.random.Float64() < 0.4 {
		_ = r.apply(after, order) // its answer is lost
	} else {
		at := g.now + burdockclock.Millis(2000+g.random.IntN(10_000))
		g.late = append(g.late, lateOrder{at: at, rank: r, after: after, order: order})
	}
	return ErrNoAnswer.New("no answer")
}

func (r *fakeRank) apply(after int64, order RankOrder) error {
	fits := after == r.orders
	switch o := order.(type) {
	case Prepare:
		fits = fits && o.Version > r.highest && r.armed == 0
		if fits {
			r.highest, r.prepared, r.readyAt = o.Version, o.Version, r.group.now+100
		}
	case Arm:
		fits = fits && r.prepared == o.Version && r.group.now >= r.readyAt && o.Step > r.group.step
		if fits {
			r.armed, r.armedStep = o.Version, o.Step
		}
	case Disarm:
		fits = fits && r.armed == o.Version
		if fits {
			r.armed = 0
		}
	case Hold:
		fits = fits && !r.held && o.Step > r.group.step
		if fits {
			r.held, r.heldStep = true, o.Step
		}
	case Resume:
		fits = fits && r.held && r.heldStep == o.Step
		if fits {
			r.held = false
		}
	}
	if !fits {
		return ErrRefused.New("%#v", order)
	}
	r.orders++
	return nil
}

// agentModel is the agent beside one rank: its machine and its engine.
type agentModel struct {
	rank   *burdockgroup.Rank
	engine *engine
	frozen bool
}

// farRank is a rank as it is seen from another VM: its reports are old.
type farRank struct {
	*fakeRank
	told []RankReport // newest last; each is told reportAge later
	at   []burdockclock.Millis
}

// reportAge is how old a report from another VM is.
const reportAge = 230 * burdockclock.Millis(1)

// note keeps the report of this instant for later.
func (r *farRank) note() {
	report, _ := r.fakeRank.Report(context.Background())
	r.told, r.at = append(r.told, report), append(r.at, r.group.now)
	for len(r.at) > 1 && r.at[1] <= r.group.now-reportAge {
		r.told, r.at = r.told[1:], r.at[1:]
	}
}

// Report implements Rank.
func (r *farRank) Report(ctx context.Context) (RankReport, error) {
	if len(r.told) == 0 {
		return r.fakeRank.Report(ctx)
	}
	return r.told[0], nil
}

// proxyModel orders one engine from the VM of a controller.
type proxyModel struct {
	rank   *burdockgroup.Rank
	engine *engine
}

// schedule runs controllers and agents before a fake group.
type schedule struct {
	*fakeGroup
	agents      []*agentModel
	far         []*farRank
	proxies     [][]*proxyModel // by controller and rank; nil while agents are asked
	direct      bool            // engines are ordered from afar too
	controllers []*burdockgroup.Controller
	asleep      []bool // by controller
	// believing has each controller go on without the store until it hears of a
	// newer one; believed is by controller, and zero for none.
	believing bool
	// kills has all agents killed at once now and then; killed is the fencing
	// number of the lease that nobody holds any more.
	kills     bool
	killed    burdockid.Fence
	believed  []burdockgroup.Lease
	mail      []letter
	idleUntil burdockclock.Millis // no requests, and so no passes
	inForce   int
}

// letter is a message on its way: an order to an agent, or a report back.
type letter struct {
	at         burdockclock.Millis
	controller int
	order      *burdockgroup.Order
	report     *burdockgroup.Report
}

func newSchedule(t *testing.T, seed uint64, ranks int) *schedule {
	s := &schedule{fakeGroup: &fakeGroup{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), faults: true, used: map[int64]bool{}}}
	spec := func() *burdocksite.Engine { return &burdocksite.Engine{Layers: 1, Experts: 4, Places: 2} }
	for i := range ranks {
		r := &fakeRank{group: s.fakeGroup, number: i}
		s.ranks = append(s.ranks, r)
		s.agents = append(s.agents, &agentModel{engine: &engine{rank: r, spec: spec, epoch: 1, speed: newEngineSpeed(zap.NewNop())}})
		s.restart(i)
	}
	for _, r := range s.ranks {
		s.far = append(s.far, &farRank{fakeRank: r})
	}
	s.proxies = make([][]*proxyModel, 2)
	s.controllers = make([]*burdockgroup.Controller, 2)
	s.asleep, s.believed = make([]bool, 2), make([]burdockgroup.Lease, 2)
	for c := range s.controllers {
		s.start(c)
	}
	return s
}

// start replaces a controller by a new one.
func (s *schedule) start(c int) {
	cfg := burdockgroup.DefaultControllerConfig(len(s.ranks))
	tuning(0).AdjustController(&cfg)
	s.controllers[c], s.proxies[c] = burdockgroup.NewController(cfg), make([]*proxyModel, len(s.ranks))
	s.asleep[c], s.believed[c] = false, burdockgroup.Lease{}
}

// killAll replaces all agents, and with them the controllers.
func (s *schedule) killAll() {
	s.killed = s.fence()
	s.mail = nil
	for i := range s.agents {
		s.agents[i].frozen = false
		s.restart(i)
	}
	for c := range s.controllers {
		s.start(c)
	}
}

// restart replaces an agent; the new one has forgotten what the old one knew.
func (s *schedule) restart(i int) {
	cfg := burdockgroup.DefaultRankConfig(burdockid.Rank(i), len(s.ranks), burdockid.NewIncarnation())
	s.agents[i].rank = burdockgroup.NewRank(cfg)
	s.agents[i].engine.loading, s.agents[i].engine.failed = 0, 0
	s.do(i, s.agents[i].rank.Handle(s.now, burdockgroup.FenceFromStore{Fence: 1}))
}

func (s *schedule) delay() burdockclock.Millis {
	if s.faults && s.random.Float64() < 0.03 {
		return burdockclock.Millis(500 + s.random.IntN(4000))
	}
	return burdockclock.Millis(1 + s.random.IntN(15))
}

// do carries out what an agent's machine returned.
func (s *schedule) do(i int, outs []burdockgroup.RankOutput) {
	for _, out := range outs {
		switch out := out.(type) {
		case burdockgroup.OrderEngine:
			status, err := s.agents[i].engine.Order(context.Background(), out.Fence, out.Order)
			s.do(i, s.agents[i].rank.Handle(s.now, burdockgroup.EngineAnswered{Ticket: out.Ticket, Status: status, Failed: err != nil}))
		case burdockgroup.SendReport:
			for c := range s.controllers {
				report := out.Report
				s.mail = append(s.mail, letter{at: s.now + s.delay(), controller: c, report: &report})
			}
		case burdockgroup.NotifyWaiting:
			for c := range s.controllers {
				s.tell(c, burdockgroup.RankWaiting(out))
			}
		}
	}
}

// tell gives a controller an input and sends what it returns.
func (s *schedule) tell(c int, in burdockgroup.ControllerInput) {
	if s.asleep[c] {
		return
	}
	for _, out := range s.controllers[c].Handle(s.now, in) {
		switch out := out.(type) {
		case burdockgroup.SendOrder:
			if s.faults && s.random.Float64() < 0.05 {
				continue // lost
			}
			order := out.Order
			s.mail = append(s.mail, letter{at: s.now + s.delay(), controller: c, order: &order})
		case burdockgroup.MapInForce:
			s.inForce++
		case burdockgroup.SteppedDown:
			s.believed[c] = burdockgroup.Lease{}
		}
	}
}

func (s *schedule) deliver() {
	due := slices.Clone(s.mail)
	s.mail = slices.DeleteFunc(s.mail, func(l letter) bool { return l.at <= s.now })
	for _, l := range due {
		switch {
		case l.at > s.now:
		case l.order != nil:
			s.orderArrived(l.controller, *l.order)
		default:
			s.tell(l.controller, burdockgroup.ReportReceived{Report: *l.report})
		}
	}
}

// orderArrived gives an order to the rank's agent or, where engines are ordered
// from afar, to the controller's proxy: when the agent is frozen, and now and
// then when it is only slow. It may carry out the order as well.
func (s *schedule) orderArrived(controller int, order burdockgroup.Order) {
	i := int(order.To)
	frozen := s.agents[i].frozen
	silent := s.direct && (frozen || s.faults && s.random.Float64() < 0.1)
	if !frozen && (!silent || s.random.Float64() < 0.5) {
		s.do(i, s.agents[i].rank.Handle(s.now, burdockgroup.OrderReceived{Order: order}))
	}
	if !silent {
		if !frozen {
			s.proxies[controller][i] = nil
		}
		return
	}
	p := s.proxies[controller][i]
	if p == nil {
		spec := func() *burdocksite.Engine { return &burdocksite.Engine{Layers: 1, Experts: 4, Places: 2} }
		cfg := burdockgroup.DefaultRankConfig(order.To, len(s.ranks), burdockid.NewIncarnation())
		p = &proxyModel{rank: burdockgroup.NewRank(cfg), engine: &engine{rank: s.far[i], spec: spec, epoch: 1, speed: newEngineSpeed(zap.NewNop())}}
		s.proxies[controller][i] = p
	}
	s.doFar(p, controller, p.rank.Handle(s.now, burdockgroup.FenceFromStore{Fence: order.Number.Fence}))
	s.doFar(p, controller, p.rank.Handle(s.now, burdockgroup.RankTick{}))
	s.doFar(p, controller, p.rank.Handle(s.now, burdockgroup.OrderReceived{Order: order}))
}

// doFar carries out what a proxy's machine returned.
func (s *schedule) doFar(p *proxyModel, controller int, outs []burdockgroup.RankOutput) {
	for _, out := range outs {
		switch out := out.(type) {
		case burdockgroup.OrderEngine:
			status, err := p.engine.Order(context.Background(), out.Fence, out.Order)
			s.doFar(p, controller, p.rank.Handle(s.now, burdockgroup.EngineAnswered{Ticket: out.Ticket, Status: status, Failed: err != nil}))
		case burdockgroup.SendReport:
			report := out.Report
			s.mail = append(s.mail, letter{at: s.now + s.delay() + reportAge, controller: controller, report: &report})
		}
	}
}

// disturb lets agents and controllers freeze, wake and be replaced.
func (s *schedule) disturb() {
	if s.now >= s.idleUntil && s.random.IntN(80) == 0 {
		s.idleUntil = s.now + burdockclock.Millis(s.random.IntN(10_000))
	}
	if s.kills && s.random.IntN(60) == 0 {
		s.killAll()
	}
	switch i := s.random.IntN(len(s.agents)); s.random.IntN(60) {
	case 0:
		s.agents[i].frozen = !s.agents[i].frozen
	case 1:
		s.restart(i)
	case 2:
		c := s.random.IntN(len(s.controllers))
		s.asleep[c] = !s.asleep[c]
	}
}

func (s *schedule) content() []byte {
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

// run lets ten milliseconds pass at a time until an instant.
func (s *schedule) run(until burdockclock.Millis) {
	for ; s.now < until; s.now += 10 {
		s.carryOutLate()
		for _, r := range s.far {
			r.note()
		}
		s.deliver()
		if s.now%40 == 0 && s.now >= s.idleUntil {
			s.pass()
		}
		if s.now%50 == 0 {
			for i, a := range s.agents {
				if !a.frozen {
					s.do(i, a.rank.Handle(s.now, burdockgroup.RankTick{}))
				}
			}
			for c := range s.controllers {
				s.tell(c, burdockgroup.ControllerTick{})
			}
			if s.faults {
				s.disturb()
			}
		}
		if s.now%400 == 0 {
			s.lease()
		}
		if s.now%700 == 0 {
			s.tell(s.holder(), burdockgroup.MapWanted{Content: s.content()})
		}
	}
}

// holder is who has the lease: it changes hands every four seconds.
func (s *schedule) holder() int { return int(s.now/(4*burdockclock.Second)) % len(s.controllers) }

func (s *schedule) fence() burdockid.Fence {
	return burdockid.Fence(10 + s.now/(4*burdockclock.Second))
}

func (s *schedule) lease() {
	fence := s.fence()
	if fence == s.killed {
		return // it has yet to lapse
	}
	until := (s.now/(4*burdockclock.Second) + 1) * 4 * burdockclock.Second
	held := burdockgroup.Lease{Fence: fence, Until: min(s.now+leaseTTL, until)}
	for c, lease := range s.believed {
		if c != s.holder() && !s.asleep[c] && s.now < lease.Until {
			s.believe(c, burdockgroup.Lease{Fence: lease.Fence, Until: s.now + leaseTTL})
		}
	}
	if s.believing {
		held.Until = s.now + leaseTTL
	}
	s.believe(s.holder(), held)
}

// believe tells a controller that it has a lease.
func (s *schedule) believe(c int, lease burdockgroup.Lease) {
	if s.believing && !s.asleep[c] {
		s.believed[c] = lease
	}
	s.tell(c, burdockgroup.LeaseHeld{Lease: lease})
}

// In a pass two ranks use different maps, and the tokens of their requests are
// wrong. Orders get no answer and are carried out seconds later, controllers
// lose their lease, freeze and wake in a change, agents are replaced and forget.
// Whatever comes in which order, the maps agree in each pass; and when the
// faults are over the group goes on and changes its map again.
func TestLateOrdersNeverSplitTheMap(t *testing.T) { playSchedules(t, func(*schedule) {}) }

// The same, and a group stands for good: the controller's VM orders engines whose
// agents are frozen, or only slow and order them too, by reports that are old.
func TestOrdersFromAfarNeverSplitNorStick(t *testing.T) {
	playSchedules(t, func(s *schedule) { s.direct = true })
}

// The same, and two agents control the group at a time: the store turns away the
// one that has the lease, which goes on without it, and gives the lease to
// another. Each orders engines until a rank tells it of the newer one.
func TestControllersWithoutTheStoreNeverSplitNorStick(t *testing.T) {
	playSchedules(t, func(s *schedule) { s.direct, s.believing = true, true })
}

// The same, and all agents are killed at once again and again, so that nobody
// remembers the content of the maps that some ranks have committed to.
func TestAgentsKilledAtOnceNeverSplitNorStick(t *testing.T) {
	playSchedules(t, func(s *schedule) { s.direct, s.believing, s.kills = true, true, true })
}

func playSchedules(t *testing.T, set func(s *schedule)) {
	seeds := uint64(400)
	if testing.Short() {
		seeds = 50
	}
	changes := 0
	for seed := range seeds {
		s := newSchedule(t, seed, 2+int(seed%4))
		set(s)
		s.run(20 * burdockclock.Second)
		s.faults, s.idleUntil = false, 0
		for i := range s.agents {
			s.agents[i].frozen = false
		}
		for c := range s.asleep {
			s.asleep[c] = false
		}
		s.run(40 * burdockclock.Second) // the last late order is carried out at 32 s
		changes += len(s.used)
		before, maps := s.step, len(s.used)
		s.run(48 * burdockclock.Second)
		if got, least := s.step-before, burdockid.Step(100); got < least {
			t.Errorf("seed %d: got %d passes in 8 s after the faults, want %d at least", seed, got, least)
		}
		if got := len(s.used) - maps; got < 2 {
			t.Errorf("seed %d: got %d changes of map in 8 s after the faults, want 2 at least", seed, got)
		}
		if t.Failed() {
			for c := range s.controllers {
				t.Logf("%+v", s.controllers[c].State())
			}
			return
		}
	}
	if changes < int(seeds) {
		t.Errorf("changes of map in all schedules: got %d, want %d at least", changes, seeds)
	}
}

// Streams of the whole group get no event while it stands. An agent freezes just
// as its group is to be armed, so that the other ranks hold the step of the
// change and wait for it. They must be let go long before it is back.
func TestFrozenAgentHoldsNoGroupBeforeItIsArmed(t *testing.T) {
	s := newSchedule(t, 1, 4)
	s.faults = false
	for s.controllers[s.holder()].State().Phase != burdockgroup.ControllerArming {
		if s.now > 4*burdockclock.Second {
			t.Fatal("no change of map was begun")
		}
		s.run(s.now + 10)
	}
	s.agents[1].frozen = true
	before := s.step
	s.run(s.now + 3*burdockclock.Second)
	// A pass takes 40 ms; arming is given up after a quarter of a second, and
	// taking it back takes some messages.
	if got, least := s.step-before, burdockid.Step(55); got < least {
		t.Errorf("got %d passes in 3 s, want %d at least", got, least)
	}
}
