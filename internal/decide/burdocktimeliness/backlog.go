package burdocktimeliness

import "burdockbend.example/burdockbend/internal/base/burdockclock"

const (
	// backlogWindow is the time for which the oldest request must have waited long. A burst
	// that the engines take up within it is served in order of arrival.
	backlogWindow burdockclock.Millis = 200
	// backlogFraction is the fraction of the objective from which a wait is long. The rest
	// has to cover the time to the first event and the wait until the order has effect.
	backlogFraction = 0.25
)

// Backlog detects that more requests come than are started. The zero value is usable.
//
// It follows the wait of the oldest request that can still be in time, not the waits of
// those that start: with the newest first, these are short, and the order would change
// back at once.
type Backlog struct {
	long      bool // the wait was long when last observed
	longSince burdockclock.Millis
}

// Observe records how long the oldest waiting request has waited, 0 if none waits, and
// reports whether a backlog stands, so that the newest request should start first. It is
// called at each start and arrival, and so sees the minimum over the window.
func (b *Backlog) Observe(now, oldestWait, objective burdockclock.Millis) bool {
	if oldestWait <= 0 || float64(oldestWait) < backlogFraction*float64(objective) {
		b.long = false
		return false
	}
	if !b.long || now < b.longSince {
		b.long, b.longSince = true, now
	}
	return now-b.longSince >= backlogWindow
}
