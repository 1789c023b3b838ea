package burdockcharts

import "burdockbend.example/burdockbend/internal/state/burdockchart"

// ConfigurationState is a state of the source of a process's configuration.
type ConfigurationState string

// States of configuration.chart.
const (
	ConfigurationStarting ConfigurationState = "starting"
	ConfigurationFromPeer ConfigurationState = "fromPeer"
	ConfigurationCurrent  ConfigurationState = "current"
	ConfigurationStale    ConfigurationState = "stale"
)

// ConfigurationEvent is an event of the source of a process's configuration.
type ConfigurationEvent string

// Events of configuration.chart.
const (
	ConfigurationEventReadStore ConfigurationEvent = "readStore"
	ConfigurationEventReadPeer  ConfigurationEvent = "readPeer"
	ConfigurationEventLoseStore ConfigurationEvent = "loseStore"
)

var configurationStates = []ConfigurationState{
	ConfigurationStarting,
	ConfigurationFromPeer,
	ConfigurationCurrent,
	ConfigurationStale,
}

var configurationEvents = []ConfigurationEvent{
	ConfigurationEventReadStore,
	ConfigurationEventReadPeer,
	ConfigurationEventLoseStore,
}

// ConfigurationMachine is a state machine of configuration.chart.
type ConfigurationMachine = burdockchart.Machine[ConfigurationState, ConfigurationEvent]

var configurationChart = load("configuration.chart", configurationStates, configurationEvents)

// NewConfiguration returns a machine for the source of a process's configuration, in the
// initial state.
func NewConfiguration() ConfigurationMachine { return configurationChart.Start() }
