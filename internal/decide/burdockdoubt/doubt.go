// Package burdockdoubt holds which upstreams have failed a request of late, as this
// entry saw it or others told, so that what may run once only goes elsewhere.
//
// The package is pure: time is passed in. A Tracker is not safe for concurrent use.
package burdockdoubt

import (
	"cmp"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Config holds the limits of a Tracker. A zero field takes its default.
type Config struct {
	// SuspicionTTL is how long an upstream is in doubt after a failure: several times what
	// those requests that may be repeated take to show it again.
	SuspicionTTL burdockclock.Millis
	// MinNotifyInterval is the least time between two tellings of one upstream.
	MinNotifyInterval burdockclock.Millis
	// MinUnsuspectedShare is the part of all upstreams that has to be left without doubt;
	// where it isn't, doubt decides nothing.
	MinUnsuspectedShare float64
}

const (
	defaultSpan                          = 3 * burdockclock.Second
	defaultTellAgain                     = 2 * burdockclock.Second
	defaultLeastLeft                     = 1.0 / 3
	ownPart                              = 2 // one in so many upstreams that fail for one entry show its own fault
	never            burdockclock.Millis = -1 << 40
)

// mark is what is known of one upstream.
type mark struct {
	seen burdockclock.Millis // fails for this entry
	told burdockclock.Millis // fails for others
}

func (m mark) latest() burdockclock.Millis { return max(m.seen, m.told) }

// Tracker holds the upstreams of one service that are in doubt.
type Tracker struct {
	cfg   Config
	marks map[burdockid.Upstream]mark
}

// New returns an empty ledger.
func New(cfg Config) *Tracker {
	cfg.SuspicionTTL = cmp.Or(cfg.SuspicionTTL, defaultSpan)
	cfg.MinNotifyInterval = cmp.Or(cfg.MinNotifyInterval, defaultTellAgain)
	cfg.MinUnsuspectedShare = cmp.Or(cfg.MinUnsuspectedShare, defaultLeastLeft)
	return &Tracker{cfg: cfg, marks: map[burdockid.Upstream]mark{}}
}

func (l *Tracker) mark(u burdockid.Upstream) mark {
	if m, ok := l.marks[u]; ok {
		return m
	}
	return mark{seen: never, told: never}
}

// RecordLocalFailure notes that an upstream failed a request of this entry, one of members in all.
// It reports whether other entries are to be told.
//
// Load: many entries, each with few requests for a plain service. Harm prevented:
// each finds out by failures of its own, when the first would have been enough for
// all. An entry for which half of all fail doesn't tell: its own VM or link is more
// likely the cause, and the others would be left without an upstream that is sound.
func (l *Tracker) RecordLocalFailure(now burdockclock.Millis, u burdockid.Upstream, members int) bool {
	m := l.mark(u)
	news := now-m.latest() >= l.cfg.MinNotifyInterval
	m.seen = now
	l.marks[u] = m
	return news && !l.ownFault(now, members)
}

func (l *Tracker) ownFault(now burdockclock.Millis, members int) bool {
	failing := 0
	for _, m := range l.marks {
		if now-m.seen < l.cfg.SuspicionTTL {
			failing++
		}
	}
	return failing > 1 && failing*ownPart >= members
}

// RecordRemoteFailure notes that an upstream fails for another entry.
func (l *Tracker) RecordRemoteFailure(now burdockclock.Millis, u burdockid.Upstream) {
	m := l.mark(u)
	m.told = now
	l.marks[u] = m
}

// Suspected returns the upstreams that are in doubt, out of members; none where too
// few would be left to carry the work.
func (l *Tracker) Suspected(now burdockclock.Millis, members int) map[burdockid.Upstream]bool {
	var doubted map[burdockid.Upstream]bool
	for u, m := range l.marks {
		if now-m.latest() >= l.cfg.SuspicionTTL {
			delete(l.marks, u)
			continue
		}
		if doubted == nil {
			doubted = map[burdockid.Upstream]bool{}
		}
		doubted[u] = true
	}
	if float64(members-len(doubted)) < l.cfg.MinUnsuspectedShare*float64(members) {
		return nil
	}
	return doubted
}
