package burdockexpert

import (
	"math"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Popularity estimates how the tokens of each layer spread over its experts
// from counts that it is fed. Old counts decay. Beside the shares it keeps an
// estimate of their noise: a planner that takes noise for drift moves experts
// for nothing.
type Popularity struct {
	halfLife burdockclock.Millis
	layers   []layerCounts
	experts  int
}

// layerCounts holds the decayed counts of one layer.
type layerCounts struct {
	seen        bool
	at          burdockclock.Millis
	counts      []float64 // sum of weight*count
	total       float64   // sum of weight*tokens
	totalSquare float64   // sum of weight^2*tokens; with total it gives the effective sample
	last        []float64 // the newest window
	lastTotal   float64
	dispersions []float64 // the newest, at most dispersionWindows
}

const (
	// dispersionWindows is the number of windows whose median dispersion is
	// used. A sudden change of popularity is an outlier in one of them; a mean
	// would take it for noise and stop the planner just when it is needed.
	dispersionWindows = 9
	// knownWindows is the number of dispersions below which assumedDispersion
	// is the least that is taken: after a start the first windows may be calm
	// by chance, or not have been compared at all.
	knownWindows      = 4
	assumedDispersion = 100.0
	// unknownDeviation is the deviation of a share of which nothing is known.
	unknownDeviation = 1.0
)

// NewPopularity returns an estimate without counts, in which all experts of a
// layer are alike and the noise is as large as can be.
func NewPopularity(layers, experts int, halfLife burdockclock.Millis) *Popularity {
	p := &Popularity{halfLife: max(1, halfLife), layers: make([]layerCounts, layers), experts: experts}
	for i := range p.layers {
		p.layers[i].counts = make([]float64, experts)
		p.layers[i].last = make([]float64, experts)
	}
	return p
}

// Observe adds the tokens that each expert of a layer was given since the
// observation before. Counts beyond the number of experts are left out.
func (p *Popularity) Observe(now burdockclock.Millis, l burdockid.Layer, counts []burdockid.Tokens) {
	c := &p.layers[l]
	c.decay(now, p.halfLife)
	window := make([]float64, p.experts)
	total := 0.0
	for e := range min(len(counts), p.experts) {
		window[e] = float64(max(0, counts[e]))
		total += window[e]
	}
	if total == 0 {
		return
	}
	c.measureDispersion(window, total)
	c.last, c.lastTotal = window, total
	for e, n := range window {
		c.counts[e] += n
	}
	c.total += total
	c.totalSquare += total
}

// decay lowers the weight of all counts by the time since the newest one. An
// observation that comes late, with an earlier time, is taken as of now.
func (c *layerCounts) decay(now, halfLife burdockclock.Millis) {
	elapsed := now - c.at
	if !c.seen {
		c.seen, c.at = true, now
		return
	}
	if elapsed <= 0 {
		return
	}
	c.at = now
	weight := math.Exp2(-float64(elapsed) / float64(halfLife))
	for e := range c.counts {
		c.counts[e] *= weight
	}
	c.total *= weight
	c.totalSquare *= weight * weight
}

// measureDispersion compares a window with the one before it. The statistic
// is 1 for independent tokens and more when tokens come in bursts that go to
// the same experts.
func (c *layerCounts) measureDispersion(window []float64, total float64) {
	if c.lastTotal == 0 {
		return
	}
	sum, cells := 0.0, 0
	for e, n := range window {
		pooled := (n + c.last[e]) / (total + c.lastTotal)
		if pooled == 0 {
			continue
		}
		diff := n/total - c.last[e]/c.lastTotal
		sum += diff * diff / (pooled * (1/total + 1/c.lastTotal))
		cells++
	}
	if len(c.dispersions) == dispersionWindows {
		c.dispersions = slices.Delete(c.dispersions, 0, 1)
	}
	c.dispersions = append(c.dispersions, sum/float64(max(1, cells-1)))
}

// dispersion returns how much more the counts vary than independent tokens.
func (c *layerCounts) dispersion() float64 {
	least := 1.0
	if len(c.dispersions) < knownWindows {
		least = assumedDispersion
	}
	if len(c.dispersions) == 0 {
		return least
	}
	sorted := slices.Sorted(slices.Values(c.dispersions))
	return max(least, sorted[len(sorted)/2])
}

// Snapshot is a popularity at one instant.
type Snapshot struct {
	Experts int
	// Share has for each layer and expert the part of the layer's tokens
	// that the expert gets. The shares of a layer sum to 1.
	Share [][]float64
	// Deviation is the standard deviation of the estimate of each share.
	Deviation [][]float64
}

// Snapshot returns the present estimate.
func (p *Popularity) Snapshot() Snapshot {
	s := Snapshot{Experts: p.experts}
	for i := range p.layers {
		share, deviation := p.layers[i].estimate()
		s.Share = append(s.Share, share)
		s.Deviation = append(s.Deviation, deviation)
	}
	return s
}

func (c *layerCounts) estimate() (share, deviation []float64) {
	share = make([]float64, len(c.counts))
	deviation = make([]float64, len(c.counts))
	if c.total == 0 {
		for e := range share {
			share[e] = 1 / float64(len(share))
			deviation[e] = unknownDeviation
		}
		return share, deviation
	}
	sample := c.total * c.total / c.totalSquare
	dispersion := c.dispersion()
	for e, n := range c.counts {
		share[e] = n / c.total
		deviation[e] = math.Sqrt(dispersion * share[e] * (1 - share[e]) / sample)
	}
	return share, deviation
}
