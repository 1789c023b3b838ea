package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// recordLeaving records that the upstream says that it leaves. It gets no more requests, as
// when the platform's list says so, which may be later.
func (a *attempt) recordLeaving(head ResponseHeaders) {
	if !head.Leaving {
		return
	}
	e, p := a.offers.entry, a.offers.pool
	p.mu.Lock()
	isNew := p.leaving.Mark(e.now(), a.target.ID, a.target.StartedAt)
	p.mu.Unlock()
	if isNew {
		a.logStated("upstream says that it leaves", head)
		e.refreshMembers(p)
	}
}

// refreshMembers applies the site's members to a pool again.
func (e *Entry) refreshMembers(p *pool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.applySnapshot(e.now(), e.deps.Site.Now())
}

// withoutLeaving returns the members that have not said that they leave.
func (p *pool) withoutLeaving(now burdockclock.Millis, members []burdocksite.Upstream) []burdocksite.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving.Len() == 0 {
		return members
	}
	var staying []burdocksite.Upstream
	for _, u := range members {
		if !p.leaving.Contains(now, u.ID, u.StartedAt) {
			staying = append(staying, u)
		}
	}
	p.leaving.Expire(now)
	return staying
}

// leavingUpstreams returns the number of upstreams that have said that they leave.
func (p *pool) leavingUpstreams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving.Len()
}
