package burdockbackpressure

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// leavingRetention is how long it is kept that an upstream leaves which is no longer listed.
// While the platform's list is incomplete, the same process leaves it and comes back.
const leavingRetention = 10 * burdockclock.Minute

// Leaving holds the upstreams of a service that have said that they leave. A process that
// leaves doesn't come back; another one under the same ID has said nothing.
type Leaving struct {
	processes map[burdockid.Upstream]*leavingProcess
}

// leavingProcess is a process of an upstream that leaves.
type leavingProcess struct {
	startedAt burdockclock.Millis // 0 if unknown
	listedAt  burdockclock.Millis // when it was last listed
}

// NewLeaving returns a record without upstreams.
func NewLeaving() *Leaving {
	return &Leaving{processes: map[burdockid.Upstream]*leavingProcess{}}
}

// Mark records that the process of an upstream that was started at startedAt leaves, and
// reports whether that is new.
func (l *Leaving) Mark(now burdockclock.Millis, u burdockid.Upstream, startedAt burdockclock.Millis) bool {
	if l.Contains(now, u, startedAt) {
		return false
	}
	l.processes[u] = &leavingProcess{startedAt: startedAt, listedAt: now}
	return true
}

// Contains reports whether a listed process has said that it leaves.
func (l *Leaving) Contains(now burdockclock.Millis, u burdockid.Upstream, startedAt burdockclock.Millis) bool {
	known := l.processes[u]
	if known == nil || known.startedAt != startedAt && known.startedAt != 0 && startedAt != 0 {
		return false
	}
	known.listedAt = now
	return true
}

// Expire drops the upstreams that have not been listed for long.
func (l *Leaving) Expire(now burdockclock.Millis) {
	for u, known := range l.processes {
		if now-known.listedAt >= leavingRetention {
			delete(l.processes, u)
		}
	}
}

// Len returns the number of upstreams that leave.
func (l *Leaving) Len() int { return len(l.processes) }
