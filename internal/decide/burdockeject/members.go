package burdockeject

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// SetMembers replaces the members. What is known of one that is no longer
// among them is forgotten: under the same name, another VM may return.
func (t *Tracker) SetMembers(_ burdockclock.Millis, members []burdockid.Upstream) {
	t.members = len(members)
	known := make(map[burdockid.Upstream]bool, len(members))
	for _, u := range members {
		known[u] = true
	}
	for u, r := range t.records {
		if !known[u] {
			t.forget(r)
		}
	}
}

// MarkLeaving tells that u is leaving. It gets nothing new from now on, whatever
// the caps, and is not probed: it runs well, but it would cut off the work.
func (t *Tracker) MarkLeaving(now burdockclock.Millis, u burdockid.Upstream) (Change, bool) {
	r := t.records[u]
	if r == nil {
		r = &record{upstream: u, scoredAt: now, place: noPlace}
		t.records[u] = r
	}
	if r.leaving {
		return Change{}, false
	}
	t.account(r, -1)
	t.unschedule(r)
	r.leaving = true
	r.level = LevelEjected
	r.probing = false
	t.verify(r)
	return Change{Upstream: u, Level: LevelEjected, Cause: CauseLeaving}, true
}

// Reset tells that a new process has started in place of u. Nothing that was
// known of the old one holds for it.
func (t *Tracker) Reset(_ burdockclock.Millis, u burdockid.Upstream) (Change, bool) {
	r := t.records[u]
	if r == nil {
		return Change{}, false
	}
	t.forget(r)
	return Change{Upstream: u, Level: LevelFull, Weight: 1, Cause: CauseRecovered}, true
}

func (t *Tracker) forget(r *record) {
	t.account(r, -1)
	t.unschedule(r)
	delete(t.records, r.upstream)
}

// Weight returns the share of its usual work that u should get.
func (t *Tracker) Weight(u burdockid.Upstream) float64 {
	r := t.records[u]
	if r == nil {
		return 1
	}
	return r.level.Weight()
}

// NextProbe returns an ejected upstream that is due to be probed: by one request,
// which the caller offers to it in place of the upstream that its placer would
// choose and which may be offered again after a failure; or by asking it how
// it is, which ends in ProbeSucceeded or ConnectFailed. No other is probed by the same call, and the same one not before
// its answer.
func (t *Tracker) NextProbe(now burdockclock.Millis) (burdockid.Upstream, bool) {
	if len(t.probes) == 0 || t.probes[0].probeAt > now || t.probedAt+t.cfg.MinProbeInterval > now {
		return "", false
	}
	// A caller that asks seldom may take what it left, up to a few at a time.
	t.probedAt = max(t.probedAt+t.cfg.MinProbeInterval, now-probeBurst*t.cfg.MinProbeInterval)
	r := t.probes[0]
	if r.probing {
		// The last probe was never told of.
		r.failures++
	}
	r.probing = true
	t.schedule(r, now+max(t.cfg.ProbeTimeout, t.backoff(r.failures)))
	t.verify(r)
	return r.upstream, true
}

// Fallback returns an ejected upstream for a request that no other is left for:
// of those that aren't skipped the one that is due to be probed first. Its answer
// counts as that of a probe.
//
// Load: few upstreams, of which the sound ones leave while another is out. Harm
// prevented: every request is refused until a probe happens to be made, though the
// upstream may long be well; one that fails loses nothing by it.
func (t *Tracker) Fallback(skip func(burdockid.Upstream) bool) (burdockid.Upstream, bool) {
	var found *record
	for _, r := range t.probes {
		if !skip(r.upstream) && (found == nil || r.probeAt < found.probeAt) {
			found = r
		}
	}
	if found == nil {
		return "", false
	}
	found.probing = true
	return found.upstream, true
}
