package burdockagent

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
)

// retentionExpired reports whether the job ended long enough ago to be deleted.
//
// A connection may die while it carries the last bytes of an answer. The agent has sent
// them, but the entry never receives them and attaches again a few seconds later. Without
// the ended job, a complete answer would be reported as lost.
func (j *job) retentionExpired(now burdockclock.Millis) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	retention := endedRetention
	if _, whole := j.outcome.(ended); whole && j.hasKey() {
		retention = answerRetention
	}
	return j.outcome != nil && len(j.readers) == 0 && now-j.endedAt > retention
}

// startedWithKeyLocked reports whether the request has an idempotency key and is running
// on the engine. Such a request is finished even if nobody reads its answer: the caller can ask
// for the answer with the key, but can't have the request run again. The job's lock must
// be held.
func (j *job) startedWithKeyLocked() bool {
	switch j.machine.State() {
	case burdockcharts.RequestHandedOver, burdockcharts.RequestAnswering:
		return j.hasKey()
	default:
		return false
	}
}

// startedWithKey is startedWithKeyLocked for callers that don't hold the lock.
func (j *job) startedWithKey() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.startedWithKeyLocked()
}

// hasEnded reports whether the job has an outcome.
func (j *job) hasEnded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.outcome != nil
}

// isRetained reports whether the job is only kept for callers that repeat its key.
func (j *job) isRetained() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.hasKey() && j.outcome != nil && len(j.readers) == 0
}

// bufferedBytes returns the memory that the kept part of the answer takes.
func (j *job) bufferedBytes() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return int64(cap(j.buffer))
}

// isDone reports whether the job has ended and its outcome was sent or has no reader.
func (j *job) isDone() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.outcome != nil && (j.delivered || len(j.readers) == 0)
}

// orphanedFor returns how long the job has had no reader; 0 if it has one, has ended or
// must be finished regardless.
func (j *job) orphanedFor(now burdockclock.Millis) burdockclock.Millis {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.unreadSince == 0 || j.outcome != nil || j.startedWithKeyLocked() {
		return 0
	}
	return now - j.unreadSince
}
