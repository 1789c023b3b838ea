package burdocklimit

import "burdockbend.example/burdockbend/internal/base/burdockclock"

const (
	// rampStart is the number of streams with which a ramp begins. Two show whether the
	// engines answer, also if one of them breaks off.
	rampStart = 2
	// rampInterval is the time after which a ramp doubles if it is used. It spans a cycle
	// or two, so that the streams started last show in the event gaps before more start.
	rampInterval burdockclock.Millis = 150
	// rampMinEnd is the bound that a ramp exceeds before it is over. The first reports show
	// little but an entry's own streams, so the limit starts low and then multiplies within
	// two cycles; a ramp that ended at the low limit would bound nothing.
	rampMinEnd = 32
)

// ramp bounds the streams of an entry that has just started.
//
// When all entries of a service start together, for example after a power cut, none has
// reports, and with a share of the remaining capacity for each they start several times
// what fits within one cycle. A ramp doubles only while it is used, so an entry without
// traffic begins its ramp when its first requests come.
type ramp struct {
	bound int // 0 when the ramp is over
	since burdockclock.Millis
	used  bool // half of the bound has run since then
}

// apply returns the lower one of limit and the bound. The ramp is over once it exceeds the
// limit and rampMinEnd when it doubles.
func (r *ramp) apply(now burdockclock.Millis, running, limit int) int {
	if r.bound == 0 {
		return limit
	}
	// Streams that run already, also those before Restart, need no second ramp.
	r.bound = max(r.bound, running)
	used := 2*running >= r.bound
	if !r.used && used {
		r.since, r.used = now, true
	}
	if r.used && now-r.since >= rampInterval {
		r.bound *= 2
		r.since, r.used = now, 2*running >= r.bound
		if r.bound > max(limit, rampMinEnd) {
			r.bound = 0
			return limit
		}
	}
	return min(limit, r.bound)
}

// Restart begins the ramp anew, if the limit has one. It is for engines that were closed
// and run again: their callers have waited and start together at all entries.
func (l *Limit) Restart(now burdockclock.Millis) {
	if l.cfg.GradualStart {
		l.ramp = ramp{bound: rampStart, since: now}
	}
}

// Ramp returns the bound of the ramp; 0 if there is none or it is over.
func (l *Limit) Ramp() int { return l.ramp.bound }
