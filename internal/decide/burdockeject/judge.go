package burdockeject

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// failureScore is what one failure counts for.
	failureScore = 1
	// unreachedScore is what it counts for that no connection could be made: a
	// request cannot be to blame for that, only the upstream or the network.
	unreachedScore = 1.5
)

// Observe takes in what one answer tells of u. It returns the change of
// weight that follows, if any. Its cost does not depend on the number of
// upstreams.
//
// Made for: one upstream on a failing accelerator, or a data centre that is
// lost at once. Each request sent there costs its caller the wait and a retry.
func (t *Tracker) Observe(now burdockclock.Millis, u burdockid.Upstream, o Observation) (Change, bool) {
	r := t.records[u]
	if !concerns(o, r) {
		return Change{}, false
	}
	score, cause := t.score(o)
	if r == nil {
		if score <= 0 {
			return Change{}, false
		}
		r = &record{upstream: u, scoredAt: now, place: noPlace}
		t.records[u] = r
	}
	if r.leaving {
		return Change{}, false
	}
	if r.level == LevelEjected {
		return t.observeOut(now, r, score, cause)
	}
	return t.observeIn(now, r, score, cause)
}

// concerns reports whether o tells anything of r. That an upstream can be
// reached tells nothing of its pace; but when asked alone it can show no more,
// so one that is out for being slow then gets a quarter of its work on trial.
func concerns(o Observation, r *record) bool {
	switch o.(type) {
	case ResponseStarted:
		return r != nil && r.cause != CauseSlow
	case ProbeSucceeded:
		return r != nil && (r.cause != CauseSlow || r.level == LevelEjected)
	}
	return true
}

// score returns the evidence in o; it is positive where o speaks against the
// upstream.
func (t *Tracker) score(o Observation) (float64, Cause) {
	switch o := o.(type) {
	case ResponseStarted, ProbeSucceeded:
		// It weighs less than an answer: one that begins may still be cut, and an
		// upstream that cuts each answer must fall.
		return -t.cfg.Tolerance / 2, CauseFailing
	case Failed:
		return failureScore, CauseFailing
	case ConnectFailed:
		return unreachedScore, CauseFailing
	case Completed:
		slow, judged := t.peers.slowness(o)
		if !judged {
			return -t.cfg.Tolerance, CauseSlow
		}
		// A mean over several answers says more than one: its error falls with
		// the square root, its evidence grows in proportion; four at most, so
		// that one report alone never ejects.
		const mostSamples = 4
		samples := float64(min(max(o.Samples, 1), mostSamples))
		score := (slow - t.cfg.Tolerance) * samples
		return min(max(score, -t.cfg.MaxScore), t.cfg.MaxScore), CauseSlow
	default:
		panic("burdockeject: no observation")
	}
}

func (t *Tracker) observeIn(now burdockclock.Millis, r *record, score float64, cause Cause) (Change, bool) {
	r.fade(now, t.cfg.ScoreHalfLife)
	r.score = max(0, r.score+score)
	switch {
	case r.score >= t.evidence(r.level):
		return t.fall(now, r, cause)
	case r.score == 0 && r.level > LevelFull && now-r.changedAt >= t.cfg.MinRecoveryInterval:
		return t.rise(now, r)
	}
	if r.score == 0 && r.level == LevelFull {
		delete(t.records, r.upstream)
	}
	return Change{}, false
}

// evidence returns the score at which an upstream falls from l. Once one step
// has been taken, less is needed for the next: at a lower weight there is less
// of it, and an entry that sees each upstream every few minutes would take an
// hour to be rid of a dead one.
func (t *Tracker) evidence(l Level) float64 {
	if l == LevelFull {
		return t.cfg.ScoreThreshold
	}
	return t.cfg.ScoreThreshold / 2
}

// observeOut takes in the answer to a probe, or a late one to an offer from
// before the ejection. The late one tells of the past and decides nothing.
func (t *Tracker) observeOut(now burdockclock.Millis, r *record, score float64, cause Cause) (Change, bool) {
	if !r.probing {
		return Change{}, false
	}
	r.probing = false
	if score > 0 {
		t.account(r, -1)
		r.cause = cause
		t.account(r, 1)
		t.schedule(r, now+t.backoff(r.failures))
		r.failures++
		return Change{}, false
	}
	r.score = 0
	r.scoredAt = now
	return t.rise(now, r)
}

// fall takes away one degree, unless that would take away more than the cap.
func (t *Tracker) fall(now burdockclock.Millis, r *record, cause Cause) (Change, bool) {
	next := r.level + 1
	// The score starts anew at each level: the next step needs new evidence,
	// seen at the lower weight.
	r.score = 0
	if !t.within(r, next, cause) {
		return Change{}, false
	}
	return t.move(now, r, next, cause), true
}

func (t *Tracker) rise(now burdockclock.Millis, r *record) (Change, bool) {
	return t.move(now, r, r.level-1, CauseRecovered), true
}

// within reports whether r may stand at the level for that cause.
func (t *Tracker) within(r *record, level Level, cause Cause) bool {
	slow, failing := t.lostSlow, t.lostFailing
	if r.cause == CauseSlow {
		slow -= r.lost()
	} else {
		failing -= r.lost()
	}
	lost := 1 - level.Weight()
	if cause == CauseSlow && slow+lost > t.most(t.cfg.SlowCap) {
		return false
	}
	return slow+failing+lost <= t.most(t.cfg.FailureCap)
}

// most returns how many whole upstreams' work may be taken away. One may go
// even where the share allows less, if that leaves another.
func (t *Tracker) most(share float64) float64 {
	if t.members < 2 {
		return 0
	}
	return max(1, share*float64(t.members))
}

func (t *Tracker) move(now burdockclock.Millis, r *record, level Level, cause Cause) Change {
	kept := cause
	if cause == CauseRecovered {
		kept = r.cause
	}
	t.account(r, -1)
	r.level = level
	r.cause = kept
	t.account(r, 1)
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
	t.verify(r)
	return Change{Upstream: r.upstream, Level: level, Weight: level.Weight(), Cause: cause}
}

func (t *Tracker) account(r *record, sign float64) {
	if r.cause == CauseSlow {
		t.lostSlow += sign * r.lost()
	} else {
		t.lostFailing += sign * r.lost()
	}
}

// verify panics when r, or the sums, contradict the promises of the package.
func (t *Tracker) verify(r *record) {
	switch {
	case r.leaving && r.place != noPlace:
		panic("burdockeject: a leaving upstream is to be probed: " + string(r.upstream))
	case !r.leaving && (r.level == LevelEjected) != (r.place != noPlace):
		panic("burdockeject: an ejected upstream is not to be probed: " + string(r.upstream))
	case t.lostSlow < 0 || t.lostFailing < 0:
		panic("burdockeject: more work given back than taken away")
	}
}
