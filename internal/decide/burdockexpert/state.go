package burdockexpert

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Verdict is the kind of a decision in the state dump.
type Verdict string

const (
	verdictStay Verdict = "stay"
	verdictMove Verdict = "move"
)

// Record is one decision as the state dump shows it. Imbalances are means over
// the layers, for the popularity that the decision is based on.
type Record struct {
	At              burdockclock.Millis `json:"at"`
	Verdict         Verdict             `json:"verdict"`
	Reason          Reason              `json:"reason"`
	ImbalanceBefore float64             `json:"imbalanceBefore"`
	ImbalanceAfter  float64             `json:"imbalanceAfter"`
	Loads           int                 `json:"moves"`
	Cost            burdockclock.Millis `json:"costMillis"`
	Saving          burdockclock.Millis `json:"savingMillis"`
}

// State is a planner's part of the state dump.
type State struct {
	NoiseMargin     float64  `json:"noiseMargin"`
	MaxLayerChanges int      `json:"layerChanges"`
	MaxTotalChanges int      `json:"totalChanges"`
	Decisions       []Record `json:"decisions"` // oldest first
}

// LastDecision returns the latest decision, or the zero value if there is none.
func (p *Planner) LastDecision() Record {
	if len(p.history) == 0 {
		return Record{}
	}
	return p.history[len(p.history)-1]
}

// State returns the planner's settings and its last decisions.
func (p *Planner) State() State {
	return State{
		NoiseMargin:     p.cfg.NoiseMargin,
		MaxLayerChanges: p.cfg.MaxLayerChanges,
		MaxTotalChanges: p.cfg.MaxTotalChanges,
		Decisions:       slices.Clone(p.history),
	}
}

func (p *Planner) record(rec Record) {
	if len(p.history) >= p.cfg.MaxHistory {
		p.history = slices.Delete(p.history, 0, len(p.history)-p.cfg.MaxHistory+1)
	}
	p.history = append(p.history, rec)
}
