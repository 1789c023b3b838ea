package burdockrank

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// State is what a dump shows of an agent's place in a lock-stepped group.
type State struct {
	Group      string                       `json:"group"`
	Ranks      int                          `json:"ranks"`
	Rank       burdockgroup.RankState       `json:"rank"`
	Controller burdockgroup.ControllerState `json:"controller"`
	Planner    PlannerState                 `json:"planner"`
	Traffic    TrafficState                 `json:"traffic"`
	// Faults are broken invariants that the agent saw, the oldest first.
	Faults []string `json:"faults"`
}

// PlannerState is the part of the dump on the choice of maps. It is of use at
// the agent that holds the group's lease.
type PlannerState struct {
	burdockexpert.State
	NeedInitialMap  bool             `json:"needFirst"`
	Wanted          bool             `json:"wanted"`
	RanksWithCounts []burdockid.Rank `json:"heard"` // ranks whose counts are known
}

// TrafficState counts the messages of the agent's controller, without framing.
type TrafficState struct {
	Orders      int64 `json:"orders"`
	OrderBytes  int64 `json:"orderBytes"`
	Reports     int64 `json:"reports"`
	ReportBytes int64 `json:"reportBytes"`
	Counts      int64 `json:"counts"`
	CountBytes  int64 `json:"countBytes"`
}

// State returns a copy of what the agent knows of its group; nil if its
// upstream is in none.
func (h *Host) State() *State {
	m := h.member()
	if m == nil {
		return nil
	}
	s := &State{
		Group:      m.seat.Group,
		Ranks:      m.seat.Ranks,
		Controller: m.duty.state(),
		Planner:    m.duty.plan.state(),
		Traffic:    m.traffic.state(),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Rank = m.rank.State()
	s.Faults = append([]string{}, m.faults...)
	return s
}

func (p *planning) state() PlannerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PlannerState{State: p.planner.State(), NeedInitialMap: p.needFirst, Wanted: p.wishedAt != 0, RanksWithCounts: []burdockid.Rank{}}
	for r, c := range p.counts {
		if c.Tokens != nil {
			s.RanksWithCounts = append(s.RanksWithCounts, burdockid.Rank(r))
		}
	}
	s.Decisions = slices.Clone(s.Decisions)
	return s
}

func (t *traffic) state() TrafficState {
	return TrafficState{
		Orders: t.orders.Load(), OrderBytes: t.orderBytes.Load(),
		Reports: t.reports.Load(), ReportBytes: t.reportBytes.Load(),
		Counts: t.counts.Load(), CountBytes: t.countBytes.Load(),
	}
}
