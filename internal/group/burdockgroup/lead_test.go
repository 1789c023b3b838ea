package burdockgroup

import (
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// pacedGroup is a group of engines in lock-step that carry out and answer each
// order some time after it was sent. Time is counted in milliseconds.
type pacedGroup struct {
	c       *Controller
	now     burdockclock.Millis
	answer  burdockclock.Millis // from an order to its report
	step    burdockclock.Millis // length of a step
	endsAt  burdockclock.Millis // of the step that runs
	engines []EngineStatus
	orders  []pacedOrder
	inForce burdockid.MapVersion
}

type pacedOrder struct {
	order Order
	at    burdockclock.Millis
}

func newPacedGroup(ranks int) *pacedGroup {
	g := &pacedGroup{answer: 10, step: 100, c: NewController(ControllerConfig{
		Ranks: ranks, Retry: burdockclock.Minute, Poll: 10, PassPoll: 10, LoadPoll: 10, Lead: 1, MaxLead: 8, ShortLead: true,
	})}
	for range ranks {
		g.engines = append(g.engines, EngineStatus{Next: 1, Base: 1})
	}
	g.take(g.c.Handle(0, LeaseHeld{Lease{Fence: 1, Until: burdockclock.Hour}}))
	return g
}

func (g *pacedGroup) take(outs []ControllerOutput) {
	for _, out := range outs {
		switch out := out.(type) {
		case SendOrder:
			g.orders = append(g.orders, pacedOrder{out.Order, g.now + g.answer})
		case MapInForce:
			g.inForce = out.Map
		}
	}
}

// pass lets a millisecond pass.
func (g *pacedGroup) pass() {
	g.now++
	for len(g.orders) > 0 && g.orders[0].at <= g.now {
		o := g.orders[0].order
		g.orders = g.orders[1:]
		g.apply(&g.engines[o.To], o.Body)
		g.take(g.c.Handle(g.now, ReportReceived{Report{
			Number: o.Number, From: o.To, Incarnation: "a", Highest: 1, Status: g.engines[o.To],
		}}))
	}
	if g.now >= g.endsAt && !g.held() {
		g.endsAt = g.now + g.step
		for i := range g.engines {
			g.begin(&g.engines[i])
		}
	}
	g.take(g.c.Handle(g.now, ControllerTick{}))
}

func (g *pacedGroup) held() bool {
	for _, e := range g.engines {
		if e.Held && e.HoldAt == e.Next {
			return true
		}
	}
	return false
}

func (*pacedGroup) begin(e *EngineStatus) {
	if e.Switch.Map != 0 && e.Switch.At == e.Next {
		e.Base, e.Switch = e.Switch.Map, Switch{}
	}
	e.LastStep, e.LastMap = e.Next, e.Base
	e.Next++
}

func (*pacedGroup) apply(e *EngineStatus, body OrderBody) {
	switch o := body.(type) {
	case Load:
		e.Spare = o.Map
	case Arm:
		if e.Next <= o.At {
			e.Held, e.HoldAt = true, o.At
		}
	case Commit:
		e.Switch, e.Spare = Switch(o), 0
	case Release:
		e.Held = false
	}
}

// change brings another map into force and returns how long that took.
func (g *pacedGroup) change(t *testing.T, content string) burdockclock.Millis {
	t.Helper()
	before, began := g.inForce, g.now
	g.take(g.c.Handle(g.now, MapWanted{Content: []byte(content)}))
	for g.inForce == before {
		if g.now > began+burdockclock.Minute {
			t.Fatal("the map did not come into force")
		}
		g.pass()
	}
	return g.now - began
}

// Callers' answers come unevenly for as long as a group runs with a map that
// its work has outgrown. Steps are short at first, so that a change needs a lead
// of many of them, and then each takes a tenth of a second because the map no
// longer fits. A lead that stayed as long as it had grown would put each later
// change off by nearly a second, when two steps are enough for its rounds.
func TestLeadFallsWhenStepsGrowLong(t *testing.T) {
	g := newPacedGroup(3)
	g.step = 2
	for i := range 4 {
		g.change(t, fmt.Sprintf("short %d", i))
	}
	if got, least := g.c.lead, burdockid.Step(4); got < least {
		t.Fatalf("lead while steps are short: got %d, want %d at least", got, least)
	}
	g.step = 100
	g.change(t, "the change that finds its lead too long")
	for i := range 4 {
		if got, most := g.change(t, fmt.Sprintf("long %d", i)), 4*g.step; got > most {
			t.Errorf("change %d with steps of %d ms: got %d ms, want %d at most", i, g.step, got, most)
		}
	}
}

// A step lasts about as long as two rounds, so ranks reach the step before that
// of the change while the others still commit. Nobody stands yet: a lead that
// grew at the sight of it would double until changes come seconds late.
func TestShortLeadIsNotTooShortWhileAStepRuns(t *testing.T) {
	g := newPacedGroup(3)
	g.step = 25
	for i := range 8 {
		g.change(t, fmt.Sprintf("change %d", i))
		if got, want := g.c.lead, burdockid.Step(1); got != want {
			t.Fatalf("lead after change %d: got %d, want %d", i, got, want)
		}
	}
}
