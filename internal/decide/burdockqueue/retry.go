package burdockqueue

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// retrySpreader remembers how much refused work is about to come back.
//
// Load: everything comes back at once after an outage, or saturation that
// lasts. Harm prevented: the refused return together, are refused together and
// so on, while the engine idles in between. The span over which they return is
// the time the engine needs for all of them.
type retrySpreader struct {
	rnd     *rand.Rand
	refused float64 // tokens told to come back and not served since
	at      burdockclock.Millis
}

// span returns the time to serve what was refused lately, cost included.
func (s *retrySpreader) span(now burdockclock.Millis, cost burdockid.Tokens, rate float64) float64 {
	s.refused = max(s.refused-float64(now-s.at)*rate, 0)
	s.at = now
	s.refused += float64(charged(cost))
	if rate <= 0 {
		return 0
	}
	return s.refused / rate
}

// between returns a random span from base to base+spread.
func (s *retrySpreader) between(base, spread burdockclock.Millis) burdockclock.Millis {
	return base + burdockclock.Millis(s.rnd.Int64N(int64(spread)+1))
}

// retryAfter returns when the caller of refused or dropped work may come back:
// when the backlog ahead of it is served, spread over the time that all the
// refused need. While nothing is started that is as far off as the pause has lasted,
// as far as anybody knows.
func (q *Queue) retryAfter(w Request, reason Reason, expected burdockclock.Millis) burdockclock.Millis {
	if reason == ReasonDraining || reason == ReasonDuplicate {
		// Other upstreams are not to blame: come back soon, and elsewhere.
		return q.retry.between(1, q.cfg.RetrySpread)
	}
	limit := q.cfg.MaxRetryAfter
	spread := millisOf(q.retry.span(q.now, w.Cost, q.slotRate()*float64(q.cfg.Slots)))
	spread = min(max(spread, q.cfg.RetrySpread), limit)
	if q.paused {
		expected = max(expected, q.now-q.pausedAt)
	}
	base := min(max(expected, 1), limit-spread)
	return q.retry.between(max(base, 1), spread)
}
