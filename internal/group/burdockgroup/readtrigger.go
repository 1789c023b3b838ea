package burdockgroup

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// readTrigger decides when a rank's report that it is waiting causes the group to be read
// again. A reading sends a message to each rank, and in a stalled group every rank
// reports. Readings that find nothing to do therefore back off exponentially, down to the
// rate of the periodic ones.
type readTrigger struct {
	pending   bool // a rank has reported since the last triggered reading
	triggered bool // the reading in progress was caused by a rank's report
	backoff   burdockclock.Millis
}

// due reports whether to read again after the controller has rested for a time.
func (t *readTrigger) due(rested burdockclock.Millis, cfg ControllerConfig) bool {
	if !t.pending || rested < max(t.backoff, cfg.Retry) {
		return false
	}
	t.pending, t.triggered = false, true
	return true
}

// found records whether a reading found something to do.
func (t *readTrigger) found(useful bool, cfg ControllerConfig) {
	switch {
	case useful:
		t.backoff = cfg.Retry
	case t.triggered:
		t.backoff = min(2*max(t.backoff, cfg.Retry), cfg.Poll)
	}
	t.triggered = false
}
