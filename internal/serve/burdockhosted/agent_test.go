package burdockhosted

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// slowGroup is a group whose ranks all answer an order some time after it was
// sent, and whose steps last for pass.
type slowGroup struct {
	controller *burdockgroup.Controller
	now        burdockclock.Millis
	round      burdockclock.Millis
	pass       burdockclock.Millis
	ranks      []burdockgroup.EngineStatus
	orders     []slowOrder
	lead       burdockid.Step // of the latest change: steps from the next one to its own
	changes    int
}

type slowOrder struct {
	order burdockgroup.Order
	at    burdockclock.Millis
}

func newSlowGroup(ranks int, round, pass burdockclock.Millis) *slowGroup {
	cfg := burdockgroup.DefaultControllerConfig(ranks)
	tuning(0).AdjustController(&cfg)
	g := &slowGroup{controller: burdockgroup.NewController(cfg), round: round, pass: pass}
	for range ranks {
		g.ranks = append(g.ranks, burdockgroup.EngineStatus{Next: 1, Base: initialMap})
	}
	g.tell(burdockgroup.LeaseHeld{Lease: burdockgroup.Lease{Fence: 1, Until: burdockclock.Hour}})
	return g
}

func (g *slowGroup) tell(in burdockgroup.ControllerInput) {
	for _, out := range g.controller.Handle(g.now, in) {
		switch out := out.(type) {
		case burdockgroup.SendOrder:
			g.orders = append(g.orders, slowOrder{out.Order, g.now + g.round})
			if arm, ok := out.Order.Body.(burdockgroup.Arm); ok {
				g.lead = arm.At - g.next()
			}
		case burdockgroup.MapInForce:
			g.changes++
		}
	}
}

func (g *slowGroup) next() burdockid.Step { return g.ranks[0].Next }

// millisecond lets time pass.
func (g *slowGroup) millisecond() {
	g.now++
	for len(g.orders) > 0 && g.orders[0].at <= g.now {
		o := g.orders[0].order
		g.orders = g.orders[1:]
		g.apply(&g.ranks[o.To], o.Body)
		report := burdockgroup.Report{
			Number: o.Number, From: o.To, Incarnation: "a", Status: g.ranks[o.To], Kept: []burdockid.MapVersion{g.ranks[o.To].Base},
		}
		if read, ok := o.Body.(burdockgroup.Read); ok && read.Want != 0 {
			report.Content = []byte{0}
		}
		g.tell(burdockgroup.ReportReceived{Report: report})
	}
	if g.now%g.pass == 0 {
		g.step()
	}
	g.tell(burdockgroup.ControllerTick{})
}

func (g *slowGroup) apply(s *burdockgroup.EngineStatus, body burdockgroup.OrderBody) {
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

func (g *slowGroup) step() {
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

// All streams of a large group pause at once whenever its map changes. The three
// rounds of orders take 2 ms a rank, a pass under load a tenth of a second; a
// step of the change that comes before the rounds end makes the group stand, and
// that pause with the pass is longer than callers accept. One that is set far
// beyond them keeps a map in use that no longer fits.
func TestLeadCoversTheRoundsOfALargeGroup(t *testing.T) {
	const (
		perRank = 2 * burdockclock.Millis(1)
		pass    = 50 * burdockclock.Millis(1)
		most    = 2 // passes that a change may wait for nothing
	)
	// From one change to the wish for the next.
	for _, turn := range []burdockclock.Millis{0, burdockclock.Second} {
		for _, ranks := range []int{2, 4, 16, 72, 144, 192} {
			rounds := perRank * burdockclock.Millis(ranks)
			g := newSlowGroup(ranks, max(rounds/3, 1), pass)
			if !g.changeOften(turn) {
				t.Errorf("%d ranks, a change each %d ms: got %d maps in force, want %d", ranks, turn, g.changes, changesSeen+1)
				continue
			}
			if lead := pass * burdockclock.Millis(g.lead); lead < rounds || lead > rounds+most*pass {
				t.Errorf("%d ranks, a change each %d ms: a lead of %d passes takes %d ms, want %d to %d",
					ranks, turn, g.lead, lead, rounds, rounds+most*pass)
			}
		}
	}
}

// changesSeen is how many changes a controller has made before its lead is judged.
const changesSeen = 4

// changeOften makes changes with a rest after each, and reports whether all came
// into force.
func (g *slowGroup) changeOften(rest burdockclock.Millis) bool {
	for change := 1; change <= changesSeen; change++ {
		g.tell(burdockgroup.MapWanted{Content: []byte{byte(change)}})
		for g.changes <= change && g.now < burdockclock.Minute {
			g.millisecond()
		}
		for until := g.now + rest; g.now < until; {
			g.millisecond()
		}
	}
	return g.changes == changesSeen+1
}
