package burdockeject

import (
	"slices"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// State is what a dump of the process shows of a tracker.
type State struct {
	Members              int             `json:"members"`
	RemovedWeightSlow    float64         `json:"lostSlow"`
	RemovedWeightFailing float64         `json:"lostFailing"`
	Upstreams            []UpstreamState `json:"upstreams"`
}

// UpstreamState is what a dump shows of one upstream with evidence against it.
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

// State returns a copy of what the tracker knows, ordered by upstream.
func (t *Tracker) State() State {
	s := State{
		Members:              t.members,
		RemovedWeightSlow:    t.lostSlow,
		RemovedWeightFailing: t.lostFailing,
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
