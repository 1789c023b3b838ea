package burdockspeed

import "slices"

// RelativeToMedian returns the speeds relative to their median, none above Baseline.
//
// When all engines of a group turn slow together, comparing each to the baseline would
// leave none to place requests on. A group that is slow as a whole is balanced; the limit
// on its running requests follows from its measured step intervals.
func RelativeToMedian(speeds []Speed) []Speed {
	if len(speeds) == 0 {
		return nil
	}
	sorted := slices.Sorted(slices.Values(speeds))
	median := sorted[len(sorted)/2]
	relative := make([]Speed, len(speeds))
	for i, s := range speeds {
		relative[i] = min(s/median, Baseline)
	}
	return relative
}
