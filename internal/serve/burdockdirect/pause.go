package burdockdirect

import (
	"maps"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"go.uber.org/zap"
)

// recordPause records the pause that a refusal asks for.
func (a *attempt) recordPause(head ResponseHeaders) {
	p, now := a.offers.pool, a.offers.entry.now()
	p.mu.Lock()
	p.expirePauses(now)
	asked := p.pauses.Ask(now, a.target.ID, head.Pause.For)
	until := p.pauses.Until(now, a.target.ID)
	p.mu.Unlock()
	switch {
	case asked:
		p.gate.pauseUntil(a.target.ID, until)
		a.logStated("upstream asks for a pause", head, zap.Int64("pauseMillis", int64(head.Pause.For)))
	case head.Pause.Unreadable != "":
		a.logStated("unreadable pause of upstream", head, statedText(head.Pause.Unreadable))
	}
}

// expirePauses drops the pauses that are over. The lock must be held.
func (p *pool) expirePauses(now burdockclock.Millis) {
	for _, u := range p.pauses.Expire(now) {
		p.entry.deps.Log.Info("pause of upstream is over", zap.String("upstream", string(u)), zap.String("service", string(p.service)))
	}
}

// pausing returns the number of upstreams that have asked for a pause.
func (p *pool) pausing() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expirePauses(p.entry.now())
	return p.pauses.Len()
}

// groupOpened records that a lock-step group has opened.
func (p *pool) groupOpened() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauses.GroupOpened()
}

// pauseUntil records that an upstream gets no requests until an instant. Until then fewer
// requests may run; otherwise the others would get those as well.
func (g *gate) pauseUntil(u burdockid.Upstream, until burdockclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pausedUntil[u] = until
	g.updateCapacity()
	time.AfterFunc((until - g.clock.Boot()).Duration(), g.endPauses)
}

// endPauses drops the pauses that are over.
func (g *gate) endPauses() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Boot()
	maps.DeleteFunc(g.pausedUntil, func(_ burdockid.Upstream, until burdockclock.Millis) bool { return until <= now })
	g.updateCapacity()
}

// updateCapacity applies a change of the upstreams that may get requests. The lock must be
// held.
func (g *gate) updateCapacity() {
	if g.limit != nil {
		g.limit.SetEngines(g.availableEngines(g.clock.Boot()))
	} else {
		g.resize(g.totalSlots())
	}
	g.dispatch()
}
