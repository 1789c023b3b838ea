package burdockcrash

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// A request without answers is quarantined after minIsolatedCrashes crashes without a
	// common cause, or after minCrashes crashes of any kind.
	minIsolatedCrashes = 2
	minCrashes         = 3
	// minCrashesOnceAnswered is the least number of crashes since its latest successful answer
	// for which a request is quarantined.
	minCrashesOnceAnswered = 4
	// onceAnsweredQuarantine is the length of its first quarantine, and quarantineFactor by how
	// much each further crash makes it longer, up to the TTL: while it is kept, no answer can
	// refute its crashes.
	onceAnsweredQuarantine = 15 * burdockclock.Second
	quarantineFactor       = 4
)

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
//
// Frequent content is running whenever an upstream crashes. But a request that crashes each
// upstream that runs it is answered by none, so a successful answer refutes the crashes before
// it. Content that used to be answered needs more crashes after that, and is kept for less time.
func (t *Tracker) QuarantineRemaining(now burdockclock.Millis, d Digest) burdockclock.Millis {
	s := t.requests[d]
	if s == nil {
		return 0
	}
	counted := t.counted(s, s.answeredAt)
	if !t.isEnough(s, counted, s.answeredAt) {
		return 0
	}
	return max(latest(counted)+t.quarantine(s, counted)-now, 0)
}

// quarantine returns how long a request is quarantined after the latest of its counted crashes.
func (t *Tracker) quarantine(s *suspect, counted []Crash) burdockclock.Millis {
	if s.answeredAt == 0 {
		return t.cfg.TTL
	}
	length := min(onceAnsweredQuarantine, t.cfg.TTL)
	for range len(counted) - minCrashesOnceAnswered {
		length = min(length*quarantineFactor, t.cfg.TTL)
	}
	return length
}

// counted returns the crashes that count against a request if it was last answered at a time.
func (t *Tracker) counted(s *suspect, answeredAt burdockclock.Millis) []Crash {
	if s.crashesSince(answeredAt) < minIsolatedCrashes {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(s.crashes), func(c Crash) bool {
		return c.At <= answeredAt || t.cfg.Explained(c.Process)
	})
}

// crashesSince returns the number of crashes after a time.
func (s *suspect) crashesSince(at burdockclock.Millis) int {
	n := 0
	for _, c := range s.crashes {
		if c.At > at {
			n++
		}
	}
	return n
}

// isEnough reports whether the counted crashes of a request are enough for quarantine.
func (t *Tracker) isEnough(s *suspect, counted []Crash, answeredAt burdockclock.Millis) bool {
	switch {
	case answeredAt != 0:
		return len(counted) >= minCrashesOnceAnswered
	case len(counted) >= minCrashes:
		return true
	case len(counted) < minIsolatedCrashes:
		return false
	}
	return t.countIsolated(counted, s.crashes) >= minIsolatedCrashes
}

func (t *Tracker) countIsolated(crashes, sameRequest []Crash) int {
	n := 0
	for _, c := range crashes {
		if t.isolated(c, sameRequest) {
			n++
		}
	}
	return n
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

// Evidence is what is known of a request that ran at upstreams that crashed.
type Evidence struct {
	Crashes  int // since the latest successful answer, without those that something else explains
	Isolated int // those without a common cause
	Answers  int // successful ones of this entry
	// AnsweredAt is when any entry last answered it with success; 0 if never.
	AnsweredAt burdockclock.Millis
}

// EvidenceOn returns what is known of a request.
func (t *Tracker) EvidenceOn(d Digest) Evidence {
	s := t.requests[d]
	if s == nil {
		return Evidence{}
	}
	counted := slices.DeleteFunc(slices.Clone(s.crashes), func(c Crash) bool {
		return c.At <= s.answeredAt || t.cfg.Explained(c.Process)
	})
	return Evidence{Crashes: len(counted), Isolated: t.countIsolated(counted, s.crashes), Answers: s.answers, AnsweredAt: s.answeredAt}
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
	// AnsweredAtMillis is when it was last answered with success (wall clock); 0 if never.
	AnsweredAtMillis burdockclock.Millis `json:"answeredAtMillis"`
}

// CrashingRequests returns the recorded requests, those with the most crashes first.
func (t *Tracker) CrashingRequests(now burdockclock.Millis) []CrashingRequest {
	var all []CrashingRequest
	for d, s := range t.requests {
		if len(s.crashes) == 0 {
			continue
		}
		request := CrashingRequest{Digest: d, DigestText: d.String(), QuarantineRemainingMillis: t.QuarantineRemaining(now, d), AnsweredAtMillis: s.answeredAt}
		ordered := slices.SortedFunc(slices.Values(s.crashes), func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
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
