// Package burdockchart reads state charts from small text files, checks them
// as a whole, and runs machines that follow them.
//
// A chart file has one statement a line; # starts a comment:
//
//	chart door                 the chart's name
//	initial closed             the state a machine starts in
//	state opening              a state to pass through
//	rest closed                a state that every other can come back to
//	final removed              a state that a machine never leaves
//	event open                 an event
//	closed open -> opening     in closed, open leads to opening
//	ignore closed close        in closed, close changes nothing
//	reject closed lock         in closed, lock is the driver's mistake
//	ignore removed *           in a final state: every event
//
// The check asks that each state can be reached, that each event is handled,
// ignored or rejected in each state, that no name is unknown, and that from
// each state some final or rest state can be reached.
package burdockchart

import (
	"io/fs"

	"github.com/joomcode/errorx"
)

// Errors of this package. A check's findings are a *burdockfinding.Error.
var (
	namespace = errorx.NewNamespace("chart")
	// NotAllowed is the type of the error for an event that the chart
	// rejects in the machine's present state.
	NotAllowed = namespace.NewType("notAllowed")
	// UnknownEvent is the type of the error for an event that the chart
	// doesn't have.
	UnknownEvent = namespace.NewType("unknownEvent")
)

// action says what a chart does with one event in one state.
type action uint8

const (
	undecided action = iota
	move
	ignore
	reject
)

// cell is the chart's decision for one event in one state.
type cell struct {
	action action
	target int // index of the state that a move leads to
	line   int
}

// kind tells the sorts of states apart.
type kind uint8

const (
	passing kind = iota
	rest
	final
)

type stateEntry struct {
	name  string
	kind  kind
	line  int
	cells []cell // by event index
}

// Chart is a checked state chart. It is read-only and safe for concurrent use.
type Chart struct {
	name       string
	initial    int
	states     []stateEntry
	events     []string
	stateIndex map[string]int
	eventIndex map[string]int
}

// Name returns the name that the file gives to the chart.
func (c *Chart) Name() string { return c.name }

// States returns the names of the states in the file's order.
func (c *Chart) States() []string {
	names := make([]string, len(c.states))
	for i, s := range c.states {
		names[i] = s.name
	}
	return names
}

// Events returns the names of the events in the file's order.
func (c *Chart) Events() []string { return append([]string(nil), c.events...) }

// Load reads and checks the chart in file name of fsys.
func Load(fsys fs.FS, name string) (*Chart, error) {
	text, err := fs.ReadFile(fsys, name)
	if err != nil {
		return nil, errorx.Decorate(err, "read chart")
	}
	return Parse(name, text)
}
