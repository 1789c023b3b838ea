package burdockexpert

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Popularity estimates from token counts how the tokens of each layer spread over
// its experts. Old counts decay exponentially. It also estimates the noise of the
// shares: a planner that mistakes noise for drift loads experts for nothing.
type Popularity struct {
	halfLife burdockclock.Millis
	layers   []layerCounts
	experts  int
}

// NewPopularity returns an estimate without counts: all experts of a layer have the
// same share, and a deviation of 1. A count loses half of its weight in halfLife.
func NewPopularity(layers, experts int, halfLife burdockclock.Millis) *Popularity {
	p := &Popularity{halfLife: max(1, halfLife), layers: make([]layerCounts, layers), experts: experts}
	for i := range p.layers {
		p.layers[i].counts = make([]float64, experts)
	}
	return p
}

// Observe adds the number of tokens that each expert of a layer processed since the
// previous observation. Counts of layers and experts that the model does not have
// are ignored: an engine that reports for another version of the model must not
// crash the process.
func (p *Popularity) Observe(now burdockclock.Millis, l burdockid.Layer, counts []burdockid.Tokens) {
	if l < 0 || int(l) >= len(p.layers) {
		return
	}
	c := &p.layers[l]
	c.decay(now, p.halfLife)
	if w := newWindow(counts, p.experts); w.total > 0 {
		c.observe(w)
	}
}

// ShiftPending reports whether the latest counts of any layer show a shift that the
// next ones still have to confirm.
func (p *Popularity) ShiftPending() bool {
	for i := range p.layers {
		if p.layers[i].pending.total > 0 {
			return true
		}
	}
	return false
}

// ShiftMixed reports whether any layer has a pending shift whose counts mix the old
// and the new popularity too much to estimate the new one.
func (p *Popularity) ShiftMixed() bool {
	for i := range p.layers {
		if p.layers[i].pending.total > 0 && p.layers[i].mixed {
			return true
		}
	}
	return false
}

// Snapshot is the estimate of a Popularity at one instant.
type Snapshot struct {
	Experts int
	// Share is, by layer and expert, the expert's fraction of the layer's tokens.
	// The shares of a layer sum to 1.
	Share [][]float64
	// Deviation is, by layer and expert, the standard deviation of the share.
	Deviation [][]float64
}

// Snapshot returns the current estimate, without pending shifts.
func (p *Popularity) Snapshot() Snapshot { return p.snapshot((*layerCounts).estimate) }

// ProvisionalSnapshot is like Snapshot, but for layers with a pending shift it
// returns the new popularity before the next counts confirm it.
func (p *Popularity) ProvisionalSnapshot() Snapshot { return p.snapshot((*layerCounts).provisional) }

func (p *Popularity) snapshot(estimate func(*layerCounts) (share, deviation []float64)) Snapshot {
	s := Snapshot{Experts: p.experts}
	for i := range p.layers {
		share, deviation := estimate(&p.layers[i])
		s.Share = append(s.Share, share)
		s.Deviation = append(s.Deviation, deviation)
	}
	return s
}
