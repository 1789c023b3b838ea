package burdockcharts

import "burdockbend.example/burdockbend/internal/state/burdockchart"

// StopState is a state of the planned stop of a process.
type StopState string

// States of stop.chart.
const (
	StopServing  StopState = "serving"
	StopDraining StopState = "draining"
	StopClosing  StopState = "closing"
	StopStopped  StopState = "stopped"
)

// StopEvent is an event of the planned stop of a process.
type StopEvent string

// Events of stop.chart.
const (
	StopEventStop    StopEvent = "stop"
	StopEventDrained StopEvent = "drained"
	StopEventTimeout StopEvent = "timeout"
	StopEventClosed  StopEvent = "closed"
)

var stopStates = []StopState{
	StopServing,
	StopDraining,
	StopClosing,
	StopStopped,
}

var stopEvents = []StopEvent{
	StopEventStop,
	StopEventDrained,
	StopEventTimeout,
	StopEventClosed,
}

// StopMachine is a state machine of stop.chart.
type StopMachine = burdockchart.Machine[StopState, StopEvent]

var stopChart = load("stop.chart", stopStates, stopEvents)

// NewStop returns a machine for the planned stop of a process, in the initial state.
func NewStop() StopMachine { return stopChart.Start() }
