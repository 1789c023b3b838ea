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

// fault is a failure that happens when an order reaches its rank.
type fault struct {
	name  string
	apply func(w *burdockgrouplab.World, o *burdockgroup.Order)
}

// longerThanLease is longer than a lease of the simulated group.
const longerThanLease burdockclock.Millis = 400

var allFaults = []fault{
	{"controller killed", func(w *burdockgrouplab.World, _ *burdockgroup.Order) { w.KillControllers(50) }},
	{"controller frozen", func(w *burdockgrouplab.World, _ *burdockgroup.Order) { w.FreezeControllers(longerThanLease) }},
	{"agent replaced", func(w *burdockgrouplab.World, o *burdockgroup.Order) { w.ReplaceAgent(o.To, 10) }},
	{"VM replaced", func(w *burdockgrouplab.World, o *burdockgroup.Order) { w.ReplaceVM(o.To, 30) }},
	{"engine restarted", func(w *burdockgrouplab.World, o *burdockgroup.Order) { w.RestartEngine(o.To) }},
	{"store unavailable", func(w *burdockgrouplab.World, _ *burdockgroup.Order) { w.StopStore(longerThanLease) }},
	{"order lost", func(_ *burdockgrouplab.World, o *burdockgroup.Order) { o.Number = burdockgroup.Number{} }},
	{"order duplicated and delayed", func(w *burdockgrouplab.World, o *burdockgroup.Order) {
		w.Deliver(*o, 3)
		w.Deliver(*o, longerThanLease)
	}},
}

var allOrders = []burdockgroup.OrderBody{
	burdockgroup.Read{}, burdockgroup.Load{}, burdockgroup.Arm{}, burdockgroup.Commit{},
	burdockgroup.Release{}, burdockgroup.Abort{}, burdockgroup.Begin{},
}

// injection makes a fault happen when the first order of a kind reaches a rank, or right
// after the rank has carried it out.
type injection struct {
	fault fault
	kind  burdockgroup.OrderBody
	rank  burdockid.Rank
	after bool
	done  bool
}

func (s *injection) try(w *burdockgrouplab.World, o *burdockgroup.Order) {
	if s.done || o.To != s.rank || fmt.Sprintf("%T", o.Body) != fmt.Sprintf("%T", s.kind) {
		return
	}
	s.done = true
	if s.after {
		w.Deliver(*o, 0)
	}
	s.fault.apply(w, o)
}

// orderHook weakens a safeguard for one order.
type orderHook func(rank *burdockgroup.Rank, o *burdockgroup.Order)

// scriptedGroup is a group of three ranks that runs with a first map. Its injections take
// place in sequence, once begun is true.
type scriptedGroup struct {
	*burdockgrouplab.World
	begun bool
}

func newScriptedGroup(t *testing.T, cfg burdockgrouplab.Config, weaken orderHook, injections ...*injection) *scriptedGroup {
	t.Helper()
	s := &scriptedGroup{}
	cfg.Ranks = 3
	cfg.Hooks.Order = func(rank *burdockgroup.Rank, o burdockgroup.Order) burdockgroup.Order {
		if weaken != nil {
			weaken(rank, &o)
		}
		for _, next := range injections {
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

// change makes the group change to a second map and reports whether it did.
func (s *scriptedGroup) change() bool {
	s.begun = true
	s.Want([]byte("b"))
	return s.Settle()
}

// fenceOf returns the fencing number of the controller that created a map.
func fenceOf(v burdockid.MapVersion) burdockid.Fence { return burdockid.Fence(v >> 16) }

// Injects one fault at an order of a map change and a second one at a later order, for
// every kind of order and fault. Clients must see a delay at most: the group must neither
// run a step with two maps nor stall for good.
func TestTwoFaultsAtEveryPoint(t *testing.T) {
	reached := map[string]int{}
	change, repair := allOrders[:5], allOrders[5:] // a repair follows at the rank with the first fault
	seconds := append(allInjections(change, 0), allInjections(repair, 1)...)
	for _, first := range allInjections(change, 1) {
		for _, second := range seconds {
			if first.after == second.after {
				continue
			}
			s1, s2 := first, second
			w := newScriptedGroup(t, trialConfig(1), nil, &s1, &s2)
			if !w.change() {
				t.Fatalf("%v, then %v: %v", first, second, w.Failures())
			}
			if s1.done && s2.done {
				reached[fmt.Sprintf("%T", second.kind)]++
			}
		}
	}
	for _, kind := range allOrders {
		if reached[fmt.Sprintf("%T", kind)] == 0 {
			t.Errorf("no run injected the second fault at %T", kind)
		}
	}
}

// allInjections returns each fault at each kind of order, before and after it.
func allInjections(kinds []burdockgroup.OrderBody, rank burdockid.Rank) []injection {
	var injections []injection
	for _, kind := range kinds {
		for _, fault := range allFaults {
			for _, after := range []bool{false, true} {
				injections = append(injections, injection{fault: fault, kind: kind, rank: rank, after: after})
			}
		}
	}
	return injections
}

// String returns the injection for the report of a failed test.
func (s injection) String() string {
	return fmt.Sprintf("%s at %T of rank %d, after %v", s.fault.name, s.kind, s.rank, s.after)
}

// The controller dies when one rank has committed and may soon run on with the new map.
// Its successor must not roll the change back on the others: it reads all ranks, finds
// the one commit and completes the change.
func TestChangeCompletesIfControllerDiesAfterCommit(t *testing.T) {
	w := newScriptedGroup(t, trialConfig(1), nil, &injection{fault: allFaults[0], kind: burdockgroup.Commit{}, rank: 1, after: true})
	before := fenceOf(w.InForce())
	if !w.change() {
		t.Fatal(w.Failures())
	}
	if got := fenceOf(w.InForce()); got != before {
		t.Errorf("map in force: created under fence %d, want the dead controller's %d", got, before)
	}
}

// The controller dies when some ranks are armed and none has committed, so the group is
// held. Its successor finds no commit, lets the ranks run on with the old map, and starts
// the change again.
func TestChangeRollsBackIfControllerDiesBeforeCommit(t *testing.T) {
	w := newScriptedGroup(t, trialConfig(1), nil, &injection{fault: allFaults[0], kind: burdockgroup.Arm{}, rank: 1})
	before := fenceOf(w.InForce())
	if !w.change() {
		t.Fatal(w.Failures())
	}
	if got := fenceOf(w.InForce()); got <= before {
		t.Errorf("map in force: created under fence %d, want more than %d", got, before)
	}
}

// staleAbort returns an order that was created long ago and arrives when a rank is armed
// and is to commit.
func staleAbort(w *burdockgrouplab.World, rank burdockid.Rank, n burdockgroup.Number) burdockgroup.Order {
	return burdockgroup.Order{
		Number:      n,
		To:          rank,
		Incarnation: w.RankState(rank).Incarnation,
		Body:        burdockgroup.Abort{},
	}
}

// firstControllerNumber is a number that only the group's first controller could use.
var firstControllerNumber = burdockgroup.Number{Fence: 1, Seq: 1 << 40}

// replaceController makes the first controller die and a second one take over.
func (s *scriptedGroup) replaceController() {
	s.KillControllers(longerThanLease)
	s.Run(2 * longerThanLease)
}

// survivesStaleAbort makes a stale abort arrive instead of a commit. It reports whether
// the group completes the change, with or without the ranks' check of order numbers.
func survivesStaleAbort(t *testing.T, checked bool, number func(current burdockgroup.Number) burdockgroup.Number) bool {
	t.Helper()
	late := fault{"stale abort", func(w *burdockgrouplab.World, o *burdockgroup.Order) {
		w.Deliver(staleAbort(w, o.To, number(o.Number)), 0)
		o.Number = burdockgroup.Number{} // the commit is lost
	}}
	weaken := func(rank *burdockgroup.Rank, o *burdockgroup.Order) {
		if !checked && o.Number.Less(rank.State().Highest) {
			rank.ResetHighest(o.Number)
		}
	}
	w := newScriptedGroup(t, trialConfig(1), weaken, &injection{fault: late, kind: burdockgroup.Commit{}, rank: 1})
	w.replaceController()
	return w.change()
}

// A controller is frozen between its check of the lease and the write of an abort, and
// resumes when its successor has armed all ranks. A rank that carried out the abort would
// run the switch step with the old map, and no order could reconcile the group. The
// fencing number makes the order void.
func TestOrderOfExpiredLeaseIsVoid(t *testing.T) {
	for _, checked := range []bool{true, false} {
		got := survivesStaleAbort(t, checked, func(burdockgroup.Number) burdockgroup.Number { return firstControllerNumber })
		if got != checked {
			t.Errorf("check of fencing numbers %v: change completed %v", checked, got)
		}
	}
}

// A controller aborts a change, and the abort is delayed until the same controller has
// armed the rank again. The fencing number is current; the sequence number makes the
// order void.
func TestOvertakenOrderIsVoid(t *testing.T) {
	overtaken := func(current burdockgroup.Number) burdockgroup.Number {
		return burdockgroup.Number{Fence: current.Fence, Seq: 1}
	}
	for _, checked := range []bool{true, false} {
		if got := survivesStaleAbort(t, checked, overtaken); got != checked {
			t.Errorf("check of sequence numbers %v: change completed %v", checked, got)
		}
	}
}

// An agent is replaced while its engine, which the second controller has armed, keeps
// running. A late abort of the first controller reaches the new agent, which does not
// know the second one's number. Two safeguards prevent that it is carried out: the agent
// learns the highest number before it accepts an order, and an order for another
// incarnation is refused. Either is enough; without both the abort is carried out.
func TestReplacedAgentRefusesOldOrder(t *testing.T) {
	for _, c := range []struct{ learns, checks bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
		late := fault{"agent replaced, stale abort", func(w *burdockgrouplab.World, o *burdockgroup.Order) {
			abort := staleAbort(w, o.To, firstControllerNumber)
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
		w := newScriptedGroup(t, cfg, weaken, &injection{fault: late, kind: burdockgroup.Commit{}, rank: 1})
		w.replaceController()
		if got, want := w.change(), c.learns || c.checks; got != want {
			t.Errorf("learns %v, checks %v: change completed %v, want %v; failures %.200v", c.learns, c.checks, got, want, w.Failures())
		}
	}
}

// One window remains: an agent sends a commit to its engine and is replaced; the new
// agent reads that the engine is armed, reports it, and receives an abort; only then does
// the engine process the old commit. The engine must refuse to run on, because the other
// ranks roll back: the group is held, with a reported reason, until that engine is
// restarted. An engine that ignores the switch named in the order splits the group.
func TestLateCommitOfReplacedAgentHoldsGroup(t *testing.T) {
	for _, ignoresSwitch := range []bool{false, true} {
		killed := &injection{fault: allFaults[0], kind: burdockgroup.Arm{}, rank: 1, after: true}
		late := &injection{kind: burdockgroup.Abort{}, rank: 1, fault: fault{"late commit of the replaced agent",
			func(w *burdockgrouplab.World, o *burdockgroup.Order) {
				s := w.RankState(o.To).Engine
				w.OrderEngine(o.To, burdockgroup.UseFrom{Map: s.Spare, Step: s.HoldAt})
			}}}
		cfg := trialConfig(1)
		cfg.EngineResumesAnySwitch = ignoresSwitch
		w := newScriptedGroup(t, cfg, nil, killed, late)
		if w.change() || !late.done {
			t.Fatalf("engine ignores switch %v: the late commit had no effect", ignoresSwitch)
		}
		if got := strings.Contains(w.Failures()[0], "used map"); got != ignoresSwitch {
			t.Errorf("engine ignores switch %v: split %v, failures %.300v", ignoresSwitch, got, w.Failures())
		}
	}
}

// An agent is replaced while the store is unavailable. If it waited for the store, the
// rank would accept no order during the whole outage. Its peers report the highest
// fencing number with which any controller has acted.
func TestReplacedAgentLearnsFromPeersDuringStoreOutage(t *testing.T) {
	w := newScriptedGroup(t, trialConfig(1), nil)
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

// All engines of a group are empty and there is no map for them. Each rank keeps
// notifying the controller, and a reading of the group queries every rank. The
// notifications must not make the controller read the group more often than one at rest.
func TestGroupWithoutMapIsNotReadMoreOften(t *testing.T) {
	cfg := trialConfig(1)
	cfg.Ranks = 8
	w := burdockgrouplab.NewWorld(cfg)
	const start, span, poll = 5_000, 20_000, 200 // milliseconds; poll is that of the simulated group
	w.Run(start)
	before := w.Orders()
	w.Run(span)
	got, limit := w.Orders()-before, span/poll*cfg.Ranks
	if got == 0 || got > limit {
		t.Errorf("%d orders in %d s, want at most %d, and some", got, span/1000, limit)
	}
}
