package burdockchart

// check looks at the chart as a whole, after every line was read.
func (p *parser) check() {
	c := p.chart
	if c.name == "" {
		p.find(0, wordChart, "is missing", "the chart's name")
	}
	if len(c.states) == 0 {
		p.find(0, wordState, "is missing", "one state or more")
		return
	}
	if p.hasInitial {
		p.checkReachable()
	}
	p.checkComplete()
	p.checkUsed()
	p.checkEnds()
}

func (p *parser) checkReachable() {
	reached := p.chart.reach(p.chart.initial)
	for i, s := range p.chart.states {
		if !reached[i] {
			p.find(s.line, s.name, "cannot be reached from the initial state", "")
		}
	}
}

// checkComplete finds the events that a state forgot. Such an event would
// come up first in production, as an error in a state that nobody thought of.
func (p *parser) checkComplete() {
	for _, s := range p.chart.states {
		for event, c := range s.cells {
			if c.action == undecided {
				p.find(s.line, s.name+"."+p.chart.events[event], "event is not handled", "a transition, ignore or reject")
			}
		}
	}
}

func (p *parser) checkUsed() {
	for event, name := range p.chart.events {
		if !p.chart.moves(event) {
			p.find(0, name, "event leads nowhere in any state", "one transition or more")
		}
	}
}

func (c *Chart) moves(event int) bool {
	for _, s := range c.states {
		if s.cells[event].action == move {
			return true
		}
	}
	return false
}

// checkEnds finds states from which a machine could run for ever without
// coming to an end or to rest.
func (p *parser) checkEnds() {
	for i, s := range p.chart.states {
		if !p.chart.comesToEnd(i) {
			p.find(s.line, s.name, "no final or rest state can be reached from here", "")
		}
	}
}

func (c *Chart) comesToEnd(from int) bool {
	for i, reached := range c.reach(from) {
		if reached && c.states[i].kind != passing {
			return true
		}
	}
	return false
}

// reach marks the states that can be reached from state from, itself included.
func (c *Chart) reach(from int) []bool {
	reached := make([]bool, len(c.states))
	reached[from] = true
	todo := []int{from}
	for len(todo) > 0 {
		at := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, decided := range c.states[at].cells {
			if decided.action == move && !reached[decided.target] {
				reached[decided.target] = true
				todo = append(todo, decided.target)
			}
		}
	}
	return reached
}
