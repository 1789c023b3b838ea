package burdockexpert

import (
	"math"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// layerCounts are the exponentially decayed token counts of one layer. A window
// that differs too much from them, as after a sudden shift of popularity, is kept
// as pending until the next window confirms the shift or not.
type layerCounts struct {
	started     bool
	updatedAt   burdockclock.Millis
	counts      []float64 // by expert: sum of weight*count
	total       float64   // sum of weight*tokens
	totalSquare float64   // sum of weight^2*tokens; total^2/totalSquare is the effective sample size
	previous    window
	mixed       bool      // pending has too much of the old popularity to estimate the new one
	pending     window    // differs from counts; its total is 0 if there is none
	pendingNew  window    // pending without its part of the old popularity
	dispersions []float64 // of the latest windows, at most dispersionWindows
}

const (
	// dispersionWindows is the number of windows whose median dispersion is
	// used. A sudden shift is an outlier in one of them. With the mean it would
	// count as noise, and the planner would do nothing just when it is needed.
	dispersionWindows = 9
	// Below minDispersionWindows values, initialDispersion is the minimum: after
	// the start the first windows may vary little by chance, or there may be
	// nothing to compare them with.
	minDispersionWindows = 4
	initialDispersion    = 100.0
	// shiftFactor is how many times the typical dispersion a window has to have
	// to count as a shift. Chance alone gives 4 times the mean in one of
	// thousands of windows with 8 experts; drift through the day gives about 2
	// times with 128 experts.
	shiftFactor = 8.0
	// maxOldFraction is how much of a window may belong to the old popularity if
	// the new one is to be estimated from the rest. Less than half a window has
	// too few tokens for that.
	maxOldFraction = 0.5
	// unknownDeviation is the deviation of a share without any counts.
	unknownDeviation = 1.0
)

// decay reduces all counts by the time since the latest observation. If now is
// earlier than that, it does nothing, so a late observation gets full weight.
func (c *layerCounts) decay(now, halfLife burdockclock.Millis) {
	elapsed := now - c.updatedAt
	if !c.started {
		c.started, c.updatedAt = true, now
		return
	}
	if elapsed <= 0 {
		return
	}
	c.updatedAt = now
	weight := math.Exp2(-float64(elapsed) / float64(halfLife))
	for e := range c.counts {
		c.counts[e] *= weight
	}
	c.total *= weight
	c.totalSquare *= weight * weight
}

// observe adds one window.
//
// When popularity shifts from one window to the next, an average of old and new
// makes the planner place experts where neither needs them. A window that differs
// from the counts is therefore kept pending, since a single one may be a burst.
// If the next window agrees with it, the old counts are dropped. If the next one
// agrees with the counts, it was a burst and is added to them. If the next agrees
// with neither, the shift happened within the pending window, which then mixes
// both popularities and is dropped together with the old counts.
//
// The old popularity's part is subtracted from a pending window, so that planning
// on the new one can begin at once. With long steps, waiting for another window
// would keep a map in use that no longer fits.
func (c *layerCounts) observe(w window) {
	switch {
	case c.pending.total > 0:
		c.resolvePending(w)
	case c.isShift(w):
		oldFraction := w.oldFraction(c.accumulated())
		c.pending, c.pendingNew, c.mixed = w, w.subtract(c.accumulated(), oldFraction), oldFraction > maxOldFraction
	default:
		c.recordDispersion(w)
		c.add(w)
	}
}

// resolvePending adds the window that follows a pending one.
func (c *layerCounts) resolvePending(w window) {
	agrees := w.dispersionFrom(c.pending) <= shiftFactor*c.dispersion()
	shifted := agrees || c.isShift(w)
	if shifted {
		c.clearCounts()
	}
	if agrees || !shifted {
		c.add(c.pending)
	}
	c.add(w)
	c.pending, c.pendingNew = window{}, window{}
}

// add adds a window to the counts.
func (c *layerCounts) add(w window) {
	c.previous = w
	for e, n := range w.counts {
		c.counts[e] += n
	}
	c.total += w.total
	c.totalSquare += w.total
}

// accumulated returns the decayed counts as one window.
func (c *layerCounts) accumulated() window { return window{counts: c.counts, total: c.total} }

// clearCounts drops the counts, but keeps their dispersions.
func (c *layerCounts) clearCounts() {
	clear(c.counts)
	c.total, c.totalSquare = 0, 0
}

// isShift reports whether a window differs more from the counts than noise
// explains.
//
// It compares with all counts since the last shift, not with the previous window.
// If popularity shifts within a window of few tokens, neither that window nor the
// next differs significantly from its predecessor, and the estimate would keep
// the old popularity until the next shift.
func (c *layerCounts) isShift(w window) bool {
	return len(c.dispersions) >= minDispersionWindows && w.dispersionFrom(c.accumulated()) > shiftFactor*c.dispersion()
}

func (c *layerCounts) recordDispersion(w window) {
	if c.previous.total == 0 {
		return
	}
	if len(c.dispersions) == dispersionWindows {
		c.dispersions = slices.Delete(c.dispersions, 0, 1)
	}
	c.dispersions = append(c.dispersions, w.dispersionFrom(c.previous))
}

// dispersion returns the variance of the counts relative to that of independent
// tokens, at least 1.
func (c *layerCounts) dispersion() float64 {
	minDispersion := 1.0
	if len(c.dispersions) < minDispersionWindows {
		minDispersion = initialDispersion
	}
	if len(c.dispersions) == 0 {
		return minDispersion
	}
	sorted := slices.Sorted(slices.Values(c.dispersions))
	return max(minDispersion, sorted[len(sorted)/2])
}

// provisional is like estimate, but uses only the new part of a pending window if
// there is one.
func (c *layerCounts) provisional() (share, deviation []float64) {
	if c.pending.total == 0 {
		return c.estimate()
	}
	shifted := layerCounts{
		counts: c.pendingNew.counts, total: c.pendingNew.total, totalSquare: c.pendingNew.total, dispersions: c.dispersions,
	}
	return shifted.estimate()
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
	sampleSize := c.total * c.total / c.totalSquare
	dispersion := c.dispersion()
	for e, n := range c.counts {
		share[e] = n / c.total
		deviation[e] = math.Sqrt(dispersion * share[e] * (1 - share[e]) / sampleSize)
	}
	return share, deviation
}
