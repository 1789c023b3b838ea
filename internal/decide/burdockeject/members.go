package burdockeject

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// SetMembers replaces the members. Records of upstreams that are no longer members are
// dropped, as another VM may later return under the same name.
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

// MarkLeaving records that u is leaving. From now on it gets no new requests, whatever
// the caps. It is not probed either: it is healthy, but would cut off the request.
func (t *Tracker) MarkLeaving(now burdockclock.Millis, u burdockid.Upstream) (Change, bool) {
	r := t.records[u]
	if r == nil {
		r = &record{upstream: u, scoredAt: now, heapIndex: notScheduled}
		t.records[u] = r
	}
	if r.leaving {
		return Change{}, false
	}
	t.addRemoved(r, -1)
	t.unschedule(r)
	r.leaving = true
	r.level = LevelEjected
	r.probing = false
	t.checkInvariants(r)
	return Change{Upstream: u, Level: LevelEjected, Cause: CauseLeaving}, true
}

// Reset drops all that is known about u because a new process has replaced it.
func (t *Tracker) Reset(_ burdockclock.Millis, u burdockid.Upstream) (Change, bool) {
	r := t.records[u]
	if r == nil {
		return Change{}, false
	}
	t.forget(r)
	return Change{Upstream: u, Level: LevelFull, Weight: 1, Cause: CauseRecovered}, true
}

func (t *Tracker) forget(r *record) {
	t.addRemoved(r, -1)
	t.unschedule(r)
	delete(t.records, r.upstream)
}

// Weight returns the share of its regular load that u should get.
func (t *Tracker) Weight(u burdockid.Upstream) float64 {
	r := t.records[u]
	if r == nil {
		return 1
	}
	return r.level.Weight()
}

// NextProbe returns an ejected upstream that is due for a probe. The caller probes it
// either with one request that may be retried after a failure, sent there instead of to
// the placer's choice, or with a health check that ends in ProbeSucceeded or
// ConnectFailed. Each call returns one upstream, which is not returned again before the
// result or the timeout of its probe.
func (t *Tracker) NextProbe(now burdockclock.Millis) (burdockid.Upstream, bool) {
	if len(t.probes) == 0 || t.probes[0].probeAt > now || t.lastProbeAt+t.cfg.MinProbeInterval > now {
		return "", false
	}
	// A caller that asks rarely may catch up on up to probeBurst probes at once.
	t.lastProbeAt = max(t.lastProbeAt+t.cfg.MinProbeInterval, now-probeBurst*t.cfg.MinProbeInterval)
	r := t.probes[0]
	if r.probing {
		// The previous probe has timed out.
		r.failures++
	}
	r.probing = true
	t.schedule(r, now+max(t.cfg.ProbeTimeout, t.backoff(r.failures)))
	t.checkInvariants(r)
	return r.upstream, true
}

// Fallback returns an ejected upstream for a request that has no other upstream left: the
// one whose probe is due first, among those not skipped. The result counts as that of a
// probe.
//
// This matters with few upstreams, when the healthy ones leave while another is ejected.
// Without it, every request is refused until the next probe, although the upstream may
// have recovered. A request that fails there has lost nothing.
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
