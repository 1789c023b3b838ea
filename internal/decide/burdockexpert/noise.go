package burdockexpert

import (
	"math"
)

// noiseSkew returns how far noise in the popularity lifts the largest of the
// ranks' times by itself: the largest of n independent normal errors is about
// sqrt(2 ln n) deviations. A planner without this sees a saving in every
// snapshot, since its changes fit the noise.
func noiseSkew(deviation []float64, st *layerState, held [][]uint16) float64 {
	replicas := make([]int, st.shape.Experts)
	for _, list := range held {
		for _, e := range list {
			replicas[e]++
		}
	}
	sum := 0.0
	for r, list := range held {
		for _, e := range list {
			d := deviation[e] / float64(replicas[e]) * st.inverse[r]
			sum += d * d
		}
	}
	ranks := float64(max(2, st.usable))
	return math.Sqrt(sum/ranks) * math.Sqrt(2*math.Log(ranks))
}
