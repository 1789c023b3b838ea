// Package burdocksuspicion tracks which upstreams have recently failed a request, at
// this entry or at another. Requests that may run only once avoid these suspected upstreams.
//
// The package is pure: time is passed in. A Tracker is not safe for concurrent use.
package burdocksuspicion

import (
	"cmp"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Config holds the limits of a Tracker. A zero field takes its default.
type Config struct {
	// SuspicionTTL is how long an upstream is suspected after a failure. It is several
	// times the time that requests which may be retried need to show whether it still
	// fails.
	SuspicionTTL burdockclock.Millis
	// MinNotifyInterval is the minimum time between two notifications about one upstream.
	MinNotifyInterval burdockclock.Millis
	// MinUnsuspectedShare is the share of all upstreams that must not be suspected. If
	// fewer are left, suspicion is ignored.
	MinUnsuspectedShare float64
}

const (
	defaultSuspicionTTL                            = 3 * burdockclock.Second
	defaultMinNotifyInterval                       = 2 * burdockclock.Second
	defaultMinUnsuspectedShare                     = 1.0 / 3
	localFaultDivisor                              = 2 // a failing 1/localFaultDivisor of all upstreams counts as the entry's own fault
	never                      burdockclock.Millis = -1 << 40
)

// failures holds the times of the latest failures of one upstream.
type failures struct {
	localAt  burdockclock.Millis // latest failure seen by this entry
	remoteAt burdockclock.Millis // latest failure reported by another entry
}

func (m failures) latest() burdockclock.Millis { return max(m.localAt, m.remoteAt) }

// Tracker tracks the suspected upstreams of one service.
type Tracker struct {
	cfg        Config
	byUpstream map[burdockid.Upstream]failures
}

// New returns a tracker without suspected upstreams.
func New(cfg Config) *Tracker {
	cfg.SuspicionTTL = cmp.Or(cfg.SuspicionTTL, defaultSuspicionTTL)
	cfg.MinNotifyInterval = cmp.Or(cfg.MinNotifyInterval, defaultMinNotifyInterval)
	cfg.MinUnsuspectedShare = cmp.Or(cfg.MinUnsuspectedShare, defaultMinUnsuspectedShare)
	return &Tracker{cfg: cfg, byUpstream: map[burdockid.Upstream]failures{}}
}

func (t *Tracker) failures(u burdockid.Upstream) failures {
	if m, ok := t.byUpstream[u]; ok {
		return m
	}
	return failures{localAt: never, remoteAt: never}
}

// RecordLocalFailure records that an upstream failed a request of this entry. The service
// has that many members. It reports whether to notify the other entries.
//
// With many entries that each have few requests for a service, every entry would learn of
// a bad upstream by failures of its own; the notification makes the first failure enough.
// An entry that sees half of the upstreams fail does not notify: its own VM or link is
// the likelier cause, and the other entries would lose healthy upstreams.
func (t *Tracker) RecordLocalFailure(now burdockclock.Millis, u burdockid.Upstream, members int) bool {
	m := t.failures(u)
	notify := now-m.latest() >= t.cfg.MinNotifyInterval
	m.localAt = now
	t.byUpstream[u] = m
	return notify && !t.localFault(now, members)
}

func (t *Tracker) localFault(now burdockclock.Millis, members int) bool {
	failing := 0
	for _, m := range t.byUpstream {
		if now-m.localAt < t.cfg.SuspicionTTL {
			failing++
		}
	}
	return failing > 1 && failing*localFaultDivisor >= members
}

// RecordRemoteFailure records that another entry reported a failure of an upstream.
func (t *Tracker) RecordRemoteFailure(now burdockclock.Millis, u burdockid.Upstream) {
	m := t.failures(u)
	m.remoteAt = now
	t.byUpstream[u] = m
}

// Forget drops the failures of an upstream that was restarted.
func (t *Tracker) Forget(u burdockid.Upstream) { delete(t.byUpstream, u) }

// Suspected returns the suspected upstreams. It returns none if too few of the members
// would be left to carry the load.
func (t *Tracker) Suspected(now burdockclock.Millis, members int) map[burdockid.Upstream]bool {
	var suspected map[burdockid.Upstream]bool
	for u, m := range t.byUpstream {
		if now-m.latest() >= t.cfg.SuspicionTTL {
			delete(t.byUpstream, u)
			continue
		}
		if suspected == nil {
			suspected = map[burdockid.Upstream]bool{}
		}
		suspected[u] = true
	}
	if float64(members-len(suspected)) < t.cfg.MinUnsuspectedShare*float64(members) {
		return nil
	}
	return suspected
}
