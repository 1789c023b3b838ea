package burdockgroup

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Split describes the failure that this package exists to prevent: two ranks used
// different maps in one step.
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

// checkerWindow is the number of steps that a Checker remembers. It exceeds the distance
// between the ranks' reports to one controller and takes a few kilobytes.
const checkerWindow = 256

type stepRecord struct {
	step burdockid.Step
	rank burdockid.Rank
	used burdockid.MapVersion
}

// Checker checks that all ranks use the same map in every step. The zero value is ready
// to use.
type Checker struct {
	steps [checkerWindow]stepRecord
}

// Observe records that a rank used a map in a step. It returns a Split if another rank
// used another map in that step. It ignores steps that have left the window, and map 0,
// which stands for no step.
func (c *Checker) Observe(rank burdockid.Rank, step burdockid.Step, used burdockid.MapVersion) *Split {
	if used == 0 {
		return nil
	}
	known := &c.steps[step%checkerWindow]
	switch {
	case known.used == 0 || known.step < step:
		*known = stepRecord{step: step, rank: rank, used: used}
	case known.step == step && known.used != used:
		return &Split{Step: step, First: known.rank, FirstMap: known.used, Second: rank, SecondMap: used}
	}
	return nil
}
