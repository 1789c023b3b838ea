package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockratelimit"
	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
	"go.uber.org/zap"
)

// recordRateLimit records what a response says about its upstream's rate limit.
func (a *attempt) recordRateLimit(head ResponseHeaders) {
	res := burdockratelimit.Response{Statement: head.RateLimit, OfferedAt: a.startedAt, Refused: head.NotRun}
	p, now := a.offers.pool, a.offers.entry.now()
	p.mu.Lock()
	change, changed := p.rateLimits.Observe(now, a.target.ID, res)
	p.mu.Unlock()
	unreadable, isUnreadable := head.RateLimit.(burdockratelimit.Unreadable)
	switch {
	case changed:
		a.offers.entry.needEntries()
		a.logStated("rate limit of upstream changed", head, rateField("from", change.From), rateField("to", change.To))
	case isUnreadable:
		a.logStated("unreadable rate limit of upstream", head, statedText(unreadable.Text))
	}
}

// rateField returns the log field of a limit in requests per second.
func rateField(name string, s burdockratelimit.Statement) zap.Field {
	if limited, ok := s.(burdockratelimit.Limited); ok {
		return zap.Float64(name, float64(limited.Rate))
	}
	return zap.String(name, "none")
}

// needEntries asks for the other entries, whose number decides how much of an upstream's
// limit is for this one.
func (e *Entry) needEntries() {
	if e.deps.NeedEntries != nil {
		e.deps.NeedEntries()
	}
}

// SetEntries replaces the entries that share the rates of upstreams.
func (e *Entry) SetEntries(l burdocksharedrate.Listing) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.entries.Set(now, l)
	for _, p := range e.pools {
		p.setEntries(now, e.entries)
	}
}

func (p *pool) setEntries(now burdockclock.Millis, entries burdocksharedrate.Entries) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
	p.cold.UpdateEntries(now)
	p.rateLimits.UpdateEntries(now)
}

// RateLimited reports whether any upstream has a rate limit.
func (e *Entry) RateLimited() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		if p.rateLimited() > 0 {
			return true
		}
	}
	return false
}

// rateLimited returns the number of upstreams that have a rate limit.
func (p *pool) rateLimited() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rateLimits.Limited()
}
