package burdockhosted

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockroom"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// heldLeases are the leases that an agent holds, by group.
type heldLeases map[string]burdockid.Fence

func (h heldLeases) lease(group string) (burdockid.Fence, bool) {
	fence, held := h[group]
	return fence, held
}

func newTestRoomServer(held heldLeases) *roomServer {
	return newRoomServer(held.lease, burdockclock.NewManual(burdockclock.Hour).Clock(), metrics.NewSet(), zap.NewNop())
}

func (s *roomServer) ask(msg *burdockwire.RoomReport) (*burdockwire.RoomPart, error) {
	answer, err := s.Exchange(context.Background(), connect.NewRequest(msg))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// Guards against an agent that answers without the lease, by another term of it, or with
// what it learned in another term: a frozen or replaced coordinator would grant room that
// its successor grants to others.
func TestRoomServerAnswersOnlyWhileItHoldsTheLease(t *testing.T) {
	held := heldLeases{}
	s := newTestRoomServer(held)
	report := func(group string, fence uint64) *burdockwire.RoomReport {
		return &burdockwire.RoomReport{Group: group, Fence: fence, Entry: "edge-1", Sequence: 1}
	}
	refused := func(what string, msg *burdockwire.RoomReport) {
		t.Helper()
		if _, err := s.ask(msg); connect.CodeOf(err) != connect.CodeFailedPrecondition {
			t.Errorf("%s: got %v, want a failed precondition", what, err)
		}
	}
	refused("never held", report("g@1", 0))
	held["g@1"] = 5
	refused("an earlier term", report("g@1", 4))
	refused("a later term", report("g@1", 6))
	refused("another group", report("g@2", 5))
	if part, err := s.ask(report("g@1", 5)); err != nil || part.GetGroup() != "g@1" || part.GetFence() != 5 || part.GetSequence() != 1 {
		t.Errorf("the holder: got %v, %v, want an answer for g@1, fence 5, sequence 1", part, err)
	}
	first := s.divider
	if _, _ = s.ask(report("g@1", 5)); s.divider != first {
		t.Error("same term: got a new division")
	}
	held["g@1"] = 9
	if _, err := s.ask(report("g@1", 9)); err != nil || s.divider == first {
		t.Errorf("next term: got %v, new division %t, want a new one", err, s.divider != first)
	}
	s.latest.Room = 3
	delete(held, "g@1")
	refused("the lease is lost", report("g@1", 9))
	if got := s.current(); got.Room != 0 {
		t.Errorf("room in the metrics without the lease: got %d, want 0", got.Room)
	}
}

// Guards against reports of broken or hostile senders that reach the division.
func TestRoomServerRefusesInvalidReports(t *testing.T) {
	s := newTestRoomServer(heldLeases{"g@1": 5})
	demand := func(p, running, waiting int32) []*burdockwire.RoomDemand {
		return []*burdockwire.RoomDemand{{Priority: 3}, {Priority: p, Running: running, Waiting: waiting}}
	}
	customers := func(all ...*burdockwire.RoomCustomerDemand) []*burdockwire.RoomCustomerDemand { return all }
	for field, changes := range map[string][]func(*burdockwire.RoomReport){
		"entry":    {func(m *burdockwire.RoomReport) { m.Entry = "" }, func(m *burdockwire.RoomReport) { m.Entry = strings.Repeat("e", maxRoomName+1) }},
		"sequence": {func(m *burdockwire.RoomReport) { m.Sequence = 0 }},
		"capacity": {func(m *burdockwire.RoomReport) { m.Capacity = -1 }, func(m *burdockwire.RoomReport) { m.Capacity = math.NaN() }, func(m *burdockwire.RoomReport) { m.Capacity = math.Inf(1) }},
		"slowdown": {func(m *burdockwire.RoomReport) { m.Slowdown = math.NaN() }, func(m *burdockwire.RoomReport) { m.Slowdown = 1e9 }},
		"demands": {
			func(m *burdockwire.RoomReport) { m.Demands = demand(-1, 0, 0) }, func(m *burdockwire.RoomReport) { m.Demands = demand(10, 0, 0) },
			func(m *burdockwire.RoomReport) { m.Demands = demand(3, 0, 0) }, func(m *burdockwire.RoomReport) { m.Demands = demand(4, -1, 0) },
			func(m *burdockwire.RoomReport) { m.Demands = demand(4, 0, math.MaxInt32) },
			func(m *burdockwire.RoomReport) { m.Demands = make([]*burdockwire.RoomDemand, burdockroom.Priorities+1) },
		},
		"customers": {
			func(m *burdockwire.RoomReport) {
				m.Customers = customers(&burdockwire.RoomCustomerDemand{Customer: "a"}, &burdockwire.RoomCustomerDemand{Customer: "a"})
			},
			func(m *burdockwire.RoomReport) {
				m.Customers = customers(&burdockwire.RoomCustomerDemand{Priority: 10})
			},
			func(m *burdockwire.RoomReport) {
				m.Customers = customers(&burdockwire.RoomCustomerDemand{Waiting: -1})
			},
			func(m *burdockwire.RoomReport) {
				m.Customers = customers(&burdockwire.RoomCustomerDemand{CostTokens: math.MaxInt64})
			},
			func(m *burdockwire.RoomReport) {
				m.Customers = make([]*burdockwire.RoomCustomerDemand, burdockroom.MaxCustomers+1)
			},
		},
		"engines": {
			func(m *burdockwire.RoomReport) { m.Engines = []*burdockwire.RoomEngineLoad{{Streams: 1}} },
			func(m *burdockwire.RoomReport) {
				m.Engines = []*burdockwire.RoomEngineLoad{{Engine: "e", Streams: -1}}
			},
			func(m *burdockwire.RoomReport) {
				m.Engines = []*burdockwire.RoomEngineLoad{{Engine: "e"}, {Engine: "e"}}
			},
			func(m *burdockwire.RoomReport) {
				m.Engines = make([]*burdockwire.RoomEngineLoad, burdockroom.MaxEngines+1)
			},
		},
	} {
		for i, change := range changes {
			msg := &burdockwire.RoomReport{Group: "g@1", Fence: 5, Entry: "edge-1", Sequence: 1}
			change(msg)
			_, err := reportFromWire(msg)
			if got := roomField(err); err == nil || got != field {
				t.Errorf("%s %d: got %v, want an error that names the field", field, i, err)
			}
			if _, err := s.ask(msg); connect.CodeOf(err) != connect.CodeInvalidArgument {
				t.Errorf("%s %d: got %v, want an invalid argument", field, i, err)
			}
		}
	}
	if s.divider != nil {
		t.Error("an invalid report reached the division")
	}
}

// Guards against a client and a handler that don't understand each other, and against
// metrics that don't tell why a report had no answer.
func TestRoomExchangeByRPC(t *testing.T) {
	held, frozen := heldLeases{}, make(chan struct{})
	s := newTestRoomServer(held)
	s.heldLease = func(group string) (burdockid.Fence, bool) {
		if group == "a@2" {
			<-frozen
		}
		return held.lease(group)
	}
	mux := http.NewServeMux()
	mux.Handle(s.handler())
	web := httptest.NewServer(mux)
	t.Cleanup(web.Close)
	f := newRoomFixture(burdockclock.System())
	call := newExchangeCall(burdocktransport.NewPeers(nil))
	f.answer = func(ctx context.Context, msg *burdockwire.RoomReport) (*burdockwire.RoomPart, error) {
		return call(ctx, strings.TrimPrefix(web.URL, "http://"), msg)
	}
	failed := func(reason string, want uint64) {
		t.Helper()
		f.exchange(context.Background())
		if got := f.set.GetOrCreateCounter(fmt.Sprintf("burdock_room_failed_total{service=\"s\",reason=%q}", reason)).Get(); got != want {
			t.Errorf("failed with %s: got %d, want %d", reason, got, want)
		}
	}
	failed("failed_precondition", 1)
	held["a@1"] = 5
	failed("failed_precondition", 1)
	if got := f.user.received(); got != 1 {
		t.Errorf("answered: got %d parts, want 1", got)
	}
	f.acquire("a@2", "10.0.0.3:80", 7)
	failed("deadline_exceeded", 1)
	close(frozen)
	web.Close()
	failed("unavailable", 1)
}

// Guards against fields that are lost on the way between entry and agent.
func TestRoomExchangeKeepsFields(t *testing.T) {
	report := burdockroom.Report{
		Entry: "edge-1", Process: 1 << 63, Sequence: 7, Capacity: 90.5, Slowdown: 1.7,
		Demands:   withAllPriorities([]burdockroom.Demand{{Priority: 3, Running: 4, Waiting: 5}}),
		Customers: []burdockroom.CustomerDemand{{Priority: 3, Customer: "acme", Waiting: 5, Cost: 800}},
		Engines:   []burdockroom.EngineLoad{{Engine: "e", Streams: 4}},
	}
	msg, err := reportToWire(roomCoordinator{group: "g@1", fence: 5}, report)
	if err != nil {
		t.Fatal(err)
	}
	got, err := reportFromWire(msg)
	checkSame(t, "report", got, report, err)
	part := burdockroom.Part{
		Sequence: 7, ValidFor: 600, Learning: true, Limits: []int{9, 8, 8, 8, 8, 8, 8, 8, 8, 1}, NextReport: 250, Room: 90, Running: 80, Slowdown: 1.5,
		Loads: []burdockroom.EngineLoad{{Engine: "e", Streams: 40}},
	}
	wire, err := partToWire(msg, part)
	if err != nil {
		t.Fatal(err)
	}
	back, err := partFromWire(wire)
	checkSame(t, "part", back, part, err)
}
