package burdockqueue

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// retrySpreader tracks the cost of refused requests that are about to be retried.
//
// After an outage or during long saturation, refused requests would all return together
// and be refused together again, while the engine idles in between. Their retries are
// therefore spread over the time that the engine needs to serve them all.
type retrySpreader struct {
	rnd         *rand.Rand
	refusedCost float64 // refused tokens whose retries the engine has not had time to serve
	updatedAt   burdockclock.Millis
}

// serveTime adds a refused cost and returns the time to serve all recently refused
// requests.
func (s *retrySpreader) serveTime(now burdockclock.Millis, cost burdockid.Tokens, rate float64) float64 {
	s.refusedCost = max(s.refusedCost-float64(now-s.updatedAt)*rate, 0)
	s.updatedAt = now
	s.refusedCost += float64(chargedCost(cost))
	if rate <= 0 {
		return 0
	}
	return s.refusedCost / rate
}

// jitter returns a random time from base to base+spread.
func (s *retrySpreader) jitter(base, spread burdockclock.Millis) burdockclock.Millis {
	return base + burdockclock.Millis(s.rnd.Int64N(int64(spread)+1))
}

// retryAfter returns when the caller of a refused or dropped request may retry: once the
// backlog ahead of it is served, spread over the time that all refused requests need.
// During a pause it is at least as long as the pause has lasted, the only estimate there
// is of how long it goes on.
func (q *Queue) retryAfter(req Request, reason Reason, expected burdockclock.Millis) burdockclock.Millis {
	if reason == ReasonDraining || reason == ReasonDuplicate {
		// Other upstreams are not affected, so the caller may soon retry there.
		return q.retry.jitter(1, q.cfg.RetrySpread)
	}
	limit := q.cfg.MaxRetryAfter
	spread := ceilMillis(q.retry.serveTime(q.now, req.Cost, q.slotRate()*float64(q.cfg.Slots)))
	spread = min(max(spread, q.cfg.RetrySpread), limit)
	if q.paused {
		expected = max(expected, q.now-q.pausedAt)
	}
	base := min(max(expected, 1), limit-spread)
	return q.retry.jitter(max(base, 1), spread)
}
