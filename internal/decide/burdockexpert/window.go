package burdockexpert

import "burdockbend.example/burdockbend/internal/base/burdockid"

// window holds the tokens of one layer's experts between two observations.
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

// dispersionFrom compares a window with another by a chi-squared statistic for
// each degree of freedom. It is about 1 when both are of independent tokens
// with the same shares, and more when tokens come in bursts that go to the
// same experts, or when the shares differ.
func (w window) dispersionFrom(other window) float64 {
	sum, cells := 0.0, 0
	for e, n := range w.counts {
		pooled := (n + other.counts[e]) / (w.total + other.total)
		if pooled == 0 {
			continue
		}
		diff := n/w.total - other.counts[e]/other.total
		sum += diff * diff / (pooled * (1/w.total + 1/other.total))
		cells++
	}
	return sum / float64(max(1, cells-1))
}
