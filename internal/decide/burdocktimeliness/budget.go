package burdocktimeliness

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

const (
	// budgetSamples is the number of requests from which the usual budget is learned. Other
	// budgets after a change of the callers are learned within as many requests.
	budgetSamples = 64
	// minBudgets is the number of requests before which no budget is usual.
	minBudgets = 8
	// budgetQuantile is a quantile that lies among the first attempts as long as they are
	// more than one in ten: with demand of three times what fits, two in three requests
	// are retries.
	budgetQuantile = 0.9
	// spreadOfFirst is the ratio of the lowest to the highest budget of first attempts,
	// 0.85 to 1.15 of the mean. Budgets that are lower are not counted as usual.
	spreadOfFirst = 0.85 / 1.15
)

// budgets learns the usual budget of one route.
//
// A mean over all requests falls with the share of retries, until retries count as first
// attempts exactly when there are most of them. The usual budget is the median of the
// budgets that are close to a high quantile.
type budgets struct {
	samples [budgetSamples]burdockclock.Millis
	n       uint64
	usual   burdockclock.Millis
}

// observe records one budget. The usual one is computed at every minBudgets requests, to
// keep the cost of a request low.
func (b *budgets) observe(budget burdockclock.Millis) {
	b.samples[b.n%budgetSamples] = budget
	b.n++
	if b.n%minBudgets != 0 {
		return
	}
	sorted := b.samples
	known := sorted[:min(b.n, budgetSamples)]
	slices.Sort(known)
	lowest := burdockclock.Millis(spreadOfFirst * float64(quantile(known, budgetQuantile)))
	from, _ := slices.BinarySearch(known, lowest)
	b.usual = quantile(known[from:], 0.5)
}
