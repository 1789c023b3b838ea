package burdockgroup

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// simGroup simulates a group of engines in lock-step that carry out and answer each order
// answerDelay after it was sent. Time is counted in milliseconds.
type simGroup struct {
	c           *Controller
	now         burdockclock.Millis
	answerDelay burdockclock.Millis // from an order to its report
	stepTime    burdockclock.Millis // duration of a step
	stepEndsAt  burdockclock.Millis // end of the current step
	engines     []EngineStatus
	highest     []burdockid.MapVersion // by rank: highest version ever loaded
	kept        burdockid.MapVersion   // map whose content rank 0's agent has; 0 for none
	orders      []simOrder
	inForce     burdockid.MapVersion
}

type simOrder struct {
	order Order
	at    burdockclock.Millis
}

func newSimGroup(ranks int) *simGroup {
	g := &simGroup{answerDelay: 10, stepTime: 100, c: NewController(ControllerConfig{
		Ranks: ranks, Retry: burdockclock.Minute, Poll: 10, SwitchPoll: 10, LoadPoll: 10, SwitchLead: 1, MaxSwitchLead: 8, MinimizeLead: true,
	})}
	for range ranks {
		g.engines = append(g.engines, EngineStatus{Next: 1, Base: 1})
		g.highest = append(g.highest, 1)
	}
	g.handleOutputs(g.c.Handle(0, LeaseHeld{Lease{Fence: 1, Until: burdockclock.Hour}}))
	return g
}

func (g *simGroup) handleOutputs(outs []ControllerOutput) {
	for _, out := range outs {
		switch out := out.(type) {
		case SendOrder:
			g.orders = append(g.orders, simOrder{out.Order, g.now + g.answerDelay})
		case MapInForce:
			g.inForce = out.Map
		}
	}
}

// tick advances the time by a millisecond.
func (g *simGroup) tick() {
	g.now++
	for len(g.orders) > 0 && g.orders[0].at <= g.now {
		o := g.orders[0].order
		g.orders = g.orders[1:]
		g.apply(o.To, o.Body)
		g.handleOutputs(g.c.Handle(g.now, ReportReceived{g.report(o)}))
	}
	if g.now >= g.stepEndsAt && !g.held() {
		g.stepEndsAt = g.now + g.stepTime
		for i := range g.engines {
			g.beginStep(&g.engines[i])
		}
	}
	g.handleOutputs(g.c.Handle(g.now, ControllerTick{}))
}

func (g *simGroup) report(o Order) Report {
	r := Report{Number: o.Number, From: o.To, Incarnation: "a", HighestFence: 1, Status: g.engines[o.To]}
	if o.To != 0 || g.kept == 0 {
		return r
	}
	r.Kept = []burdockid.MapVersion{g.kept}
	if read, ok := o.Body.(Read); ok && read.Want == g.kept {
		r.Content = []byte("kept")
	}
	return r
}

func (g *simGroup) held() bool {
	for _, e := range g.engines {
		if e.Held && e.HoldAt == e.Next {
			return true
		}
	}
	return false
}

func (*simGroup) beginStep(e *EngineStatus) {
	if e.Switch.Map != 0 && e.Switch.At == e.Next {
		e.Base, e.Switch = e.Switch.Map, Switch{}
	}
	e.LastStep, e.LastMap = e.Next, e.Base
	e.Next++
}

func (g *simGroup) apply(to burdockid.Rank, body OrderBody) {
	e := &g.engines[to]
	switch o := body.(type) {
	case Load:
		switch {
		case o.Map <= g.highest[to]:
			e.Failed = o.Map // the engine has had this version or a higher one
		default:
			e.Spare, g.highest[to] = o.Map, o.Map
		}
	case Arm:
		if e.Next <= o.At {
			e.Held, e.HoldAt = true, o.At
		}
	case Commit:
		e.Switch, e.Spare = Switch(o), 0
	case Withdraw:
		e.Spare, e.Switch = e.Switch.Map, Switch{}
	case Release, Abort:
		e.Held = false
	}
}

// change brings another map into force and returns how long that took.
func (g *simGroup) change(t *testing.T, content string) burdockclock.Millis {
	t.Helper()
	before, began := g.inForce, g.now
	g.handleOutputs(g.c.Handle(g.now, MapWanted{Content: []byte(content)}))
	for g.inForce == before {
		if g.now > began+burdockclock.Minute {
			t.Fatal("the map did not come into force")
		}
		g.tick()
	}
	return g.now - began
}
