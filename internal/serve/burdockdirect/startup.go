package burdockdirect

import (
	"net/http"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

const (
	// maxStartupWait is how long a request may wait for an entry that has just started. A
	// stream's caller leaves after two seconds without an event, and the rest is for the
	// engine.
	maxStartupWait burdockclock.Millis = 1500
	// maxStartupWaiting is the number of requests that may wait, and maxStartupBody the size
	// of their bodies. Together they bound the memory that a flood of requests can take
	// before the operators' limits are known.
	maxStartupWaiting = 256
	maxStartupBody    = 64 << 10
)

// readWhileStarting reads a request's body and waits until the entry knows the
// configuration and the upstreams, if it does not yet. Requests with a body that is large
// or of unknown length don't wait.
//
// After a power cut the entries are back a second or two before they have read the store,
// which all processes of the fleet read at the same moment. A caller comes back once, and
// may have lost its first attempt to the power cut: if it is refused, it is never served.
func (e *Entry) readWhileStarting(w http.ResponseWriter, r *http.Request, req *request) *refusal {
	if e.deps.Site.Now().Complete() || r.ContentLength < 0 || r.ContentLength > maxStartupBody {
		return nil
	}
	if e.starting.Add(1) > maxStartupWaiting {
		e.starting.Add(-1)
		return &refusal{http.StatusServiceUnavailable, "not run: too many requests while this entry starts", noConfigRetryAfter}
	}
	defer e.starting.Add(-1)
	if rejection := req.readBody(w, r, maxStartupBody, e.cfg.bodyTimeout()); rejection != nil {
		return rejection
	}
	wait := maxStartupWait
	if req.TimeBudget > 0 {
		wait = min(wait, req.TimeBudget/2)
	}
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-e.complete:
	case <-timer.C:
	case <-r.Context().Done():
	}
	return nil
}

// noteComplete wakes the waiting requests once a snapshot is complete.
func (e *Entry) noteComplete(snap *burdocksite.Snapshot) {
	if snap.Complete() {
		e.completeOnce.Do(func() { close(e.complete) })
	}
}
