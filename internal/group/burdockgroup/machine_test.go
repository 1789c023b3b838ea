package burdockgroup

import (
	"encoding/json"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockgolden"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

func newTestRank() *Rank {
	return NewRank(RankConfig{Rank: 0, Ranks: 3, Incarnation: "a", Retry: 20, NotifyDelay: 40})
}

// answerEngineOrder passes the engine's answer to the order in outs to the rank.
func answerEngineOrder(r *Rank, outs []RankOutput, s EngineStatus) []RankOutput {
	for _, out := range outs {
		if order, ok := out.(OrderEngine); ok {
			return r.Handle(2, EngineAnswered{Ticket: order.Ticket, Status: s})
		}
	}
	return nil
}

func reportOf(t *testing.T, outs []RankOutput) Report {
	t.Helper()
	for _, out := range outs {
		if sent, ok := out.(SendReport); ok {
			return sent.Report
		}
	}
	t.Fatalf("no report in outputs %v", outs)
	return Report{}
}

// The one peer that answers a new agent first knows only an old controller. The agent
// must wait for the other peer, which may have seen a newer one. Peers that are as new as
// the agent know nothing.
func TestNewAgentWaitsForAllPeers(t *testing.T) {
	r := newTestRank()
	r.Handle(1, FenceAnswered{From: 1, Fence: 4, Known: true})
	if got := r.State().Phase; got != RankLearning {
		t.Errorf("after one of two peers: got %s, want %s", got, RankLearning)
	}
	r.Handle(1, FenceAnswered{From: 2, Fence: 7, Known: true})
	if got := r.State(); got.Phase != RankOrdering || got.Highest.Fence != 7 {
		t.Errorf("after both peers: got %s with fence %d, want %s with 7", got.Phase, got.Highest.Fence, RankOrdering)
	}
	r = newTestRank()
	r.Handle(1, FenceAnswered{From: 1})
	r.Handle(1, FenceAnswered{From: 2})
	if got := r.State().Phase; got != RankLearning {
		t.Errorf("after two peers that know no number: got %s, want %s", got, RankLearning)
	}
}

// The report of an order is lost, so the controller sends the order again. The rank must
// not carry it out twice: an arm after an abort would hold the group.
func TestRepeatedOrderOnlyReports(t *testing.T) {
	r := newTestRank()
	running := EngineStatus{Next: 5, Base: 1, Spare: 2}
	answerEngineOrder(r, r.Handle(1, FenceFromStore{Fence: 3}), running)
	arm := Order{Number: Number{3, 1}, Incarnation: "a", Body: Arm{Map: 2, At: 9}}
	answerEngineOrder(r, r.Handle(1, OrderReceived{arm}), running)
	for _, out := range r.Handle(3, OrderReceived{arm}) {
		if order, ok := out.(OrderEngine); ok && order.Order != (ReadStatus{}) {
			t.Errorf("repeated arm sent an order to the engine: %+v", order.Order)
		}
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		status EngineStatus
		order  Order
		want   Refusal
	}{
		{"old fence", EngineStatus{Base: 1}, Order{Number: Number{2, 9}, Incarnation: "a", Body: Read{}}, RefusalOldNumber},
		{"no content", EngineStatus{Base: 1}, Order{Number: Number{3, 1}, Incarnation: "a", Body: Load{Map: 2}}, RefusalNoMap},
		{"other incarnation", EngineStatus{Base: 1}, Order{Number: Number{3, 1}, Incarnation: "b", Body: Abort{}}, RefusalWrongIncarnation},
		{"abort after commit", EngineStatus{Base: 1, Switch: Switch{2, 9}, Held: true, HoldAt: 9}, Order{Number: Number{3, 1}, Incarnation: "a", Body: Abort{}}, RefusalNotAllowed},
		{"withdraw before commit", EngineStatus{Base: 1, Spare: 2, Held: true, HoldAt: 9}, Order{Number: Number{3, 1}, Incarnation: "a", Body: Withdraw{At: 9}}, RefusalNotAllowed},
		{"withdraw for another step", EngineStatus{Base: 1, Switch: Switch{2, 9}, Held: true, HoldAt: 9}, Order{Number: Number{3, 1}, Incarnation: "a", Body: Withdraw{At: 8}}, RefusalNotArmed},
		{"release before commit", EngineStatus{Base: 1, Spare: 2, Held: true, HoldAt: 9}, Order{Number: Number{3, 1}, Incarnation: "a", Body: Release{At: 9}}, RefusalNotAllowed},
		{"arm without load", EngineStatus{Base: 1}, Order{Number: Number{3, 1}, Incarnation: "a", Body: Arm{Map: 2, At: 9}}, RefusalNotLoaded},
		{"commit for another step", EngineStatus{Base: 1, Spare: 2, Held: true, HoldAt: 9}, Order{Number: Number{3, 1}, Incarnation: "a", Body: Commit{Map: 2, At: 8}}, RefusalNotArmed},
		{"begin with a map", EngineStatus{Base: 1, Spare: 2, Held: true, HoldAt: 9}, Order{Number: Number{3, 1}, Incarnation: "a", Body: Begin{Map: 2}}, RefusalNotEmpty},
	}
	for _, c := range cases {
		r := newTestRank()
		if got := reportOf(t, r.Handle(1, OrderReceived{c.order})).Refusal; got != RefusalLearning {
			t.Errorf("%s, while learning: got %q, want %q", c.name, got, RefusalLearning)
		}
		answerEngineOrder(r, r.Handle(1, FenceFromStore{Fence: 3}), c.status)
		if got := reportOf(t, r.Handle(2, OrderReceived{c.order})).Refusal; got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// A controller's VM is suspended and resumes after its lease has expired. Another
// controller may hold the lease by then, so the first must send nothing, although it has
// not been notified. It checks a clock that counts while the VM is suspended.
func TestControllerResumedAfterLeaseExpirySendsNothing(t *testing.T) {
	c := NewController(ControllerConfig{Ranks: 2, Retry: 20, Poll: 200})
	if outs := c.Handle(1, LeaseHeld{Lease{Fence: 1, Until: 100}}); len(outs) != 2 {
		t.Fatalf("after the lease was acquired: got %d outputs, want a read for each rank", len(outs))
	}
	for _, out := range c.Handle(100, ControllerTick{}) {
		if down, ok := out.(SteppedDown); !ok || down.Reason != StepDownLapsed {
			t.Errorf("after the lease has expired: got %+v, want only %s", out, StepDownLapsed)
		}
	}
}

// A rank's report shows that a newer controller exists. The older controller's own lease
// still looks valid, because the store granted it to another while an answer was lost.
func TestControllerStepsDownForNewerOne(t *testing.T) {
	c := NewController(ControllerConfig{Ranks: 2, Retry: 20, Poll: 200})
	c.Handle(1, LeaseHeld{Lease{Fence: 1, Until: 100}})
	c.Handle(2, ReportReceived{Report{From: 0, HighestFence: 2, Refusal: RefusalOldNumber}})
	if got := c.State().Phase; got != ControllerIdle {
		t.Errorf("got %s, want %s", got, ControllerIdle)
	}
}

// garbledInput creates inputs from bytes, most of which no correct peer would send.
type garbledInput struct {
	now     burdockclock.Millis
	a, b, d byte
}

func (g garbledInput) number() Number {
	return Number{Fence: burdockid.Fence(g.a % 4), Seq: uint64(g.b)}
}

func (g garbledInput) rank() burdockid.Rank { return burdockid.Rank(int8(g.a)) }

func (g garbledInput) status() EngineStatus {
	return EngineStatus{
		Next:   burdockid.Step(g.a),
		Base:   burdockid.MapVersion(g.b % 3),
		Spare:  burdockid.MapVersion(g.d % 3),
		Held:   g.d%2 == 0,
		HoldAt: burdockid.Step(g.b),
		Switch: Switch{Map: burdockid.MapVersion(g.a % 3), At: 3},
	}
}

func (g garbledInput) body() OrderBody {
	bodies := []OrderBody{
		nil, Read{Want: 1}, Load{Map: 1, Content: []byte("x")}, Load{}, Arm{Map: 1, At: 3},
		Commit{Map: 1, At: 3}, Release{At: 3}, Abort{}, Begin{Map: 1}, Withdraw{At: 3},
	}
	return bodies[int(g.d)%len(bodies)]
}

func (g garbledInput) rankInput(kind byte) RankInput {
	inputs := []RankInput{
		nil,
		RankTick{},
		EngineLost{},
		FenceFromStore{Fence: g.number().Fence},
		FenceAsked{From: g.rank()},
		FenceAnswered{From: g.rank(), Fence: g.number().Fence, Known: g.d%2 == 0},
		StepFinished{Step: burdockid.Step(g.a), Map: burdockid.MapVersion(g.b)},
		EngineAnswered{Ticket: uint64(g.a % 8), Status: g.status(), Failed: g.b > 250},
		OrderReceived{Order{Number: g.number(), Incarnation: "a", Body: g.body()}},
	}
	return inputs[int(kind)%len(inputs)]
}

func (g garbledInput) controllerInput(kind byte) ControllerInput {
	inputs := []ControllerInput{
		nil,
		ControllerTick{},
		LeaseHeld{Lease{Fence: g.number().Fence, Until: g.now + burdockclock.Millis(g.d)}},
		LeaseLost{},
		MapWanted{Content: []byte{g.a}},
		MapFound{Map: 1},
		RankWaiting{From: g.rank()},
		ReportReceived{Report{Number: g.number(), From: burdockid.Rank(int8(g.d % 3)), Incarnation: "a", HighestFence: g.number().Fence, Status: g.status()}},
	}
	return inputs[int(kind)%len(inputs)]
}

// FuzzMachines passes garbled inputs to both state machines. They may refuse them, but
// must neither panic nor send orders other than ReadStatus to an engine before they know
// the highest fencing number.
func FuzzMachines(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13})
	f.Fuzz(func(t *testing.T, data []byte) {
		const size = 4
		r := newTestRank()
		c := NewController(ControllerConfig{Ranks: 2, Retry: 1, Poll: 1, MaxSwitchLead: 4})
		for i := 0; i+size <= len(data); i += size {
			g := garbledInput{now: burdockclock.Millis(i), a: data[i+1], b: data[i+2], d: data[i+3]}
			learning := r.State().Phase == RankLearning
			for _, out := range r.Handle(g.now, g.rankInput(data[i])) {
				if order, ok := out.(OrderEngine); ok && learning && order.Order != (ReadStatus{}) {
					t.Errorf("sent an order to the engine while learning: %+v", order)
				}
			}
			c.Handle(g.now, g.controllerInput(data[i]))
		}
	})
}

func TestJudge(t *testing.T) {
	const before, next burdockid.MapVersion = 1, 2
	at := Switch{Map: next, At: 9}
	running := EngineStatus{Next: 8, Base: before}
	armed := EngineStatus{Next: 8, Base: before, Spare: next, Held: true, HoldAt: 9}
	committed := EngineStatus{Next: 8, Base: before, Switch: at, Held: true, HoldAt: 9}
	released := EngineStatus{Next: 9, Base: before, Switch: at}
	passed := EngineStatus{Next: 10, Base: next}
	late := EngineStatus{Next: 10, Base: before}
	empty := EngineStatus{Next: 8}
	cases := []struct {
		name     string
		statuses []EngineStatus
		want     verdict
	}{
		{"at rest", []EngineStatus{running, running}, verdictSettled},
		{"never ran", []EngineStatus{empty, empty}, verdictSettled},
		{"some armed", []EngineStatus{running, armed}, verdictUndone},
		{"one empty", []EngineStatus{running, empty}, verdictUndone},
		{"one committed", []EngineStatus{armed, committed}, verdictDecided},
		{"one committed, one empty", []EngineStatus{empty, committed}, verdictDecided},
		{"some released", []EngineStatus{released, committed}, verdictDecided},
		{"some past the step", []EngineStatus{passed, committed}, verdictDecided},
		{"all released or past the step", []EngineStatus{released, passed}, verdictSettled},
		{"all past the step, one empty", []EngineStatus{passed, empty}, verdictUndone},
		{"one ran on with the old map", []EngineStatus{late, committed}, verdictSplit},
		{"two maps", []EngineStatus{late, passed}, verdictSplit},
	}
	for _, c := range cases {
		if _, got := judge(c.statuses); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

func TestCheckerDetectsSplit(t *testing.T) {
	var c Checker
	if split := c.Observe(0, 7, 1); split != nil {
		t.Errorf("first rank: got %v", split)
	}
	if split := c.Observe(1, 7, 1); split != nil {
		t.Errorf("same map: got %v", split)
	}
	const want = "step 7: rank 0 used map 1 and rank 2 used map 2"
	if split := c.Observe(2, 7, 2); split == nil || split.Error() != want {
		t.Errorf("other map: got %v, want %q", split, want)
	}
	if split := c.Observe(2, 7+checkerWindow, 2); split != nil {
		t.Errorf("later step: got %v", split)
	}
	if split := c.Observe(0, 7, 3); split != nil {
		t.Errorf("step outside the window: got %v", split)
	}
}

func TestStateDump(t *testing.T) {
	r := newTestRank()
	answerEngineOrder(r, r.Handle(1, FenceFromStore{Fence: 3}), EngineStatus{Next: 5, Base: 1})
	r.Handle(3, OrderReceived{Order{Number: Number{3, 1}, Incarnation: "a", Body: Abort{}}})
	c := NewController(ControllerConfig{Ranks: 1, Retry: 20, Poll: 200})
	c.Handle(1, LeaseHeld{Lease{Fence: 1, Until: 100}})
	got, err := json.MarshalIndent([]any{r.State(), c.State()}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	burdockgolden.Compare(t, "state", string(got)+"\n")
}
