package burdockspeed

import "slices"

// Relative returns the speeds against the median of all, none above Usual.
//
// Load: engines of one group that all turn slow together. Harm prevented: if
// each were judged by what is usual, none would be left to place requests on. A
// group that is slow as a whole is even; its bound on running requests follows
// from the pauses that are seen.
func Relative(speeds []Speed) []Speed {
	if len(speeds) == 0 {
		return nil
	}
	sorted := slices.Sorted(slices.Values(speeds))
	median := sorted[len(sorted)/2]
	relative := make([]Speed, len(speeds))
	for i, s := range speeds {
		relative[i] = min(s/median, Usual)
	}
	return relative
}
