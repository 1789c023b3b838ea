// Package burdockratelimit keeps the rate limits that upstreams name in their responses.
//
// An upstream in need names the number of requests per second that it takes from all
// entries together, for as long as it needs to.
//
// The package is pure: time is passed in. A Limiter is not safe for concurrent use.
package burdockratelimit

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

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

// Limiter is one entry's knowledge of the limits of a service's upstreams.
type Limiter struct {
	limits map[burdockid.Upstream]*limit
}

// limit is the limit of one upstream.
type limit struct {
	rate Rate
	// statedAt is when the rate was last stated.
	statedAt burdockclock.Millis
}

// New returns a limiter that knows no limits.
func New() *Limiter { return &Limiter{limits: map[burdockid.Upstream]*limit{}} }

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
		return Change{From: Limited{known.rate}, To: Unlimited{}}, true
	}
	return Change{}, false
}

func (l *Limiter) observeLimit(now burdockclock.Millis, u burdockid.Upstream, known *limit, rate Rate, offeredAt burdockclock.Millis) (Change, bool) {
	if known == nil {
		l.limits[u] = &limit{rate: rate, statedAt: now}
		return Change{From: Unlimited{}, To: Limited{rate}}, true
	}
	if rate > known.rate && offeredAt < known.statedAt {
		return Change{}, false
	}
	known.statedAt = now
	if rate == known.rate {
		return Change{}, false
	}
	change := Change{From: Limited{known.rate}, To: Limited{rate}}
	known.rate = rate
	return change, true
}

// Limited returns the number of upstreams that have a limit.
func (l *Limiter) Limited() int { return len(l.limits) }
