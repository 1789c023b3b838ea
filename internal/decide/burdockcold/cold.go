// Package burdockcold limits the rate at which an entry sends requests to upstreams that
// are cold.
//
// An upstream that has just started, or has lost its caches, crashes if all entries send
// it their usual share at once. Each entry keeps to its own part of the rate that the
// operators publish. An entry that is frozen or cut off leaves its part unused.
//
// The package is pure: time is passed in. A Limiter is not safe for concurrent use.
package burdockcold

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
)

// Limiter is one entry's limiter for the upstreams of a service.
type Limiter struct {
	entries *burdocksharedrate.Entries
	rate    burdocksharedrate.Rate // that a cold upstream accepts; 0 for any number
	cold    map[burdockid.Upstream]*coldUpstream
}

// coldUpstream is an upstream that is cold until an instant.
type coldUpstream struct {
	*burdocksharedrate.Bucket
	until burdockclock.Millis
}

// New returns a limiter without cold upstreams. UpdateEntries must be called when entries has
// changed.
func New(entries *burdocksharedrate.Entries) *Limiter {
	return &Limiter{entries: entries, cold: map[burdockid.Upstream]*coldUpstream{}}
}

// SetRate sets the rate that a cold upstream accepts from all entries together; 0 if the
// operators publish none.
func (l *Limiter) SetRate(now burdockclock.Millis, rate burdocksharedrate.Rate) {
	l.rate = rate
	for _, c := range l.cold {
		c.SetRate(now, rate)
	}
}

// UpdateEntries applies a change of the entries that share the rate.
func (l *Limiter) UpdateEntries(now burdockclock.Millis) {
	for _, c := range l.cold {
		c.Update(now)
	}
}

// SetCold records that an upstream is cold until the given time.
func (l *Limiter) SetCold(now burdockclock.Millis, u burdockid.Upstream, until burdockclock.Millis) {
	if c := l.cold[u]; c != nil && now < c.until {
		c.until = max(c.until, until)
		return
	}
	if until > now {
		l.cold[u] = &coldUpstream{Bucket: burdocksharedrate.NewBucket(now, l.entries, u, l.rate, burdocksharedrate.OthersSendNothing), until: until}
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
	c := l.current(now, u)
	return c == nil || c.Allows(now)
}

// AllowsLessUrgent reports whether an upstream may get a request now that leaves its part of
// the rate to more urgent ones.
func (l *Limiter) AllowsLessUrgent(now burdockclock.Millis, u burdockid.Upstream) bool {
	c := l.current(now, u)
	return c == nil || c.AllowsLessUrgent(now)
}

// Sent records that an upstream was sent a request.
func (l *Limiter) Sent(now burdockclock.Millis, u burdockid.Upstream) {
	if c := l.current(now, u); c != nil {
		c.Take(now)
	}
}

// current returns what limits the requests to an upstream; nil if it isn't cold.
func (l *Limiter) current(now burdockclock.Millis, u burdockid.Upstream) *coldUpstream {
	c := l.cold[u]
	if c == nil || l.rate <= 0 {
		return nil
	}
	if now >= c.until {
		delete(l.cold, u)
		return nil
	}
	return c
}
