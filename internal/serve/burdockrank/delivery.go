package burdockrank

import (
	"context"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"go.uber.org/zap"
)

// roundKey is what the orders of one round have in common. Orders with the same key can
// be relayed together.
type roundKey struct {
	kind    burdockwire.GroupOrderKind
	at      uint64
	version uint64
}

// sendRound sends the orders of one round: through a tree of agents where that is faster,
// otherwise to each agent itself. The lock must be held.
func (l *leadership) sendRound(orders []burdockgroup.SendOrder) {
	batches := map[roundKey][]burdockgroup.SendOrder{}
	for _, out := range orders {
		if !l.relayable(out) {
			l.sendSingle(out)
			continue
		}
		msg := orderToWire("", out.Order)
		key := roundKey{kind: msg.GetKind(), at: msg.GetAt(), version: msg.GetMap()}
		batches[key] = append(batches[key], out)
	}
	for _, batch := range batches {
		l.sendBatch(batch)
	}
}

// sendSingle sends one order to its rank's agent.
func (l *leadership) sendSingle(out burdockgroup.SendOrder) {
	if l.member.addTask() {
		go orderTask{l, out}.run()
	}
}

// relayable reports whether an order may be relayed by another rank's agent. An order to
// a rank whose agent doesn't answer goes to its engine, and a report with a map's content
// is to come directly.
func (l *leadership) relayable(out burdockgroup.SendOrder) bool {
	m := l.member
	if read, ok := out.Order.Body.(burdockgroup.Read); ok && read.Want != 0 {
		return false
	}
	to := out.Order.To
	return to != m.assignment.Rank && m.deps.Directory.Agent(m.assignment.Group, to) != "" && !m.remoteRanks.unresponsive(to)
}

func (l *leadership) sendBatch(batch []burdockgroup.SendOrder) {
	m := l.member
	common := l.common(batch[0])
	branches := m.relayCost(len(common.GetContent())).branches(len(batch))
	if branches >= len(batch) {
		for _, out := range batch {
			l.sendSingle(out)
		}
		return
	}
	common.Degree = int32(branches)
	if batch[0].Resend {
		// The agent that relayed the orders the first time may be why they did not
		// arrive, so another one goes first.
		slices.Reverse(batch)
	}
	for _, part := range partition(batch, branches) {
		if m.addTask() {
			go rootBranch{leadership: l, common: common, batch: part}.run()
		}
	}
}

// relayCost returns the cost model of a round of orders with that many bytes of content.
func (m *member) relayCost(content int) treeCost {
	return treeCost{
		bytesPerMilli: m.deps.Tuning.LinkBytesPerMilli, message: float64(callBytes + content),
		order: orderBytes, call: callMillis, hop: hopMillis,
	}
}

// common returns the relay request for a round of orders, without the orders. The
// content of a load is sent as its difference from the map in use if that is shorter.
func (l *leadership) common(out burdockgroup.SendOrder) *burdockwire.GroupRelayRequest {
	m := l.member
	msg := orderToWire(m.assignment.Group, out.Order)
	req := &burdockwire.GroupRelayRequest{
		Group: msg.GetGroup(), Fence: msg.GetFence(), Kind: msg.GetKind(), Map: msg.GetMap(), At: msg.GetAt(), Content: msg.GetContent(),
		PatienceMillis: int32(max(l.controller.RetryInterval(burdockgroup.Read{}), minAckTimeout)),
		Controller:     m.deps.Directory.Agent(m.assignment.Group, m.assignment.Rank),
	}
	if load, ok := out.Order.Body.(burdockgroup.Load); ok {
		l.encodeAsDifference(req, load)
	}
	return req
}

// minAckTimeout is the minimum time that an agent has to acknowledge the orders of a
// branch: many round trips on a busy link.
const minAckTimeout = 120 * burdockclock.Millis(1)

// encodeAsDifference replaces the content of a load by its difference from the map in
// use.
func (l *leadership) encodeAsDifference(req *burdockwire.GroupRelayRequest, load burdockgroup.Load) {
	base := l.controller.Base()
	content := l.member.content(base)
	if content == nil || base == load.Map {
		return
	}
	current, err := burdockexpert.Decode(content)
	if err != nil {
		l.member.deps.Log.Error("the map in use can't be decoded", zap.Uint64("map", uint64(base)), zap.Error(err))
		return
	}
	next, err := burdockexpert.Decode(load.Content)
	if err != nil {
		l.member.deps.Log.Error("the next map can't be decoded", zap.Uint64("map", uint64(load.Map)), zap.Error(err))
		return
	}
	difference, err := next.Difference(current)
	if err != nil || len(difference) >= len(load.Content) {
		return // the full content is sent
	}
	req.Content, req.Base, req.Digest = difference, uint64(base), next.Digest()
}

// rootBranch sends the orders of a branch for the controller.
type rootBranch struct {
	leadership *leadership
	common     *burdockwire.GroupRelayRequest
	batch      []burdockgroup.SendOrder
}

func (b rootBranch) run() {
	m := b.leadership.member
	defer m.done.Done()
	ctx, cancel := context.WithTimeout(m.ctx, orderTimeout)
	defer cancel()
	results := make(chan branchResult, len(b.batch))
	orders := make([]*burdockwire.GroupRelayOrder, len(b.batch))
	for i, order := range b.batch {
		orders[i] = &burdockwire.GroupRelayOrder{
			To: int32(order.Order.To), Seq: order.Order.Number.Seq, Incarnation: string(order.Order.Incarnation),
			Agent: m.deps.Directory.Agent(m.assignment.Group, order.Order.To),
		}
	}
	go branch{member: m, common: b.common, orders: orders, results: results, leaseValid: b.leaseValid}.run(ctx)
	for {
		select {
		case result := <-results:
			b.handleResponse(result.res)
			if result.ended {
				return
			}
		case <-ctx.Done():
			return // the controller resends what was not answered
		}
	}
}

// leaseValid checks the lease; it is called right before a call is written.
func (b rootBranch) leaseValid() bool {
	return b.leadership.member.deps.Clock.Boot() < b.batch[0].NotAfter
}

// handleResponse passes the reports to the controller and sends the orders that were not
// delivered directly to their agents.
func (b rootBranch) handleResponse(res *burdockwire.GroupRelayResponse) {
	for _, msg := range res.GetReports() {
		b.leadership.member.traffic.received(msg)
		b.leadership.planning.updateSpeed(burdockid.Rank(msg.GetFrom()), burdockspeed.Speed(msg.GetSpeed()))
		report, err := reportFromWire(msg)
		if err != nil {
			b.leadership.member.deps.Log.Warn("malformed report", zap.Int32("rank", msg.GetFrom()), zap.Error(err))
			continue
		}
		b.leadership.handle(burdockgroup.ReportReceived{Report: report})
	}
	for _, failed := range res.GetFailures() {
		b.leadership.member.deps.Log.Info("relayed order was not delivered; sending it directly", zap.Int32("rank", failed.GetRank()), zap.String("reason", failed.GetReason()))
		for _, order := range b.batch {
			if order.Order.To == burdockid.Rank(failed.GetRank()) && b.leadership.member.addTask() {
				go orderTask{b.leadership, order}.run()
			}
		}
	}
}
