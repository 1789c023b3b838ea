package burdockplace

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// State is the part of the state dump that describes a placer.
type State struct {
	MeanLoad    float64          `json:"meanLoad"`
	Bound       float64          `json:"bound"`
	Upstreams   []MemberState    `json:"upstreams"`
	HotPrefixes []HotPrefixState `json:"hot"`
}

// MemberState is the part of the state dump that describes one upstream.
type MemberState struct {
	Upstream     burdockid.Upstream   `json:"upstream"`
	DataCentre   burdockid.DataCentre `json:"dataCentre"`
	Weight       float64              `json:"weight"`
	ReportedAt   burdockclock.Millis  `json:"reportedAt"`
	ReportedLoad float64              `json:"reportedLoad"`
	ReportedWait burdockclock.Millis  `json:"reportedWait"`
	Unreported   int                  `json:"unreported"`
	InFlight     int                  `json:"inFlight"`
}

// HotPrefixState is the part of the state dump that describes one hot prefix.
type HotPrefixState struct {
	Prefix uint64              `json:"prefix"`
	Width  float64             `json:"width"`
	At     burdockclock.Millis `json:"at"`
}

// State returns a copy of the placer's state.
func (p *Placer) State() State {
	s := State{
		MeanLoad:    p.fleet.mean,
		Bound:       p.bound(),
		Upstreams:   make([]MemberState, len(p.members)),
		HotPrefixes: []HotPrefixState{},
	}
	for i := range p.members {
		s.Upstreams[i] = p.members[i].state()
	}
	for _, entry := range p.widths.entries {
		if entry.width > 0 {
			s.HotPrefixes = append(s.HotPrefixes, HotPrefixState{Prefix: entry.key, Width: float64(entry.width), At: entry.updatedAt})
		}
	}
	return s
}

func (m *member) state() MemberState {
	return MemberState{
		Upstream:     m.upstream,
		DataCentre:   m.dataCentre,
		Weight:       float64(m.weight),
		ReportedAt:   m.reportedAt,
		ReportedLoad: float64(m.load),
		ReportedWait: burdockclock.Millis(m.wait),
		Unreported:   int(m.unreported),
		InFlight:     int(m.inFlight),
	}
}
