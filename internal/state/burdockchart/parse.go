package burdockchart

import (
	"fmt"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockfinding"
)

// Limits of a chart file. They are far above any chart that a person can read,
// and keep the table of a hostile or damaged file small.
const (
	maxBytes  = 64 << 10
	maxStates = 64
	maxEvents = 64
)

// Words of the format.
const (
	wordChart   = "chart"
	wordInitial = "initial"
	wordState   = "state"
	wordRest    = "rest"
	wordFinal   = "final"
	wordEvent   = "event"
	wordIgnore  = "ignore"
	wordReject  = "reject"
	wordArrow   = "->"
	wordAll     = "*"
)

// statement is one line of a chart file, split into words.
type statement struct {
	line  int
	words []string
}

// parser turns statements into a chart and notes what is wrong.
type parser struct {
	file        string
	chart       *Chart
	initialName statement
	hasInitial  bool
	findings    burdockfinding.List
}

// Parse reads and checks a chart. The error, if any, is a
// *burdockfinding.Error that holds every finding with its line.
func Parse(file string, text []byte) (*Chart, error) {
	p := &parser{
		file:  file,
		chart: &Chart{stateIndex: map[string]int{}, eventIndex: map[string]int{}},
	}
	if len(text) > maxBytes {
		p.find(0, "", "chart file is too long", fmt.Sprintf("at most %d bytes", maxBytes))
		return nil, p.findings.Err()
	}
	statements := split(text)
	for _, s := range statements {
		p.declare(s)
	}
	p.makeTable()
	for _, s := range statements {
		p.decide(s)
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
		if words := strings.Fields(code); len(words) > 0 {
			statements = append(statements, statement{line: i + 1, words: words})
		}
	}
	return statements
}

func (p *parser) find(line int, key, what, want string) {
	p.findings.Add(burdockfinding.Finding{File: p.file, Line: line, Key: key, What: what, Want: want})
}

// declare takes the statements that introduce names. It runs over the whole
// file first, so that a transition may name a state declared below it.
func (p *parser) declare(s statement) {
	switch s.words[0] {
	case wordChart:
		p.declareChart(s)
	case wordInitial:
		p.declareInitial(s)
	case wordState:
		p.declareState(s, passing)
	case wordRest:
		p.declareState(s, rest)
	case wordFinal:
		p.declareState(s, final)
	case wordEvent:
		p.declareEvent(s)
	}
}

// oneName returns the single name that a declaration must have.
func (p *parser) oneName(s statement) (string, bool) {
	if len(s.words) != 2 {
		p.find(s.line, s.words[0], fmt.Sprintf("has %d names", len(s.words)-1), "one name")
		return "", false
	}
	name := s.words[1]
	if !camelCase(name) {
		p.find(s.line, s.words[0], fmt.Sprintf("name %q", name), "camelCase letters and digits")
		return "", false
	}
	if reserved(name) {
		p.find(s.line, s.words[0], fmt.Sprintf("%q is a word of the format", name), "another name")
		return "", false
	}
	return name, true
}

func (p *parser) declareChart(s statement) {
	name, ok := p.oneName(s)
	if !ok {
		return
	}
	if p.chart.name != "" {
		p.find(s.line, wordChart, "stands twice", "one chart in a file")
		return
	}
	p.chart.name = name
}

func (p *parser) declareInitial(s statement) {
	if _, ok := p.oneName(s); !ok {
		return
	}
	if p.initialName.line != 0 {
		p.find(s.line, wordInitial, "stands twice", "one initial state")
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

// newName enters a declaration's name into index, unless it is wrong, taken
// or one too many.
func (p *parser) newName(s statement, index map[string]int, limit int) (string, bool) {
	name, ok := p.oneName(s)
	if !ok {
		return "", false
	}
	if _, taken := index[name]; taken {
		p.find(s.line, name, s.words[0]+" is declared twice", "one declaration")
		return "", false
	}
	if len(index) == limit {
		p.find(s.line, name, "one "+s.words[0]+" too many", fmt.Sprintf("at most %d", limit))
		return "", false
	}
	index[name] = len(index)
	return name, true
}

func (p *parser) makeTable() {
	for i := range p.chart.states {
		p.chart.states[i].cells = make([]cell, len(p.chart.events))
	}
}

// decide takes the statements that say what happens on an event.
func (p *parser) decide(s statement) {
	switch s.words[0] {
	case wordChart, wordInitial, wordState, wordRest, wordFinal, wordEvent:
	case wordIgnore:
		p.decideList(s, ignore)
	case wordReject:
		p.decideList(s, reject)
	default:
		p.decideMove(s)
	}
}

const moveWords = 4

func (p *parser) decideMove(s statement) {
	if len(s.words) != moveWords || s.words[2] != wordArrow {
		p.find(s.line, "", fmt.Sprintf("cannot read %q", strings.Join(s.words, " ")), `"state event -> state" or a word of the format`)
		return
	}
	from, fromOK := p.state(s.line, s.words[0])
	event, eventOK := p.event(s.line, s.words[1])
	to, toOK := p.state(s.line, s.words[3])
	if !fromOK || !eventOK || !toOK {
		return
	}
	if p.chart.states[from].kind == final {
		p.find(s.line, s.words[0], "a final state has a transition", "none")
		return
	}
	p.set(from, event, cell{action: move, target: to, line: s.line})
}

func (p *parser) decideList(s statement, a action) {
	const firstEvent = 2
	if len(s.words) <= firstEvent {
		p.find(s.line, s.words[0], "names no event", "a state and one or more events")
		return
	}
	from, ok := p.state(s.line, s.words[1])
	if !ok {
		return
	}
	for _, name := range s.words[firstEvent:] {
		if name == wordAll {
			p.decideAll(s, from, a)
			continue
		}
		if event, ok := p.event(s.line, name); ok {
			p.set(from, event, cell{action: a, line: s.line})
		}
	}
}

// decideAll takes "*", which only a final state may have: elsewhere it would
// hide an event that was forgotten, which is what the check is there to find.
func (p *parser) decideAll(s statement, from int, a action) {
	if p.chart.states[from].kind != final {
		p.find(s.line, s.words[1], "has * but is not final", "each event by name")
		return
	}
	for event := range p.chart.events {
		p.set(from, event, cell{action: a, line: s.line})
	}
}

func (p *parser) set(state, event int, c cell) {
	old := &p.chart.states[state].cells[event]
	if old.action != undecided {
		key := p.chart.states[state].name + "." + p.chart.events[event]
		p.find(c.line, key, fmt.Sprintf("already decided on line %d", old.line), "one decision")
		return
	}
	*old = c
}

func (p *parser) state(line int, name string) (int, bool) {
	i, ok := p.chart.stateIndex[name]
	if !ok {
		p.find(line, name, "unknown state", "")
	}
	return i, ok
}

func (p *parser) event(line int, name string) (int, bool) {
	i, ok := p.chart.eventIndex[name]
	if !ok {
		p.find(line, name, "unknown event", "")
	}
	return i, ok
}

func (p *parser) resolveInitial() {
	if p.initialName.line == 0 {
		p.find(0, wordInitial, "is missing", "one initial state")
		return
	}
	p.chart.initial, p.hasInitial = p.state(p.initialName.line, p.initialName.words[1])
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
	case wordChart, wordInitial, wordState, wordRest, wordFinal, wordEvent, wordIgnore, wordReject:
		return true
	}
	return false
}
