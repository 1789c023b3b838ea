package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockparts"
	"go.uber.org/zap"
)

const (
	// trialGrace is how long after an entry has claimed a trial a request may be it.
	trialGrace = 10 * burdockclock.Second
	// claimInterval is the least time between two claims of one part's trials.
	claimInterval = 2 * burdockclock.Second
)

// partTrials holds the trials that this entry has claimed or asked for. The guard's lock
// protects it.
type partTrials struct {
	// usableUntil holds until when a request may be the trial of a part.
	usableUntil map[burdockparts.Key]burdockclock.Millis
	// claimedAt holds when the latest trial of a part was asked for.
	claimedAt map[burdockparts.Key]burdockclock.Millis
}

func newPartTrials() partTrials {
	return partTrials{usableUntil: map[burdockparts.Key]burdockclock.Millis{}, claimedAt: map[burdockparts.Key]burdockclock.Millis{}}
}

// startTrial reports whether a request with a quarantined part may go to an upstream, to find
// out whether the part still crashes those. One request of one entry does, once a trial is due.
// The lock must be held.
func (g *partGuard) startTrial(req *request, v burdockparts.Quarantine) bool {
	now := g.now()
	if until, ok := g.trials.usableUntil[v.Key]; ok {
		delete(g.trials.usableUntil, v.Key)
		if now < until {
			req.trial = true
			g.log.Warn("trial of a quarantined prompt part", zap.String("service", string(v.Service)), zap.String("part", string(v.Part)), requestID(req.ID))
			return true
		}
	}
	if v.Remaining == 0 && now-g.trials.claimedAt[v.Key] >= claimInterval {
		g.trials.claimedAt[v.Key] = now
		go partClaim{g, v.Trial}.run()
	}
	return false
}

// endTrial ends the trial that a request may have been: it is offered once.
func (g *partGuard) endTrial(req *request) {
	if len(req.SharedParts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	req.trial = false
}

// partClaim claims a trial.
type partClaim struct {
	guard *partGuard
	trial burdockparts.Trial
}

func (c partClaim) run() { c.guard.news.ClaimPartTrial(c.trial, c.done) }

// done records that this entry has the trial, if it was claimed.
func (c partClaim) done(claimed bool) {
	if !claimed {
		return
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.AddTrial(g.now(), c.trial)
	g.trials.usableUntil[c.trial.Key] = g.now() + trialGrace
}
