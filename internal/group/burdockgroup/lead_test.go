package burdockgroup

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Guards against a lead that never falls. Steps are short at first, so a change needs a
// lead of many steps; then each takes a tenth of a second because the map no longer fits
// the load. A lead that stayed long would delay each later change by nearly a second,
// although two steps are enough for its rounds, and streams would be uneven for as long.
func TestLeadFallsWhenStepsGrowLong(t *testing.T) {
	g := newSimGroup(3)
	g.stepTime = 2
	for i := range 4 {
		g.change(t, fmt.Sprintf("short %d", i))
	}
	if got, minimum := g.c.lead, burdockid.Step(4); got < minimum {
		t.Fatalf("lead while steps are short: got %d, want at least %d", got, minimum)
	}
	g.stepTime = 100
	g.change(t, "the change with too long a lead")
	for i := range 4 {
		if got, limit := g.change(t, fmt.Sprintf("long %d", i)), 4*g.stepTime; got > limit {
			t.Errorf("duration of change %d with steps of %d ms: got %d ms, want at most %d", i, g.stepTime, got, limit)
		}
	}
}

// A step lasts about as long as two rounds, so ranks reach the step before the switch
// step while the others are still committing. No step is lost yet. A lead that grew
// because of this would double until changes come seconds late.
func TestMinimizedLeadStaysWhileStepRuns(t *testing.T) {
	g := newSimGroup(3)
	g.stepTime = 25
	for i := range 8 {
		g.change(t, fmt.Sprintf("change %d", i))
		if got, want := g.c.lead, burdockid.Step(1); got != want {
			t.Fatalf("lead after change %d: got %d, want %d", i, got, want)
		}
	}
}

// Guards against a lead that wraps around when a change left more steps unused than the
// lead has, or when a rank has begun the switch step: each later change would be set to a
// past step.
func TestTrimmedLeadNeverWrapsAround(t *testing.T) {
	const seed, cases, maxLead = 1, 10_000, 8
	rnd := rand.New(rand.NewPCG(seed, seed))
	for i := range cases {
		c := NewController(ControllerConfig{Ranks: 3, SwitchLead: 1, MaxSwitchLead: maxLead, MinimizeLead: true})
		c.lead = burdockid.Step(1 + rnd.IntN(maxLead))
		c.goal.At = burdockid.Step(rnd.IntN(2 * maxLead))
		for r := range c.members {
			c.members[r].status.Next = burdockid.Step(rnd.IntN(2 * maxLead))
		}
		before := c.lead
		c.trimLead()
		if got := c.lead; got < 1 || got > before {
			t.Fatalf("case %d of seed %d: lead after trimming: got %d, want 1 to %d", i, seed, got, before)
		}
	}
}
