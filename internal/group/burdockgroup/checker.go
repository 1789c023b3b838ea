package burdockgroup

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Split is the failure that this package exists to prevent: one step in which
// two ranks used different maps.
type Split struct {
	Step      burdockid.Step       `json:"step"`
	First     burdockid.Rank       `json:"first"`
	FirstMap  burdockid.MapVersion `json:"firstMap"`
	Second    burdockid.Rank       `json:"second"`
	SecondMap burdockid.MapVersion `json:"secondMap"`
}

// Error implements the error interface.
func (s *Split) Error() string {
	return fmt.Sprintf("step %d: rank %d used map %d and rank %d used map %d",
		s.Step, s.First, s.FirstMap, s.Second, s.SecondMap)
}

// checkerWindow is the number of steps that a Checker remembers: more than the
// ranks' reports to one controller can lie apart, and a few kilobytes.
const checkerWindow = 256

type ran struct {
	step burdockid.Step
	rank burdockid.Rank
	used burdockid.MapVersion
}

// Checker asserts that in every step all ranks use the same map. The zero
// value is ready to use.
type Checker struct {
	steps [checkerWindow]ran
}

// Observe notes that a rank used a map in a step. It returns a Split if
// another rank used another map in it. Steps that are forgotten pass, and so
// does map 0, which stands for no step.
func (c *Checker) Observe(rank burdockid.Rank, step burdockid.Step, used burdockid.MapVersion) *Split {
	if used == 0 {
		return nil
	}
	known := &c.steps[step%checkerWindow]
	switch {
	case known.used == 0 || known.step < step:
		*known = ran{step: step, rank: rank, used: used}
	case known.step == step && known.used != used:
		return &Split{Step: step, First: known.rank, FirstMap: known.used, Second: rank, SecondMap: used}
	}
	return nil
}
