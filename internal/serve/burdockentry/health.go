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

// maxHealthEvents is the number of past events per service in the state dump.
const maxHealthEvents = 32

// health runs the state machine of upstream.chart for each upstream that is not
// healthy. The ejection tracker decides; the chart defines the valid transitions, and
// the journal shows an operator how an upstream came to its state.
type health struct {
	machines map[burdockid.Upstream]*burdockcharts.UpstreamMachine
	journal  *burdockchart.Journal
}

func newHealth() *health {
	return &health{
		machines: map[burdockid.Upstream]*burdockcharts.UpstreamMachine{},
		journal:  burdockchart.NewJournal(maxHealthEvents),
	}
}

// fire applies an event to the state machine of one upstream. If the chart rejects the
// event, the journal shows it: the tracker and the chart disagree, which is a bug.
func (h *health) fire(now burdockclock.Millis, u burdockid.Upstream, e burdockcharts.UpstreamEvent, reason string) {
	machine, exists := h.machines[u]
	if !exists {
		created := burdockcharts.NewUpstream()
		machine = &created
		h.machines[u] = machine
	}
	from := machine.State()
	changed, err := machine.Fire(e)
	if err != nil {
		reason = err.Error()
	}
	if changed || err != nil {
		h.journal.Add(burdockchart.Entry{
			At: now, Event: string(u) + " " + string(e), From: string(from), To: string(machine.State()), Reason: reason,
		})
	}
	switch machine.State() {
	case burdockcharts.UpstreamHealthy, burdockcharts.UpstreamGone:
		// A healthy upstream needs no machine, and a new incarnation starts with a new
		// one.
		delete(h.machines, u)
	}
}

// applyChange fires the event that belongs to a change by the tracker.
func (h *health) applyChange(now burdockclock.Millis, c burdockeject.Change) {
	reason := string(c.Cause)
	switch {
	case c.Cause == burdockeject.CauseLeaving:
		h.fire(now, c.Upstream, burdockcharts.UpstreamEventLeave, reason)
	case c.Cause != burdockeject.CauseRecovered && c.Level == burdockeject.LevelEjected:
		h.fire(now, c.Upstream, burdockcharts.UpstreamEventEject, reason)
	case c.Cause != burdockeject.CauseRecovered:
		h.fire(now, c.Upstream, burdockcharts.UpstreamEventSuspect, reason)
	case h.state(c.Upstream) == burdockcharts.UpstreamLeaving:
		h.fire(now, c.Upstream, burdockcharts.UpstreamEventVanish, "another incarnation answers")
	case c.Level == burdockeject.LevelFull:
		h.fire(now, c.Upstream, burdockcharts.UpstreamEventClear, reason)
	case h.state(c.Upstream) == burdockcharts.UpstreamProbing:
		h.fire(now, c.Upstream, burdockcharts.UpstreamEventProbePassed, reason)
	}
}

// state returns the state of an upstream. One without a machine is healthy.
func (h *health) state(u burdockid.Upstream) burdockcharts.UpstreamState {
	if machine, ok := h.machines[u]; ok {
		return machine.State()
	}
	return burdockcharts.UpstreamHealthy
}

// removeNonMembers removes the upstreams that are no longer members.
func (h *health) removeNonMembers(now burdockclock.Millis, isMember func(burdockid.Upstream) bool) {
	for u := range h.machines {
		if !isMember(u) {
			h.fire(now, u, burdockcharts.UpstreamEventVanish, "no longer in the fleet")
		}
	}
}

// HealthState is the part of the state dump on the upstreams of one service that are
// not healthy.
type HealthState struct {
	Upstreams []UnhealthyState     `json:"upstreams"`
	Events    []burdockchart.Entry `json:"events"`
}

// UnhealthyState is the state of one upstream that is not healthy.
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
