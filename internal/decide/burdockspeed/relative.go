package burdockspeed

import "slices"

// RelativeToMedian returns the speeds against the median of all, none above Baseline.
//
// Load: engines of one group that all turn slow together. Harm prevented: if
// each were judged by what is usual, none would be left to place requests on. A
// group that is slow as a whole is even; its bound on running requests follows
// from the pauses that are seen.
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
