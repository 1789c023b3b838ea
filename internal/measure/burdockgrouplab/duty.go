package burdockgrouplab

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// duty is one process that may be the group's controller.
type duty struct {
	index      int
	life       int
	controller *burdockgroup.Controller // nil while it is down
	frozen     bool
	inbox      []burdockgroup.ControllerInput // arrived while it was frozen
}

// store holds the group's lease.
type store struct {
	down   bool
	fence  burdockid.Fence
	holder *burdockgroup.Controller
	until  instant
}

func (w *World) startDuty(d *duty) {
	d.life++
	d.inbox = nil
	d.controller = burdockgroup.NewController(burdockgroup.ControllerConfig{
		Ranks:         w.cfg.Ranks,
		Retry:         retry,
		LoadPoll:      w.cfg.LoadPoll,
		Poll:          poll,
		SwitchLead:    w.cfg.Lead,
		MaxSwitchLead: w.cfg.MaxLead,
		ArmBudget:     armBudget,
	})
	if w.wanted != nil {
		w.handle(d, burdockgroup.MapWanted{Content: w.wanted})
	}
	w.tickDuty(d, d.life)
	w.schedule(instant(d.index)*millisecond, func() { w.renew(d, d.life) })
}

func (w *World) tickDuty(d *duty, life int) {
	if d.life != life {
		return
	}
	w.handle(d, burdockgroup.ControllerTick{})
	w.schedule(tickTime, func() { w.tickDuty(d, life) })
}

// renew gets or renews the lease, now and again.
func (w *World) renew(d *duty, life int) {
	if d.life != life {
		return
	}
	w.schedule(renewTime, func() { w.renew(d, life) })
	if d.frozen || d.controller == nil {
		return
	}
	asked, holder := w.now, d.controller
	w.askStore(func() func() {
		if w.store.holder != holder && w.now < w.store.until {
			return func() {}
		}
		if w.store.holder != holder || w.now >= w.store.until {
			w.store.fence++
			w.store.holder = holder
		}
		w.store.until = w.now + leaseTime
		lease := burdockgroup.Lease{Fence: w.store.fence, Until: (asked + leaseTime).millis()}
		if w.cfg.Hooks.Lease != nil {
			lease = w.cfg.Hooks.Lease(lease)
		}
		return func() {
			if d.life == life {
				w.handle(d, burdockgroup.LeaseHeld{Lease: lease})
			}
		}
	})
}

// askStore sends a question to the store and its answer back. Either can be
// lost, so that a change takes effect and nobody hears of it.
func (w *World) askStore(question func() (answer func())) {
	w.send(func() {
		if w.store.down {
			return
		}
		w.send(question())
	})
}

func (w *World) handle(d *duty, in burdockgroup.ControllerInput) {
	if d.controller == nil {
		return
	}
	if d.frozen {
		if _, tick := in.(burdockgroup.ControllerTick); !tick {
			d.inbox = append(d.inbox, in)
		}
		return
	}
	for _, out := range d.controller.Handle(w.now.millis(), in) {
		w.fromController(d, out)
	}
}

func (w *World) fromController(d *duty, out burdockgroup.ControllerOutput) {
	switch out := out.(type) {
	case burdockgroup.SendOrder:
		w.sendOrder(out.Order)
	case burdockgroup.MapInForce:
		w.inForce = out.Map
	case burdockgroup.NeedMap:
		if content, ok := w.bytes[out.Map]; ok {
			life := d.life
			w.send(func() {
				if d.life == life {
					w.handle(d, burdockgroup.MapFound{Map: out.Map, Content: content})
				}
			})
		}
	case burdockgroup.SplitDetected:
		w.fail("controller %d saw a split: %v", d.index, out.Split)
	}
}

func (w *World) sendOrder(o burdockgroup.Order) {
	if load, ok := o.Body.(burdockgroup.Load); ok {
		w.bytes[load.Map] = load.Content
	}
	w.orders++
	w.send(func() { w.arrive(o) })
}

func (w *World) arrive(o burdockgroup.Order) {
	s := w.sites[o.To]
	if s.agent == nil {
		return
	}
	if w.cfg.Hooks.Order != nil {
		o = w.cfg.Hooks.Order(s.agent, o)
	}
	w.toAgent(s, s.life, burdockgroup.OrderReceived{Order: o})
}

// Deliver gives an order to its rank after a while, whoever sent it.
func (w *World) Deliver(o burdockgroup.Order, after burdockclock.Millis) {
	w.schedule(span(after), func() { w.arrive(o) })
}

// RankState returns the state dump of a rank's agent. It is the zero value
// while the agent is down.
func (w *World) RankState(rank burdockid.Rank) burdockgroup.RankState {
	if agent := w.sites[rank].agent; agent != nil {
		return agent.State()
	}
	return burdockgroup.RankState{}
}

// toController gives a report to every controller, so that each also gets
// those that are meant for another.
func (w *World) toController(r burdockgroup.Report) {
	if w.cfg.Hooks.Report != nil {
		r = w.cfg.Hooks.Report(r)
	}
	for _, d := range w.duties {
		w.handle(d, burdockgroup.ReportReceived{Report: r})
	}
}

// KillControllers ends every process that holds or may still use the lease. New
// ones start after a while.
func (w *World) KillControllers(after burdockclock.Millis) {
	for _, d := range w.duties {
		if d.acts() {
			w.killDuty(d, span(after))
		}
	}
}

// FreezeControllers pauses every process that holds or may still use the lease.
func (w *World) FreezeControllers(pause burdockclock.Millis) {
	for _, d := range w.duties {
		if d.acts() {
			w.freezeDuty(d, span(pause))
		}
	}
}

// StopStore has the store answer nothing for a while.
func (w *World) StopStore(outage burdockclock.Millis) {
	w.store.down = true
	w.schedule(span(outage), func() { w.store.down = false })
}

func (d *duty) acts() bool {
	return d.controller != nil && d.controller.State().Phase != burdockgroup.ControllerIdle
}

func (w *World) killDuty(d *duty, after instant) {
	d.life++
	d.controller = nil
	life := d.life
	w.schedule(after, func() {
		if d.life == life {
			w.startDuty(d)
		}
	})
}

func (w *World) freezeDuty(d *duty, pause instant) {
	d.frozen = true
	w.schedule(pause, func() { w.wakeDuty(d) })
}

func (w *World) wakeDuty(d *duty) {
	if !d.frozen {
		return
	}
	d.frozen = false
	inbox := d.inbox
	d.inbox = nil
	for _, in := range inbox {
		w.handle(d, in)
	}
}
