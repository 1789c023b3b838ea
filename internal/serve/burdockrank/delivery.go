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

// likeness is what orders of one round have in common, so that they can go
// through each other's agents.
type likeness struct {
	kind    burdockwire.GroupOrderKind
	at      uint64
	version uint64
}

// deliver sends the orders of one round: through a tree of agents where that is
// faster, else to each agent itself. The lock must be held.
func (d *duty) deliver(orders []burdockgroup.SendOrder) {
	alike := map[likeness][]burdockgroup.SendOrder{}
	for _, out := range orders {
		if !d.relayable(out) {
			d.single(out)
			continue
		}
		msg := orderToWire("", out.Order)
		like := likeness{kind: msg.GetKind(), at: msg.GetAt(), version: msg.GetMap()}
		alike[like] = append(alike[like], out)
	}
	for _, list := range alike {
		d.deliverAlike(list)
	}
}

// single sends one order to its rank's agent.
func (d *duty) single(out burdockgroup.SendOrder) {
	if d.member.enter() {
		go sending{d, out}.run()
	}
}

// relayable reports whether an order may go through another rank's agent. One to
// a rank whose agent is silent is for the engine itself, and a content that was
// asked for comes straight.
func (d *duty) relayable(out burdockgroup.SendOrder) bool {
	m := d.member
	if read, ok := out.Order.Body.(burdockgroup.Read); ok && read.Want != 0 {
		return false
	}
	to := out.Order.To
	return to != m.seat.Rank && m.deps.Directory.Agent(m.seat.Group, to) != "" && !m.proxies.silentNow(to)
}

func (d *duty) deliverAlike(list []burdockgroup.SendOrder) {
	m := d.member
	common := d.common(list[0])
	branches := m.orderCost(len(common.GetContent())).branches(len(list))
	if branches >= len(list) {
		for _, out := range list {
			d.single(out)
		}
		return
	}
	common.Degree = int32(branches)
	if list[0].Resend {
		// What kept the first sending from its ranks may be the agent that it went
		// through.
		slices.Reverse(list)
	}
	for _, part := range parted(list, branches) {
		if m.enter() {
			go trunk{duty: d, common: common, list: part}.run()
		}
	}
}

// orderCost is what a round of orders with a content of so many bytes costs.
func (m *member) orderCost(content int) treeCost {
	return treeCost{
		bytesPerMilli: m.deps.Tuning.LinkBytesPerMilli, message: float64(callBytes + content),
		order: orderBytes, call: callMillis, hop: hopMillis,
	}
}

// common returns what the orders of a round have in common; the content of a load
// by its difference from the map in use where that is shorter.
func (d *duty) common(out burdockgroup.SendOrder) *burdockwire.GroupRelayRequest {
	m := d.member
	msg := orderToWire(m.seat.Group, out.Order)
	req := &burdockwire.GroupRelayRequest{
		Group: msg.GetGroup(), Fence: msg.GetFence(), Kind: msg.GetKind(), Map: msg.GetMap(), At: msg.GetAt(), Content: msg.GetContent(),
		PatienceMillis: int32(max(d.controller.RetryInterval(burdockgroup.Read{}), leastSign)),
		Controller:     m.deps.Directory.Agent(m.seat.Group, m.seat.Rank),
	}
	if load, ok := out.Order.Body.(burdockgroup.Load); ok {
		d.shorten(req, load)
	}
	return req
}

// leastSign is the least time in which an agent has to say that it has the orders
// of a branch: many times the way there and back on a link that is in use.
const leastSign = 120 * burdockclock.Millis(1)

// shorten replaces the content of a load by its difference from the map in use.
func (d *duty) shorten(req *burdockwire.GroupRelayRequest, load burdockgroup.Load) {
	base := d.controller.Base()
	known := d.member.content(base)
	if known == nil || base == load.Map {
		return
	}
	from, err := burdockexpert.Decode(known)
	if err != nil {
		d.member.deps.Log.Error("the map in use can't be decoded", zap.Uint64("map", uint64(base)), zap.Error(err))
		return
	}
	to, err := burdockexpert.Decode(load.Content)
	if err != nil {
		d.member.deps.Log.Error("the next map can't be decoded", zap.Uint64("map", uint64(load.Map)), zap.Error(err))
		return
	}
	difference, err := to.Difference(from)
	if err != nil || len(difference) >= len(load.Content) {
		return // sent whole
	}
	req.Content, req.Base, req.Digest = difference, uint64(base), to.Digest()
}

// trunk sends the orders of a branch on behalf of the controller.
type trunk struct {
	duty   *duty
	common *burdockwire.GroupRelayRequest
	list   []burdockgroup.SendOrder
}

func (t trunk) run() {
	m := t.duty.member
	defer m.done.Done()
	ctx, cancel := context.WithTimeout(m.ctx, orderTimeout)
	defer cancel()
	out := make(chan relayed, len(t.list))
	orders := make([]*burdockwire.GroupRelayOrder, len(t.list))
	for i, sent := range t.list {
		orders[i] = &burdockwire.GroupRelayOrder{
			To: int32(sent.Order.To), Seq: sent.Order.Number.Seq, Incarnation: string(sent.Order.Incarnation),
			Agent: m.deps.Directory.Agent(m.seat.Group, sent.Order.To),
		}
	}
	go branch{member: m, common: t.common, orders: orders, out: out, mayWrite: t.mayWrite}.run(ctx)
	for {
		select {
		case got := <-out:
			t.take(got.res)
			if got.ended {
				return
			}
		case <-ctx.Done():
			return // the controller sends again what was not answered
		}
	}
}

// mayWrite looks at the lease right before a call is written.
func (t trunk) mayWrite() bool { return t.duty.member.deps.Clock.Boot() < t.list[0].NotAfter }

// take hands the controller the reports that came back, and sends the orders
// that did not arrive to their agents.
func (t trunk) take(res *burdockwire.GroupRelayResponse) {
	for _, msg := range res.GetReports() {
		t.duty.member.traffic.received(msg)
		t.duty.plan.heardSpeed(burdockid.Rank(msg.GetFrom()), burdockspeed.Speed(msg.GetSpeed()))
		report, err := reportFromWire(msg)
		if err != nil {
			t.duty.member.deps.Log.Warn("malformed report", zap.Int32("rank", msg.GetFrom()), zap.Error(err))
			continue
		}
		t.duty.handle(burdockgroup.ReportReceived{Report: report})
	}
	for _, failed := range res.GetFailures() {
		t.duty.member.deps.Log.Info("an order did not come through; it is sent straight", zap.Int32("rank", failed.GetRank()), zap.String("reason", failed.GetReason()))
		for _, out := range t.list {
			if out.Order.To == burdockid.Rank(failed.GetRank()) && t.duty.member.enter() {
				go sending{t.duty, out}.run()
			}
		}
	}
}
