// Package burdocksuspect finds the requests that crash whatever upstream runs
// them, from which requests ran at upstreams that crashed.
//
// The package is pure: time is passed in. A Tracker is not safe for concurrent use.
package burdocksuspect

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Crash says that a request ran at an upstream as that crashed.
type Crash struct {
	Request  Digest
	Upstream burdockid.Upstream // one run of it: a restarted one has another name
	At       burdockclock.Millis
}

// Config holds the limits of a Tracker. A zero field takes its default.
type Config struct {
	// TTL is how long after the latest crash a request is kept from upstreams.
	TTL burdockclock.Millis
	// CorrelationWindow is how close to each other crashes of two upstreams are that may have
	// one cause.
	CorrelationWindow burdockclock.Millis
	// MaxRequests bounds the number of requests that are remembered.
	MaxRequests int
}

const (
	defaultMemory                       = 5 * burdockclock.Minute
	defaultTogether burdockclock.Millis = 500
	defaultMost                         = 4096
	// loneCrashes of upstreams that crashed by themselves, or anyCrashes at all,
	// make a request a culprit.
	loneCrashes = 2
	anyCrashes  = 3
)

// Tracker holds the crashes that are known.
type Tracker struct {
	cfg     Config
	crashes map[Digest][]Crash
	// upstreams holds when each upstream crashed.
	upstreams map[burdockid.Upstream]burdockclock.Millis
	forgetAt  burdockclock.Millis
}

// forgetEvery is how often what is too old is dropped.
const forgetEvery = burdockclock.Second

// New returns an empty ledger.
func New(cfg Config) *Tracker {
	cfg.TTL = cmp.Or(cfg.TTL, defaultMemory)
	cfg.CorrelationWindow = cmp.Or(cfg.CorrelationWindow, defaultTogether)
	cfg.MaxRequests = cmp.Or(cfg.MaxRequests, defaultMost)
	return &Tracker{cfg: cfg, crashes: map[Digest][]Crash{}, upstreams: map[burdockid.Upstream]burdockclock.Millis{}}
}

// Add takes in a crash, and reports whether it is news. One that is told from the
// future counts as of now.
func (l *Tracker) Add(now burdockclock.Millis, c Crash) bool {
	l.forget(now)
	c.At = min(c.At, now)
	if now-c.At > l.cfg.TTL || l.knows(c) {
		return false
	}
	if len(l.crashes[c.Request]) == 0 && len(l.crashes) >= l.cfg.MaxRequests {
		return false
	}
	l.crashes[c.Request] = append(l.crashes[c.Request], c)
	if at, known := l.upstreams[c.Upstream]; !known || c.At < at {
		l.upstreams[c.Upstream] = c.At
	}
	return true
}

func (l *Tracker) knows(c Crash) bool {
	return slices.ContainsFunc(l.crashes[c.Request], func(k Crash) bool { return k.Upstream == c.Upstream })
}

// forget drops what is older than the memory.
func (l *Tracker) forget(now burdockclock.Millis) {
	if now < l.forgetAt {
		return
	}
	l.forgetAt = now + forgetEvery
	for d, crashes := range l.crashes {
		if now-latest(crashes) > l.cfg.TTL {
			delete(l.crashes, d)
		}
	}
	for u, at := range l.upstreams {
		if now-at > l.cfg.TTL {
			delete(l.upstreams, u)
		}
	}
}

func latest(crashes []Crash) burdockclock.Millis {
	var at burdockclock.Millis
	for _, c := range crashes {
		at = max(at, c.At)
	}
	return at
}

// Empty reports whether no crash is known, so that no request need be looked up.
func (l *Tracker) Empty() bool { return len(l.crashes) == 0 }

// QuarantineRemaining returns how much longer a request is kept from upstreams; 0 if it
// isn't.
//
// Load: a request that crashes whatever runs it and comes again at any entry,
// beside sound ones of which up to all slots of an upstream die with it. Harm
// prevented: each of its returns costs two upstreams, and in a lock-stepped group
// the streams of all ranks. Two crashes that nothing else explains are enough,
// since a sound request hardly meets two; where several upstreams crash at a time,
// as by a fault of their own, a sound one may, and a third is needed.
func (l *Tracker) QuarantineRemaining(now burdockclock.Millis, d Digest) burdockclock.Millis {
	crashes := l.crashes[d]
	lone := 0
	for _, c := range crashes {
		if l.lone(c, crashes) {
			lone++
		}
	}
	if lone < loneCrashes && len(crashes) < anyCrashes {
		return 0
	}
	return max(latest(crashes)+l.cfg.TTL-now, 0)
}

// lone reports whether no other upstream crashed about when that of c did, but
// those at which the same request ran.
func (l *Tracker) lone(c Crash, own []Crash) bool {
	for u, at := range l.upstreams {
		near := max(at-c.At, c.At-at) <= l.cfg.CorrelationWindow
		if near && !slices.ContainsFunc(own, func(k Crash) bool { return k.Upstream == u }) {
			return false
		}
	}
	return true
}

// CrashingRequest is a request that is remembered.
type CrashingRequest struct {
	Digest           Digest               `json:"-"`
	DigestText       string               `json:"request"`
	CrashedUpstreams []burdockid.Upstream `json:"crashes"` // upstreams, the first crash first
	// QuarantineRemainingMillis is how much longer it is kept from upstreams; 0 if it isn't.
	QuarantineRemainingMillis burdockclock.Millis `json:"leftMillis"`
}

// CrashingRequests returns the requests that are remembered, those that crashed most first.
func (l *Tracker) CrashingRequests(now burdockclock.Millis) []CrashingRequest {
	var all []CrashingRequest
	for d, crashes := range l.crashes {
		s := CrashingRequest{Digest: d, DigestText: d.String(), QuarantineRemainingMillis: l.QuarantineRemaining(now, d)}
		ordered := slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
		for _, c := range ordered {
			s.CrashedUpstreams = append(s.CrashedUpstreams, c.Upstream)
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b CrashingRequest) int {
		return cmp.Or(cmp.Compare(len(b.CrashedUpstreams), len(a.CrashedUpstreams)), cmp.Compare(a.DigestText, b.DigestText))
	})
	return all
}
