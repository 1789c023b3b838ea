package burdockhosted

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockroom"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// ErrNotCoordinator means that an agent does not hold the lease by which it is asked.
var ErrNotCoordinator = Errors.NewType("notCoordinator")

// roomServer divides the room of a service while its agent holds the lease of a group. It
// implements burdockwire.RoomServiceHandler.
//
// Nothing is stored: each term of the lease begins with a new division, which learns from
// the reports what the entries run.
type roomServer struct {
	// heldLease returns the fencing number of a group's lease; false if this agent does not
	// hold it now.
	heldLease func(group string) (burdockid.Fence, bool)
	clock     burdockclock.Clock
	log       *zap.Logger
	set       *metrics.Set
	reports   *metrics.Counter

	mu      sync.Mutex
	group   string          // of the latest term; empty before the first one
	fence   burdockid.Fence // of the latest term
	divider *burdockroom.Divider
	latest  burdockroom.Part // the latest answer of the term
	// nextLogAt is the earliest time of the next line about the division.
	nextLogAt burdockclock.Millis
}

func newRoomServer(heldLease func(group string) (burdockid.Fence, bool), clock burdockclock.Clock, set *metrics.Set, log *zap.Logger) *roomServer {
	s := &roomServer{heldLease: heldLease, clock: clock, log: log, set: set, reports: set.NewCounter("burdock_room_reports_total")}
	set.NewGauge("burdock_room_size", func() float64 { return float64(s.current().Room) })
	set.NewGauge("burdock_room_running", func() float64 { return float64(s.current().Running) })
	return s
}

// handler returns the path and the handler of the service.
func (s *roomServer) handler() (string, http.Handler) {
	options := append(burdocktransport.HandlerOptions(0, 0), connect.WithReadMaxBytes(maxRoomMessage))
	return burdockwire.NewRoomServiceHandler(s, options...)
}

// current returns the latest answer of the current term; the zero Part if there is none.
func (s *roomServer) current() burdockroom.Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence, held := s.heldLease(s.group); !held || fence != s.fence {
		return burdockroom.Part{}
	}
	return s.latest
}

// Exchange implements burdockwire.RoomServiceHandler.
func (s *roomServer) Exchange(_ context.Context, req *connect.Request[burdockwire.RoomReport]) (*connect.Response[burdockwire.RoomPart], error) {
	s.reports.Inc()
	report, err := reportFromWire(req.Msg)
	if err != nil {
		return nil, s.refuse(connect.CodeInvalidArgument, err)
	}
	part, err := s.divide(req.Msg.GetGroup(), burdockid.Fence(req.Msg.GetFence()), report)
	switch {
	case err != nil && roomField(err) == fieldFence:
		return nil, s.refuse(connect.CodeFailedPrecondition, err)
	case err != nil:
		return nil, s.refuse(connect.CodeInvalidArgument, err)
	}
	msg, err := partToWire(req.Msg, part)
	if err != nil {
		s.log.Error("invalid part of the room", zap.String("entry", string(report.Entry)), zap.Error(err))
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(msg), nil
}

// fieldFence is the field that a refusal names if the agent does not hold the lease.
const fieldFence = "fence"

func (s *roomServer) refuse(code connect.Code, err error) error {
	s.set.GetOrCreateCounter(fmt.Sprintf("burdock_room_refused_reports_total{field=%q}", roomField(err))).Inc()
	return connect.NewError(code, err)
}

// divide answers a report if this agent holds the lease of the group with that fencing
// number. The lease is checked right before the division: the process may have been frozen
// since it received the report.
func (s *roomServer) divide(group string, fence burdockid.Fence, report burdockroom.Report) (burdockroom.Part, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, held := s.heldLease(group); !held || current != fence {
		return burdockroom.Part{}, ErrNotCoordinator.New("the lease of group %q with fence %d is not held here", group, fence).
			WithProperty(roomFieldProperty, fieldFence)
	}
	if s.divider == nil || s.group != group || s.fence != fence {
		s.log.Info("divides the room of a service", zap.String("group", group), zap.Uint64("fence", uint64(fence)))
		s.group, s.fence, s.divider = group, fence, burdockroom.New(burdockroom.Config{})
	}
	part, err := s.divider.Handle(s.clock.Boot(), report)
	if err == nil {
		s.latest = part
		s.logDivision()
	}
	return part, err
}

// divisionLogInterval is the minimum time between two lines about the division.
const divisionLogInterval = 2 * burdockclock.Second

// logDivision writes a line about the division if anything runs or waits. The lock must be
// held.
func (s *roomServer) logDivision() {
	now := s.clock.Boot()
	if now < s.nextLogAt {
		return
	}
	s.nextLogAt = now + divisionLogInterval
	state := s.divider.State(now)
	var running, waiting []int
	demand := 0
	for _, counts := range state.Priority {
		running, waiting = append(running, counts.Running), append(waiting, counts.Waiting)
		demand += counts.Running + counts.Waiting
	}
	if demand == 0 {
		return
	}
	s.log.Info("room divided", zap.String("group", s.group), zap.Int("room", state.Room), zap.Int("held", state.Held),
		zap.Int("entries", state.Entries), zap.Int("silent", state.Silent), zap.Float64("typicalSlowdown", state.Slowdown),
		zap.Ints("running", running), zap.Ints("waiting", waiting))
}
