package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"go.uber.org/zap"
)

// recordPause records the pause that a refusal asks for.
func (a *attempt) recordPause(head ResponseHeaders) {
	p, now := a.offers.pool, a.offers.entry.now()
	p.mu.Lock()
	p.expirePauses(now)
	asked := p.pauses.Ask(now, a.target.ID, head.Pause.For)
	p.mu.Unlock()
	switch {
	case asked:
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
