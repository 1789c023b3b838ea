package burdockrank

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/state/burdockchart"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// orderTimeout bounds one order. The controller resends an order long before that; the
// timeout only ends goroutines that wait for a peer that hangs.
const orderTimeout = time.Second

// leadership runs the group's controller in this agent. It sends orders only while the
// agent holds the group's lease.
type leadership struct {
	member   *member
	lease    *leaseKeeper
	planning *planning

	mu         sync.Mutex
	controller *burdockgroup.Controller
}

func newLeadership(m *member, random *rand.Rand) *leadership {
	cfg := burdockgroup.DefaultControllerConfig(m.assignment.Ranks)
	if adjust := m.deps.Tuning.AdjustController; adjust != nil {
		adjust(&cfg)
	}
	l := &leadership{member: m, controller: burdockgroup.NewController(cfg)}
	l.lease = newLeaseKeeper(m, random)
	l.planning = newPlanning(l)
	return l
}

// loop gives the controller and the planner their periodic ticks.
func (l *leadership) loop() {
	defer l.member.done.Done()
	ticker := time.NewTicker(l.member.deps.Tuning.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-l.member.ctx.Done():
			return
		case <-ticker.C:
			l.handle(burdockgroup.ControllerTick{})
			l.planning.tick()
		}
	}
}

// handle passes one input to the controller and carries out its outputs in order.
func (l *leadership) handle(in burdockgroup.ControllerInput) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var orders []burdockgroup.SendOrder
	for _, out := range l.controller.Handle(l.member.deps.Clock.Boot(), in) {
		if order, ok := out.(burdockgroup.SendOrder); ok {
			orders = append(orders, order)
			continue
		}
		l.perform(out)
	}
	l.sendRound(orders)
}

// state returns the controller's part of the state dump.
func (l *leadership) state() burdockgroup.ControllerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.State()
}

func (l *leadership) perform(out burdockgroup.ControllerOutput) {
	m := l.member
	switch out := out.(type) {
	case burdockgroup.NeedMap:
		l.planning.requestMap(out.Map)
	case burdockgroup.MapInForce:
		l.planning.inForce(out.Map)
		m.deps.Log.Info("map in force", zap.String("group", m.assignment.Group), zap.Uint64("map", uint64(out.Map)),
			zap.String("phases", phaseTimes(l.controller.State().Events)))
	case burdockgroup.MapLoadFailed:
		l.planning.loadFailed()
		m.deps.Log.Warn("a rank could not load the map", zap.Uint64("map", uint64(out.Map)), zap.Int("rank", int(out.Rank)))
	case burdockgroup.SteppedDown:
		l.planning.reset()
		l.lease.drop()
		m.deps.Log.Info("no longer controls the group", zap.String("group", m.assignment.Group), zap.String("reason", string(out.Reason)))
	case burdockgroup.SplitDetected:
		l.recordSplit(out)
	}
}

// phaseTimes returns how long each phase of the last change took, in milliseconds.
func phaseTimes(events []burdockchart.Entry) string {
	first := len(events)
	for first > 0 && events[first-1].To != string(burdockgroup.ControllerLoading) {
		first--
	}
	var b strings.Builder
	for i := max(first, 1); i < len(events); i++ {
		fmt.Fprintf(&b, "%s %d ", events[i].From, events[i].At-events[i-1].At)
	}
	return strings.TrimSpace(b.String())
}

func (l *leadership) recordSplit(out burdockgroup.SplitDetected) {
	l.member.mu.Lock()
	defer l.member.mu.Unlock()
	if out.Split == nil {
		l.member.recordFault("the ranks' statuses contradict each other")
		return
	}
	l.member.recordFault("ranks used different maps in one step", zap.Error(out.Split))
}

// orderTask sends one order and passes the rank's report to the controller.
type orderTask struct {
	leadership *leadership
	output     burdockgroup.SendOrder
}

func (t orderTask) run() {
	m := t.leadership.member
	defer m.done.Done()
	timeout := orderTimeout
	if m.remoteRanks.supported() {
		timeout += orderAnswerTimeout(m.fanOut, t.output.Order.Body).Duration() // the agent's share, before its engine is ordered directly
	}
	ctx, cancel := context.WithTimeout(m.ctx, timeout)
	defer cancel()
	if report, ok := t.sendOrder(ctx); ok {
		t.leadership.handle(burdockgroup.ReportReceived{Report: report})
	}
}

// sendOrder checks the lease right before it writes the order: the goroutine may have
// waited to be scheduled, and the VM may have been suspended meanwhile.
func (t orderTask) sendOrder(ctx context.Context) (burdockgroup.Report, bool) {
	m, order := t.leadership.member, t.output.Order
	if order.To == m.assignment.Rank {
		if !t.leaseValid() {
			return burdockgroup.Report{}, false
		}
		report, err := m.order(ctx, order)
		t.leadership.planning.updateSpeed(order.To, m.engineSpeed())
		return report, err == nil
	}
	if t.directAllowed() && m.remoteRanks.unresponsive(order.To) {
		return t.orderEngine(ctx)
	}
	report, err := t.sendToAgent(ctx)
	if err == nil {
		m.remoteRanks.markResponsive(order.To)
		return report, true
	}
	m.deps.Directory.Refresh(m.assignment.Group)
	if errorx.IsOfType(err, ErrNotMember) || !t.directAllowed() || ctx.Err() != nil {
		return burdockgroup.Report{}, false
	}
	m.remoteRanks.markUnresponsive(order.To, err)
	return t.orderEngine(ctx)
}

// directAllowed reports whether this VM may send orders to the engines of other ranks. An
// agent knows the fencing numbers of the controllers that it received orders from and
// refuses an older one. For engines that are ordered from here, only the store can
// confirm that there is no newer controller.
func (t orderTask) directAllowed() bool {
	return t.leadership.member.remoteRanks.supported() && t.leadership.lease.confirmedByStore()
}

// orderEngine sends the order to the rank's engine directly, without the rank's agent.
func (t orderTask) orderEngine(ctx context.Context) (burdockgroup.Report, bool) {
	if !t.leaseValid() {
		return burdockgroup.Report{}, false
	}
	return t.leadership.member.remoteRanks.order(ctx, t.output.Order)
}

// sendToAgent sends the order to the rank's agent.
func (t orderTask) sendToAgent(ctx context.Context) (burdockgroup.Report, error) {
	m, order := t.leadership.member, t.output.Order
	client, ok := m.client(order.To)
	if !ok {
		return burdockgroup.Report{}, ErrNotMember.New("no agent is known for rank %d", order.To)
	}
	if m.remoteRanks.supported() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, orderAnswerTimeout(m.fanOut, order.Body).Duration())
		defer cancel()
	}
	msg := orderToWire(m.assignment.Group, order)
	msg.Controller = m.deps.Directory.Agent(m.assignment.Group, m.assignment.Rank)
	if !t.leaseValid() {
		return burdockgroup.Report{}, ErrLeaseLapsed.New("the lease has expired")
	}
	m.traffic.sent(msg)
	res, err := client.Order(ctx, connect.NewRequest(msg))
	if err != nil {
		return burdockgroup.Report{}, err
	}
	m.traffic.received(res.Msg)
	t.leadership.planning.updateSpeed(order.To, burdockspeed.Speed(res.Msg.GetSpeed()))
	report, err := reportFromWire(res.Msg)
	if err == nil && report.From != order.To {
		err = ErrMalformed.New("report is from rank %d", report.From)
	}
	if err != nil {
		m.deps.Log.Warn("malformed report", zap.Int("rank", int(order.To)), zap.Error(err))
	}
	return report, err
}

func (t orderTask) leaseValid() bool {
	return t.leadership.member.deps.Clock.Boot() < t.output.NotAfter
}

// traffic counts the messages of a controller, without their HTTP framing.
type traffic struct {
	orders, orderBytes   atomic.Int64
	reports, reportBytes atomic.Int64
	counts, countBytes   atomic.Int64
}

func (t *traffic) sent(msg *burdockwire.GroupOrder) {
	t.orders.Add(1)
	t.orderBytes.Add(int64(proto.Size(msg)))
}

// relayed counts the orders that are relayed by one agent.
func (t *traffic) relayed(msg *burdockwire.GroupRelayRequest) {
	t.orders.Add(int64(len(msg.GetOrders())))
	t.orderBytes.Add(int64(proto.Size(msg)))
}

func (t *traffic) received(msg *burdockwire.GroupReport) {
	t.reports.Add(1)
	t.reportBytes.Add(int64(proto.Size(msg)))
}

func (t *traffic) counted(msg *burdockwire.GroupCountsResponse) int {
	size := proto.Size(msg)
	t.counts.Add(1)
	t.countBytes.Add(int64(size))
	return size
}

// now returns the time of the boot clock.
func (l *leadership) now() burdockclock.Millis { return l.member.deps.Clock.Boot() }
