package burdockqueuelab

import (
	"container/heap"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
)

// callerEvent is an action of a caller.
type callerEvent struct {
	at   burdockclock.Millis
	kind callerEventKind
	r    *request
	seq  int // keeps events at the same instant in the order of scheduling
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
	return h[i].seq < h[j].seq
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

// simulation advances callers, queue and engine from event to event.
type simulation struct {
	lab    *lab
	q      queue
	engine *engine
	byID   map[burdockid.Request]*request
	events callerEvents
	seq    int
	now    burdockclock.Millis
}

func (s *simulation) schedule(at burdockclock.Millis, kind callerEventKind, r *request) {
	s.seq++
	heap.Push(&s.events, callerEvent{at: at, kind: kind, r: r, seq: s.seq})
}

func (s *simulation) run() {
	for {
		at := s.nextEventTime()
		if at == never {
			return
		}
		s.now = max(s.now, at)
		for _, r := range s.engine.advance(s.now) {
			r.outcome = outcomeInTime
			s.q.Finish(s.now, r.work.ID, burdockid.Tokens(r.actualTokens))
			s.apply(s.q.Dispatch(s.now))
		}
		for len(s.events) > 0 && s.events[0].at <= s.now {
			s.handle(heap.Pop(&s.events).(callerEvent))
			s.apply(s.q.Dispatch(s.now))
		}
		s.apply(s.q.Dispatch(s.now))
	}
}

// nextEventTime returns the time of the next event, or never. While requests run on an
// engine whose speed varies, it returns at most a second from now so that changes of
// the speed take effect.
func (s *simulation) nextEventTime() burdockclock.Millis {
	at := s.engine.nextCompletion()
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

func (s *simulation) handle(e callerEvent) {
	r := e.r
	if r.outcome != outcomePending {
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
	r.lastOffered = s.now
	w := r.work
	w.Arrived = s.now
	switch d := s.q.Offer(s.now, w).(type) {
	case burdockqueue.Start:
		s.start(r)
	case burdockqueue.Wait:
	case burdockqueue.Refuse:
		s.handleRefusal(r, d.RetryAfter)
	}
}

func (s *simulation) start(r *request) {
	r.everStarted, r.startedAt = true, s.now
	s.engine.start(r)
}

// handleRefusal schedules the caller's retry after the given time if the request has
// attempts left and the retry comes before its deadline.
func (s *simulation) handleRefusal(r *request, after burdockclock.Millis) {
	r.timeToRefusal = s.now - r.lastOffered
	if r.attempts < s.lab.cfg.maxAttempts && s.now+after < r.work.Deadline {
		s.schedule(s.now+after, arrive, r)
		return
	}
	r.outcome = outcomeRefused
}

func (s *simulation) hangUp(r *request) {
	r.outcome = outcomeUnanswered
	if r.everStarted {
		r.outcome = outcomeInterrupted
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
			s.handleRefusal(s.byID[e.ID], e.RetryAfter)
		}
	}
}
