package burdockqueuelab

import (
	"container/heap"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
)

// callerEvent is something a caller does.
type callerEvent struct {
	at   burdockclock.Millis
	kind callerEventKind
	r    *request
	n    int // keeps the order of events at the same instant
}

type callerEventKind int

const (
	arrive callerEventKind = iota
	hangUp
)

type callerEvents []callerEvent

// Len implements heap.Interface.
func (h callerEvents) Len() int { return len(h) }

// Less implements heap.Interface.
func (h callerEvents) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].n < h[j].n
}

// Swap implements heap.Interface.
func (h callerEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *callerEvents) Push(x any) { *h = append(*h, x.(callerEvent)) }

// Pop implements heap.Interface.
func (h *callerEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulation runs callers, queue and engine from event to event.
type simulation struct {
	lab    *lab
	q      queue
	engine *engine
	byID   map[burdockid.Request]*request
	events callerEvents
	n      int
	now    burdockclock.Millis
}

func (s *simulation) schedule(at burdockclock.Millis, kind callerEventKind, r *request) {
	s.n++
	heap.Push(&s.events, callerEvent{at: at, kind: kind, r: r, n: s.n})
}

func (s *simulation) run() {
	for {
		at := s.nextInstant()
		if at == never {
			return
		}
		s.now = max(s.now, at)
		for _, r := range s.engine.advance(s.now) {
			r.outcome = outcomeInTime
			s.q.Finish(s.now, r.work.ID, burdockid.Tokens(r.tokens))
			s.apply(s.q.Dispatch(s.now))
		}
		for len(s.events) > 0 && s.events[0].at <= s.now {
			s.act(heap.Pop(&s.events).(callerEvent))
			s.apply(s.q.Dispatch(s.now))
		}
		s.apply(s.q.Dispatch(s.now))
	}
}

// nextInstant returns when something happens next. The engine's speed may
// change in between, so it is looked at once a second at the least.
func (s *simulation) nextInstant() burdockclock.Millis {
	at := s.engine.nextDone()
	if at != never && s.lab.scenario.speed != nil {
		at = min(at, s.now+burdockclock.Second)
	}
	if len(s.events) > 0 {
		at = min(at, s.events[0].at)
	}
	if wake, ok := s.q.WakeAt(); ok {
		at = min(at, max(wake, s.now+1))
	}
	return at
}

func (s *simulation) act(e callerEvent) {
	r := e.r
	if r.outcome != outcomeOpen {
		return
	}
	switch e.kind {
	case arrive:
		s.offer(r)
	case hangUp:
		s.hangUp(r)
	}
}

func (s *simulation) offer(r *request) {
	r.attempts++
	r.offered = s.now
	w := r.work
	w.Arrived = s.now
	switch d := s.q.Offer(s.now, w).(type) {
	case burdockqueue.Start:
		s.start(r)
	case burdockqueue.Wait:
	case burdockqueue.Refuse:
		s.refused(r, d.RetryAfter)
	}
}

func (s *simulation) start(r *request) {
	r.running, r.started = true, s.now
	s.engine.start(r)
}

// refused is what a caller does that is told "not run": come back when told, if
// that is of use.
func (s *simulation) refused(r *request, after burdockclock.Millis) {
	r.toldAfter = s.now - r.offered
	if r.attempts < s.lab.cfg.maxAttempts && s.now+after < r.work.Deadline {
		s.schedule(s.now+after, arrive, r)
		return
	}
	r.outcome = outcomeRefused
}

func (s *simulation) hangUp(r *request) {
	r.outcome = outcomeUntold
	if r.running {
		r.outcome = outcomeCut
		s.engine.stop(r)
	}
	s.q.Cancel(s.now, r.work.ID)
}

func (s *simulation) apply(events []burdockqueue.Event) {
	for _, e := range events {
		switch e := e.(type) {
		case burdockqueue.Started:
			s.start(s.byID[e.ID])
		case burdockqueue.Dropped:
			s.refused(s.byID[e.ID], e.RetryAfter)
		}
	}
}
