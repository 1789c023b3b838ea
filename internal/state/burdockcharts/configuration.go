package burdockcharts

import "burdockbend.example/burdockbend/internal/state/burdockchart"

// ConfigurationState is a state of where a process has its configuration from.
type ConfigurationState string

// States of configuration.chart.
const (
	ConfigurationStarting ConfigurationState = "starting"
	ConfigurationFromPeer ConfigurationState = "fromPeer"
	ConfigurationCurrent  ConfigurationState = "current"
	ConfigurationStale    ConfigurationState = "stale"
)

// ConfigurationEvent is an event of where a process has its configuration from.
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

// ConfigurationMachine follows configuration.chart.
type ConfigurationMachine = burdockchart.Machine[ConfigurationState, ConfigurationEvent]

var configurationChart = load("configuration.chart", configurationStates, configurationEvents)

// NewConfiguration returns a machine for where a process has its configuration from, in its initial state.
func NewConfiguration() ConfigurationMachine { return configurationChart.Start() }
