package burdockexpert

import (
	"math"
)

// noiseSkew returns by how much noise in the popularity alone is expected to
// raise the largest rank time: the largest of n independent normal errors is
// about sqrt(2 ln n) standard deviations. Without it the planner finds a saving
// in every snapshot, because its changes fit the noise.
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
			d := deviation[e] / float64(replicas[e]) * st.timePerShare[r]
			sum += d * d
		}
	}
	ranks := float64(max(2, st.usableRanks))
	return math.Sqrt(sum/ranks) * math.Sqrt(2*math.Log(ranks))
}
