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

// orderTimeout bounds one order. The controller sends it again long before;
// this only frees what waits on a peer that hangs.
const orderTimeout = time.Second

// duty is the group's controller as far as it is in this agent: it acts only
// while the agent holds the group's lease.
type duty struct {
	member *member
	lease  *leaseKeeper
	plan   *planning

	mu         sync.Mutex
	controller *burdockgroup.Controller
}

func newDuty(m *member, random *rand.Rand) *duty {
	cfg := burdockgroup.DefaultControllerConfig(m.seat.Ranks)
	if adjust := m.deps.Tuning.AdjustController; adjust != nil {
		adjust(&cfg)
	}
	d := &duty{member: m, controller: burdockgroup.NewController(cfg)}
	d.lease = newLeaseKeeper(m, random)
	d.plan = newPlanning(d)
	return d
}

// loop lets the controller and the planner look at the time.
func (d *duty) loop() {
	defer d.member.done.Done()
	ticker := time.NewTicker(d.member.deps.Tuning.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-d.member.ctx.Done():
			return
		case <-ticker.C:
			d.handle(burdockgroup.ControllerTick{})
			d.plan.advance()
		}
	}
}

// handle gives the controller one input and does what it returns, in turn.
func (d *duty) handle(in burdockgroup.ControllerInput) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var orders []burdockgroup.SendOrder
	for _, out := range d.controller.Handle(d.member.deps.Clock.Boot(), in) {
		if order, ok := out.(burdockgroup.SendOrder); ok {
			orders = append(orders, order)
			continue
		}
		d.do(out)
	}
	d.deliver(orders)
}

// state returns the controller's part of the state dump.
func (d *duty) state() burdockgroup.ControllerState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controller.State()
}

func (d *duty) do(out burdockgroup.ControllerOutput) {
	m := d.member
	switch out := out.(type) {
	case burdockgroup.NeedMap:
		d.plan.need(out.Map)
	case burdockgroup.MapInForce:
		d.plan.inForce(out.Map)
		m.deps.Log.Info("map in force", zap.String("group", m.seat.Group), zap.Uint64("map", uint64(out.Map)),
			zap.String("phases", phases(d.controller.State().Events)))
	case burdockgroup.MapLoadFailed:
		d.plan.refused()
		m.deps.Log.Warn("a rank could not load the map", zap.Uint64("map", uint64(out.Map)), zap.Int("rank", int(out.Rank)))
	case burdockgroup.SteppedDown:
		d.plan.reset()
		d.lease.end()
		m.deps.Log.Info("no longer controls the group", zap.String("group", m.seat.Group), zap.String("reason", string(out.Reason)))
	case burdockgroup.SplitDetected:
		d.splitSeen(out)
	}
}

// phases tells how long each phase of the last change took, in milliseconds.
func phases(events []burdockchart.Entry) string {
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

func (d *duty) splitSeen(out burdockgroup.SplitDetected) {
	d.member.mu.Lock()
	defer d.member.mu.Unlock()
	if out.Split == nil {
		d.member.fault("the ranks' statuses contradict each other")
		return
	}
	d.member.fault("ranks used different maps in one step", zap.Error(out.Split))
}

// sending is one order on its way.
type sending struct {
	duty *duty
	out  burdockgroup.SendOrder
}

func (s sending) run() {
	m := s.duty.member
	defer m.done.Done()
	timeout := orderTimeout
	if m.proxies.possible() {
		timeout += patience(m.fanOut, s.out.Order.Body).Duration() // the agent's share
	}
	ctx, cancel := context.WithTimeout(m.ctx, timeout)
	defer cancel()
	if report, ok := s.send(ctx); ok {
		s.duty.handle(burdockgroup.ReportReceived{Report: report})
	}
}

// send looks at the lease right before the order is written. The goroutine may
// have waited for its turn, and the VM may have been suspended meanwhile.
func (s sending) send(ctx context.Context) (burdockgroup.Report, bool) {
	m, order := s.duty.member, s.out.Order
	if order.To == m.seat.Rank {
		if !s.mayWrite() {
			return burdockgroup.Report{}, false
		}
		report, err := m.order(ctx, order)
		s.duty.plan.heardSpeed(order.To, m.speed())
		return report, err == nil
	}
	if s.mayDirect() && m.proxies.silentNow(order.To) {
		return s.direct(ctx)
	}
	report, err := s.ask(ctx)
	if err == nil {
		m.proxies.answered(order.To)
		return report, true
	}
	m.deps.Directory.Refresh(m.seat.Group)
	if errorx.IsOfType(err, ErrNotMember) || !s.mayDirect() || ctx.Err() != nil {
		return burdockgroup.Report{}, false
	}
	m.proxies.noAnswer(order.To, err)
	return s.direct(ctx)
}

// mayDirect reports whether engines may be ordered from here. An agent knows the
// numbers of the controllers that it has heard and refuses an old one; from here
// only the store's word says that there is none newer.
func (s sending) mayDirect() bool {
	return s.duty.member.proxies.possible() && s.duty.lease.confirmed()
}

// direct orders the rank's engine from here.
func (s sending) direct(ctx context.Context) (burdockgroup.Report, bool) {
	if !s.mayWrite() {
		return burdockgroup.Report{}, false
	}
	return s.duty.member.proxies.order(ctx, s.out.Order)
}

// ask gives the order to the rank's agent.
func (s sending) ask(ctx context.Context) (burdockgroup.Report, error) {
	m, order := s.duty.member, s.out.Order
	client, ok := m.client(order.To)
	if !ok {
		return burdockgroup.Report{}, ErrNotMember.New("no agent is known for rank %d", order.To)
	}
	if m.proxies.possible() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, patience(m.fanOut, order.Body).Duration())
		defer cancel()
	}
	msg := orderToWire(m.seat.Group, order)
	msg.Controller = m.deps.Directory.Agent(m.seat.Group, m.seat.Rank)
	if !s.mayWrite() {
		return burdockgroup.Report{}, ErrLeaseLapsed.New("the lease has lapsed")
	}
	m.traffic.sent(msg)
	res, err := client.Order(ctx, connect.NewRequest(msg))
	if err != nil {
		return burdockgroup.Report{}, err
	}
	m.traffic.received(res.Msg)
	s.duty.plan.heardSpeed(order.To, burdockspeed.Speed(res.Msg.GetSpeed()))
	report, err := reportFromWire(res.Msg)
	if err == nil && report.From != order.To {
		err = ErrMalformed.New("a report from rank %d", report.From)
	}
	if err != nil {
		m.deps.Log.Warn("malformed report", zap.Int("rank", int(order.To)), zap.Error(err))
	}
	return report, err
}

func (s sending) mayWrite() bool { return s.duty.member.deps.Clock.Boot() < s.out.NotAfter }

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

// relayed counts the orders that go through one agent.
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

// sinceBoot is the boot clock's time.
func (d *duty) sinceBoot() burdockclock.Millis { return d.member.deps.Clock.Boot() }
