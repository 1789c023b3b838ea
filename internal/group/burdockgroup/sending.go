package burdockgroup

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// member is what the controller knows of one rank.
type member struct {
	incarnation burdockid.Incarnation
	fresh       bool // heard of in this reading or later
	status      EngineStatus
	kept        []burdockid.MapVersion
	refusal     Refusal
	order       *Order // sent and not answered
	again       bool   // it was sent more than once
	sentAt      burdockclock.Millis
	answeredAt  burdockclock.Millis
}

func (m *member) waitingFor() uint64 {
	if m.order == nil {
		return 0
	}
	return m.order.Number.Seq
}

// drive brings every rank nearer to the goal and reports whether all are there.
func (c *Controller) drive() bool {
	all := true
	for i := range c.members {
		if !c.driveOne(i) {
			all = false
		}
	}
	if all {
		c.timing.ended()
	}
	return all
}

func (c *Controller) driveOne(i int) bool {
	m := &c.members[i]
	if m.order != nil {
		c.ask(i, m.order.Body)
		return false
	}
	body, done := c.goal.next(m.status)
	if done && c.goal.Kind == GoalRun && c.goal.Base != 0 && !slices.Contains(m.kept, c.goal.Base) {
		return c.refill(i)
	}
	if done {
		return true
	}
	switch body := body.(type) {
	case nil:
		c.askLater(i, Read{})
	case Load:
		c.askLoad(i, body.Map)
	default:
		c.ask(i, body)
	}
	return false
}

// refill gives an agent the content of the map in use, if anyone has it.
func (c *Controller) refill(i int) bool {
	if c.contents[c.goal.Base] == nil && c.keeper(c.goal.Base) < 0 {
		return true
	}
	c.askLoad(i, c.goal.Base)
	return false
}

func (c *Controller) askLoad(i int, v burdockid.MapVersion) {
	content, ok := c.contents[v]
	if !ok {
		c.fetch(v)
		return
	}
	load := Load{Map: v, Content: content}
	if c.members[i].status.Failed == v {
		c.askLater(i, load)
		return
	}
	c.ask(i, load)
}

func (c *Controller) keeper(v burdockid.MapVersion) int {
	return slices.IndexFunc(c.members, func(m member) bool { return slices.Contains(m.kept, v) })
}

// fetch gets the content of a map from an agent that has kept it.
func (c *Controller) fetch(v burdockid.MapVersion) {
	if i := c.keeper(v); i >= 0 {
		c.ask(i, Read{Want: v})
		return
	}
	c.need(v)
}

func (c *Controller) need(v burdockid.MapVersion) {
	if c.neededAt == 0 || c.now-c.neededAt >= c.cfg.Retry {
		c.neededAt = c.now
		c.emit(NeedMap{Map: v})
	}
}

// askLater asks a rank that loads, when it is due.
func (c *Controller) askLater(i int, body OrderBody) {
	if c.now-c.members[i].answeredAt >= c.cfg.LoadPoll {
		c.ask(i, body)
	}
}

// ask sends an order, or sends the unanswered one again when that is due. A
// rank has one order at a time, so that its answer is never of two minds.
func (c *Controller) ask(i int, body OrderBody) {
	m := &c.members[i]
	if m.order != nil {
		if c.now-m.sentAt >= c.retry(m.order.Body) {
			m.again = true
			c.send(m)
		}
		return
	}
	c.seq++
	order := Order{Number: Number{Fence: c.lease.Fence, Seq: c.seq}, To: burdockid.Rank(i), Body: body}
	if _, isRead := body.(Read); !isRead {
		order.Incarnation = m.incarnation
	}
	m.order, m.again = &order, false
	c.send(m)
}

func (c *Controller) send(m *member) {
	m.sentAt = c.now
	c.emit(SendOrder{Order: *m.order, NotAfter: c.lease.Until, Resend: m.again})
}
