package burdockagent

import (
	"net/http"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockbackpressure"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"go.uber.org/zap"
)

// recordPause records the pause that the engine asks for. Until it is over, requests that are
// queued wait, and entries offer new ones to other upstreams.
//
// An engine that answers 503 at once always has free slots. Without the pause, entries would
// take it for the least loaded one and send it more than the others.
func (a *Agent) recordPause(answer burdockengine.Answer) {
	if answer.Status != http.StatusServiceUnavailable {
		return
	}
	pause := burdockbackpressure.ParseRetryAfter(answer.Header.Get("Retry-After"), answer.Header.Get("Date"))
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Boot()
	until := now + pause.For
	if pause.For == 0 || until <= a.pausedUntil {
		return
	}
	if a.pausedUntil == 0 {
		a.deps.Log.Info("the engine asks for a pause", zap.Int64("pauseMillis", int64(pause.For)))
	}
	a.pausedUntil = until
	a.queue.Pause(now, true)
}

// endPause resumes the queue once the pause is over. The agent's lock must be held.
func (a *Agent) endPause(now burdockclock.Millis) {
	if a.pausedUntil == 0 || now < a.pausedUntil {
		return
	}
	a.pausedUntil = 0
	a.queue.Pause(now, false)
	a.deps.Log.Info("the pause of the engine is over")
}

// pauseRefusal returns the refusal of a new request in a pause, or nil. The agent's lock must
// be held.
func (a *Agent) pauseRefusal(now burdockclock.Millis) *refused {
	if now >= a.pausedUntil {
		return nil
	}
	return &refused{
		reason:      burdockwire.RefusedReason_REFUSED_REASON_QUEUE_FULL,
		retryAfter:  a.pausedUntil - now,
		explanation: "the upstream has asked for a pause",
	}
}
