package burdockentry

import (
	"slices"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
)

// State is an entry's part of the state dump.
type State struct {
	VM            burdockid.VM         `json:"vm"`
	DataCentre    burdockid.DataCentre `json:"dataCentre"`
	Draining      bool                 `json:"draining"`
	OpenRequests  int64                `json:"open"`
	OutcomeCounts OutcomeCounts        `json:"accounts"`
	Services      []PoolState          `json:"services"`
}

// PoolState is the part of the state dump on the upstreams of one service.
type PoolState struct {
	Service   burdockid.Service  `json:"service"`
	Placement burdockplace.State `json:"placing"`
	Ejection  burdockeject.State `json:"ejection"`
	Health    HealthState        `json:"health"`
	Retries   burdockretry.State `json:"retries"`
	Decisions []decision         `json:"decisions"`
}

// State returns a copy of the entry's state.
func (e *Entry) State() State {
	s := State{
		VM:            e.cfg.VM,
		DataCentre:    e.cfg.DataCentre,
		Draining:      e.Draining(),
		OpenRequests:  e.openRequests.Load(),
		OutcomeCounts: e.outcomes.copy(),
		Services:      []PoolState{},
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		s.Services = append(s.Services, p.state(e.deps.Clock.Boot()))
	}
	slices.SortFunc(s.Services, func(a, b PoolState) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return s
}

func (p *pool) state(now burdockclock.Millis) PoolState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PoolState{
		Service:   p.service,
		Placement: p.placer.State(),
		Ejection:  p.tracker.State(),
		Health:    p.health.dump(),
		Retries:   p.budget.State(now),
		Decisions: slices.Clone(p.recentDecisions),
	}
}
