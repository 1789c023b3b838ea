package burdockeject

import (
	"slices"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// State is what a dump of the process shows of a tracker.
type State struct {
	Members     int           `json:"members"`
	LostSlow    float64       `json:"lostSlow"`
	LostFailing float64       `json:"lostFailing"`
	Upstreams   []RecordState `json:"upstreams"`
}

// RecordState is what a dump shows of one upstream with evidence against it.
type RecordState struct {
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
		Members:     t.members,
		LostSlow:    t.lostSlow,
		LostFailing: t.lostFailing,
		Upstreams:   make([]RecordState, 0, len(t.records)),
	}
	for _, r := range t.records {
		s.Upstreams = append(s.Upstreams, r.state())
	}
	slices.SortFunc(s.Upstreams, func(a, b RecordState) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	return s
}

func (r *record) state() RecordState {
	return RecordState{
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
