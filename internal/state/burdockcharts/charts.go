// Package burdockcharts has the state charts of requests, upstreams, the planned stop of
// a process and its configuration, with typed constants for their states and events.
// The meaning of each state and event is documented in the .chart files.
package burdockcharts

import (
	"embed"

	"burdockbend.example/burdockbend/internal/state/burdockchart"
)

//go:embed *.chart
var files embed.FS

// load parses an embedded chart. It panics on an error, because the chart is part of
// the program, so an error is a bug that shows up at every start.
func load[S, E ~string](file string, states []S, events []E) burdockchart.Typed[S, E] {
	typed, err := loadFrom(file, states, events)
	if err != nil {
		panic("burdockcharts: " + err.Error())
	}
	return typed
}

func loadFrom[S, E ~string](file string, states []S, events []E) (burdockchart.Typed[S, E], error) {
	chart, err := burdockchart.Load(files, file)
	if err != nil {
		return burdockchart.Typed[S, E]{}, err
	}
	return burdockchart.Bind(chart, states, events)
}
