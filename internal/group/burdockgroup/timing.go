package burdockgroup

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// timing holds the measured durations of a controller's rounds and of the group's steps.
//
// Groups have a few ranks or hundreds, on links of any bandwidth, and their steps grow
// long when the map does not fit the load. Timeouts that suit one size would delay each
// change of a larger group or send its orders twice.
type timing struct {
	roundTime  burdockclock.Millis // mean time from the first order of a round to its last answer
	slowest    burdockclock.Millis // longest answer time in the current round
	stepTime   float64             // mean, in milliseconds
	lastNext   burdockid.Step      // Next of the status at which the current measurement began
	lastNextAt burdockclock.Millis
}

// recordAnswer records how long an order that was sent once took to be answered.
func (t *timing) recordAnswer(took burdockclock.Millis) { t.slowest = max(t.slowest, took) }

const (
	// roundIncreaseDivisor and roundDecreaseDivisor smooth the round time, which rises
	// faster than it falls: too long a timeout costs less than orders that are sent
	// twice.
	roundIncreaseDivisor = 2
	roundDecreaseDivisor = 4
	// stepIncreaseDivisor and stepDecreaseDivisor smooth the step time, which falls
	// faster than it rises: the steps of a stalled or idle group only seem long.
	stepIncreaseDivisor = 4.0
	stepDecreaseDivisor = 2.0
)

// endRound updates the round time when a round is over.
func (t *timing) endRound() {
	took := t.slowest
	t.slowest = 0
	switch {
	case took == 0:
	case t.roundTime == 0:
		t.roundTime = took
	case took > t.roundTime:
		t.roundTime += (took - t.roundTime + roundIncreaseDivisor - 1) / roundIncreaseDivisor
	default:
		t.roundTime -= (t.roundTime - took) / roundDecreaseDivisor
	}
}

// recordStep updates the step time from the step that is next. Reports of one moment may
// name two consecutive steps, so the step time is measured over minStepWindow. Steps with
// idle time between them, as in a group without requests, do not measure it;
// maxStepMillis bounds their effect.
func (t *timing) recordStep(now burdockclock.Millis, next burdockid.Step) {
	if t.lastNext == 0 {
		t.lastNext, t.lastNextAt = next, now
	}
	if now-t.lastNextAt < minStepWindow || next <= t.lastNext {
		return
	}
	sample := min(float64(now-t.lastNextAt)/float64(next-t.lastNext), maxStepMillis)
	t.lastNext, t.lastNextAt = next, now
	switch {
	case t.stepTime == 0:
		t.stepTime = sample
	case sample < t.stepTime:
		t.stepTime += (sample - t.stepTime) / stepDecreaseDivisor
	default:
		t.stepTime += (sample - t.stepTime) / stepIncreaseDivisor
	}
}

// minStepWindow is the minimum time over which the step time is measured.
const minStepWindow = 400 * burdockclock.Millis(1)

// maxStepMillis bounds the step time that one measurement can yield, in milliseconds: a
// stalled or idle group shows a longer one.
const maxStepMillis = 500

// roundsPerChange is the number of consecutive rounds of a change, from the first order
// to stop before the switch step to the last one that lets it begin: arm, commit and
// release.
const roundsPerChange = 3

// leadMargin is added to the number of steps that the rounds of a change take.
const leadMargin = 0.5

// lead returns the number of steps by which the switch step has to be ahead so that the
// rounds of a change end before it; 0 if that is not known.
//
// It is for groups that change their map every few hundred milliseconds, where some
// rounds take longer than the mean. Without the margin, one change in some dozens stalls
// the group for a moment, which is too long a pause for every running stream. The margin
// delays each change by one step on average, and with it the removal of the load skew.
func (t *timing) lead() burdockid.Step {
	if t.roundTime == 0 || t.stepTime <= 0 {
		return 0
	}
	return burdockid.Step(math.Ceil(float64(roundsPerChange*t.roundTime)/t.stepTime + leadMargin))
}

// retryRoundFactor is the number of round times after which an unanswered order is sent
// again.
const retryRoundFactor = 3

// retryInterval returns the time after which an unanswered order is sent again.
func (c *Controller) retryInterval(body OrderBody) burdockclock.Millis {
	if _, isLoad := body.(Load); isLoad && c.cfg.LoadRetry > 0 {
		return c.cfg.LoadRetry
	}
	if c.cfg.MinRetry == 0 || c.timing.roundTime == 0 {
		return c.cfg.Retry
	}
	return min(max(retryRoundFactor*c.timing.roundTime, c.cfg.MinRetry), c.cfg.Retry)
}

// RetryInterval returns the time after which an unanswered order with the given body is
// sent again.
func (c *Controller) RetryInterval(body OrderBody) burdockclock.Millis { return c.retryInterval(body) }

// armTimeout returns how long a rank may take to confirm that it is armed: long enough
// for a lost order to be sent again.
func (c *Controller) armTimeout() burdockclock.Millis {
	if c.cfg.ArmTimeout == 0 || c.cfg.MinRetry == 0 {
		return c.cfg.ArmTimeout
	}
	return c.cfg.ArmTimeout + c.retryInterval(Arm{})
}

// armBudget returns the remaining lease time that a change requires: the time of its
// rounds, one of which may wait for a rank that does not answer. It never exceeds
// MaxArmBudget, because a lease that is renewed in time has no more time left than that.
func (c *Controller) armBudget() burdockclock.Millis {
	if c.cfg.MaxArmBudget == 0 {
		return c.cfg.ArmBudget
	}
	return min(max(c.cfg.ArmBudget, c.armTimeout()+roundsPerChange*c.timing.roundTime), c.cfg.MaxArmBudget)
}
