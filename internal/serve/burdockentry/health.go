package burdockentry

import (
	"slices"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/state/burdockchart"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
)

// healthEvents is how many past events a dump shows for each service.
const healthEvents = 32

// health follows upstream.chart for the upstreams that are not healthy. The
// tracker decides; the chart says what may follow what, and the journal tells
// an operator how an upstream came to where it stands.
type health struct {
	machines map[burdockid.Upstream]*burdockcharts.UpstreamMachine
	journal  *burdockchart.Journal
}

func newHealth() *health {
	return &health{
		machines: map[burdockid.Upstream]*burdockcharts.UpstreamMachine{},
		journal:  burdockchart.NewJournal(healthEvents),
	}
}

// fire takes an event of one upstream. An event that the chart rejects shows
// in the journal: the tracker and the chart disagree, which is a fault.
func (h *health) fire(now burdockclock.Millis, u burdockid.Upstream, e burdockcharts.UpstreamEvent, reason string) {
	machine, known := h.machines[u]
	if !known {
		fresh := burdockcharts.NewUpstream()
		machine = &fresh
		h.machines[u] = machine
	}
	from := machine.State()
	moved, err := machine.Fire(e)
	if err != nil {
		reason = err.Error()
	}
	if moved || err != nil {
		h.journal.Add(burdockchart.Entry{
			At: now, Event: string(u) + " " + string(e), From: string(from), To: string(machine.State()), Reason: reason,
		})
	}
	switch machine.State() {
	case burdockcharts.UpstreamHealthy, burdockcharts.UpstreamGone:
		// Nothing is held against it, or a new incarnation starts anew.
		delete(h.machines, u)
	}
}

// change takes in a decision of the tracker.
func (h *health) change(now burdockclock.Millis, c burdockeject.Change) {
	reason := string(c.Cause)
	switch {
	case c.Cause == burdockeject.CauseLeaving:
		h.fire(now, c.Upstream, burdockcharts.UpstreamEventLeave, reason)
	case c.Cause != burdockeject.CauseRecovered && c.Level == burdockeject.LevelEjected:
		h.fire(now, c.Upstream, burdockcharts.UpstreamEventEject, reason)
	case c.Cause != burdockeject.CauseRecovered:
		h.fire(now, c.Upstream, burdockcharts.UpstreamEventDoubt, reason)
	case h.state(c.Upstream) == burdockcharts.UpstreamLeaving:
		h.fire(now, c.Upstream, burdockcharts.UpstreamEventVanish, "another incarnation answers")
	case c.Level == burdockeject.LevelFull:
		h.fire(now, c.Upstream, burdockcharts.UpstreamEventClear, reason)
	case h.state(c.Upstream) == burdockcharts.UpstreamProbing:
		h.fire(now, c.Upstream, burdockcharts.UpstreamEventProbePassed, reason)
	}
}

// state returns the state of an upstream.
func (h *health) state(u burdockid.Upstream) burdockcharts.UpstreamState {
	if machine, ok := h.machines[u]; ok {
		return machine.State()
	}
	return burdockcharts.UpstreamHealthy
}

// keep forgets upstreams that are no longer members.
func (h *health) keep(now burdockclock.Millis, isMember func(burdockid.Upstream) bool) {
	for u := range h.machines {
		if !isMember(u) {
			h.fire(now, u, burdockcharts.UpstreamEventVanish, "no longer in the fleet")
		}
	}
}

// HealthState is what a dump shows of the upstreams of one service that are
// not healthy.
type HealthState struct {
	Upstreams []UnhealthyState     `json:"upstreams"`
	Events    []burdockchart.Entry `json:"events"`
}

// UnhealthyState is what a dump shows of one upstream.
type UnhealthyState struct {
	Upstream burdockid.Upstream          `json:"upstream"`
	State    burdockcharts.UpstreamState `json:"state"`
}

func (h *health) dump() HealthState {
	s := HealthState{Upstreams: []UnhealthyState{}, Events: h.journal.Entries()}
	for u, machine := range h.machines {
		s.Upstreams = append(s.Upstreams, UnhealthyState{Upstream: u, State: machine.State()})
	}
	slices.SortFunc(s.Upstreams, func(a, b UnhealthyState) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return s
}
