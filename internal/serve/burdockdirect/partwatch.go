package burdockdirect

import (
	"context"
	"slices"

	"burdockbend.example/burdockbend/internal/decide/burdockparts"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
)

// partWatch is a request with shared parts that is served.
type partWatch struct {
	guard  *partGuard
	req    *request
	cancel context.CancelCauseFunc
	begun  bool // its answer has begun
}

// watch registers a request until end is called. It is cancelled if one of its parts is
// quarantined before its answer has begun: at an engine that has queued it, it would crash the
// next upstream.
func (g *partGuard) watch(req *request, cancel context.CancelCauseFunc) *partWatch {
	w := &partWatch{guard: g, req: req, cancel: cancel}
	if len(req.SharedParts) > 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.active[w] = true
	}
	return w
}

func (w *partWatch) end() {
	w.guard.mu.Lock()
	defer w.guard.mu.Unlock()
	delete(w.guard.active, w)
}

// answerBegan records that the answer to the request has begun at an upstream.
func (w *partWatch) answerBegan(u burdocksite.Upstream) {
	if len(w.req.SharedParts) == 0 {
		return
	}
	g := w.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	w.begun = true
	g.tracker.AddStart(g.now(), w.req.service, processOf(u), w.req.SharedParts)
	if !g.tracker.HasSuspects() {
		g.settleNow()
		return
	}
	g.scheduleSettle()
}

// cancelActive cancels the requests with a part whose answer has not begun. The lock must be
// held.
func (g *partGuard) cancelActive(key burdockparts.Key) {
	for w := range g.active {
		if !w.begun && !w.req.trial && w.req.service == key.Service && slices.Contains(w.req.SharedParts, key.Part) {
			w.cancel(errPartQuarantined)
		}
	}
}
