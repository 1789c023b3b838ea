package burdockcharts

import "burdockbend.example/burdockbend/internal/state/burdockchart"

// UpstreamState is a state of an upstream as seen by one entry.
type UpstreamState string

// States of upstream.chart.
const (
	UpstreamHealthy UpstreamState = "healthy"
	UpstreamSuspect UpstreamState = "suspect"
	UpstreamEjected UpstreamState = "ejected"
	UpstreamProbing UpstreamState = "probing"
	UpstreamLeaving UpstreamState = "leaving"
	UpstreamGone    UpstreamState = "gone"
)

// UpstreamEvent is an event of an upstream as seen by one entry.
type UpstreamEvent string

// Events of upstream.chart.
const (
	UpstreamEventSuspect     UpstreamEvent = "doubt"
	UpstreamEventClear       UpstreamEvent = "clear"
	UpstreamEventEject       UpstreamEvent = "eject"
	UpstreamEventProbe       UpstreamEvent = "probe"
	UpstreamEventProbePassed UpstreamEvent = "probePassed"
	UpstreamEventProbeFailed UpstreamEvent = "probeFailed"
	UpstreamEventLeave       UpstreamEvent = "leave"
	UpstreamEventVanish      UpstreamEvent = "vanish"
)

var upstreamStates = []UpstreamState{
	UpstreamHealthy,
	UpstreamSuspect,
	UpstreamEjected,
	UpstreamProbing,
	UpstreamLeaving,
	UpstreamGone,
}

var upstreamEvents = []UpstreamEvent{
	UpstreamEventSuspect,
	UpstreamEventClear,
	UpstreamEventEject,
	UpstreamEventProbe,
	UpstreamEventProbePassed,
	UpstreamEventProbeFailed,
	UpstreamEventLeave,
	UpstreamEventVanish,
}

// UpstreamMachine is a state machine of upstream.chart.
type UpstreamMachine = burdockchart.Machine[UpstreamState, UpstreamEvent]

var upstreamChart = load("upstream.chart", upstreamStates, upstreamEvents)

// NewUpstream returns a machine for an upstream as seen by one entry, in the
// initial state.
func NewUpstream() UpstreamMachine { return upstreamChart.Start() }
