package burdockchart

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
)

// Typed is a chart whose state and event names match the constants of a Go package. S
// is the type of its states and E the type of its events.
type Typed[S, E ~string] struct {
	chart *Chart
}

// Bind returns the typed chart. It fails unless c has exactly the given states and
// events.
func Bind[S, E ~string](c *Chart, states []S, events []E) (Typed[S, E], error) {
	var findings burdockfinding.List
	compareNames(&findings, c.name, "state", c.stateIndex, states)
	compareNames(&findings, c.name, "event", c.eventIndex, events)
	if err := findings.Err(); err != nil {
		return Typed[S, E]{}, err
	}
	return Typed[S, E]{chart: c}, nil
}

func compareNames[N ~string](findings *burdockfinding.List, chart, kind string, index map[string]int, constants []N) {
	inCode := map[string]bool{}
	for _, name := range constants {
		inCode[string(name)] = true
		if _, ok := index[string(name)]; !ok {
			findings.Add(burdockfinding.Finding{Key: chart, What: fmt.Sprintf("code has %s %q, the chart doesn't", kind, name)})
		}
	}
	for name := range index {
		if !inCode[name] {
			findings.Add(burdockfinding.Finding{Key: chart, What: fmt.Sprintf("the chart has %s %q, code doesn't", kind, name)})
		}
	}
}

// Chart returns the untyped chart.
func (t Typed[S, E]) Chart() *Chart { return t.chart }

// Start returns a machine in the chart's initial state.
func (t Typed[S, E]) Start() Machine[S, E] {
	return Machine[S, E]{chart: t.chart, state: t.chart.initial}
}

// Machine is an instance of a chart. It takes only two words of memory, because every
// request has one. It is not safe for concurrent use. The zero value allows no event.
type Machine[S, E ~string] struct {
	chart *Chart
	state int
}

// State returns the current state. It is empty for the zero value.
func (m *Machine[S, E]) State() S {
	if m.chart == nil {
		return ""
	}
	return S(m.chart.states[m.state].name)
}

// Final reports whether the machine is in a final state.
func (m *Machine[S, E]) Final() bool {
	return m.chart != nil && m.chart.states[m.state].kind == final
}

// Fire processes event e. It reports whether a transition took place, possibly to the
// same state, and returns false if the chart ignores e. On an error, which is of type
// NotAllowed or UnknownEvent, the state doesn't change.
func (m *Machine[S, E]) Fire(e E) (moved bool, err error) {
	if m.chart == nil {
		return false, UnknownEvent.New("event %q: machine without a chart", string(e))
	}
	event, ok := m.chart.eventIndex[string(e)]
	if !ok {
		return false, UnknownEvent.New("chart %s has no event %q", m.chart.name, string(e))
	}
	next := m.chart.states[m.state].cells[event]
	switch next.action {
	case transition:
		m.state = next.target
		return true, nil
	case ignore:
		return false, nil
	default:
		return false, NotAllowed.New("chart %s: event %s in state %s", m.chart.name, string(e), m.State())
	}
}
