package burdockagent

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// runStatus states whether a request may have run. It outlives the job of the request.
type runStatus uint8

const (
	statusUnknown runStatus = iota
	// statusWithdrawn means that an entry asked about the request or cancelled it before
	// it arrived. If it still arrives, it is refused.
	statusWithdrawn
	// statusNotRun means that the request was refused or dropped before anything was
	// sent to the upstream.
	statusNotRun
	// statusMayHaveRun means that the request was sent to the upstream. Its answer may
	// no longer be kept.
	statusMayHaveRun
)

const (
	// statusRetention is how long a status is kept. An entry that asks about an older
	// request is told that its outcome is unknown.
	statusRetention = 10 * burdockclock.Minute
	// maxStatuses limits the memory to about 1 MB, at 60 bytes per status. This is one
	// hour of a replica's share of the design's peak rate.
	maxStatuses = 16384
)

type statusRecord struct {
	id         burdockid.Request
	recordedAt burdockclock.Millis
}

// recentRequests records the status of recent requests.
type recentRequests struct {
	statuses map[burdockid.Request]runStatus
	order    []statusRecord // oldest first
	// horizon is the time up to which statuses have been evicted.
	horizon burdockclock.Millis
}

func newRecentRequests() *recentRequests {
	return &recentRequests{statuses: map[burdockid.Request]runStatus{}}
}

// record records the status of a request.
func (r *recentRequests) record(now burdockclock.Millis, id burdockid.Request, status runStatus) {
	if _, known := r.statuses[id]; !known {
		r.order = append(r.order, statusRecord{id: id, recordedAt: now})
	}
	r.statuses[id] = status
}

// evict removes statuses that are older than statusRetention or exceed maxStatuses.
func (r *recentRequests) evict(now burdockclock.Millis) {
	n := 0
	for n < len(r.order) && (now-r.order[n].recordedAt > statusRetention || len(r.order)-n > maxStatuses) {
		delete(r.statuses, r.order[n].id)
		r.horizon = r.order[n].recordedAt
		n++
	}
	r.order = r.order[n:]
}

// status returns the status of a request, or statusUnknown.
func (r *recentRequests) status(id burdockid.Request) runStatus { return r.statuses[id] }

// completeSince reports whether every status since the given time is still recorded.
func (r *recentRequests) completeSince(since burdockclock.Millis) bool { return since > r.horizon }
