package burdockrank

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockexpert"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// State is the part of the state dump on an agent's rank in a lock-stepped group.
type State struct {
	Group      string                       `json:"group"`
	Ranks      int                          `json:"ranks"`
	Rank       burdockgroup.RankState       `json:"rank"`
	Controller burdockgroup.ControllerState `json:"controller"`
	Planner    PlannerState                 `json:"planner"`
	Traffic    TrafficState                 `json:"traffic"`
	// Faults are the violated invariants that the agent detected, the oldest first.
	Faults []string `json:"faults"`
}

// PlannerState is the part of the state dump on the planner. It is meaningful only at the
// agent that holds the group's lease.
type PlannerState struct {
	burdockexpert.State
	NeedInitialMap  bool             `json:"needFirst"`
	Wanted          bool             `json:"wanted"`
	RanksWithCounts []burdockid.Rank `json:"heard"` // ranks whose counts are known
}

// TrafficState counts the messages of the agent's controller, without HTTP framing.
type TrafficState struct {
	Orders      int64 `json:"orders"`
	OrderBytes  int64 `json:"orderBytes"`
	Reports     int64 `json:"reports"`
	ReportBytes int64 `json:"reportBytes"`
	Counts      int64 `json:"counts"`
	CountBytes  int64 `json:"countBytes"`
}

// State returns a copy of the agent's state in its group, or nil if its upstream is in
// none.
func (h *Host) State() *State {
	m := h.member()
	if m == nil {
		return nil
	}
	s := &State{
		Group:      m.assignment.Group,
		Ranks:      m.assignment.Ranks,
		Controller: m.leadership.state(),
		Planner:    m.leadership.planning.state(),
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
	s := PlannerState{State: p.planner.State(), NeedInitialMap: p.needInitialMap, Wanted: p.wantedAt != 0, RanksWithCounts: []burdockid.Rank{}}
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
