package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

func engineOf(snap *burdocksite.Snapshot, service burdockid.Service) *burdocksite.Engine {
	if snap.Config == nil {
		return nil
	}
	return snap.Config.Services[service].Engine
}

// streamTimeouts returns how long callers of a service's streams wait for a first event,
// and the gap between events that they accept. Each is the minimum over all routes, or 0
// if there is none.
func streamTimeouts(snap *burdocksite.Snapshot, service burdockid.Service) (firstEventTimeout, maxEventGap burdockclock.Millis) {
	if snap.Config == nil {
		return 0, 0
	}
	for _, route := range snap.Config.Routes {
		for _, share := range route.Shares {
			if share.Service == service && route.Stream {
				firstEventTimeout = minNonZero(firstEventTimeout, route.EventTimeout)
				maxEventGap = minNonZero(maxEventGap, route.MaxEventGap)
			}
		}
	}
	return firstEventTimeout, maxEventGap
}

// minNonZero returns the shorter of two times, where 0 means none.
func minNonZero(a, b burdockclock.Millis) burdockclock.Millis {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// applySnapshot applies the members and the configuration of a site snapshot.
func (p *pool) applySnapshot(now burdockclock.Millis, snap *burdocksite.Snapshot) {
	cfg := gateConfigOf(snap, p.service, p.entry.cfg.SharedAdmission)
	cfg.members = p.withoutLeaving(now, cfg.members)
	if cfg.shared {
		p.exportRoom.Do(func() { p.entry.meters.exportRoomGauges(p) })
	}
	p.setFirstEventTimeout(cfg.firstEventTimeout)
	if !p.updateMembers(now, cfg.members, snap.Config, p.gate.requestsPerEngine()) {
		return
	}
	p.gate.reconfigure(cfg)
	p.mu.Lock()
	of := p.groupOfMembers()
	p.mu.Unlock()
	p.gate.setGroups(of)
}

func (p *pool) setFirstEventTimeout(timeout burdockclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firstEventTimeout = timeout
}

// gateConfigOf returns the gate configuration of a service.
func gateConfigOf(snap *burdocksite.Snapshot, service burdockid.Service, mode SharedAdmission) gateConfig {
	cfg := gateConfig{engine: engineOf(snap, service), members: snap.Members(service)}
	cfg.firstEventTimeout, cfg.maxEventGap = streamTimeouts(snap, service)
	cfg.shared = sharedAdmission(snap.Config, service, mode)
	return cfg
}

// updateMembers applies members and configuration, and reports whether either has changed.
func (p *pool) updateMembers(now burdockclock.Millis, members []burdocksite.Upstream, cfg *burdocksite.Config, requests float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.config != cfg
	p.config = cfg
	if cfg != nil {
		p.cold.SetRate(now, burdocksharedrate.Rate(cfg.Services[p.service].ColdRate))
	}
	if p.members != nil && p.sameMembers(members) {
		return changed
	}
	p.memberAge.renew()
	before := p.members
	p.members = map[burdockid.Upstream]burdocksite.Upstream{}
	var names []burdockid.Upstream
	for _, u := range members {
		p.members[u.ID] = u
		names = append(names, u.ID)
		old, known := before[u.ID]
		if known && restarted(old, u) {
			p.forget(now, u.ID)
		}
		if !known || old.ColdFor != u.ColdFor || restarted(old, u) {
			p.cold.SetCold(now, u.ID, now+u.ColdFor)
		}
	}
	p.cold.Retain(p.isMember)
	p.rateLimits.Retain(now, p.isMember)
	p.tracker.SetMembers(now, names)
	p.migrations.retain(p.members)
	p.weightBySpeed = speedWeights(engineOf(p.entry.deps.Site.Now(), p.service), p.members, p.speeds, requests)
	placed := make([]burdockplace.Member, len(names))
	for i, name := range names {
		placed[i] = burdockplace.Member{Upstream: name, DataCentre: p.members[name].DataCentre, Weight: p.effectiveWeight(name)}
	}
	p.placer.SetMembers(now, placed)
	return true
}

// restarted reports whether a record is that of another process than an earlier one with
// the same ID.
func restarted(before, now burdocksite.Upstream) bool {
	return before.StartedAt != now.StartedAt && before.StartedAt != 0 && now.StartedAt != 0
}

// forget drops what is known about an upstream whose process was replaced by another one
// under the same ID: its load, its failures and its silence are those of the old process.
// The lock must be held.
func (p *pool) forget(now burdockclock.Millis, u burdockid.Upstream) {
	p.tracker.Reset(now, u)
	p.placer.Restarted(u)
	p.gate.forget(u)
	p.suspected.Forget(u)
	p.rateLimits.Forget(u)
	p.pauses.Forget(u)
	delete(p.lastContact, u)
	p.entry.deps.Log.Info("upstream restarted", zap.String("upstream", string(u)), zap.String("service", string(p.service)))
}

// size returns the number of upstreams.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}

func (p *pool) sameMembers(members []burdocksite.Upstream) bool {
	if len(members) != len(p.members) {
		return false
	}
	for _, u := range members {
		if p.members[u.ID] != u {
			return false
		}
	}
	return true
}

func (p *pool) isMember(u burdockid.Upstream) bool {
	_, member := p.members[u]
	return member
}
