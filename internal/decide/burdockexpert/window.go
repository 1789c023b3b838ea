package burdockexpert

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// window holds the token counts of one layer, by expert, between two observations.
type window struct {
	counts []float64
	total  float64
}

func newWindow(counts []burdockid.Tokens, experts int) window {
	w := window{counts: make([]float64, experts)}
	for e := range min(len(counts), experts) {
		w.counts[e] = float64(max(0, counts[e]))
		w.total += w.counts[e]
	}
	return w
}

// dispersionFrom compares two windows by the chi-squared statistic per degree of
// freedom. It is about 1 if both have independent tokens and the same shares. It
// is larger if tokens come in bursts to the same experts, or if the shares differ.
func (w window) dispersionFrom(other window) float64 {
	sum, cells := 0.0, 0
	for e, n := range w.counts {
		pooled := (n + other.counts[e]) / (w.total + other.total)
		if pooled == 0 {
			continue
		}
		difference := n/w.total - other.counts[e]/other.total
		sum += difference * difference / (pooled * (1/w.total + 1/other.total))
		cells++
	}
	return sum / float64(max(1, cells-1))
}

// topExperts is the number of most popular experts that oldFraction uses.
const topExperts = 8

// oldFraction returns the largest fraction of w that may belong to an old
// popularity. It is limited by the old popularity's top experts: each of them
// has to get at least its old share of that fraction.
func (w window) oldFraction(old window) float64 {
	fraction := 1.0
	for _, e := range old.top(topExperts) {
		fraction = min(fraction, w.counts[e]/w.total*old.total/old.counts[e])
	}
	return fraction
}

// subtract returns w without a fraction that has the shares of an old popularity.
func (w window) subtract(old window, fraction float64) window {
	if old.total == 0 || fraction <= 0 {
		return w
	}
	rest := window{counts: make([]float64, len(w.counts))}
	for e, n := range w.counts {
		rest.counts[e] = max(n-fraction*w.total*old.counts[e]/old.total, 0)
		rest.total += rest.counts[e]
	}
	if rest.total == 0 {
		return w
	}
	return rest
}

// top returns the n experts with the largest counts above 0, or fewer.
func (w window) top(n int) []int {
	order := make([]int, 0, len(w.counts))
	for e, count := range w.counts {
		if count > 0 {
			order = append(order, e)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(w.counts[b], w.counts[a]) })
	return order[:min(n, len(order))]
}
