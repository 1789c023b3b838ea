// Package burdockcrash finds requests that crash every upstream that runs them, by
// recording which requests were running at upstreams that crashed.
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
}

const (
	defaultTTL                                   = 5 * burdockclock.Minute
	defaultCorrelationWindow burdockclock.Millis = 500
	defaultMaxRequests                           = 4096
	// A request is quarantined after minIsolatedCrashes crashes without a common cause,
	// or after minCrashes crashes of any kind.
	minIsolatedCrashes = 2
	minCrashes         = 3
	// sameCrashWindow is the time within which crashes of one upstream are the same one, if the
	// start of its process isn't known: entries see a crash at the same time, and a restart
	// takes longer.
	sameCrashWindow burdockclock.Millis = 1000
)

// Tracker tracks recent crashes and the requests involved.
type Tracker struct {
	cfg     Config
	crashes map[Digest][]Crash
	// crashedAt is the earliest known time of each process's crash.
	crashedAt map[burdockid.Process]burdockclock.Millis
	// answers counts the successful answers to each recorded request since its first crash.
	answers      map[Digest]int
	nextExpiryAt burdockclock.Millis
	dropped      int
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
	return &Tracker{cfg: cfg, crashes: map[Digest][]Crash{}, crashedAt: map[burdockid.Process]burdockclock.Millis{}, answers: map[Digest]int{}}
}

// Add records a crash and reports whether it is new. A time in the future counts as now.
func (t *Tracker) Add(now burdockclock.Millis, c Crash) bool {
	t.expire(now)
	c.At = min(c.At, now)
	if now-c.At > t.cfg.TTL || t.has(c) {
		return false
	}
	if len(t.crashes[c.Request]) == 0 && len(t.crashes) >= t.cfg.MaxRequests {
		t.dropWeakest()
	}
	t.crashes[c.Request] = append(t.crashes[c.Request], c)
	if at, known := t.crashedAt[c.Process]; !known || c.At < at {
		t.crashedAt[c.Process] = c.At
	}
	return true
}

// dropWeakest forgets an eighth of the requests: those with the fewest crashes, and of these the
// ones whose crashes are the oldest.
func (t *Tracker) dropWeakest() {
	ordered := slices.SortedFunc(maps.Keys(t.crashes), func(a, b Digest) int {
		return cmp.Or(cmp.Compare(len(t.crashes[a]), len(t.crashes[b])), cmp.Compare(latest(t.crashes[a]), latest(t.crashes[b])), bytes.Compare(a[:], b[:]))
	})
	for _, d := range ordered[:max(len(ordered)/dropDivisor, 1)] {
		t.dropped += len(t.crashes[d])
		delete(t.crashes, d)
		delete(t.answers, d)
	}
}

// Dropped returns how many crashes of requests were forgotten to make room for others.
func (t *Tracker) Dropped() int { return t.dropped }

func (t *Tracker) has(c Crash) bool {
	return slices.ContainsFunc(t.crashes[c.Request], func(other Crash) bool { return isSameCrash(other, c) })
}

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

// expire removes crashes that are older than the TTL.
func (t *Tracker) expire(now burdockclock.Millis) {
	if now < t.nextExpiryAt {
		return
	}
	t.nextExpiryAt = now + expiryInterval
	for d, crashes := range t.crashes {
		if now-latest(crashes) > t.cfg.TTL {
			delete(t.crashes, d)
			delete(t.answers, d)
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

// AddAnswer records that a request was answered with success, if it ran at an upstream that
// crashed.
func (t *Tracker) AddAnswer(d Digest) {
	if len(t.crashes[d]) > 0 {
		t.answers[d]++
	}
}

// Evidence is what is known of a request that ran at upstreams that crashed.
type Evidence struct {
	Crashes  int
	Isolated int // crashes without a common cause
	Answers  int // successful ones since the first crash
}

// EvidenceOn returns what is known of a request.
func (t *Tracker) EvidenceOn(d Digest) Evidence {
	crashes := t.crashes[d]
	found := Evidence{Crashes: len(crashes), Answers: t.answers[d]}
	for _, c := range crashes {
		if t.isolated(c, crashes) {
			found.Isolated++
		}
	}
	return found
}

// Empty reports whether no crash is recorded, so callers need not compute a digest.
func (t *Tracker) Empty() bool { return len(t.crashes) == 0 }

// QuarantineRemaining returns how much longer a request is quarantined, that is, kept
// from upstreams; 0 if it is not.
//
// A request that crashes its upstream may be retried through any entry, and each time it
// crashes up to two more upstreams; in a lock-step group this ends the streams of all
// ranks. Healthy requests that share an upstream with it crash too, as many as the
// upstream has slots.
//
// Two isolated crashes are enough for quarantine, because a healthy request hardly meets
// two. When several upstreams crash together, for instance because of a fault of their
// own, a healthy request may meet two crashes, so a third is needed.
func (t *Tracker) QuarantineRemaining(now burdockclock.Millis, d Digest) burdockclock.Millis {
	found := t.EvidenceOn(d)
	if found.Isolated < minIsolatedCrashes && found.Crashes < minCrashes {
		return 0
	}
	return max(latest(t.crashes[d])+t.cfg.TTL-now, 0)
}

// isolated reports whether c has no common cause with crashes elsewhere: within the
// correlation window, only processes that ran the same request crashed.
func (t *Tracker) isolated(c Crash, sameRequest []Crash) bool {
	for p, at := range t.crashedAt {
		crash := Crash{Process: p, At: at}
		correlated := max(at-c.At, c.At-at) <= t.cfg.CorrelationWindow
		if correlated && !slices.ContainsFunc(sameRequest, func(other Crash) bool { return isSameCrash(other, crash) }) {
			return false
		}
	}
	return true
}

// CrashingRequest is a request that was running at an upstream when the upstream
// crashed.
type CrashingRequest struct {
	Digest           Digest               `json:"-"`
	DigestText       string               `json:"request"`
	CrashedUpstreams []burdockid.Upstream `json:"crashes"` // in the order of their crashes
	// QuarantineRemainingMillis is how much longer the request is quarantined; 0 if it is
	// not.
	QuarantineRemainingMillis burdockclock.Millis `json:"leftMillis"`
}

// CrashingRequests returns the recorded requests, those with the most crashes first.
func (t *Tracker) CrashingRequests(now burdockclock.Millis) []CrashingRequest {
	var all []CrashingRequest
	for d, crashes := range t.crashes {
		request := CrashingRequest{Digest: d, DigestText: d.String(), QuarantineRemainingMillis: t.QuarantineRemaining(now, d)}
		ordered := slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
		for _, c := range ordered {
			request.CrashedUpstreams = append(request.CrashedUpstreams, c.Process.Upstream)
		}
		all = append(all, request)
	}
	slices.SortFunc(all, func(a, b CrashingRequest) int {
		return cmp.Or(cmp.Compare(len(b.CrashedUpstreams), len(a.CrashedUpstreams)), cmp.Compare(a.DigestText, b.DigestText))
	})
	return all
}
