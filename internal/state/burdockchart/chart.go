// Package burdockchart parses state charts from text files, validates them, and runs
// state machines that follow them.
//
// A chart file has one statement per line. A # starts a comment:
//
//	chart door                 name of the chart
//	initial closed             state that a machine starts in
//	state opening              state that a machine must be able to leave
//	rest closed                state that a machine may stay in
//	final removed              state that a machine never leaves
//	event open                 event
//	closed open -> opening     in closed, event open leads to opening
//	ignore closed close        in closed, event close changes nothing
//	reject closed lock         in closed, event lock is an error of the caller
//	ignore removed *           in a final state: all events
//
// In a valid chart every name is declared, every state is reachable from the initial
// state, and every state has a transition, ignore or reject for every event. Every event
// has at least one transition, and a final or rest state is reachable from every state.
package burdockchart

import (
	"io/fs"

	"github.com/joomcode/errorx"
)

// Errors of this package. An invalid chart is reported as a *burdockfinding.Error.
var (
	namespace = errorx.NewNamespace("chart")
	// NotAllowed is the type of errors for an event that the chart rejects in the
	// machine's current state.
	NotAllowed = namespace.NewType("notAllowed")
	// UnknownEvent is the type of errors for an event that the chart doesn't declare.
	UnknownEvent = namespace.NewType("unknownEvent")
)

// action is what a chart defines for one event in one state.
type action uint8

const (
	undefined action = iota
	transition
	ignore
	reject
)

// cell is the entry of the transition table for one event in one state.
type cell struct {
	action action
	target int // index of the state that a transition leads to
	line   int
}

// kind is the kind of a state.
type kind uint8

const (
	transient kind = iota
	rest
	final
)

type stateEntry struct {
	name  string
	kind  kind
	line  int
	cells []cell // by event index
}

// Chart is a valid state chart. It is immutable and safe for concurrent use.
type Chart struct {
	name       string
	initial    int
	states     []stateEntry
	events     []string
	stateIndex map[string]int
	eventIndex map[string]int
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// States returns the names of the states in the order of their declaration.
func (c *Chart) States() []string {
	names := make([]string, len(c.states))
	for i, s := range c.states {
		names[i] = s.name
	}
	return names
}

// Events returns the names of the events in the order of their declaration.
func (c *Chart) Events() []string { return append([]string(nil), c.events...) }

// Load reads, parses and validates the chart in the named file of fsys.
func Load(fsys fs.FS, name string) (*Chart, error) {
	text, err := fs.ReadFile(fsys, name)
	if err != nil {
		return nil, errorx.Decorate(err, "read chart")
	}
	return Parse(name, text)
}
