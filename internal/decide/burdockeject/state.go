package burdockeject

import (
	"slices"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// State is the tracker's part of the state dump.
type State struct {
	Members              int             `json:"members"`
	RemovedWeightSlow    float64         `json:"lostSlow"`
	RemovedWeightFailing float64         `json:"lostFailing"`
	Upstreams            []UpstreamState `json:"upstreams"`
}

// UpstreamState is the state of one upstream that has evidence against it.
type UpstreamState struct {
	Upstream burdockid.Upstream  `json:"upstream"`
	Level    string              `json:"level"`
	Cause    Cause               `json:"cause"`
	Leaving  bool                `json:"leaving"`
	Probing  bool                `json:"probing"`
	Score    float64             `json:"score"`
	ProbeAt  burdockclock.Millis `json:"probeAt"`
	Failures int                 `json:"failures"`
}

// State returns a copy of the tracker's state, ordered by upstream.
func (t *Tracker) State() State {
	s := State{
		Members:              t.members,
		RemovedWeightSlow:    t.removedSlow,
		RemovedWeightFailing: t.removedFailing,
		Upstreams:            make([]UpstreamState, 0, len(t.records)),
	}
	for _, r := range t.records {
		s.Upstreams = append(s.Upstreams, r.state())
	}
	slices.SortFunc(s.Upstreams, func(a, b UpstreamState) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	return s
}

func (r *record) state() UpstreamState {
	return UpstreamState{
		Upstream: r.upstream,
		Level:    r.level.String(),
		Cause:    r.cause,
		Leaving:  r.leaving,
		Probing:  r.probing,
		Score:    r.score,
		ProbeAt:  r.probeAt,
		Failures: r.failures,
	}
}
