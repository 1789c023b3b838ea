package burdockchart

import (
	"fmt"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
)

// Limits of a chart file. They are far above the size of any readable chart, and limit
// the memory that a malicious or corrupt file can use.
const (
	maxBytes  = 64 << 10
	maxStates = 64
	maxEvents = 64
)

// Keywords of the format.
const (
	keywordChart   = "chart"
	keywordInitial = "initial"
	keywordState   = "state"
	keywordRest    = "rest"
	keywordFinal   = "final"
	keywordEvent   = "event"
	keywordIgnore  = "ignore"
	keywordReject  = "reject"
	keywordArrow   = "->"
	keywordAll     = "*"
)

// statement is one line of a chart file, split into fields.
type statement struct {
	line   int
	fields []string
}

// parser builds a chart from statements and collects findings.
type parser struct {
	file        string
	chart       *Chart
	initialName statement
	hasInitial  bool
	findings    burdockfinding.List
}

// Parse parses and validates a chart. The error for an invalid chart is a
// *burdockfinding.Error with all findings and their lines. file is the name that they show.
func Parse(file string, text []byte) (*Chart, error) {
	p := &parser{
		file:  file,
		chart: &Chart{stateIndex: map[string]int{}, eventIndex: map[string]int{}},
	}
	if len(text) > maxBytes {
		p.addFinding(0, "", "chart file is too long", fmt.Sprintf("at most %d bytes", maxBytes))
		return nil, p.findings.Err()
	}
	statements := split(text)
	for _, s := range statements {
		p.declare(s)
	}
	p.allocateTable()
	for _, s := range statements {
		p.define(s)
	}
	p.resolveInitial()
	p.check()
	if err := p.findings.Err(); err != nil {
		return nil, err
	}
	return p.chart, nil
}

func split(text []byte) []statement {
	var statements []statement
	for i, line := range strings.Split(string(text), "\n") {
		code, _, _ := strings.Cut(line, "#")
		if fields := strings.Fields(code); len(fields) > 0 {
			statements = append(statements, statement{line: i + 1, fields: fields})
		}
	}
	return statements
}

func (p *parser) addFinding(line int, key, what, want string) {
	p.findings.Add(burdockfinding.Finding{File: p.file, Line: line, Key: key, What: what, Want: want})
}

// declare processes a declaration. All declarations are processed before any other
// statement, so a transition may use a state that is declared below it.
func (p *parser) declare(s statement) {
	switch s.fields[0] {
	case keywordChart:
		p.declareChart(s)
	case keywordInitial:
		p.declareInitial(s)
	case keywordState:
		p.declareState(s, transient)
	case keywordRest:
		p.declareState(s, rest)
	case keywordFinal:
		p.declareState(s, final)
	case keywordEvent:
		p.declareEvent(s)
	}
}

// singleName returns the name in a declaration, which must have exactly one.
func (p *parser) singleName(s statement) (string, bool) {
	if len(s.fields) != 2 {
		p.addFinding(s.line, s.fields[0], fmt.Sprintf("has %d names", len(s.fields)-1), "one name")
		return "", false
	}
	name := s.fields[1]
	if !camelCase(name) {
		p.addFinding(s.line, s.fields[0], fmt.Sprintf("name %q", name), "camelCase letters and digits")
		return "", false
	}
	if reserved(name) {
		p.addFinding(s.line, s.fields[0], fmt.Sprintf("%q is a word of the format", name), "another name")
		return "", false
	}
	return name, true
}

func (p *parser) declareChart(s statement) {
	name, ok := p.singleName(s)
	if !ok {
		return
	}
	if p.chart.name != "" {
		p.addFinding(s.line, keywordChart, "stands twice", "one chart in a file")
		return
	}
	p.chart.name = name
}

func (p *parser) declareInitial(s statement) {
	if _, ok := p.singleName(s); !ok {
		return
	}
	if p.initialName.line != 0 {
		p.addFinding(s.line, keywordInitial, "stands twice", "one initial state")
		return
	}
	p.initialName = s
}

func (p *parser) declareState(s statement, k kind) {
	name, ok := p.newName(s, p.chart.stateIndex, maxStates)
	if !ok {
		return
	}
	p.chart.states = append(p.chart.states, stateEntry{name: name, kind: k, line: s.line})
}

func (p *parser) declareEvent(s statement) {
	name, ok := p.newName(s, p.chart.eventIndex, maxEvents)
	if !ok {
		return
	}
	p.chart.events = append(p.chart.events, name)
}

// newName adds the name in a declaration to index. It reports false if the name is
// invalid or already declared, or if the limit has been reached.
func (p *parser) newName(s statement, index map[string]int, limit int) (string, bool) {
	name, ok := p.singleName(s)
	if !ok {
		return "", false
	}
	if _, declared := index[name]; declared {
		p.addFinding(s.line, name, s.fields[0]+" is declared twice", "one declaration")
		return "", false
	}
	if len(index) == limit {
		p.addFinding(s.line, name, "one "+s.fields[0]+" too many", fmt.Sprintf("at most %d", limit))
		return "", false
	}
	index[name] = len(index)
	return name, true
}

func (p *parser) allocateTable() {
	for i := range p.chart.states {
		p.chart.states[i].cells = make([]cell, len(p.chart.events))
	}
}

// define processes a statement that defines the action for an event in a state.
func (p *parser) define(s statement) {
	switch s.fields[0] {
	case keywordChart, keywordInitial, keywordState, keywordRest, keywordFinal, keywordEvent:
	case keywordIgnore:
		p.defineEvents(s, ignore)
	case keywordReject:
		p.defineEvents(s, reject)
	default:
		p.defineTransition(s)
	}
}

const transitionFields = 4

func (p *parser) defineTransition(s statement) {
	if len(s.fields) != transitionFields || s.fields[2] != keywordArrow {
		p.addFinding(s.line, "", fmt.Sprintf("cannot read %q", strings.Join(s.fields, " ")), `"state event -> state" or a word of the format`)
		return
	}
	from, fromOK := p.state(s.line, s.fields[0])
	event, eventOK := p.event(s.line, s.fields[1])
	to, toOK := p.state(s.line, s.fields[3])
	if !fromOK || !eventOK || !toOK {
		return
	}
	if p.chart.states[from].kind == final {
		p.addFinding(s.line, s.fields[0], "a final state has a transition", "none")
		return
	}
	p.set(from, event, cell{action: transition, target: to, line: s.line})
}

func (p *parser) defineEvents(s statement, a action) {
	const firstEvent = 2
	if len(s.fields) <= firstEvent {
		p.addFinding(s.line, s.fields[0], "names no event", "a state and one or more events")
		return
	}
	from, ok := p.state(s.line, s.fields[1])
	if !ok {
		return
	}
	for _, name := range s.fields[firstEvent:] {
		if name == keywordAll {
			p.defineAllEvents(s, from, a)
			continue
		}
		if event, ok := p.event(s.line, name); ok {
			p.set(from, event, cell{action: a, line: s.line})
		}
	}
}

// defineAllEvents processes "*", which is only allowed for a final state. In any other
// state it would hide a missing event from checkComplete.
func (p *parser) defineAllEvents(s statement, from int, a action) {
	if p.chart.states[from].kind != final {
		p.addFinding(s.line, s.fields[1], "has * but is not final", "each event by name")
		return
	}
	for event := range p.chart.events {
		p.set(from, event, cell{action: a, line: s.line})
	}
}

func (p *parser) set(state, event int, c cell) {
	old := &p.chart.states[state].cells[event]
	if old.action != undefined {
		key := p.chart.states[state].name + "." + p.chart.events[event]
		p.addFinding(c.line, key, fmt.Sprintf("already decided on line %d", old.line), "one decision")
		return
	}
	*old = c
}

func (p *parser) state(line int, name string) (int, bool) {
	i, ok := p.chart.stateIndex[name]
	if !ok {
		p.addFinding(line, name, "unknown state", "")
	}
	return i, ok
}

func (p *parser) event(line int, name string) (int, bool) {
	i, ok := p.chart.eventIndex[name]
	if !ok {
		p.addFinding(line, name, "unknown event", "")
	}
	return i, ok
}

func (p *parser) resolveInitial() {
	if p.initialName.line == 0 {
		p.addFinding(0, keywordInitial, "is missing", "one initial state")
		return
	}
	p.chart.initial, p.hasInitial = p.state(p.initialName.line, p.initialName.fields[1])
}

func camelCase(name string) bool {
	for i, c := range name {
		lower := c >= 'a' && c <= 'z'
		other := c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !lower && (i == 0 || !other) {
			return false
		}
	}
	return true
}

func reserved(name string) bool {
	switch name {
	case keywordChart, keywordInitial, keywordState, keywordRest, keywordFinal, keywordEvent, keywordIgnore, keywordReject:
		return true
	}
	return false
}
