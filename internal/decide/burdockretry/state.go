package burdockretry

import (
	"maps"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// State is the budget's part of the state dump.
type State struct {
	RecentSuccesses float64           `json:"recentSuccesses"`
	RecentRetries   float64           `json:"recentRetries"`
	RecentOffers    float64           `json:"recentOffers"`
	RecentRefusals  float64           `json:"recentRefusals"`
	Allowance       float64           `json:"allowance"`
	HighRefusalRate bool              `json:"mostRefuse"`
	GivenUp         map[Reason]uint64 `json:"givenUp"`
}

// State returns a copy of the budget's state.
func (b *Budget) State(now burdockclock.Millis) State {
	return State{
		RecentSuccesses: b.successes.get(now, b.cfg.Window),
		RecentRetries:   b.retries.get(now, b.cfg.Window),
		RecentOffers:    b.offers.get(now, b.cfg.Window),
		RecentRefusals:  b.refusals.get(now, b.cfg.Window),
		Allowance:       b.allowance(now),
		HighRefusalRate: b.highRefusalRate(now),
		GivenUp:         maps.Clone(b.givenUp),
	}
}
