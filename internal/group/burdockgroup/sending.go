package burdockgroup

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// member is what the controller knows of one rank.
type member struct {
	incarnation burdockid.Incarnation
	fresh       bool // reported in this reading or later
	status      EngineStatus
	kept        []burdockid.MapVersion
	refusal     Refusal
	order       *Order // sent but not answered
	resent      bool   // order was sent more than once
	sentAt      burdockclock.Millis
	answeredAt  burdockclock.Millis
}

func (m *member) pendingOrder() uint64 {
	if m.order == nil {
		return 0
	}
	return m.order.Number.Seq
}

// drive sends each rank the next order towards the goal and reports whether all ranks
// have reached it.
func (c *Controller) drive() bool {
	all := true
	for i := range c.members {
		if !c.driveRank(i) {
			all = false
		}
	}
	if all {
		c.timing.endRound()
	}
	return all
}

func (c *Controller) driveRank(i int) bool {
	m := &c.members[i]
	if m.order != nil {
		c.sendOrder(i, m.order.Body)
		return false
	}
	body, done := c.goal.next(m.status)
	if done && c.goal.Kind == GoalRun && c.goal.Base != 0 && !slices.Contains(m.kept, c.goal.Base) {
		return c.reloadContent(i)
	}
	if done {
		return true
	}
	switch body := body.(type) {
	case nil:
		c.sendWhenPollDue(i, Read{})
	case Load:
		c.sendLoad(i, body.Map)
	default:
		c.sendOrder(i, body)
	}
	return false
}

// reloadContent gives an agent the content of the map in use, if any agent or the
// controller has it.
func (c *Controller) reloadContent(i int) bool {
	if c.contents[c.goal.Base] == nil && c.contentHolder(c.goal.Base) < 0 {
		return true
	}
	c.sendLoad(i, c.goal.Base)
	return false
}

func (c *Controller) sendLoad(i int, v burdockid.MapVersion) {
	content, ok := c.contents[v]
	if !ok {
		c.fetch(v)
		return
	}
	load := Load{Map: v, Content: content}
	if c.members[i].status.Failed == v {
		c.sendWhenPollDue(i, load)
		return
	}
	c.sendOrder(i, load)
}

func (c *Controller) contentHolder(v burdockid.MapVersion) int {
	return slices.IndexFunc(c.members, func(m member) bool { return slices.Contains(m.kept, v) })
}

// fetch reads the content of a map from an agent that has kept it, or requests the map
// from outside the group.
func (c *Controller) fetch(v burdockid.MapVersion) {
	if i := c.contentHolder(v); i >= 0 {
		c.sendOrder(i, Read{Want: v})
		return
	}
	c.requestMap(v)
}

func (c *Controller) requestMap(v burdockid.MapVersion) {
	if c.mapRequestedAt == 0 || c.now-c.mapRequestedAt >= c.cfg.Retry {
		c.mapRequestedAt = c.now
		c.emit(NeedMap{Map: v})
	}
}

// sendWhenPollDue sends an order to a rank that is loading a map, at most once per
// LoadPoll.
func (c *Controller) sendWhenPollDue(i int, body OrderBody) {
	if c.now-c.members[i].answeredAt >= c.cfg.LoadPoll {
		c.sendOrder(i, body)
	}
}

// sendOrder sends an order, or sends the unanswered one again when that is due. A rank
// has one open order at a time; otherwise its answer could be ambiguous.
func (c *Controller) sendOrder(i int, body OrderBody) {
	m := &c.members[i]
	if m.order != nil {
		if c.now-m.sentAt >= c.retryInterval(m.order.Body) {
			m.resent = true
			c.emitOrder(m)
		}
		return
	}
	c.seq++
	order := Order{Number: Number{Fence: c.lease.Fence, Seq: c.seq}, To: burdockid.Rank(i), Body: body}
	if _, isRead := body.(Read); !isRead {
		order.Incarnation = m.incarnation
	}
	m.order, m.resent = &order, false
	c.emitOrder(m)
}

func (c *Controller) emitOrder(m *member) {
	m.sentAt = c.now
	c.emit(SendOrder{Order: *m.order, NotAfter: c.lease.Until, Resend: m.resent})
}
