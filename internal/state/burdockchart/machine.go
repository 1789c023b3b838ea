package burdockchart

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
)

// Typed is a chart whose names were checked against the constants of a Go
// package: S is its type for states and E its type for events.
type Typed[S, E ~string] struct {
	chart *Chart
}

// Bind checks that the chart has exactly the given states and events.
func Bind[S, E ~string](c *Chart, states []S, events []E) (Typed[S, E], error) {
	var findings burdockfinding.List
	compare(&findings, c.name, "state", c.stateIndex, states)
	compare(&findings, c.name, "event", c.eventIndex, events)
	if err := findings.Err(); err != nil {
		return Typed[S, E]{}, err
	}
	return Typed[S, E]{chart: c}, nil
}

func compare[N ~string](findings *burdockfinding.List, chart, sort string, index map[string]int, constants []N) {
	known := map[string]bool{}
	for _, name := range constants {
		known[string(name)] = true
		if _, ok := index[string(name)]; !ok {
			findings.Add(burdockfinding.Finding{Key: chart, What: fmt.Sprintf("code has %s %q, the chart doesn't", sort, name)})
		}
	}
	for name := range index {
		if !known[name] {
			findings.Add(burdockfinding.Finding{Key: chart, What: fmt.Sprintf("the chart has %s %q, code doesn't", sort, name)})
		}
	}
}

// Chart returns the chart itself.
func (t Typed[S, E]) Chart() *Chart { return t.chart }

// Start returns a machine in the chart's initial state.
func (t Typed[S, E]) Start() Machine[S, E] {
	return Machine[S, E]{chart: t.chart, at: t.chart.initial}
}

// Machine is one run of a chart. It holds two words, so that each request can
// have one. It is not safe for concurrent use. The zero value allows no event.
type Machine[S, E ~string] struct {
	chart *Chart
	at    int
}

// State returns the present state.
func (m *Machine[S, E]) State() S {
	if m.chart == nil {
		return ""
	}
	return S(m.chart.states[m.at].name)
}

// Final reports whether the machine has come to a state that it never leaves.
func (m *Machine[S, E]) Final() bool {
	return m.chart != nil && m.chart.states[m.at].kind == final
}

// Fire takes event e. It reports whether the state was left or entered anew,
// which is false when the chart ignores e. The error is of type NotAllowed or
// UnknownEvent, and then the state stays as it was.
func (m *Machine[S, E]) Fire(e E) (moved bool, err error) {
	if m.chart == nil {
		return false, UnknownEvent.New("event %q: machine without a chart", string(e))
	}
	event, ok := m.chart.eventIndex[string(e)]
	if !ok {
		return false, UnknownEvent.New("chart %s has no event %q", m.chart.name, string(e))
	}
	decided := m.chart.states[m.at].cells[event]
	switch decided.action {
	case move:
		m.at = decided.target
		return true, nil
	case ignore:
		return false, nil
	default:
		return false, NotAllowed.New("chart %s: event %s in state %s", m.chart.name, string(e), m.State())
	}
}
