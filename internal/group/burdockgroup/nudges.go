package burdockgroup

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// nudges decides when ranks that say they wait have the group read again. A
// reading is a message to each rank, and in a group that stands still each rank
// calls. Readings that find nothing to do therefore come ever more rarely, down
// to the rate of the readings that nobody asked for.
type nudges struct {
	pending bool // a rank has called
	asked   bool // the present reading is due to a call
	gap     burdockclock.Millis
}

// due reports whether to read again after a time of rest.
func (n *nudges) due(rested burdockclock.Millis, cfg ControllerConfig) bool {
	if !n.pending || rested < max(n.gap, cfg.Retry) {
		return false
	}
	n.pending, n.asked = false, true
	return true
}

// found notes whether a reading found something to do.
func (n *nudges) found(work bool, cfg ControllerConfig) {
	switch {
	case work:
		n.gap = cfg.Retry
	case n.asked:
		n.gap = min(2*max(n.gap, cfg.Retry), cfg.Poll)
	}
	n.asked = false
}
