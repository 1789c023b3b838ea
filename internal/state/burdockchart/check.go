package burdockchart

// check validates the chart after all statements have been parsed.
func (p *parser) check() {
	c := p.chart
	if c.name == "" {
		p.addFinding(0, keywordChart, "is missing", "the chart's name")
	}
	if len(c.states) == 0 {
		p.addFinding(0, keywordState, "is missing", "one state or more")
		return
	}
	if p.hasInitial {
		p.checkReachable()
	}
	p.checkComplete()
	p.checkEventsUsed()
	p.checkTermination()
}

func (p *parser) checkReachable() {
	reached := p.chart.reachable(p.chart.initial)
	for i, s := range p.chart.states {
		if !reached[i] {
			p.addFinding(s.line, s.name, "cannot be reached from the initial state", "")
		}
	}
}

// checkComplete reports events that a state doesn't define. Without this check a
// missing combination shows up only in production, as an error of Fire.
func (p *parser) checkComplete() {
	for _, s := range p.chart.states {
		for event, c := range s.cells {
			if c.action == undefined {
				p.addFinding(s.line, s.name+"."+p.chart.events[event], "event is not handled", "a transition, ignore or reject")
			}
		}
	}
}

func (p *parser) checkEventsUsed() {
	for event, name := range p.chart.events {
		if !p.chart.hasTransition(event) {
			p.addFinding(0, name, "event leads nowhere in any state", "one transition or more")
		}
	}
}

func (c *Chart) hasTransition(event int) bool {
	for _, s := range c.states {
		if s.cells[event].action == transition {
			return true
		}
	}
	return false
}

// checkTermination reports states from which a machine can never get to a final or rest
// state.
func (p *parser) checkTermination() {
	for i, s := range p.chart.states {
		if !p.chart.canTerminate(i) {
			p.addFinding(s.line, s.name, "no final or rest state can be reached from here", "")
		}
	}
}

func (c *Chart) canTerminate(from int) bool {
	for i, reached := range c.reachable(from) {
		if reached && c.states[i].kind != transient {
			return true
		}
	}
	return false
}

// reachable marks the states that can be reached from state from, including from.
func (c *Chart) reachable(from int) []bool {
	reached := make([]bool, len(c.states))
	reached[from] = true
	pending := []int{from}
	for len(pending) > 0 {
		state := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, next := range c.states[state].cells {
			if next.action == transition && !reached[next.target] {
				reached[next.target] = true
				pending = append(pending, next.target)
			}
		}
	}
	return reached
}
