package burdockhosted

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// delayedGroup is a group whose ranks all answer an order after roundDelay, and whose
// steps take stepTime.
type delayedGroup struct {
	controller *burdockgroup.Controller
	now        burdockclock.Millis
	roundDelay burdockclock.Millis
	stepTime   burdockclock.Millis
	ranks      []burdockgroup.EngineStatus
	orders     []delayedOrder
	lastLead   burdockid.Step // of the latest change: number of steps from the next one to the switch
	completed  int
}

type delayedOrder struct {
	order burdockgroup.Order
	dueAt burdockclock.Millis
}

func newDelayedGroup(ranks int, roundDelay, stepTime burdockclock.Millis) *delayedGroup {
	cfg := burdockgroup.DefaultControllerConfig(ranks)
	tuning(0).AdjustController(&cfg)
	g := &delayedGroup{controller: burdockgroup.NewController(cfg), roundDelay: roundDelay, stepTime: stepTime}
	for range ranks {
		g.ranks = append(g.ranks, burdockgroup.EngineStatus{Next: 1, Base: initialMap})
	}
	g.handle(burdockgroup.LeaseHeld{Lease: burdockgroup.Lease{Fence: 1, Until: burdockclock.Hour}})
	return g
}

func (g *delayedGroup) handle(in burdockgroup.ControllerInput) {
	for _, out := range g.controller.Handle(g.now, in) {
		switch out := out.(type) {
		case burdockgroup.SendOrder:
			g.orders = append(g.orders, delayedOrder{out.Order, g.now + g.roundDelay})
			if arm, ok := out.Order.Body.(burdockgroup.Arm); ok {
				g.lastLead = arm.At - g.next()
			}
		case burdockgroup.MapInForce:
			g.completed++
		}
	}
}

func (g *delayedGroup) next() burdockid.Step { return g.ranks[0].Next }

// advance simulates one millisecond.
func (g *delayedGroup) advance() {
	g.now++
	for len(g.orders) > 0 && g.orders[0].dueAt <= g.now {
		o := g.orders[0].order
		g.orders = g.orders[1:]
		g.apply(&g.ranks[o.To], o.Body)
		report := burdockgroup.Report{
			Number: o.Number, From: o.To, Incarnation: "a", Status: g.ranks[o.To], Kept: []burdockid.MapVersion{g.ranks[o.To].Base},
		}
		if read, ok := o.Body.(burdockgroup.Read); ok && read.Want != 0 {
			report.Content = []byte{0}
		}
		g.handle(burdockgroup.ReportReceived{Report: report})
	}
	if g.now%g.stepTime == 0 {
		g.step()
	}
	g.handle(burdockgroup.ControllerTick{})
}

func (g *delayedGroup) apply(s *burdockgroup.EngineStatus, body burdockgroup.OrderBody) {
	switch body := body.(type) {
	case burdockgroup.Load:
		s.Spare = body.Map
	case burdockgroup.Arm:
		if s.Next <= body.At {
			s.Held, s.HoldAt = true, body.At
		}
	case burdockgroup.Commit:
		s.Switch, s.Spare = burdockgroup.Switch(body), 0
	case burdockgroup.Release, burdockgroup.Abort:
		s.Held = false
	}
}

func (g *delayedGroup) step() {
	for _, s := range g.ranks {
		if s.Held && s.HoldAt == s.Next {
			return
		}
	}
	for i := range g.ranks {
		s := &g.ranks[i]
		if s.Switch.Map != 0 && s.Switch.At == s.Next {
			s.Base, s.Switch = s.Switch.Map, burdockgroup.Switch{}
		}
		s.Next++
	}
}

// All streams of a large group pause while its map changes. The three rounds of orders
// take 2 ms per rank, a step under load a tenth of a second. If the lead is too short,
// the step of the switch comes before the rounds end: the group stalls, and that pause
// and the step together are longer than callers accept. If the lead is too long, an
// outdated map stays in use.
func TestSwitchLeadCoversOrderRoundsOfLargeGroup(t *testing.T) {
	const (
		roundTimePerRank = 2 * burdockclock.Millis(1)
		stepTime         = 50 * burdockclock.Millis(1)
		maxSpareSteps    = 2 // steps that a change may wait for no reason
	)
	// pause from the end of one change to the request for the next
	for _, interval := range []burdockclock.Millis{0, burdockclock.Second} {
		for _, ranks := range []int{2, 4, 16, 72, 144, 192} {
			rounds := roundTimePerRank * burdockclock.Millis(ranks)
			g := newDelayedGroup(ranks, max(rounds/3, 1), stepTime)
			if !g.runChanges(interval) {
				t.Errorf("%d ranks, a change every %d ms: got %d maps in force, want %d", ranks, interval, g.completed, changeCount+1)
				continue
			}
			if leadTime := stepTime * burdockclock.Millis(g.lastLead); leadTime < rounds || leadTime > rounds+maxSpareSteps*stepTime {
				t.Errorf("%d ranks, a change every %d ms: a lead of %d steps takes %d ms, want %d to %d",
					ranks, interval, g.lastLead, leadTime, rounds, rounds+maxSpareSteps*stepTime)
			}
		}
	}
}

// changeCount is how many changes a controller makes before its lead is checked.
const changeCount = 4

// runChanges requests changes with a pause after each, and reports whether all have
// completed.
func (g *delayedGroup) runChanges(pause burdockclock.Millis) bool {
	for change := 1; change <= changeCount; change++ {
		g.handle(burdockgroup.MapWanted{Content: []byte{byte(change)}})
		for g.completed <= change && g.now < burdockclock.Minute {
			g.advance()
		}
		for until := g.now + pause; g.now < until; {
			g.advance()
		}
	}
	return g.completed == changeCount+1
}
