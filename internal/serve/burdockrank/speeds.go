package burdockrank

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
)

// speeds holds the speed of each rank's engine, by rank, as its agent last reported it.
//
// An engine can turn slow for seconds. Each step of the group then waits for the experts
// of that rank, and every stream is late. The planner gives such a rank only as much load
// as its speed allows.
type speeds []burdockspeed.Speed

func newSpeeds(ranks int) speeds {
	s := make(speeds, ranks)
	for r := range s {
		s[r] = burdockspeed.Baseline
	}
	return s
}

// update records a reported speed; 0 means that the agent doesn't know it. It returns
// whether the change matters for planning.
func (s speeds) update(rank burdockid.Rank, reported burdockspeed.Speed) bool {
	if reported == 0 || rank < 0 || int(rank) >= len(s) {
		return false
	}
	speed, _ := burdockspeed.FromSlowdown(1 / float64(reported))
	if !burdockspeed.SignificantChange(s[rank], speed) {
		return false
	}
	s[rank] = speed
	return true
}

// engineSpeed returns the speed of this agent's engine, or 0 if it isn't known.
func (m *member) engineSpeed() burdockspeed.Speed {
	if reporter, ok := m.deps.Engine.(burdockengine.SpeedReporter); ok {
		return reporter.Speed()
	}
	return 0
}
