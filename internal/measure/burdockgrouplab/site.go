package burdockgrouplab

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

func (w *World) startAgent(s *site) {
	s.generation++
	s.lastOrderAt = 0
	s.agent = burdockgroup.NewRank(burdockgroup.RankConfig{
		Rank:        s.rank,
		Ranks:       w.cfg.Ranks,
		Incarnation: burdockid.Incarnation(fmt.Sprintf("%d.%d", s.rank, s.generation)),
		Retry:       retryInterval,
		NotifyDelay: notifyDelay,
	})
	w.tickAgent(s, s.generation)
}

func (w *World) tickAgent(s *site, generation int) {
	if s.generation != generation || s.agent == nil {
		return
	}
	w.toAgent(s, generation, burdockgroup.RankTick{})
	w.schedule(tickInterval, func() { w.tickAgent(s, generation) })
}

// toAgent hands an input to the agent unless the agent was replaced or is down.
func (w *World) toAgent(s *site, generation int, in burdockgroup.RankInput) {
	if s.generation != generation || s.agent == nil || s.down {
		return
	}
	for _, out := range s.agent.Handle(w.now.millis(), in) {
		w.fromAgent(s, out)
	}
}

func (w *World) fromAgent(s *site, out burdockgroup.RankOutput) {
	generation := s.generation
	switch out := out.(type) {
	case burdockgroup.SendReport:
		w.send(func() { w.toController(out.Report) })
	case burdockgroup.ReadFence:
		w.readFence(s, generation)
	case burdockgroup.AskFence:
		peer := w.sites[out.To]
		w.send(func() { w.toAgent(peer, peer.generation, burdockgroup.FenceAsked{From: s.rank}) })
	case burdockgroup.AnswerFence:
		peer := w.sites[out.To]
		answer := burdockgroup.FenceAnswered{From: s.rank, Fence: w.learnedFence(out.Fence), Known: out.Known}
		w.send(func() { w.toAgent(peer, peer.generation, answer) })
	case burdockgroup.OrderEngine:
		w.schedule(w.engineDelay(s), func() { w.toEngine(s, generation, out) })
	case burdockgroup.NotifyWaiting:
		w.send(func() {
			for _, p := range w.processes {
				w.handle(p, burdockgroup.RankWaiting(out))
			}
		})
	case burdockgroup.MapMismatch:
		w.fail("rank %d ran step %d with map %d, ordered %d", s.rank, out.Step, out.Got, out.Want)
	}
}

// engineDelay returns how long an order takes to the engine. The orders of one agent
// arrive in sequence; those of a replaced agent may arrive after its successor's.
func (w *World) engineDelay(s *site) instant {
	arrives := w.now + engineLatency
	if w.cfg.EngineOrdersLate && w.rng.Float64() < w.faults.late {
		arrives += instant(w.rng.Int64N(int64(leaseTTL)))
	}
	s.lastOrderAt = max(s.lastOrderAt, arrives)
	return s.lastOrderAt - w.now
}

func (w *World) toEngine(s *site, generation int, out burdockgroup.OrderEngine) {
	if s.down {
		return
	}
	e := s.engine
	before := e.status.Loading
	taken := e.apply(out.Fence, out.Order)
	if e.status.Loading != before && e.status.Loading != 0 {
		w.scheduleLoad(s)
	}
	status := e.status
	w.schedule(engineLatency, func() {
		w.toAgent(s, generation, burdockgroup.EngineAnswered{Ticket: out.Ticket, Status: status, Failed: !taken})
	})
	w.beginSteps()
}

func (w *World) scheduleLoad(s *site) {
	e, generation, v := s.engine, s.engine.generation, s.engine.status.Loading
	e.loadEnd = w.now + instant(w.cfg.LoadMicros) + instant(w.rng.Int64N(w.cfg.LoadMicros+1))
	w.schedule(e.loadEnd-w.now, func() {
		if s.engine.generation == generation && e.status.Loading == v && w.now >= e.loadEnd {
			e.loaded()
		}
	})
}

func (w *World) readFence(s *site, generation int) {
	w.callStore(func() func() {
		fence := w.learnedFence(w.store.fence)
		return func() { w.toAgent(s, generation, burdockgroup.FenceFromStore{Fence: fence}) }
	})
}

func (w *World) learnedFence(f burdockid.Fence) burdockid.Fence {
	if w.cfg.Hooks.Learned != nil {
		return w.cfg.Hooks.Learned(f)
	}
	return f
}

// OrderEngine applies an order that the rank's current agent doesn't know of, such as
// one sent by its predecessor.
func (w *World) OrderEngine(rank burdockid.Rank, order burdockgroup.EngineOrder) {
	w.sites[rank].engine.apply(w.store.fence, order)
}

// ReplaceAgent ends an agent; a new one starts after the given time.
func (w *World) ReplaceAgent(rank burdockid.Rank, after burdockclock.Millis) {
	s := w.sites[rank]
	s.agent = nil
	s.generation++
	w.schedule(toInstant(after), func() {
		if s.agent == nil && !s.down {
			w.startAgent(s)
		}
	})
}

// ReplaceVM ends an agent and its engine; new ones, without state, start after the given
// time.
func (w *World) ReplaceVM(rank burdockid.Rank, after burdockclock.Millis) {
	s := w.sites[rank]
	s.agent = nil
	s.generation++
	s.down = true
	s.engine.replace()
	w.advanceEmptyGroup()
	w.schedule(toInstant(after), func() {
		if s.down {
			s.down = false
			w.startAgent(s)
			w.beginSteps()
		}
	})
}

// RestartEngine replaces an engine by an empty one while its agent keeps running.
func (w *World) RestartEngine(rank burdockid.Rank) {
	s := w.sites[rank]
	s.engine.replace()
	w.advanceEmptyGroup()
	w.schedule(engineLatency, func() { w.toAgent(s, s.generation, burdockgroup.EngineLost{}) })
}
