// Package burdockcold limits the rate at which an entry sends requests to upstreams that
// are cold.
//
// An upstream that has just started, or has lost its caches, crashes if all entries send
// it their usual share at once. The entries don't talk about single requests: each may use
// an equal part of the rate that the operators publish, so the parts add up to that rate
// for any number of entries. An entry that is frozen or cut off leaves its part unused.
//
// The package is pure: time is passed in. A Limiter is not safe for concurrent use.
package burdockcold

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const millisPerSecond = 1000

// Limiter is one entry's limiter for the upstreams of a service.
type Limiter struct {
	random  *rand.Rand
	rate    float64 // requests per second that a cold upstream accepts; 0 for any number
	entries int
	cold    map[burdockid.Upstream]*bucket
}

// bucket holds the tokens of a cold upstream. A request takes one token.
type bucket struct {
	until    burdockclock.Millis // when the upstream stops being cold
	tokens   float64
	filledAt burdockclock.Millis
}

// New returns a limiter without cold upstreams. Nothing else may use random.
func New(random *rand.Rand) *Limiter {
	return &Limiter{random: random, entries: 1, cold: map[burdockid.Upstream]*bucket{}}
}

// SetRate sets the number of requests per second that a cold upstream accepts from all
// entries together; 0 if the operators publish none.
func (l *Limiter) SetRate(perSecond float64) { l.rate = perSecond }

// SetEntries sets the number of entries that share the rate.
func (l *Limiter) SetEntries(n int) { l.entries = max(n, 1) }

// SetCold records that an upstream is cold until the given time. If it was not cold
// before, its bucket starts with a random part of a token; otherwise all entries would
// send their first request at the same moment.
func (l *Limiter) SetCold(now burdockclock.Millis, u burdockid.Upstream, until burdockclock.Millis) {
	if b := l.cold[u]; b != nil && now < b.until {
		b.until = max(b.until, until)
		return
	}
	if until > now {
		l.cold[u] = &bucket{until: until, tokens: l.random.Float64(), filledAt: now}
	}
}

// Retain drops the upstreams for which keep returns false.
func (l *Limiter) Retain(keep func(burdockid.Upstream) bool) {
	for u := range l.cold {
		if !keep(u) {
			delete(l.cold, u)
		}
	}
}

// Allows reports whether an upstream may get a request now.
func (l *Limiter) Allows(now burdockclock.Millis, u burdockid.Upstream) bool {
	b := l.current(now, u)
	return b == nil || b.tokens >= 1
}

// Sent records that an upstream was sent a request.
func (l *Limiter) Sent(now burdockclock.Millis, u burdockid.Upstream) {
	if b := l.current(now, u); b != nil {
		b.tokens = max(b.tokens-1, 0)
	}
}

// current returns the filled bucket of an upstream; nil if it isn't cold.
func (l *Limiter) current(now burdockclock.Millis, u burdockid.Upstream) *bucket {
	b := l.cold[u]
	if b == nil || l.rate <= 0 {
		return nil
	}
	if now >= b.until {
		delete(l.cold, u)
		return nil
	}
	b.tokens = min(b.tokens+float64(now-b.filledAt)/millisPerSecond*l.rate/float64(l.entries), 1)
	b.filledAt = now
	return b
}
