package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// contact is when an upstream last sent an event or, if it has sent none, when the first
// of its offers in flight was made.
type contact struct {
	at      burdockclock.Millis
	isEvent bool
}

// recordEvent records an event of a stream.
func (p *pool) recordEvent(now burdockclock.Millis, u burdockid.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.lastEventAt > silenceTimeout/2 {
		p.eventsSince = now
	}
	p.lastEventAt = now
	p.lastContact[u] = contact{at: now, isEvent: true}
}

// recordFirstEvent records the time from a stream's offer to its first event.
func (p *pool) recordFirstEvent(u burdockid.Upstream, took burdockclock.Millis) {
	p.mu.Lock()
	p.typicalFirstEvent += (took - p.typicalFirstEvent) / firstEventSamples
	p.mu.Unlock()
	p.gate.observeFirstEvent(u, took)
}

// firstEventLimit returns how long a stream may wait for its first event before its
// connection counts as lost.
//
// When engines are full, streams wait in their queues, and a first event may take longer
// than silenceTimeout. Taking that for a lost connection would tell the caller that the
// outcome is unknown while the engine works for nobody. The limit therefore grows with the
// typical time to a first event, but leaves another engine enough time to answer before
// the caller gives up.
func (p *pool) firstEventLimit() burdockclock.Millis {
	return max(min(firstEventFactor*p.typicalFirstEvent, p.firstEventTimeout-p.typicalFirstEvent), silenceTimeout)
}

// firstEventFactor is how many times the typical time a first event may take.
const firstEventFactor = 4

// isSilent reports whether an upstream that has offers is silent while others are not.
func (p *pool) isSilent(now burdockclock.Millis, u burdockid.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isSilentLocked(now, u) {
		return false
	}
	if last := p.lastContact[u]; !last.isEvent {
		// Otherwise the longest waits for a first event would never enter the mean.
		p.typicalFirstEvent += (now - last.at - p.typicalFirstEvent) / firstEventSamples
	}
	return true
}

// isSilentLocked is isSilent with the lock held, and leaves the mean as it is.
//
// When an upstream's VM is frozen or cut off, requests to it wait in buffers, and their
// callers give up after some seconds without an event. Engines in lock-step emit events at
// the same pace, so one that has sent none for many steps while others have is
// unreachable.
func (p *pool) isSilentLocked(now burdockclock.Millis, u burdockid.Upstream) bool {
	last, busy := p.lastContact[u]
	limit := silenceTimeout
	if !last.isEvent {
		limit = p.firstEventLimit()
	}
	return busy && p.othersActive(now, last.at, limit)
}

// othersActive reports whether other streams have had events for longer than limit since
// an instant, so that a stream without any has lost its connection. Events right after the
// whole group stalled don't count: its ranks resume one by one.
func (p *pool) othersActive(now, since, limit burdockclock.Millis) bool {
	return now-max(since, p.eventsSince) > limit && now-p.lastEventAt < silenceTimeout/2
}

// connectionLost reports whether a stream without an event since an instant has lost its
// connection.
func (p *pool) connectionLost(now, since burdockclock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.othersActive(now, since, silenceTimeout)
}
