package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

const (
	// reasonStay: the request goes to the same upstream again.
	reasonStay burdockplace.Reason = "stay"
	// reasonProbe: an ejected upstream is due for a probe.
	reasonProbe burdockplace.Reason = "probe"
	// reasonLastResort: no upstream is left but ejected ones.
	reasonLastResort burdockplace.Reason = "lastResort"
)

// choose selects the upstream for one offer: preferred, if that may be chosen. Whichever way
// an upstream is selected, it gets the offer only if it takes requests now.
func (p *pool) choose(now burdockclock.Millis, req *request, excluded map[burdockid.Upstream]bool, preferred burdockid.Upstream) (burdocksite.Upstream, burdockplace.Reason, bool) {
	unavailable := p.gate.unavailable()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expirePauses(now)
	takes, passedOver := p.takesRequests, false
	if p.isLessUrgent(now, req) {
		takes = func(now burdockclock.Millis, u burdockid.Upstream) bool {
			takes := p.takesRequests(now, u)
			reserved := takes && p.isReserved(now, u)
			passedOver = passedOver || reserved
			return takes && !reserved
		}
	}
	u, reason := preferred, reasonStay
	if !p.isMember(u) || !takes(now, u) {
		barred := func(u burdockid.Upstream) bool { return excluded[u] || unavailable(u) || !takes(now, u) }
		u, reason = p.place(now, req, barred)
	}
	placed := p.isMember(u) && takes(now, u)
	p.recordUrgency(now, req, placed, passedOver)
	if !placed {
		return burdocksite.Upstream{}, "", false
	}
	p.offerStarted(now, u, req.cost)
	return p.members[u], reason, true
}

// takesRequests reports whether an upstream may get a request now, as far as what it asks for
// and the limits on the requests of all entries go. The lock must be held.
func (p *pool) takesRequests(now burdockclock.Millis, u burdockid.Upstream) bool {
	return p.cold.Allows(now, u) && p.rateLimits.Allows(now, u) && p.pauses.Allows(now, u)
}

// place selects an upstream that is not barred; "" if there is none. The lock must be held.
func (p *pool) place(now burdockclock.Millis, req *request, barred func(burdockid.Upstream) bool) (burdockid.Upstream, burdockplace.Reason) {
	skip := func(u burdockid.Upstream) bool { return barred(u) || p.isSilentLocked(now, u) }
	choice, ok := p.placeByLoad(now, req, skip)
	// Only repeatable requests probe an ejected upstream. A probe that is due goes
	// first: if it were skipped, the upstream would stay ejected for long.
	if req.route.Repeatable() {
		if probe, due := p.tracker.NextProbe(now); due && !barred(probe) && p.isMember(probe) {
			return probe, reasonProbe
		}
	}
	if ok {
		return choice.Upstream, choice.Reason
	}
	if last, ok := p.tracker.Fallback(skip); ok {
		return last, reasonLastResort
	}
	return "", ""
}

// placeByLoad selects an upstream by load, a suspected one only if there is no other. The
// lock must be held.
func (p *pool) placeByLoad(now burdockclock.Millis, req *request, skip func(burdockid.Upstream) bool) (burdockplace.Choice, bool) {
	wanted := burdockplace.Request{DataCentre: p.entry.cfg.DataCentre, Cost: req.cost, Exclude: skip, Compare: p.comparedEngines(now)}
	avoid := p.suspectedFor(now, req)
	if len(avoid) == 0 {
		return p.placer.Choose(now, wanted)
	}
	wanted.Exclude = func(u burdockid.Upstream) bool { return avoid[u] || skip(u) }
	if choice, ok := p.placer.Choose(now, wanted); ok {
		return choice, true
	}
	wanted.Exclude = skip
	return p.placer.Choose(now, wanted)
}

// nextRequestAt returns when the first of the members may get a request; now if that isn't
// known. The lock must be held.
func (p *pool) nextRequestAt(now burdockclock.Millis) burdockclock.Millis {
	return p.firstAt(now, p.rateLimits.NextAt)
}

// firstAt returns when the first of the members may get a request, given when each one's
// rate limit allows it. The lock must be held.
func (p *pool) firstAt(now burdockclock.Millis, nextAt func(burdockclock.Millis, burdockid.Upstream) (burdockclock.Millis, bool)) burdockclock.Millis {
	var first burdockclock.Millis
	for u := range p.members {
		at, ok := nextAt(now, u)
		at = max(at, p.pauses.Until(now, u))
		if ok && (first == 0 || at < first) {
			first = at
		}
	}
	return max(first, now)
}

// barredMembers returns the log fields that tell how many of the members may get no request
// now, by the reason.
func (p *pool) barredMembers(now burdockclock.Millis, req *request) []zap.Field {
	p.mu.Lock()
	defer p.mu.Unlock()
	lessUrgent := p.isLessUrgent(now, req)
	cold, limited, pausing, reserved := 0, 0, 0, 0
	for u := range p.members {
		if !p.cold.Allows(now, u) {
			cold++
		}
		if !p.rateLimits.Allows(now, u) {
			limited++
		}
		if !p.pauses.Allows(now, u) {
			pausing++
		}
		if lessUrgent && p.takesRequests(now, u) && p.isReserved(now, u) {
			reserved++
		}
	}
	return []zap.Field{
		zap.Int("members", len(p.members)), zap.Int("cold", cold), zap.Int("rateLimited", limited), zap.Int("pausing", pausing),
		zap.Int("reservedForUrgent", reserved),
	}
}
