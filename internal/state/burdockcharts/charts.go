// Package burdockcharts holds the state charts of requests, upstreams, process
// stop and configuration, with typed constants for their states and events.
// The chart files beside this one say what each state and event means.
package burdockcharts

import (
	"embed"

	"burdockbend.example/burdockbend/internal/state/burdockchart"
)

//go:embed *.chart
var files embed.FS

// load reads one embedded chart. The files are part of the program, so an
// error is a fault in its source; it can only come up when the program starts.
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
