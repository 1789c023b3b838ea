package burdockgrouplab

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// process is a process that may become the group's controller.
type process struct {
	index      int
	generation int
	controller *burdockgroup.Controller // nil while the process is down
	frozen     bool
	inbox      []burdockgroup.ControllerInput // received while frozen
}

// store models the store, which grants the group's lease.
type store struct {
	down   bool
	fence  burdockid.Fence
	holder *burdockgroup.Controller
	until  instant
}

func (w *World) startController(p *process) {
	p.generation++
	p.inbox = nil
	p.controller = burdockgroup.NewController(burdockgroup.ControllerConfig{
		Ranks:         w.cfg.Ranks,
		Retry:         retryInterval,
		LoadPoll:      w.cfg.LoadPoll,
		Poll:          pollInterval,
		SwitchLead:    w.cfg.Lead,
		MaxSwitchLead: w.cfg.MaxLead,
		ArmBudget:     armBudget,
	})
	if w.wanted != nil {
		w.handle(p, burdockgroup.MapWanted{Content: w.wanted})
	}
	w.tickController(p, p.generation)
	w.schedule(instant(p.index)*millisecond, func() { w.renew(p, p.generation) })
}

func (w *World) tickController(p *process, generation int) {
	if p.generation != generation {
		return
	}
	w.handle(p, burdockgroup.ControllerTick{})
	w.schedule(tickInterval, func() { w.tickController(p, generation) })
}

// renew acquires or renews the lease every renewInterval.
func (w *World) renew(p *process, generation int) {
	if p.generation != generation {
		return
	}
	w.schedule(renewInterval, func() { w.renew(p, generation) })
	if p.frozen || p.controller == nil {
		return
	}
	requestedAt, holder := w.now, p.controller
	w.callStore(func() func() {
		if w.store.holder != holder && w.now < w.store.until {
			return func() {}
		}
		if w.store.holder != holder || w.now >= w.store.until {
			w.store.fence++
			w.store.holder = holder
		}
		w.store.until = w.now + leaseTTL
		lease := burdockgroup.Lease{Fence: w.store.fence, Until: (requestedAt + leaseTTL).millis()}
		if w.cfg.Hooks.Lease != nil {
			lease = w.cfg.Hooks.Lease(lease)
		}
		return func() {
			if p.generation == generation {
				w.handle(p, burdockgroup.LeaseHeld{Lease: lease})
			}
		}
	})
}

// callStore sends a request to the store and its answer back. Either message can be
// lost, so a change may take effect without an answer.
func (w *World) callStore(request func() (answer func())) {
	w.send(func() {
		if w.store.down {
			return
		}
		w.send(request())
	})
}

func (w *World) handle(p *process, in burdockgroup.ControllerInput) {
	if p.controller == nil {
		return
	}
	if p.frozen {
		if _, tick := in.(burdockgroup.ControllerTick); !tick {
			p.inbox = append(p.inbox, in)
		}
		return
	}
	for _, out := range p.controller.Handle(w.now.millis(), in) {
		w.fromController(p, out)
	}
}

func (w *World) fromController(p *process, out burdockgroup.ControllerOutput) {
	switch out := out.(type) {
	case burdockgroup.SendOrder:
		w.sendOrder(out.Order)
	case burdockgroup.MapInForce:
		w.inForce = out.Map
	case burdockgroup.NeedMap:
		if content, ok := w.contents[out.Map]; ok {
			generation := p.generation
			w.send(func() {
				if p.generation == generation {
					w.handle(p, burdockgroup.MapFound{Map: out.Map, Content: content})
				}
			})
		}
	case burdockgroup.SplitDetected:
		w.fail("controller %d detected a split: %v", p.index, out.Split)
	}
}

func (w *World) sendOrder(o burdockgroup.Order) {
	if load, ok := o.Body.(burdockgroup.Load); ok {
		w.contents[load.Map] = load.Content
	}
	w.orders++
	w.send(func() { w.deliverOrder(o) })
}

func (w *World) deliverOrder(o burdockgroup.Order) {
	s := w.sites[o.To]
	if s.agent == nil {
		return
	}
	if w.cfg.Hooks.Order != nil {
		o = w.cfg.Hooks.Order(s.agent, o)
	}
	w.toAgent(s, s.generation, burdockgroup.OrderReceived{Order: o})
}

// Deliver hands an order to its rank after a delay, regardless of its sender.
func (w *World) Deliver(o burdockgroup.Order, after burdockclock.Millis) {
	w.schedule(toInstant(after), func() { w.deliverOrder(o) })
}

// RankState returns the state dump of a rank's agent. It is the zero value
// while the agent is down.
func (w *World) RankState(rank burdockid.Rank) burdockgroup.RankState {
	if agent := w.sites[rank].agent; agent != nil {
		return agent.State()
	}
	return burdockgroup.RankState{}
}

// toController hands a report to every controller, so each also receives reports that
// are meant for another.
func (w *World) toController(r burdockgroup.Report) {
	if w.cfg.Hooks.Report != nil {
		r = w.cfg.Hooks.Report(r)
	}
	for _, p := range w.processes {
		w.handle(p, burdockgroup.ReportReceived{Report: r})
	}
}

// KillControllers ends every process that holds or may still use the lease. Each is
// replaced by a new one after the given time.
func (w *World) KillControllers(after burdockclock.Millis) {
	for _, p := range w.processes {
		if p.active() {
			w.killController(p, toInstant(after))
		}
	}
}

// FreezeControllers pauses every process that holds or may still use the lease.
func (w *World) FreezeControllers(pause burdockclock.Millis) {
	for _, p := range w.processes {
		if p.active() {
			w.freezeController(p, toInstant(pause))
		}
	}
}

// StopStore makes the store unreachable for the length of the outage.
func (w *World) StopStore(outage burdockclock.Millis) {
	w.store.down = true
	w.schedule(toInstant(outage), func() { w.store.down = false })
}

func (p *process) active() bool {
	return p.controller != nil && p.controller.State().Phase != burdockgroup.ControllerIdle
}

func (w *World) killController(p *process, after instant) {
	p.generation++
	p.controller = nil
	generation := p.generation
	w.schedule(after, func() {
		if p.generation == generation {
			w.startController(p)
		}
	})
}

func (w *World) freezeController(p *process, pause instant) {
	p.frozen = true
	w.schedule(pause, func() { w.resumeController(p) })
}

func (w *World) resumeController(p *process) {
	if !p.frozen {
		return
	}
	p.frozen = false
	inbox := p.inbox
	p.inbox = nil
	for _, in := range inbox {
		w.handle(p, in)
	}
}
