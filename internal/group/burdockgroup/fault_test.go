package burdockgroup_test

import (
	"fmt"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/measure/burdockgrouplab"
)

// fault is something that goes wrong when an order reaches its rank.
type fault struct {
	name string
	do   func(w *burdockgrouplab.World, o *burdockgroup.Order)
}

// pastLease is longer than a lease of the lab.
const pastLease burdockclock.Millis = 400

var everyFault = []fault{
	{"controller killed", func(w *burdockgrouplab.World, _ *burdockgroup.Order) { w.KillControllers(50) }},
	{"controller frozen", func(w *burdockgrouplab.World, _ *burdockgroup.Order) { w.FreezeControllers(pastLease) }},
	{"agent replaced", func(w *burdockgrouplab.World, o *burdockgroup.Order) { w.ReplaceAgent(o.To, 10) }},
	{"VM replaced", func(w *burdockgrouplab.World, o *burdockgroup.Order) { w.ReplaceVM(o.To, 30) }},
	{"engine restarted", func(w *burdockgrouplab.World, o *burdockgroup.Order) { w.RestartEngine(o.To) }},
	{"store out", func(w *burdockgrouplab.World, _ *burdockgroup.Order) { w.StopStore(pastLease) }},
	{"order lost", func(_ *burdockgrouplab.World, o *burdockgroup.Order) { o.Number = burdockgroup.Number{} }},
	{"order twice and late", func(w *burdockgrouplab.World, o *burdockgroup.Order) {
		w.Deliver(*o, 3)
		w.Deliver(*o, pastLease)
	}},
}

var everyOrder = []burdockgroup.OrderBody{
	burdockgroup.Read{}, burdockgroup.Load{}, burdockgroup.Arm{}, burdockgroup.Commit{},
	burdockgroup.Release{}, burdockgroup.Abort{}, burdockgroup.Begin{},
}

// strike has a fault happen at the first order of a kind to a rank, or right
// after the rank has carried it out.
type strike struct {
	fault fault
	kind  burdockgroup.OrderBody
	rank  burdockid.Rank
	after bool
	done  bool
}

func (s *strike) try(w *burdockgrouplab.World, o *burdockgroup.Order) {
	if s.done || o.To != s.rank || fmt.Sprintf("%T", o.Body) != fmt.Sprintf("%T", s.kind) {
		return
	}
	s.done = true
	if s.after {
		w.Deliver(*o, 0)
	}
	s.fault.do(w, o)
}

// spoil weakens a safeguard for one order.
type spoil func(rank *burdockgroup.Rank, o *burdockgroup.Order)

// scripted is a group of three that runs with a first map. Its strikes happen
// once begun is true, each when the one before it has happened.
type scripted struct {
	*burdockgrouplab.World
	begun bool
}

func newScripted(t *testing.T, cfg burdockgrouplab.Config, weaken spoil, strikes ...*strike) *scripted {
	t.Helper()
	s := &scripted{}
	cfg.Ranks = 3
	cfg.Hooks.Order = func(rank *burdockgroup.Rank, o burdockgroup.Order) burdockgroup.Order {
		if weaken != nil {
			weaken(rank, &o)
		}
		for _, next := range strikes {
			if s.begun && !next.done {
				next.try(s.World, &o)
				break
			}
		}
		return o
	}
	s.World = burdockgrouplab.NewWorld(cfg)
	s.Want([]byte("a"))
	if !s.Settle() {
		t.Fatal(s.Failures())
	}
	return s
}

// change has the group change to a second map and reports whether it did.
func (s *scripted) change() bool {
	s.begun = true
	s.Want([]byte("b"))
	return s.Settle()
}

// fenceOf returns the fencing number of the controller that made a map.
func fenceOf(v burdockid.MapVersion) burdockid.Fence { return burdockid.Fence(v >> 16) }

// A group's map is changed while one thing goes wrong at an order, and a second
// thing at a later order, for every kind of order and fault. Callers must see a
// delay at most: never a step with two maps, never a group that stands still.
func TestTwoFaultsAtEveryPoint(t *testing.T) {
	reached := map[string]int{}
	change, repair := everyOrder[:5], everyOrder[5:] // a repair is of the rank that was struck
	seconds := append(everyStrike(change, 0), everyStrike(repair, 1)...)
	for _, first := range everyStrike(change, 1) {
		for _, second := range seconds {
			if first.after == second.after {
				continue
			}
			s1, s2 := first, second
			w := newScripted(t, trialConfig(1), nil, &s1, &s2)
			if !w.change() {
				t.Fatalf("%v, then %v: %v", first, second, w.Failures())
			}
			if s1.done && s2.done {
				reached[fmt.Sprintf("%T", second.kind)]++
			}
		}
	}
	for _, kind := range everyOrder {
		if reached[fmt.Sprintf("%T", kind)] == 0 {
			t.Errorf("no second fault was reached at %T", kind)
		}
	}
}

// everyStrike returns each fault at each kind of order, before and after it.
func everyStrike(kinds []burdockgroup.OrderBody, rank burdockid.Rank) []strike {
	var strikes []strike
	for _, kind := range kinds {
		for _, fault := range everyFault {
			for _, after := range []bool{false, true} {
				strikes = append(strikes, strike{fault: fault, kind: kind, rank: rank, after: after})
			}
		}
	}
	return strikes
}

// String returns the strike for the report of a failed test.
func (s strike) String() string {
	return fmt.Sprintf("%s at %T of rank %d, after %v", s.fault.name, s.kind, s.rank, s.after)
}

// The controller dies when one rank has committed and may run on with the new
// map soon. Its successor must not take the change back on the others: it reads
// all ranks, finds the one commit, and ends the change of its predecessor.
func TestControllerKilledAfterACommitGoesForward(t *testing.T) {
	w := newScripted(t, trialConfig(1), nil, &strike{fault: everyFault[0], kind: burdockgroup.Commit{}, rank: 1, after: true})
	before := fenceOf(w.InForce())
	if !w.change() {
		t.Fatal(w.Failures())
	}
	if got := fenceOf(w.InForce()); got != before {
		t.Errorf("map in force was made under fence %d, want the dead controller's %d", got, before)
	}
}

// The controller dies when some ranks are armed and none has committed. The
// group holds; the successor finds no commit, lets the ranks run on with the
// old map, and makes the change anew.
func TestControllerKilledBeforeACommitGoesBack(t *testing.T) {
	w := newScripted(t, trialConfig(1), nil, &strike{fault: everyFault[0], kind: burdockgroup.Arm{}, rank: 1})
	before := fenceOf(w.InForce())
	if !w.change() {
		t.Fatal(w.Failures())
	}
	if got := fenceOf(w.InForce()); got <= before {
		t.Errorf("map in force was made under fence %d, want one above %d", got, before)
	}
}

// oldAbort is an order that was made long ago and arrives when a rank is armed
// and is to commit.
func oldAbort(w *burdockgrouplab.World, rank burdockid.Rank, n burdockgroup.Number) burdockgroup.Order {
	return burdockgroup.Order{
		Number:      n,
		To:          rank,
		Incarnation: w.RankState(rank).Incarnation,
		Body:        burdockgroup.Abort{},
	}
}

// ofFirst is a number that only the group's first controller gave out.
var ofFirst = burdockgroup.Number{Fence: 1, Seq: 1 << 40}

// takeOver has the first controller die and a second one take its place.
func (s *scripted) takeOver() {
	s.KillControllers(pastLease)
	s.Run(2 * pastLease)
}

// abortComes has an old abort arrive in place of a commit and reports whether
// the group came through, with the ranks' check of numbers or without.
func abortComes(t *testing.T, checked bool, number func(current burdockgroup.Number) burdockgroup.Number) bool {
	t.Helper()
	late := fault{"late abort", func(w *burdockgrouplab.World, o *burdockgroup.Order) {
		w.Deliver(oldAbort(w, o.To, number(o.Number)), 0)
		o.Number = burdockgroup.Number{} // the commit is lost
	}}
	weaken := func(rank *burdockgroup.Rank, o *burdockgroup.Order) {
		if !checked && o.Number.Less(rank.State().Highest) {
			rank.ForgetNumbers(o.Number)
		}
	}
	w := newScripted(t, trialConfig(1), weaken, &strike{fault: late, kind: burdockgroup.Commit{}, rank: 1})
	w.takeOver()
	return w.change()
}

// A controller was frozen between its look at the lease and the write of an
// abort. It wakes when its successor has armed all ranks. A rank that took the
// abort would run the step of the change with the old map, and no order could
// bring the group together again. The fencing number makes the order void.
func TestOrderFromBeforeTheLeaseLapsedIsVoid(t *testing.T) {
	for _, checked := range []bool{true, false} {
		got := abortComes(t, checked, func(burdockgroup.Number) burdockgroup.Number { return ofFirst })
		if got != checked {
			t.Errorf("with the check of fences %v: group well %v", checked, got)
		}
	}
}

// A controller took back a change and its abort was long on its way. It arrives
// when the same controller has armed the rank anew. The fencing number is the
// right one; what makes the order void is the controller's count.
func TestOrderOvertakenByALaterOneIsVoid(t *testing.T) {
	overtaken := func(current burdockgroup.Number) burdockgroup.Number {
		return burdockgroup.Number{Fence: current.Fence, Seq: 1}
	}
	for _, checked := range []bool{true, false} {
		if got := abortComes(t, checked, overtaken); got != checked {
			t.Errorf("with the check of the count %v: group well %v", checked, got)
		}
	}
}

// An agent is replaced beside an engine that its group's second controller has
// armed, and an abort of the first one arrives late at the new agent, which has
// forgotten the second one's number. Two safeguards stand in the way: the agent
// learns the highest number before it takes an order, and an order for another
// incarnation is refused. Either is enough; without both the abort is taken.
func TestReplacedAgentTakesNoOldOrder(t *testing.T) {
	for _, c := range []struct{ learns, checks bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
		late := fault{"agent replaced, late abort", func(w *burdockgrouplab.World, o *burdockgroup.Order) {
			abort := oldAbort(w, o.To, ofFirst)
			w.ReplaceAgent(o.To, 1)
			for wait := burdockclock.Millis(1); wait < 10; wait++ {
				w.Deliver(abort, wait)
			}
		}}
		cfg := trialConfig(1)
		cfg.Hooks.Learned = func(f burdockid.Fence) burdockid.Fence {
			if c.learns {
				return f
			}
			return 0
		}
		weaken := func(rank *burdockgroup.Rank, o *burdockgroup.Order) {
			if !c.checks {
				o.Incarnation = rank.State().Incarnation
			}
		}
		w := newScripted(t, cfg, weaken, &strike{fault: late, kind: burdockgroup.Commit{}, rank: 1})
		w.takeOver()
		if got, want := w.change(), c.learns || c.checks; got != want {
			t.Errorf("learns %v, checks %v: group well %v, want %v; failures %.200v", c.learns, c.checks, got, want, w.Failures())
		}
	}
}

// The window that is left: an agent hands a commit to its engine and is replaced;
// the new agent reads that the engine is armed, reports it, and is sent an abort;
// then the engine takes the old commit. The engine must refuse to run on, since
// the other ranks go back: the group holds, with a reason, until that engine is
// restarted. An engine that ignores what it is held for splits the group.
func TestCommitOfADeadAgentHoldsTheGroup(t *testing.T) {
	for _, rash := range []bool{false, true} {
		killed := &strike{fault: everyFault[0], kind: burdockgroup.Arm{}, rank: 1, after: true}
		late := &strike{kind: burdockgroup.Abort{}, rank: 1, fault: fault{"commit of a dead agent",
			func(w *burdockgrouplab.World, o *burdockgroup.Order) {
				s := w.RankState(o.To).Engine
				w.OrderEngine(o.To, burdockgroup.UseFrom{Map: s.Spare, Step: s.HoldAt})
			}}}
		cfg := trialConfig(1)
		cfg.EngineRash = rash
		w := newScripted(t, cfg, nil, killed, late)
		if w.change() || !late.done {
			t.Fatalf("rash %v: the late commit had no effect", rash)
		}
		if got := strings.Contains(w.Failures()[0], "used map"); got != rash {
			t.Errorf("rash %v: split %v, failures %.300v", rash, got, w.Failures())
		}
	}
}

// The store is out when an agent is replaced. The new agent must not wait for
// the store to come back, else the group has a deaf rank for the whole outage:
// its peers tell it the highest fencing number that any controller acted with.
func TestReplacedAgentLearnsFromPeersWhileTheStoreIsOut(t *testing.T) {
	w := newScripted(t, trialConfig(1), nil)
	const outage = 60_000
	want := w.RankState(1).Highest.Fence
	w.StopStore(outage)
	w.ReplaceAgent(1, 5)
	w.Run(200)
	got := w.RankState(1)
	if got.Phase != burdockgroup.RankRunning || got.Highest.Fence != want {
		t.Errorf("replaced agent: phase %s, fence %d, want %s and %d", got.Phase, got.Highest.Fence, burdockgroup.RankRunning, want)
	}
}

// All engines of a group are empty and nobody has a map for them. Each rank calls
// for help, again and again, and a reading of the group asks every rank. The
// calls must not make the group read more often than one that is at rest.
func TestGroupThatNobodyCanHelpStaysQuiet(t *testing.T) {
	cfg := trialConfig(1)
	cfg.Ranks = 8
	w := burdockgrouplab.NewWorld(cfg)
	const start, span, poll = 5_000, 20_000, 200 // milliseconds; poll is the lab's
	w.Run(start)
	before := w.Orders()
	w.Run(span)
	got, most := w.Orders()-before, span/poll*cfg.Ranks
	if got == 0 || got > most {
		t.Errorf("%d orders in %d s, want at most %d, and some", got, span/1000, most)
	}
}
