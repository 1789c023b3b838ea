package burdockgroup

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Callers' answers come unevenly for as long as a group runs with a map that
// its work has outgrown. Steps are short at first, so that a change needs a lead
// of many of them, and then each takes a tenth of a second because the map no
// longer fits. A lead that stayed as long as it had grown would put each later
// change off by nearly a second, when two steps are enough for its rounds.
func TestLeadFallsWhenStepsGrowLong(t *testing.T) {
	g := newPacedGroup(3)
	g.step = 2
	for i := range 4 {
		g.change(t, fmt.Sprintf("short %d", i))
	}
	if got, least := g.c.lead, burdockid.Step(4); got < least {
		t.Fatalf("lead while steps are short: got %d, want %d at least", got, least)
	}
	g.step = 100
	g.change(t, "the change that finds its lead too long")
	for i := range 4 {
		if got, most := g.change(t, fmt.Sprintf("long %d", i)), 4*g.step; got > most {
			t.Errorf("change %d with steps of %d ms: got %d ms, want %d at most", i, g.step, got, most)
		}
	}
}

// A step lasts about as long as two rounds, so ranks reach the step before that
// of the change while the others still commit. Nobody stands yet: a lead that
// grew at the sight of it would double until changes come seconds late.
func TestShortLeadIsNotTooShortWhileAStepRuns(t *testing.T) {
	g := newPacedGroup(3)
	g.step = 25
	for i := range 8 {
		g.change(t, fmt.Sprintf("change %d", i))
		if got, want := g.c.lead, burdockid.Step(1); got != want {
			t.Fatalf("lead after change %d: got %d, want %d", i, got, want)
		}
	}
}

// Guards against a lead that wraps around when a change had more steps left than
// the lead has, or when a rank has begun the step of the change: each later change
// would be set to a step that is past.
func TestTrimmedLeadNeverWrapsAround(t *testing.T) {
	const seed, cases, most = 1, 10_000, 8
	rnd := rand.New(rand.NewPCG(seed, seed))
	for i := range cases {
		c := NewController(ControllerConfig{Ranks: 3, SwitchLead: 1, MaxSwitchLead: most, MinimizeLead: true})
		c.lead = burdockid.Step(1 + rnd.IntN(most))
		c.goal.At = burdockid.Step(rnd.IntN(2 * most))
		for r := range c.members {
			c.members[r].status.Next = burdockid.Step(rnd.IntN(2 * most))
		}
		before := c.lead
		c.trimLead()
		if got := c.lead; got < 1 || got > before {
			t.Fatalf("case %d of seed %d: lead after trimming: got %d, want 1 to %d", i, seed, got, before)
		}
	}
}
