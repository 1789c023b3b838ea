package burdockexpert

import "math"

// Skew returns for each layer the largest rank time divided by the mean rank
// time. The map has to place every expert. Ranks without slots don't count.
func Skew(m *Map, s Snapshot, ranks []Rank) []float64 {
	skews := make([]float64, m.shape.Layers)
	state := newLayerState(m.shape, ranks)
	for l := range skews {
		state.reset(s.Share[l], m.layer(l))
		skews[l] = state.maxTime() / state.meanTime()
	}
	return skews
}

// Imbalance returns for each layer the largest rank time divided by the balanced
// time, which is the time of the layer if its tokens could be split among the
// ranks in exact proportion to their speeds. It equals Skew if all ranks are
// equally fast. Otherwise Skew also falls when ranks that no rank waits for get
// more tokens, which saves no time; Imbalance does not.
func Imbalance(m *Map, s Snapshot, ranks []Rank) []float64 {
	imbalances := make([]float64, m.shape.Layers)
	state := newLayerState(m.shape, ranks)
	for l := range imbalances {
		state.reset(s.Share[l], m.layer(l))
		imbalances[l] = state.maxTime()
	}
	return imbalances
}

// LowerBound returns for each layer an imbalance that no map can go below. It is
// at least 1, the imbalance of a perfect split. It is larger if popular experts
// can't be split far enough, as the number of replicas is limited by the slots,
// and for each expert by the number of ranks.
func LowerBound(s Snapshot, ranks []Rank) []float64 {
	slots, speeds, fastest, usableRanks := 0, 0.0, 0.0, 0
	for _, rank := range ranks {
		if rank.Slots <= 0 {
			continue
		}
		usableRanks++
		slots += min(rank.Slots, s.Experts)
		speeds += rank.Speed
		fastest = max(fastest, rank.Speed)
	}
	bounds := make([]float64, len(s.Share))
	for l, share := range s.Share {
		bounds[l] = lowerBound(share, slots, usableRanks, speeds/fastest)
	}
	return bounds
}

// bisectionSteps is the number of halvings that reaches a float64's precision.
const bisectionSteps = 50

// lowerBound finds the smallest time t such that replicas that take at most t on
// the fastest rank fit into the slots. A share x takes x*timePerShare there.
func lowerBound(share []float64, slots, ranks int, timePerShare float64) float64 {
	fits := func(t float64) bool {
		needed := 0
		for _, x := range share {
			replicas := max(1, int(math.Ceil(x*timePerShare/t)))
			if replicas > ranks {
				return false
			}
			needed += replicas
		}
		return needed <= slots
	}
	low, high := 1.0, timePerShare
	if high <= low || fits(low) {
		return 1
	}
	for range bisectionSteps {
		middle := (low + high) / 2
		if fits(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	// high fits and may be above the exact bound; low never is.
	return low
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
