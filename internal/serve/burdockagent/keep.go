package burdockagent

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
)

// forgettable reports whether an ended job has been kept long enough.
//
// Failure: the connection goes silent under the last bytes of an answer. The
// agent has sent them; the entry never gets them and attaches again a few
// seconds later. Without the ended job it would have to report an answer lost
// that was whole.
func (j *job) forgettable(now burdockclock.Millis) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	keep := keepEnded
	if _, whole := j.outcome.(ended); whole && j.keyed() {
		keep = keepAnswers
	}
	return j.outcome != nil && len(j.readers) == 0 && now-j.endedAt > keep
}

// begunWithKey reports whether the request has a key and may have run. Its
// answer is worth finishing for nobody: the caller can come back with the key,
// and can't have the request run again. The lock is held.
func (j *job) begunWithKey() bool {
	switch j.machine.State() {
	case burdockcharts.RequestHandedOver, burdockcharts.RequestAnswering:
		return j.keyed()
	default:
		return false
	}
}

// worthFinishing is begunWithKey for callers that don't hold the lock.
func (j *job) worthFinishing() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.begunWithKey()
}

// hasEnded reports whether the job has an outcome.
func (j *job) hasEnded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.outcome != nil
}

// isKept reports whether the job is held only for callers that ask again.
func (j *job) isKept() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.keyed() && j.outcome != nil && len(j.readers) == 0
}

// bytes returns how much of the answer is held.
func (j *job) bytes() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return int64(cap(j.kept))
}

// settled reports whether the job has ended and nobody reads it.
func (j *job) settled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.outcome != nil && (j.delivered || len(j.readers) == 0)
}

// orphanedFor returns how long nobody has read the answer of an unsettled job.
func (j *job) orphanedFor(now burdockclock.Millis) burdockclock.Millis {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.unread == 0 || j.outcome != nil || j.begunWithKey() {
		return 0
	}
	return now - j.unread
}
