package burdockdirect

import (
	"net/http"

	"burdockbend.example/burdockbend/internal/decide/burdockratelimit"
	"go.uber.org/zap"
)

// maxLoggedLimit bounds the length of an unreadable limit in a line.
const maxLoggedLimit = 32

// recordRateLimit records what a response says about its upstream's rate limit. Another
// process at the upstream's address, or whatever answers in its place, says nothing about it.
func (a *attempt) recordRateLimit(head ResponseHeaders) {
	if a.status == http.StatusMisdirectedRequest || !head.FromUpstream && !head.NotRun {
		return
	}
	res := burdockratelimit.Response{Statement: head.RateLimit, OfferedAt: a.startedAt, Refused: head.NotRun}
	p, now := a.offers.pool, a.offers.entry.now()
	p.mu.Lock()
	change, changed := p.rateLimits.Observe(now, a.target.ID, res)
	p.mu.Unlock()
	unreadable, isUnreadable := head.RateLimit.(burdockratelimit.Unreadable)
	switch {
	case changed:
		a.logRateLimit("rate limit of upstream changed", head, rateField("from", change.From), rateField("to", change.To))
	case isUnreadable:
		a.logRateLimit("unreadable rate limit of upstream", head, zap.String("text", unreadable.Text[:min(len(unreadable.Text), maxLoggedLimit)]))
	}
}

// rateField returns the log field of a limit in requests per second.
func rateField(name string, s burdockratelimit.Statement) zap.Field {
	if limited, ok := s.(burdockratelimit.Limited); ok {
		return zap.Float64(name, float64(limited.Rate))
	}
	return zap.String(name, "none")
}

func (a *attempt) logRateLimit(message string, head ResponseHeaders, fields ...zap.Field) {
	a.offers.entry.deps.Log.Info(message, append([]zap.Field{
		zap.String("upstream", string(a.target.ID)), zap.String("service", string(a.offers.pool.service)),
		requestID(a.offers.req.ID), zap.Bool("refused", head.NotRun),
	}, fields...)...)
}

// rateLimited returns the number of upstreams that have a rate limit.
func (p *pool) rateLimited() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rateLimits.Limited()
}
