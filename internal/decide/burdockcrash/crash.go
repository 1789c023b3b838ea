// Package burdockcrash finds requests that crash every upstream that runs them, by
// recording which requests were running at upstreams that crashed, and which of those were
// answered with success.
//
// The package is pure: time is passed in. A Tracker is not safe for concurrent use.
package burdockcrash

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Crash records that a request was running at an upstream when the upstream crashed.
type Crash struct {
	Request Digest
	Process burdockid.Process
	At      burdockclock.Millis
}

// Config holds the limits of a Tracker. A zero field takes its default.
type Config struct {
	// TTL is how long after its latest crash a request is remembered, and stays in
	// quarantine.
	TTL burdockclock.Millis
	// CorrelationWindow is the time within which crashes of two upstreams may have a
	// common cause.
	CorrelationWindow burdockclock.Millis
	// MaxRequests bounds the number of requests whose crashes are recorded.
	MaxRequests int
	// Explained reports whether something else is known to have crashed a process; nil if
	// nothing ever is.
	Explained func(burdockid.Process) bool
}

const (
	defaultTTL                                   = 5 * burdockclock.Minute
	defaultCorrelationWindow burdockclock.Millis = 500
	defaultMaxRequests                           = 4096
	// sameCrashWindow is the time within which crashes of one upstream are the same one, if the
	// start of its process isn't known: entries see a crash at the same time, and a restart
	// takes longer.
	sameCrashWindow burdockclock.Millis = 1000
)

// Tracker tracks recent crashes and the requests involved.
type Tracker struct {
	cfg      Config
	requests map[Digest]*suspect
	// crashedAt is the earliest known time of each process's crash.
	crashedAt    map[burdockid.Process]burdockclock.Millis
	nextExpiryAt burdockclock.Millis
	dropped      int
}

// suspect is a request that was running at upstreams that crashed.
type suspect struct {
	crashes []Crash
	// answeredAt is when the request was last answered with success, as far as this entry
	// knows, and toldAt as far as all entries do; 0 if never.
	answeredAt, toldAt burdockclock.Millis
	// answers counts the successful answers of this entry.
	answers int
}

// dropDivisor tells which part of the requests makes room for others at a time.
const dropDivisor = 8

// expiryInterval is the time between two removals of expired crashes.
const expiryInterval = burdockclock.Second

// New returns a tracker without crashes.
func New(cfg Config) *Tracker {
	cfg.TTL = cmp.Or(cfg.TTL, defaultTTL)
	cfg.CorrelationWindow = cmp.Or(cfg.CorrelationWindow, defaultCorrelationWindow)
	cfg.MaxRequests = cmp.Or(cfg.MaxRequests, defaultMaxRequests)
	if cfg.Explained == nil {
		cfg.Explained = func(burdockid.Process) bool { return false }
	}
	return &Tracker{cfg: cfg, requests: map[Digest]*suspect{}, crashedAt: map[burdockid.Process]burdockclock.Millis{}}
}

// Add records a crash and reports whether it is new. A time in the future counts as now.
func (t *Tracker) Add(now burdockclock.Millis, c Crash) bool {
	t.expire(now)
	c.At = min(c.At, now)
	if now-c.At > t.cfg.TTL {
		return false
	}
	s := t.suspect(c.Request)
	if slices.ContainsFunc(s.crashes, func(other Crash) bool { return isSameCrash(other, c) }) {
		return false
	}
	s.crashes = append(s.crashes, c)
	if at, known := t.crashedAt[c.Process]; !known || c.At < at {
		t.crashedAt[c.Process] = c.At
	}
	return true
}

// suspect returns what is known of a request, a new record if nothing is.
func (t *Tracker) suspect(d Digest) *suspect {
	if s := t.requests[d]; s != nil {
		return s
	}
	if len(t.requests) >= t.cfg.MaxRequests {
		t.dropWeakest()
	}
	s := &suspect{}
	t.requests[d] = s
	return s
}

// dropWeakest forgets an eighth of the requests: those with the fewest crashes since their latest
// answer, and of these the ones whose crashes are the oldest.
func (t *Tracker) dropWeakest() {
	ordered := slices.SortedFunc(maps.Keys(t.requests), func(a, b Digest) int {
		x, y := t.requests[a], t.requests[b]
		return cmp.Or(
			cmp.Compare(x.crashesSince(x.answeredAt), y.crashesSince(y.answeredAt)),
			cmp.Compare(latest(x.crashes), latest(y.crashes)),
			bytes.Compare(a[:], b[:]))
	})
	for _, d := range ordered[:max(len(ordered)/dropDivisor, 1)] {
		t.dropped += len(t.requests[d].crashes)
		delete(t.requests, d)
	}
}

// Dropped returns how many crashes of requests were forgotten to make room for others.
func (t *Tracker) Dropped() int { return t.dropped }

// isSameCrash reports whether two entries may have seen the same process crash. A process crashes
// once. One that comes back under the same ID is another one, with a start time of its own.
func isSameCrash(a, b Crash) bool {
	switch {
	case a.Process.Upstream != b.Process.Upstream:
		return false
	case a.Process.StartedAt != 0 && b.Process.StartedAt != 0:
		return a.Process.StartedAt == b.Process.StartedAt
	}
	return max(a.At-b.At, b.At-a.At) <= sameCrashWindow
}

// expire removes what is older than the TTL.
func (t *Tracker) expire(now burdockclock.Millis) {
	if now < t.nextExpiryAt {
		return
	}
	t.nextExpiryAt = now + expiryInterval
	for d, s := range t.requests {
		if now-max(latest(s.crashes), s.toldAt) > t.cfg.TTL {
			delete(t.requests, d)
		}
	}
	for p, at := range t.crashedAt {
		if now-at > t.cfg.TTL {
			delete(t.crashedAt, p)
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

// Empty reports whether no crash is recorded, so callers need not compute a digest.
func (t *Tracker) Empty() bool { return len(t.requests) == 0 }
