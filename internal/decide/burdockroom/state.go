package burdockroom

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// State is a snapshot of a Divider, for metrics and dumps.
type State struct {
	Learning bool               `json:"learning"`
	Entries  int                `json:"entries"`
	Silent   int                `json:"silent"` // entries whose part has expired
	Room     int                `json:"room"`
	Held     int                `json:"held"` // by all entries, in the ledger
	Slowdown float64            `json:"slowdown"`
	Priority [Priorities]Counts `json:"priority"`
}

// Counts are the figures of one priority over all entries.
type Counts struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Granted float64 `json:"granted"` // streams that it may run by the last division
}

// State returns the current state.
func (d *Divider) State(now burdockclock.Millis) State {
	v := &d.division
	s := State{Learning: d.learning(now), Entries: len(d.entries), Room: v.room, Slowdown: v.slowdown}
	for _, e := range d.all {
		s.Held += d.held(now, e)
		if d.silent(now, e) {
			s.Silent++
		}
		for p := range Priorities {
			s.Priority[p].Running += e.running[p]
			s.Priority[p].Waiting += e.waiting[p]
			s.Priority[p].Granted += v.shares[p].of(e, p)
		}
	}
	return s
}
