package burdockdirect

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/decide/burdocktimeliness"
	"go.uber.org/zap"
)

const (
	// lateRoomInterval is how often the room for late requests is computed anew: a few
	// times in the wait that callers accept.
	lateRoomInterval burdockclock.Millis = 50
	// neverLate is the lateAt of a request that goes behind no other.
	neverLate burdockclock.Millis = 0
)

// timeliness orders the requests of a service with shared admission by whether they can
// still be in time. The gate's lock protects it.
type timeliness struct {
	tracker    *burdocktimeliness.Tracker
	forecast   *burdocktimeliness.Forecast
	byPriority [numPriorities]inTimeWaiters
	// lateRoom holds by priority up to how many running streams late requests start.
	lateRoom   [numPriorities]int
	lateRoomAt burdockclock.Millis // when it was computed
}

// inTimeWaiters holds the requests of one priority that wait and can be in time.
type inTimeWaiters struct {
	backlog     burdocktimeliness.Backlog
	newestFirst bool
	nextLogAt   burdockclock.Millis // earliest time of the next log line
	// list is in order of arrival. Those that wait no longer are removed when they are
	// first.
	list []*waiter
}

func newTimeliness() *timeliness {
	return &timeliness{
		tracker:  burdocktimeliness.New(burdocktimeliness.Config{InitialFirstEvent: initialFirstEvent}),
		forecast: burdocktimeliness.NewForecast(numPriorities),
	}
}

// configure sets how the queue class with an index is served.
func (t *timeliness) configure(class *burdockqueue.ClassConfig, index int) {
	if t == nil {
		return
	}
	priority := index / queueClassesPerPriority
	if index%queueClassesPerPriority == 0 {
		class.NewestFirst = t.byPriority[priority].newestFirst
		class.MaxStarvation = starvationBound
		return
	}
	if room := t.lateRoom[priority]; class.MaxRunning == 0 || room < class.MaxRunning {
		class.MaxRunning = room
	}
}

// updateLateRoom computes the room for late requests anew if that is due, and reports whether
// it has changed. slots bounds all streams, bounds the classes of the queue, and classes are
// their loads.
func (t *timeliness) updateLateRoom(now burdockclock.Millis, slots int, bounds classBounds, classes []burdockqueue.ClassLoad) bool {
	if now < t.lateRoomAt+lateRoomInterval {
		return false
	}
	t.lateRoomAt = now
	before, running := t.lateRoom, 0
	for p := range t.lateRoom {
		running += classes[queueClassesPerPriority*p].Running
		limit := slots
		if p < len(bounds.limits) {
			limit = bounds.limits[p] + bounds.stuck
		}
		t.lateRoom[p] = max(t.forecast.LateRoom(now, limit, p, running), 1)
	}
	return t.lateRoom != before
}

// observeStream records how long a stream that was answered took since it was admitted.
func (g *gate) observeStream(took burdockclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timeliness != nil {
		g.timeliness.forecast.ObserveStream(took)
	}
}

// rank sets the queue class of a request that has arrived, and returns the time from which
// it goes behind those that can be in time. The lock must be held.
func (g *gate) rank(req *request, queued *burdockqueue.Request) burdockclock.Millis {
	if g.timeliness == nil {
		return req.arrived + req.route.Objective - g.typicalFirstEvent
	}
	ranked := rankedRequest(req)
	tracker := g.timeliness.tracker
	tracker.ObserveBudget(ranked.Route, ranked.Budget)
	rank := tracker.Rank(g.clock.Boot(), ranked)
	if rank.Verdict == burdocktimeliness.InTime {
		g.timeliness.forecast.ObserveArrival(g.clock.Boot(), int(queued.Class)/queueClassesPerPriority)
		return rank.LateAt
	}
	req.late = rank.Reason
	queued.Class++
	g.meters.late.Inc()
	if rank.Reason == burdocktimeliness.ReasonRetry {
		g.meters.retriesSeen.Inc()
	}
	return neverLate
}

// rankedRequest returns what the rank of a request depends on.
func rankedRequest(req *request) burdocktimeliness.Request {
	ranked := burdocktimeliness.Request{Route: req.route.Name, Arrived: req.arrived, Objective: req.route.Objective}
	if req.TimeBudget > 0 {
		// Nothing is gained by stating more than the route allows.
		ranked.Budget = req.deadline - req.arrived
	}
	return ranked
}

// retryAfter returns when the caller of a refused request may retry, given the time that
// the queue has computed. The retry of a late request can't be in time. It comes when it is
// known as a retry; earlier, it would start before first attempts.
func (g *gate) retryAfter(req *request, computed burdockclock.Millis) burdockclock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timeliness == nil || req.late == burdocktimeliness.ReasonNone {
		return computed
	}
	known := g.timeliness.tracker.RetryFrom(rankedRequest(req)) - g.clock.Boot()
	return max(computed, min(known, maxRetryAfter))
}

// addWaiter records a request that waits.
func (t *timeliness) addWaiter(w *waiter) {
	if t == nil || w.lateAt == neverLate {
		return
	}
	waiters := &t.byPriority[w.request.Class/queueClassesPerPriority]
	waiters.list = append(waiters.list, w)
}

// oldest returns the request that has waited longest of those that can still be in time;
// nil if there is none.
func (s *inTimeWaiters) oldest(g *gate) *waiter {
	for len(s.list) > 0 {
		w := s.list[0]
		if g.waiting[w.request.ID] == w && w.source.late == burdocktimeliness.ReasonNone {
			return w
		}
		s.list[0] = nil
		s.list = s.list[1:]
	}
	s.list = nil
	return nil
}

// updateOrder makes the newest requests of a priority start first while it has a standing
// backlog, and bounds late requests by the room that the others leave. The lock must be held.
func (g *gate) updateOrder() {
	if g.timeliness == nil {
		return
	}
	now := g.clock.Boot()
	changed := g.timeliness.updateLateRoom(now, max(g.slots, 1), g.bounds, g.queue.ClassLoads())
	for priority := range g.timeliness.byPriority {
		s := &g.timeliness.byPriority[priority]
		var waited, objective burdockclock.Millis
		if w := s.oldest(g); w != nil {
			waited, objective = now-w.source.arrived, w.source.route.Objective
		}
		if standing := s.backlog.Observe(now, waited, objective); standing != s.newestFirst {
			s.newestFirst, changed = standing, true
			if now < s.nextLogAt {
				continue
			}
			s.nextLogAt = now + limitLogInterval
			g.log.Info("waiting order", zap.Int("priority", priority), zap.Bool("newestFirst", standing),
				zap.Int64("oldestMillis", int64(waited)), zap.Int64("firstEventMillis", int64(g.timeliness.tracker.FirstEvent())))
		}
	}
	if changed {
		g.queue.Reconfigure(now, g.queueConfig())
	}
}
