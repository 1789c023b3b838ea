package burdockgroup

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// timing is what a controller has seen of how long its rounds of orders and the
// group's steps take.
//
// Load: groups of a few ranks and of hundreds, on links of any width, whose steps
// grow long when their map doesn't fit. Harm prevented: times that are right for
// one size put off each change of a larger group, or send its orders twice.
type timing struct {
	round   burdockclock.Millis // from the orders of a round to its last answer
	slowest burdockclock.Millis // answer in the present round
	step    float64             // milliseconds
	seen    burdockid.Step      // the latest step known to be next
	seenAt  burdockclock.Millis
}

// answered notes how long an order took that was sent once.
func (t *timing) answered(took burdockclock.Millis) { t.slowest = max(t.slowest, took) }

const (
	// slowerWeight and fasterWeight take up a round that was slower than usual
	// sooner than one that was faster: too long a time costs less than orders that
	// are sent twice.
	slowerWeight = 2
	fasterWeight = 4
	// longerStepWeight takes up steps that were longer than usual more slowly than
	// shorter ones: those of a group that stands, or has no work for a while, only
	// seem so.
	longerStepWeight  = 4.0
	shorterStepWeight = 2.0
)

// ended notes that a round is over.
func (t *timing) ended() {
	took := t.slowest
	t.slowest = 0
	switch {
	case took == 0:
	case t.round == 0:
		t.round = took
	case took > t.round:
		t.round += (took - t.round + slowerWeight - 1) / slowerWeight
	default:
		t.round -= (t.round - took) / fasterWeight
	}
}

// stepSeen notes which step is next. Reports of one moment may be of two steps
// that follow each other, so a step is measured over a while. Steps that don't
// follow each other at once, as in a group without work, tell nothing.
func (t *timing) stepSeen(now burdockclock.Millis, next burdockid.Step) {
	if t.seen == 0 {
		t.seen, t.seenAt = next, now
	}
	if now-t.seenAt < stepWindow || next <= t.seen {
		return
	}
	each := min(float64(now-t.seenAt)/float64(next-t.seen), mostStep)
	t.seen, t.seenAt = next, now
	switch {
	case t.step == 0:
		t.step = each
	case each < t.step:
		t.step += (each - t.step) / shorterStepWeight
	default:
		t.step += (each - t.step) / longerStepWeight
	}
}

// stepWindow is the least time over which steps are measured.
const stepWindow = 400 * burdockclock.Millis(1)

// mostStep bounds the length of a step that one observation can tell, in
// milliseconds: a group that stood or had no work shows a longer one.
const mostStep = 500

// roundsPerChange is how many rounds follow one another from the first order to
// stop before a step to the last one that lets it begin.
const roundsPerChange = 3

// leadMargin is by how many steps a change is set later than its rounds have taken.
const leadMargin = 0.5

// lead returns how many steps ahead a change is to be set so that its rounds end
// before that step; 0 if that isn't known.
//
// Load: a change every few hundred milliseconds, some of whose rounds take longer
// than usual. Harm prevented: once in some dozens of changes the group stands for a
// moment, which is a pause too long for every stream that runs. It is a step that each
// change waits longer, on average, and with it the skew that it takes away.
func (t *timing) lead() burdockid.Step {
	if t.round == 0 || t.step <= 0 {
		return 0
	}
	return burdockid.Step(math.Ceil(float64(roundsPerChange*t.round)/t.step + leadMargin))
}

// retriesPerRound is how many times as long as a round an order may go without an
// answer.
const retriesPerRound = 3

// retry returns the time after which an order without an answer is sent again.
func (c *Controller) retry(body OrderBody) burdockclock.Millis {
	if _, isLoad := body.(Load); isLoad && c.cfg.LoadRetry > 0 {
		return c.cfg.LoadRetry
	}
	if c.cfg.MinRetry == 0 || c.timing.round == 0 {
		return c.cfg.Retry
	}
	return min(max(retriesPerRound*c.timing.round, c.cfg.MinRetry), c.cfg.Retry)
}

// RetryInterval returns how long an order of a kind may go without an answer before
// it is sent again.
func (c *Controller) RetryInterval(body OrderBody) burdockclock.Millis { return c.retry(body) }

// armPatience is how long a rank may take to answer that it is armed: so long
// that an order which was lost has been sent again.
func (c *Controller) armPatience() burdockclock.Millis {
	if c.cfg.ArmTimeout == 0 || c.cfg.MinRetry == 0 {
		return c.cfg.ArmTimeout
	}
	return c.cfg.ArmTimeout + c.retry(Arm{})
}

// armBudget is the rest of the lease that a change has to have: its rounds, one of
// which may wait for a rank that doesn't answer. More than MaxArmBudget is
// never asked for, since a lease that is renewed in time has not more.
func (c *Controller) armBudget() burdockclock.Millis {
	if c.cfg.MaxArmBudget == 0 {
		return c.cfg.ArmBudget
	}
	return min(max(c.cfg.ArmBudget, c.armPatience()+roundsPerChange*c.timing.round), c.cfg.MaxArmBudget)
}
