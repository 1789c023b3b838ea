// Package burdockratelimit keeps the rate limits that upstreams name in their responses.
//
// An upstream in need names the number of requests per second that it takes from all
// entries together, for as long as it needs to. Each entry keeps to its own part of that.
//
// The package is pure: time is passed in. A Limiter is not safe for concurrent use.
package burdockratelimit

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
)

// retention is how long the limit of an upstream is kept that is no longer a member. While
// the platform's list is incomplete, the same process leaves it and comes back.
const retention = 10 * burdockclock.Minute

// Response is what one response showed about its upstream's limit.
type Response struct {
	Statement Statement
	// OfferedAt is when the request was offered.
	OfferedAt burdockclock.Millis
	// Refused reports that the upstream refused the request.
	Refused bool
}

// Change is a change of an upstream's limit; Unlimited stands for none.
type Change struct{ From, To Statement }

// Limiter is one entry's limiter for the upstreams of a service.
type Limiter struct {
	entries *burdocksharedrate.Entries
	limits  map[burdockid.Upstream]*limit
}

// limit is the limit of one upstream.
type limit struct {
	*burdocksharedrate.Bucket
	// statedAt is when the rate was last stated.
	statedAt burdockclock.Millis
}

// New returns a limiter that knows no limits. UpdateEntries must be called when entries has
// changed.
func New(entries *burdocksharedrate.Entries) *Limiter {
	return &Limiter{entries: entries, limits: map[burdockid.Upstream]*limit{}}
}

// UpdateEntries applies a change of the entries that share the limits.
func (l *Limiter) UpdateEntries(now burdockclock.Millis) {
	for _, known := range l.limits {
		known.Update(now)
	}
}

// Observe records what a response said, and reports a change.
//
// Responses overtake each other. A limit is lowered at once; it is raised or ended only by
// the response to a request that was offered after the limit was last stated, since any
// other may be older. A refusal ends no limit: it need not be the upstream's own.
func (l *Limiter) Observe(now burdockclock.Millis, u burdockid.Upstream, r Response) (Change, bool) {
	known := l.limits[u]
	switch s := r.Statement.(type) {
	case Limited:
		return l.observeLimit(now, u, known, s.Rate, r.OfferedAt)
	case Unlimited:
		if known == nil || r.Refused || r.OfferedAt < known.statedAt {
			return Change{}, false
		}
		delete(l.limits, u)
		return Change{From: Limited{known.Rate()}, To: Unlimited{}}, true
	}
	return Change{}, false
}

func (l *Limiter) observeLimit(now burdockclock.Millis, u burdockid.Upstream, known *limit, rate Rate, offeredAt burdockclock.Millis) (Change, bool) {
	if known == nil {
		l.limits[u] = &limit{Bucket: burdocksharedrate.NewBucket(now, l.entries, u, rate, burdocksharedrate.OthersTakeTurns), statedAt: now}
		return Change{From: Unlimited{}, To: Limited{rate}}, true
	}
	before := known.Rate()
	if rate > before && offeredAt < known.statedAt {
		return Change{}, false
	}
	known.statedAt = now
	if rate == before {
		return Change{}, false
	}
	known.SetRate(now, rate)
	return Change{From: Limited{before}, To: Limited{rate}}, true
}

// Allows reports whether an upstream may get a request now.
func (l *Limiter) Allows(now burdockclock.Millis, u burdockid.Upstream) bool {
	known := l.limits[u]
	return known == nil || known.Allows(now)
}

// NextAt returns when an upstream may get a request; false if that isn't known.
func (l *Limiter) NextAt(now burdockclock.Millis, u burdockid.Upstream) (burdockclock.Millis, bool) {
	known := l.limits[u]
	if known == nil {
		return now, true
	}
	return known.NextAt(now)
}

// AllowsLessUrgent reports whether an upstream may get a request now that leaves its part of
// the limit to more urgent ones.
func (l *Limiter) AllowsLessUrgent(now burdockclock.Millis, u burdockid.Upstream) bool {
	known := l.limits[u]
	return known == nil || known.AllowsLessUrgent(now)
}

// NextAtLessUrgent returns when an upstream may get such a request; false if that isn't
// known.
func (l *Limiter) NextAtLessUrgent(now burdockclock.Millis, u burdockid.Upstream) (burdockclock.Millis, bool) {
	known := l.limits[u]
	if known == nil {
		return now, true
	}
	return known.NextAtLessUrgent(now)
}

// Sent records that an upstream was sent a request.
func (l *Limiter) Sent(now burdockclock.Millis, u burdockid.Upstream) {
	if known := l.limits[u]; known != nil {
		known.Take(now)
	}
}

// Forget drops the limit of an upstream whose process was replaced by another one.
func (l *Limiter) Forget(u burdockid.Upstream) { delete(l.limits, u) }

// Retain drops the limits of upstreams for which keep has returned false for long.
func (l *Limiter) Retain(now burdockclock.Millis, keep func(burdockid.Upstream) bool) {
	for u, known := range l.limits {
		if !keep(u) && now-known.statedAt >= retention {
			delete(l.limits, u)
		}
	}
}

// Limited returns the number of upstreams that have a limit.
func (l *Limiter) Limited() int { return len(l.limits) }
