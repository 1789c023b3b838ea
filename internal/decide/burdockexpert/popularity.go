package burdockexpert

import (
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

// NewPopularity returns an estimate without counts, in which all experts of a
// layer are alike and the noise is as large as can be.
func NewPopularity(layers, experts int, halfLife burdockclock.Millis) *Popularity {
	p := &Popularity{halfLife: max(1, halfLife), layers: make([]layerCounts, layers), experts: experts}
	for i := range p.layers {
		p.layers[i].counts = make([]float64, experts)
	}
	return p
}

// Observe adds the tokens that each expert of a layer was given since the
// observation before. Counts beyond the number of experts, and those of a layer
// that the model has not, are left out: an engine that reports for another
// version of the model must not end the process.
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

// ShiftPending reports whether the newest counts of some layer break with those before
// and have yet to be confirmed by the next.
func (p *Popularity) ShiftPending() bool {
	for i := range p.layers {
		if p.layers[i].pending.total > 0 {
			return true
		}
	}
	return false
}

// ShiftMixed reports whether the newest counts of some layer break with those before
// and are partly of before, so that they stand for neither.
func (p *Popularity) ShiftMixed() bool {
	for i := range p.layers {
		if p.layers[i].pending.total > 0 && p.layers[i].mixed {
			return true
		}
	}
	return false
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
func (p *Popularity) Snapshot() Snapshot { return p.snapshot((*layerCounts).estimate) }

// ProvisionalSnapshot is Snapshot with counts that break with those before taken for the
// popularity at once, before the next confirm it.
func (p *Popularity) ProvisionalSnapshot() Snapshot { return p.snapshot((*layerCounts).newest) }

func (p *Popularity) snapshot(estimate func(*layerCounts) (share, deviation []float64)) Snapshot {
	s := Snapshot{Experts: p.experts}
	for i := range p.layers {
		share, deviation := estimate(&p.layers[i])
		s.Share = append(s.Share, share)
		s.Deviation = append(s.Deviation, deviation)
	}
	return s
}
