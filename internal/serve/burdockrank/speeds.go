package burdockrank

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
)

// speeds is how fast the engines of a group are, by rank, as their agents told
// with their latest answers.
//
// Failure: an engine turns slow for seconds. Symptom: each pass of the group
// waits for that rank's experts, so that every stream is late. The planner gives
// such a rank what its speed carries.
type speeds []burdockspeed.Speed

func newSpeeds(ranks int) speeds {
	s := make(speeds, ranks)
	for r := range s {
		s[r] = burdockspeed.Baseline
	}
	return s
}

// heard takes in what an agent told, 0 if it doesn't know. It reports whether
// that changes what should be planned.
func (s speeds) heard(rank burdockid.Rank, told burdockspeed.Speed) bool {
	if told == 0 || rank < 0 || int(rank) >= len(s) {
		return false
	}
	speed, _ := burdockspeed.FromSlowdown(1 / float64(told))
	if !burdockspeed.SignificantChange(s[rank], speed) {
		return false
	}
	s[rank] = speed
	return true
}

// speed returns the speed of the engine beside this agent, 0 if it doesn't tell.
func (m *member) speed() burdockspeed.Speed {
	if teller, ok := m.deps.Engine.(burdockengine.SpeedTeller); ok {
		return teller.Speed()
	}
	return 0
}
