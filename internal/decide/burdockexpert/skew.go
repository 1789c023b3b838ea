package burdockexpert

import "math"

// Skew returns for each layer the largest rank time over the mean rank time,
// given a map that covers every expert. Ranks without slots are left out.
func Skew(m *Map, s Snapshot, ranks []Rank) []float64 {
	skews := make([]float64, m.shape.Layers)
	state := newLayerState(m.shape, ranks)
	for l := range skews {
		state.reset(s.Share[l], m.layer(l))
		skews[l] = state.largest() / state.mean()
	}
	return skews
}

// Imbalance returns for each layer the largest rank time over the time that
// the layer would take if its load could be cut into any pieces and spread by
// the ranks' speeds. It is Skew when all ranks are equally fast; when they are
// not, it can't be improved by slowing the ranks that nobody waits for.
func Imbalance(m *Map, s Snapshot, ranks []Rank) []float64 {
	imbalances := make([]float64, m.shape.Layers)
	state := newLayerState(m.shape, ranks)
	for l := range imbalances {
		state.reset(s.Share[l], m.layer(l))
		imbalances[l] = state.largest()
	}
	return imbalances
}

// LowerBound returns for each layer an imbalance that no map can beat. Two limits
// make it: the load can't be spread better than evenly, which is 1; and each
// replica carries its expert's share over the number of its replicas, of which
// the ranks have memory for so many and a rank holds no two of one expert.
func LowerBound(s Snapshot, ranks []Rank) []float64 {
	slots, speeds, fastest, present := 0, 0.0, 0.0, 0
	for _, rank := range ranks {
		if rank.Slots <= 0 {
			continue
		}
		present++
		slots += min(rank.Slots, s.Experts)
		speeds += rank.Speed
		fastest = max(fastest, rank.Speed)
	}
	bounds := make([]float64, len(s.Share))
	for l, share := range s.Share {
		bounds[l] = bound(share, slots, present, speeds/fastest)
	}
	return bounds
}

// boundSteps halves the interval often enough for a float's precision.
const boundSteps = 50

// bound finds the least time t at which replicas no heavier than t fit into
// the slots. A replica of share x takes at least x*inverse on the fastest rank.
func bound(share []float64, slots, ranks int, inverse float64) float64 {
	fits := func(t float64) bool {
		needed := 0
		for _, x := range share {
			replicas := max(1, int(math.Ceil(x*inverse/t)))
			if replicas > ranks {
				return false
			}
			needed += replicas
		}
		return needed <= slots
	}
	low, high := 1.0, inverse
	if high <= low || fits(low) {
		return 1
	}
	for range boundSteps {
		middle := (low + high) / 2
		if fits(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	// low does not fit, so that rounding can't lift the bound above the truth.
	return low
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}
