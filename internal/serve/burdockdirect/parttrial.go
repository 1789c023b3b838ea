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
	usable map[burdockparts.Key]usableTrial
	// claimedAt holds when the latest trial of a part was asked for.
	claimedAt map[burdockparts.Key]burdockclock.Millis
}

// usableTrial is a trial that this entry has and no request has been yet.
type usableTrial struct {
	until burdockclock.Millis
	// parts is the most quarantined parts that the request may have: with more, it would tell
	// nothing about the one that is tried.
	parts int
}

func newPartTrials() partTrials {
	return partTrials{usable: map[burdockparts.Key]usableTrial{}, claimedAt: map[burdockparts.Key]burdockclock.Millis{}}
}

// startTrial reports whether a request with a quarantined part may go to an upstream, to find
// out whether the part still crashes those. One request of one entry does, once a trial is due.
// The lock must be held.
func (g *partGuard) startTrial(req *request, v burdockparts.Quarantine) bool {
	now := g.now()
	if usable, ok := g.trials.usable[v.Key]; ok && v.Parts <= usable.parts {
		delete(g.trials.usable, v.Key)
		if now < usable.until {
			req.trial = true
			g.log.Warn("trial of a quarantined prompt part", zap.String("service", string(v.Service)), zap.String("part", string(v.Part)), requestID(req.ID))
			return true
		}
	}
	if v.Remaining == 0 && now-g.trials.claimedAt[v.Key] >= claimInterval {
		g.trials.claimedAt[v.Key] = now
		go partClaim{g, v.Trial, v.Parts}.run()
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
	parts int // quarantined ones of the request for which the trial is claimed
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
	g.trials.usable[c.trial.Key] = usableTrial{g.now() + trialGrace, c.parts}
}
