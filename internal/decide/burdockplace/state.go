package burdockplace

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// State is what a dump of the process shows of a placer.
type State struct {
	MeanLoad    float64          `json:"meanLoad"`
	Bound       float64          `json:"bound"`
	Upstreams   []MemberState    `json:"upstreams"`
	HotPrefixes []HotPrefixState `json:"hot"`
}

// MemberState is what a dump shows of one upstream.
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

// HotPrefixState is what a dump shows of one prefix that has been spread.
type HotPrefixState struct {
	Prefix uint64              `json:"prefix"`
	Width  float64             `json:"width"`
	At     burdockclock.Millis `json:"at"`
}

// State returns a copy of what the placer knows.
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
	for _, place := range p.widths.places {
		if place.value > 0 {
			s.HotPrefixes = append(s.HotPrefixes, HotPrefixState{Prefix: place.key, Width: float64(place.value), At: place.at})
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
