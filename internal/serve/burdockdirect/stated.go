package burdockdirect

import (
	"net/http"

	"go.uber.org/zap"
)

// recordStated records what a response says that its upstream takes from now on. Another
// process at the upstream's address, or whatever answers in its place, says nothing about it.
func (a *attempt) recordStated(head ResponseHeaders) {
	if a.status == http.StatusMisdirectedRequest || !head.FromUpstream && !head.NotRun {
		return
	}
	a.recordRateLimit(head)
	a.recordPause(head)
	a.recordLeaving(head)
}

// logStated writes the line of something that an upstream has stated for the first time, has
// changed or ended.
func (a *attempt) logStated(message string, head ResponseHeaders, fields ...zap.Field) {
	a.offers.entry.deps.Log.Info(message, append([]zap.Field{
		zap.String("upstream", string(a.target.ID)), zap.String("service", string(a.offers.pool.service)),
		requestID(a.offers.req.ID), zap.Bool("refused", head.NotRun),
	}, fields...)...)
}

// maxStatedText bounds the length of an unreadable text in a line.
const maxStatedText = 32

// statedText returns the log field of a text that can't be read.
func statedText(text string) zap.Field {
	return zap.String("text", text[:min(len(text), maxStatedText)])
}
