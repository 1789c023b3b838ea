package burdockrank

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"go.uber.org/zap"
)

const (
	// memberLoops is how many loops a member starts.
	memberLoops = 5
	// mostFaults is how many faults the state dump keeps.
	mostFaults = 16
	// mostContents is how many maps' content an agent remembers: the one in
	// use, the next one, and the one before for a group that goes back.
	mostContents = 3
)

// member is one stay in a group: the rank's machine and all that it works with.
type member struct {
	seat        Assignment
	upstream    burdockid.Upstream
	incarnation burdockid.Incarnation
	deps        Deps
	ctx         context.Context
	cancel      context.CancelFunc
	done        sync.WaitGroup // entered by enter
	gate        sync.Mutex
	closed      bool
	engine      *engineQueue
	asking      *asking
	proxies     *proxies
	duty        *duty
	traffic     traffic
	tellings    tellings
	// fanOut is to how many agents at once a round of orders goes from here.
	fanOut int

	mu       sync.Mutex
	rank     *burdockgroup.Rank
	waiters  map[burdockgroup.Number][]chan burdockgroup.Report
	contents []mapContent
	first    mapContent // without content where engines begin without a map
	faults   []string
}

// mapContent is a map that the agent was given.
type mapContent struct {
	version burdockid.MapVersion
	content []byte
}

func newMember(s Assignment, upstream burdockid.Upstream, deps Deps, random *rand.Rand) *member {
	if deps.EngineFor != nil {
		deps.Engine = deps.EngineFor(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{
		seat:     s,
		upstream: upstream,
		// Each stay has an incarnation of its own: its machine starts empty, and
		// orders for the one before it must not reach it.
		incarnation: burdockid.NewIncarnation(),
		deps:        deps,
		ctx:         ctx,
		cancel:      cancel,
		waiters:     map[burdockgroup.Number][]chan burdockgroup.Report{},
	}
	m.fanOut = m.orderCost(0).branches(s.Ranks)
	m.rememberFirst()
	m.rank = burdockgroup.NewRank(burdockgroup.DefaultRankConfig(s.Rank, s.Ranks, m.incarnation))
	m.engine = newEngineQueue(m)
	m.asking = newAsking(m)
	m.proxies = newProxies(m)
	m.duty = newDuty(m, random)
	return m
}

func (m *member) start() {
	m.deps.Log.Info("rank of a lock-stepped group", zap.String("group", m.seat.Group),
		zap.Int("rank", int(m.seat.Rank)), zap.Int("ranks", m.seat.Ranks))
	m.done.Add(memberLoops)
	go m.loop()
	go m.engine.loop()
	go engineWatch{m}.loop()
	go m.duty.loop()
	go m.duty.lease.loop()
}

// enter counts a goroutine that the member waits for at its end, and reports
// false when the end has come. The goroutine calls done.Done.
func (m *member) enter() bool {
	m.gate.Lock()
	defer m.gate.Unlock()
	if m.closed {
		return false
	}
	m.done.Add(1)
	return true
}

func (m *member) close() {
	m.gate.Lock()
	m.closed = true
	m.gate.Unlock()
	m.cancel()
	m.done.Wait()
	m.duty.lease.release()
}

// loop lets the rank look at the time.
func (m *member) loop() {
	defer m.done.Done()
	ticker := time.NewTicker(m.deps.Tuning.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
			m.handle(burdockgroup.RankTick{})
		}
	}
}

// handle gives the rank one input and does what it returns, in turn.
func (m *member) handle(in burdockgroup.RankInput) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.do(m.rank.Handle(m.deps.Clock.Boot(), in))
}

// do carries out what the rank returned. Nothing here waits, so the lock is
// held: the engine's orders keep their order.
func (m *member) do(outs []burdockgroup.RankOutput) {
	for _, out := range outs {
		switch out := out.(type) {
		case burdockgroup.SendReport:
			m.deliver(out.Report)
		case burdockgroup.ReadFence:
			m.asking.store()
		case burdockgroup.AskFence:
			m.asking.peer(out.To)
		case burdockgroup.OrderEngine:
			m.engine.add(out)
		case burdockgroup.NotifyWaiting:
			m.asking.sayWaiting(out)
		case burdockgroup.MapMismatch:
			m.fault("the engine ran a step with another map than ordered",
				zap.Uint64("step", uint64(out.Step)), zap.Uint64("got", uint64(out.Got)), zap.Uint64("want", uint64(out.Want)))
		}
	}
}

// deliver gives a report to all who wait for it. Nobody may: a caller that gave
// up sends the order again.
func (m *member) deliver(report burdockgroup.Report) {
	for _, waiter := range m.waiters[report.Number] {
		waiter <- report
	}
	delete(m.waiters, report.Number)
}

// fault notes a broken invariant. The lock must be held.
func (m *member) fault(what string, fields ...zap.Field) {
	m.deps.Log.Error(what, append(fields, zap.String("group", m.seat.Group), zap.Int("rank", int(m.seat.Rank)))...)
	m.faults = append(m.faults, what)
	if len(m.faults) > mostFaults {
		m.faults = slices.Delete(m.faults, 0, len(m.faults)-mostFaults)
	}
}

// order gives the rank an order and waits for the report on it.
func (m *member) order(ctx context.Context, order burdockgroup.Order) (burdockgroup.Report, error) {
	waiter, report := m.begin(order)
	if report != nil {
		return *report, nil
	}
	defer m.forget(order.Number, waiter)
	select {
	case r := <-waiter:
		return r, nil
	case <-ctx.Done():
		return burdockgroup.Report{}, ctx.Err()
	case <-m.ctx.Done():
		return burdockgroup.Report{}, m.ctx.Err()
	}
}

// begin gives the rank an order. A refusal is returned at once, and goes to
// this caller alone: the same order may be on its way for an earlier one.
func (m *member) begin(order burdockgroup.Order) (chan burdockgroup.Report, *burdockgroup.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if load, ok := order.Body.(burdockgroup.Load); ok {
		m.remember(load)
	}
	outs := m.rank.Handle(m.deps.Clock.Boot(), burdockgroup.OrderReceived{Order: order})
	for i, out := range outs {
		if sent, ok := out.(burdockgroup.SendReport); ok {
			m.do(slices.Delete(outs, i, i+1))
			return nil, &sent.Report
		}
	}
	waiter := make(chan burdockgroup.Report, 1)
	m.waiters[order.Number] = append(m.waiters[order.Number], waiter)
	m.do(outs)
	return waiter, nil
}

func (m *member) forget(n burdockgroup.Number, waiter chan burdockgroup.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := slices.DeleteFunc(m.waiters[n], func(w chan burdockgroup.Report) bool { return w == waiter })
	if len(left) == 0 {
		delete(m.waiters, n)
		return
	}
	m.waiters[n] = left
}

// remember keeps the content of a map for the planner, which has to know what
// the ranks hold. Versions are unique to their content.
func (m *member) remember(load burdockgroup.Load) {
	for _, c := range m.contents {
		if c.version == load.Map {
			return
		}
	}
	m.contents = append(m.contents, mapContent{version: load.Map, content: load.Content})
	if len(m.contents) > mostContents {
		m.contents = slices.Delete(m.contents, 0, 1)
	}
}

// rememberFirst keeps the map that the engines begin with, which no controller
// gives them.
func (m *member) rememberFirst() {
	if m.deps.InitialMap == nil {
		return
	}
	version, content, err := m.deps.InitialMap(m.seat.Ranks)
	if err != nil {
		m.deps.Log.Error("the first map is not known", zap.Error(err))
		return
	}
	m.first = mapContent{version: version, content: content}
}

// content returns the content of a map that the agent was given, or nil.
func (m *member) content(v burdockid.MapVersion) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.first.version == v {
		return m.first.content
	}
	for _, c := range m.contents {
		if c.version == v {
			return c.content
		}
	}
	return nil
}

// tellFence answers a peer's question for the highest fencing number.
func (m *member) tellFence(from burdockid.Rank) burdockgroup.AnswerFence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var told burdockgroup.AnswerFence
	for _, out := range m.rank.Handle(m.deps.Clock.Boot(), burdockgroup.FenceAsked{From: from}) {
		if t, ok := out.(burdockgroup.AnswerFence); ok {
			told = t
		}
	}
	return told
}

// peer returns the base address of the agent of a rank, or "".
func (m *member) peer(rank burdockid.Rank) string {
	address := m.deps.Directory.Agent(m.seat.Group, rank)
	if address == "" {
		return ""
	}
	return m.deps.Peers.URL(address)
}

// sleep waits, and reports false when the member ends.
func (m *member) sleep(d burdockclock.Millis) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-m.ctx.Done():
		return false
	}
}
