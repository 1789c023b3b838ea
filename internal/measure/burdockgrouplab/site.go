package burdockgrouplab

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

func (w *World) startAgent(s *site) {
	s.life++
	s.arrived = 0
	s.agent = burdockgroup.NewRank(burdockgroup.RankConfig{
		Rank:        s.rank,
		Ranks:       w.cfg.Ranks,
		Incarnation: burdockid.Incarnation(fmt.Sprintf("%d.%d", s.rank, s.life)),
		Retry:       retry,
		NotifyDelay: patience,
	})
	w.tickAgent(s, s.life)
}

func (w *World) tickAgent(s *site, life int) {
	if s.life != life || s.agent == nil {
		return
	}
	w.toAgent(s, life, burdockgroup.RankTick{})
	w.schedule(tickTime, func() { w.tickAgent(s, life) })
}

// toAgent gives an input to the agent if it still is the one meant.
func (w *World) toAgent(s *site, life int, in burdockgroup.RankInput) {
	if s.life != life || s.agent == nil || s.down {
		return
	}
	for _, out := range s.agent.Handle(w.now.millis(), in) {
		w.fromAgent(s, out)
	}
}

func (w *World) fromAgent(s *site, out burdockgroup.RankOutput) {
	life := s.life
	switch out := out.(type) {
	case burdockgroup.SendReport:
		w.send(func() { w.toController(out.Report) })
	case burdockgroup.ReadFence:
		w.readFence(s, life)
	case burdockgroup.AskFence:
		peer := w.sites[out.To]
		w.send(func() { w.toAgent(peer, peer.life, burdockgroup.FenceAsked{From: s.rank}) })
	case burdockgroup.AnswerFence:
		peer := w.sites[out.To]
		told := burdockgroup.FenceAnswered{From: s.rank, Fence: w.learned(out.Fence), Known: out.Known}
		w.send(func() { w.toAgent(peer, peer.life, told) })
	case burdockgroup.OrderEngine:
		w.schedule(w.engineDelay(s), func() { w.toEngine(s, life, out) })
	case burdockgroup.NotifyWaiting:
		w.send(func() {
			for _, d := range w.duties {
				w.handle(d, burdockgroup.RankWaiting(out))
			}
		})
	case burdockgroup.MapMismatch:
		w.fail("rank %d ran step %d with map %d, ordered %d", s.rank, out.Step, out.Got, out.Want)
	}
}

// engineDelay returns how long an order takes to the engine. One agent's orders
// arrive in turn; those of one that was replaced may come after its successor's.
func (w *World) engineDelay(s *site) instant {
	arrives := w.now + agentTime
	if w.cfg.EngineLate && w.rng.Float64() < w.faults.late {
		arrives += instant(w.rng.Int64N(int64(leaseTime)))
	}
	s.arrived = max(s.arrived, arrives)
	return s.arrived - w.now
}

func (w *World) toEngine(s *site, life int, out burdockgroup.OrderEngine) {
	if s.down {
		return
	}
	e := s.engine
	before := e.status.Loading
	taken := e.apply(out.Fence, out.Order)
	if e.status.Loading != before && e.status.Loading != 0 {
		w.loadLater(s)
	}
	status := e.status
	w.schedule(agentTime, func() {
		w.toAgent(s, life, burdockgroup.EngineAnswered{Ticket: out.Ticket, Status: status, Failed: !taken})
	})
	w.tryBegin()
}

func (w *World) loadLater(s *site) {
	e, life, v := s.engine, s.engine.life, s.engine.status.Loading
	e.loadEnd = w.now + instant(w.cfg.LoadMicros) + instant(w.rng.Int64N(w.cfg.LoadMicros+1))
	w.schedule(e.loadEnd-w.now, func() {
		if s.engine.life == life && e.status.Loading == v && w.now >= e.loadEnd {
			e.loaded()
		}
	})
}

func (w *World) readFence(s *site, life int) {
	w.askStore(func() func() {
		fence := w.learned(w.store.fence)
		return func() { w.toAgent(s, life, burdockgroup.FenceFromStore{Fence: fence}) }
	})
}

func (w *World) learned(f burdockid.Fence) burdockid.Fence {
	if w.cfg.Hooks.Learned != nil {
		return w.cfg.Hooks.Learned(f)
	}
	return f
}

// OrderEngine has an engine take an order that its agent doesn't know of, as
// one that an agent sent before it was replaced.
func (w *World) OrderEngine(rank burdockid.Rank, order burdockgroup.EngineOrder) {
	w.sites[rank].engine.apply(w.store.fence, order)
}

// ReplaceAgent ends an agent; a new one starts after a while.
func (w *World) ReplaceAgent(rank burdockid.Rank, after burdockclock.Millis) {
	s := w.sites[rank]
	s.agent = nil
	s.life++
	w.schedule(span(after), func() {
		if s.agent == nil && !s.down {
			w.startAgent(s)
		}
	})
}

// ReplaceVM ends an agent and its engine; new ones, both empty, start after a
// while.
func (w *World) ReplaceVM(rank burdockid.Rank, after burdockclock.Millis) {
	s := w.sites[rank]
	s.agent = nil
	s.life++
	s.down = true
	s.engine.replace()
	w.restartEmpty()
	w.schedule(span(after), func() {
		if s.down {
			s.down = false
			w.startAgent(s)
			w.tryBegin()
		}
	})
}

// RestartEngine replaces an engine by an empty one beside a living agent.
func (w *World) RestartEngine(rank burdockid.Rank) {
	s := w.sites[rank]
	s.engine.replace()
	w.restartEmpty()
	w.schedule(agentTime, func() { w.toAgent(s, s.life, burdockgroup.EngineLost{}) })
}
