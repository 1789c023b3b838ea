package burdockeject

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// failureScore is the score of one failure.
	failureScore = 1
	// connectFailedScore is the score of a failed connection. It is higher because a
	// request cannot cause it, only the upstream or the network.
	connectFailedScore = 1.5
)

// Observe records an observation of u and returns the resulting change of weight, if any.
// Its cost does not depend on the number of upstreams.
//
// It covers both a single upstream on a failing accelerator and the loss of a whole data
// centre. Each request sent to such an upstream costs its caller the wait and a retry.
func (t *Tracker) Observe(now burdockclock.Millis, u burdockid.Upstream, o Observation) (Change, bool) {
	r := t.records[u]
	if !isRelevant(o, r) {
		return Change{}, false
	}
	score, cause := t.score(o)
	if r == nil {
		if score <= 0 {
			return Change{}, false
		}
		r = &record{upstream: u, scoredAt: now, heapIndex: notScheduled}
		t.records[u] = r
	}
	if r.leaving {
		return Change{}, false
	}
	if r.level == LevelEjected {
		return t.observeEjected(now, r, score, cause)
	}
	return t.observeActive(now, r, score, cause)
}

// isRelevant reports whether o is evidence for or against r. A started response says
// nothing about speed, so it is ignored for a slow upstream. A probe without a request
// can show no more than that, so its success lets an upstream that was ejected for
// slowness back on trial at a quarter of its load.
func isRelevant(o Observation, r *record) bool {
	switch o.(type) {
	case ResponseStarted:
		return r != nil && r.cause != CauseSlow
	case ProbeSucceeded:
		return r != nil && (r.cause != CauseSlow || r.level == LevelEjected)
	}
	return true
}

// score returns the score of o, which is positive if o speaks against the upstream, and
// the cause it counts towards.
func (t *Tracker) score(o Observation) (float64, Cause) {
	switch o := o.(type) {
	case ResponseStarted, ProbeSucceeded:
		// This weighs less than a completed request: a response that starts may still be
		// cut, and an upstream that cuts every response has to be ejected.
		return -t.cfg.Tolerance / 2, CauseFailing
	case Failed:
		return failureScore, CauseFailing
	case ConnectFailed:
		return connectFailedScore, CauseFailing
	case Completed:
		slow, enoughSamples := t.peers.slowness(o)
		if !enoughSamples {
			return -t.cfg.Tolerance, CauseSlow
		}
		// A mean over n responses is stronger evidence than one response: its error falls
		// with the square root of n, and its evidence grows in proportion to n. The limit
		// keeps a single report from ejecting an upstream.
		const maxSamples = 4
		samples := float64(min(max(o.Samples, 1), maxSamples))
		score := (slow - t.cfg.Tolerance) * samples
		return min(max(score, -t.cfg.MaxScore), t.cfg.MaxScore), CauseSlow
	default:
		panic("burdockeject: unknown observation")
	}
}

func (t *Tracker) observeActive(now burdockclock.Millis, r *record, score float64, cause Cause) (Change, bool) {
	r.decay(now, t.cfg.ScoreHalfLife)
	r.score = max(0, r.score+score)
	switch {
	case r.score >= t.threshold(r.level):
		return t.demote(now, r, cause)
	case r.score == 0 && r.level > LevelFull && now-r.changedAt >= t.cfg.MinRecoveryInterval:
		return t.promote(now, r)
	}
	if r.score == 0 && r.level == LevelFull {
		delete(t.records, r.upstream)
	}
	return Change{}, false
}

// threshold returns the score at which an upstream is demoted from l. After the first
// demotion half the score is enough: at a lower weight there are fewer observations, and
// an entry that sees each upstream every few minutes would take an hour to eject a dead
// one.
func (t *Tracker) threshold(l Level) float64 {
	if l == LevelFull {
		return t.cfg.ScoreThreshold
	}
	return t.cfg.ScoreThreshold / 2
}

// observeEjected handles the result of a probe. The late result of an offer from before
// the ejection describes the past and is ignored.
func (t *Tracker) observeEjected(now burdockclock.Millis, r *record, score float64, cause Cause) (Change, bool) {
	if !r.probing {
		return Change{}, false
	}
	r.probing = false
	if score > 0 {
		t.addRemoved(r, -1)
		r.cause = cause
		t.addRemoved(r, 1)
		t.schedule(r, now+t.backoff(r.failures))
		r.failures++
		return Change{}, false
	}
	r.score = 0
	r.scoredAt = now
	return t.promote(now, r)
}

// demote lowers r by one level, unless that exceeds a cap.
func (t *Tracker) demote(now burdockclock.Millis, r *record, cause Cause) (Change, bool) {
	next := r.level + 1
	// Demotion from the next level needs new evidence, collected at the lower weight.
	r.score = 0
	if !t.withinCap(r, next, cause) {
		return Change{}, false
	}
	return t.setLevel(now, r, next, cause), true
}

func (t *Tracker) promote(now burdockclock.Millis, r *record) (Change, bool) {
	return t.setLevel(now, r, r.level-1, CauseRecovered), true
}

// withinCap reports whether the caps allow r to be at the level for that cause.
func (t *Tracker) withinCap(r *record, level Level, cause Cause) bool {
	slow, failing := t.removedSlow, t.removedFailing
	if r.cause == CauseSlow {
		slow -= r.removed()
	} else {
		failing -= r.removed()
	}
	removed := 1 - level.Weight()
	if cause == CauseSlow && slow+removed > t.maxRemoved(t.cfg.SlowCap) {
		return false
	}
	return slow+failing+removed <= t.maxRemoved(t.cfg.FailureCap)
}

// maxRemoved returns how much weight may be removed at that share, in whole upstreams. It
// is at least one upstream if there is another to take the load.
func (t *Tracker) maxRemoved(share float64) float64 {
	if t.members < 2 {
		return 0
	}
	return max(1, share*float64(t.members))
}

func (t *Tracker) setLevel(now burdockclock.Millis, r *record, level Level, cause Cause) Change {
	recordCause := cause
	if cause == CauseRecovered {
		recordCause = r.cause
	}
	t.addRemoved(r, -1)
	r.level = level
	r.cause = recordCause
	t.addRemoved(r, 1)
	r.changedAt = now
	switch level {
	case LevelEjected:
		t.schedule(r, now+t.backoff(r.failures))
		r.failures++
	case LevelFull:
		r.failures = 0
		t.unschedule(r)
	default:
		t.unschedule(r)
	}
	t.checkInvariants(r)
	return Change{Upstream: r.upstream, Level: level, Weight: level.Weight(), Cause: cause}
}

func (t *Tracker) addRemoved(r *record, sign float64) {
	if r.cause == CauseSlow {
		t.removedSlow += sign * r.removed()
	} else {
		t.removedFailing += sign * r.removed()
	}
}

// checkInvariants panics if r or the sums violate the tracker's invariants.
func (t *Tracker) checkInvariants(r *record) {
	switch {
	case r.leaving && r.heapIndex != notScheduled:
		panic("burdockeject: a leaving upstream has a probe scheduled: " + string(r.upstream))
	case !r.leaving && (r.level == LevelEjected) != (r.heapIndex != notScheduled):
		panic("burdockeject: scheduled probe does not match the level: " + string(r.upstream))
	case t.removedSlow < 0 || t.removedFailing < 0:
		panic("burdockeject: negative sum of removed weight")
	}
}
