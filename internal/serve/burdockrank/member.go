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
	// memberLoops is how many loop goroutines a member starts.
	memberLoops = 5
	// maxFaults is how many faults the state dump keeps.
	maxFaults = 16
	// maxContents is how many maps an agent stores: the one in use, the next one, and the
	// one before for a group that goes back.
	maxContents = 3
)

// member is an upstream's membership in a group, from its assignment to the next one: the
// rank's state machine and all that it uses.
type member struct {
	assignment     Assignment
	upstream       burdockid.Upstream
	incarnation    burdockid.Incarnation
	deps           Deps
	ctx            context.Context
	cancel         context.CancelFunc
	done           sync.WaitGroup // goroutines, see addTask
	taskMu         sync.Mutex
	closed         bool
	engine         *engineQueue
	queries        *fenceQueries
	remoteRanks    *remoteRanks
	leadership     *leadership
	traffic        traffic
	countsReporter countsReporter
	// fanOut is how many agents receive orders directly from here in a round.
	fanOut int

	mu         sync.Mutex
	rank       *burdockgroup.Rank
	waiters    map[burdockgroup.Number][]chan burdockgroup.Report
	contents   []mapContent
	initialMap mapContent // zero where engines start without a map
	faults     []string
}

// mapContent is a map that the agent received.
type mapContent struct {
	version burdockid.MapVersion
	content []byte
}

// newMember returns a membership. contents are the maps that the agent has received under
// its previous assignment to the same group.
func newMember(assignment Assignment, upstream burdockid.Upstream, deps Deps, random *rand.Rand, contents []mapContent) *member {
	if deps.EngineFor != nil {
		deps.Engine = deps.EngineFor(assignment)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{
		assignment: assignment,
		upstream:   upstream,
		// Each membership has its own incarnation: its state machine starts empty and
		// must not receive orders meant for the previous one.
		incarnation: burdockid.NewIncarnation(),
		deps:        deps,
		ctx:         ctx,
		cancel:      cancel,
		waiters:     map[burdockgroup.Number][]chan burdockgroup.Report{},
		contents:    contents,
	}
	m.fanOut = m.relayCost(0).branches(assignment.Ranks)
	m.loadInitialMap()
	cfg := burdockgroup.DefaultRankConfig(assignment.Rank, assignment.Ranks, m.incarnation)
	cfg.Contents = map[burdockid.MapVersion][]byte{}
	for _, c := range contents {
		cfg.Contents[c.version] = c.content
	}
	m.rank = burdockgroup.NewRank(cfg)
	m.engine = newEngineQueue(m)
	m.queries = newFenceQueries(m)
	m.remoteRanks = newRemoteRanks(m)
	m.leadership = newLeadership(m, random)
	return m
}

func (m *member) start() {
	m.deps.Log.Info("joined a lock-stepped group", zap.String("group", m.assignment.Group),
		zap.Int("rank", int(m.assignment.Rank)), zap.Int("ranks", m.assignment.Ranks))
	m.done.Add(memberLoops)
	go m.loop()
	go m.engine.loop()
	go engineWatch{m}.loop()
	go m.leadership.loop()
	go m.leadership.lease.loop()
}

// addTask registers a goroutine that close waits for. It returns false if the member is
// closing; otherwise the goroutine must call done.Done.
func (m *member) addTask() bool {
	m.taskMu.Lock()
	defer m.taskMu.Unlock()
	if m.closed {
		return false
	}
	m.done.Add(1)
	return true
}

func (m *member) close() {
	m.taskMu.Lock()
	m.closed = true
	m.taskMu.Unlock()
	m.cancel()
	m.done.Wait()
	m.leadership.lease.release()
}

// loop gives the rank its periodic ticks.
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

// handle passes one input to the rank and carries out its outputs in order.
func (m *member) handle(in burdockgroup.RankInput) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.perform(m.rank.Handle(m.deps.Clock.Boot(), in))
}

// perform carries out the rank's outputs. The lock is held, which keeps the engine's
// orders in sequence; nothing here blocks.
func (m *member) perform(outs []burdockgroup.RankOutput) {
	for _, out := range outs {
		switch out := out.(type) {
		case burdockgroup.SendReport:
			m.deliverReport(out.Report)
		case burdockgroup.ReadFence:
			m.queries.queryStore()
		case burdockgroup.AskFence:
			m.queries.queryPeer(out.To)
		case burdockgroup.OrderEngine:
			m.engine.add(out)
		case burdockgroup.NotifyWaiting:
			m.queries.notifyWaiting(out)
		case burdockgroup.MapMismatch:
			m.recordFault("the engine ran a step with another map than ordered",
				zap.Uint64("step", uint64(out.Step)), zap.Uint64("got", uint64(out.Got)), zap.Uint64("want", uint64(out.Want)))
		}
	}
}

// deliverReport passes a report to all callers that wait for it. There may be none: a
// controller that stopped waiting resends the order.
func (m *member) deliverReport(report burdockgroup.Report) {
	for _, waiter := range m.waiters[report.Number] {
		waiter <- report
	}
	delete(m.waiters, report.Number)
}

// recordFault records a violated invariant. The lock must be held.
func (m *member) recordFault(message string, fields ...zap.Field) {
	m.deps.Log.Error(message, append(fields, zap.String("group", m.assignment.Group), zap.Int("rank", int(m.assignment.Rank)))...)
	m.faults = append(m.faults, message)
	if len(m.faults) > maxFaults {
		m.faults = slices.Delete(m.faults, 0, len(m.faults)-maxFaults)
	}
}

// order passes an order to the rank and waits for the report on it.
func (m *member) order(ctx context.Context, order burdockgroup.Order) (burdockgroup.Report, error) {
	waiter, report := m.startOrder(order)
	if report != nil {
		return *report, nil
	}
	defer m.removeWaiter(order.Number, waiter)
	select {
	case r := <-waiter:
		return r, nil
	case <-ctx.Done():
		return burdockgroup.Report{}, ctx.Err()
	case <-m.ctx.Done():
		return burdockgroup.Report{}, m.ctx.Err()
	}
}

// startOrder passes an order to the rank. A refusal is returned at once, and only to this
// caller: an earlier caller may still wait for the report on the same order.
func (m *member) startOrder(order burdockgroup.Order) (chan burdockgroup.Report, *burdockgroup.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if load, ok := order.Body.(burdockgroup.Load); ok {
		m.storeContent(load)
	}
	outs := m.rank.Handle(m.deps.Clock.Boot(), burdockgroup.OrderReceived{Order: order})
	for i, out := range outs {
		if sent, ok := out.(burdockgroup.SendReport); ok {
			m.perform(slices.Delete(outs, i, i+1))
			return nil, &sent.Report
		}
	}
	waiter := make(chan burdockgroup.Report, 1)
	m.waiters[order.Number] = append(m.waiters[order.Number], waiter)
	m.perform(outs)
	return waiter, nil
}

func (m *member) removeWaiter(n burdockgroup.Number, waiter chan burdockgroup.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	remaining := slices.DeleteFunc(m.waiters[n], func(w chan burdockgroup.Report) bool { return w == waiter })
	if len(remaining) == 0 {
		delete(m.waiters, n)
		return
	}
	m.waiters[n] = remaining
}

// storeContent stores the content of a map for the planner, which has to know the experts
// of each rank. Versions are unique to their content.
func (m *member) storeContent(load burdockgroup.Load) {
	for _, c := range m.contents {
		if c.version == load.Map {
			return
		}
	}
	m.contents = append(m.contents, mapContent{version: load.Map, content: load.Content})
	if len(m.contents) > maxContents {
		m.contents = slices.Delete(m.contents, 0, 1)
	}
}

// receivedContents returns the maps that the agent has received.
func (m *member) receivedContents() []mapContent {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.contents)
}

// loadInitialMap stores the map that the engines start with, which no controller sends.
func (m *member) loadInitialMap() {
	if m.deps.InitialMap == nil {
		return
	}
	version, content, err := m.deps.InitialMap(m.assignment.Ranks)
	if err != nil {
		m.deps.Log.Error("initial map can't be loaded", zap.Error(err))
		return
	}
	m.initialMap = mapContent{version: version, content: content}
}

// content returns the content of a map that the agent stores, or nil.
func (m *member) content(v burdockid.MapVersion) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.initialMap.version == v {
		return m.initialMap.content
	}
	for _, c := range m.contents {
		if c.version == v {
			return c.content
		}
	}
	return nil
}

// answerFence answers a peer's query for the highest fencing number.
func (m *member) answerFence(from burdockid.Rank) burdockgroup.AnswerFence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var answer burdockgroup.AnswerFence
	for _, out := range m.rank.Handle(m.deps.Clock.Boot(), burdockgroup.FenceAsked{From: from}) {
		if a, ok := out.(burdockgroup.AnswerFence); ok {
			answer = a
		}
	}
	return answer
}

// peerURL returns the base URL of a rank's agent, or "".
func (m *member) peerURL(rank burdockid.Rank) string {
	address := m.deps.Directory.Agent(m.assignment.Group, rank)
	if address == "" {
		return ""
	}
	return m.deps.Peers.URL(address)
}

// sleep waits, and returns false if the member is closed meanwhile.
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
