package burdockgrouplab

import (
	"fmt"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// faults are the current failure rates of the network.
type faults struct {
	loss       float64 // share of messages that are lost
	duplicates float64 // share that are delivered twice
	late       float64 // share that may arrive after the lease has passed to another controller
}

// maxLateDelay bounds the additional delay of a late message.
const maxLateDelay = 2 * leaseTTL

// send delivers a message after a delay; it may be lost or delivered twice.
func (w *World) send(arrive func()) {
	if w.rng.Float64() < w.faults.loss {
		return
	}
	w.schedule(w.delay(), arrive)
	if w.rng.Float64() < w.faults.duplicates {
		w.schedule(w.delay(), arrive)
	}
}

func (w *World) delay() instant {
	d := instant(w.cfg.DelayMicros) + instant(w.rng.ExpFloat64()*float64(w.cfg.TailMicros))
	if w.rng.Float64() < w.faults.late {
		d += instant(w.rng.Int64N(int64(maxLateDelay)))
	}
	return d
}

// Durations of the parts of a Trial.
const (
	startSpan     = 400 * millisecond
	faultSpan     = 1500 * millisecond
	quietSpan     = 20_000 * millisecond
	faultInterval = 60 * millisecond // mean time between two faults
	wantInterval  = 150 * millisecond
)

// quietSteps is the number of steps that a group must run at the end of a Trial.
const quietSteps = 20

// Trial runs a World with random faults, then without faults until the group runs with
// the last map that was wanted. It returns the violated invariants; a group that gets
// stuck violates one.
func (w *World) Trial() []string {
	w.Want([]byte("first"))
	w.run(w.now+startSpan, nil)
	end := w.now + faultSpan
	w.faults = faults{loss: w.rng.Float64() * 0.15, duplicates: w.rng.Float64() * 0.15, late: w.rng.Float64() * 0.1}
	w.scheduleWant(end, 0)
	w.scheduleFault(end)
	w.run(end, w.failed)
	w.endFaults()
	w.Settle()
	return w.failures
}

// Settle runs the World until the group runs with the last map that was wanted. It
// reports whether it did so without a failure; a group that gets stuck fails.
func (w *World) Settle() bool {
	settledStep := w.steps
	w.settledAt = 0
	w.run(w.now+quietSpan, func() bool {
		if !w.settled() {
			settledStep, w.settledAt = w.steps, 0
		} else if w.settledAt == 0 {
			w.settledAt = w.now
		}
		return w.failed() || w.steps >= settledStep+quietSteps
	})
	if !w.failed() && w.steps < settledStep+quietSteps {
		w.fail("group is stuck: %s", w.describe())
	}
	return !w.failed()
}

func (w *World) failed() bool { return len(w.failures) > 0 }

func (w *World) scheduleWant(end instant, n int) {
	after := instant(w.rng.ExpFloat64() * float64(wantInterval))
	if w.now+after >= end {
		return
	}
	w.schedule(after, func() {
		w.Want(fmt.Appendf(nil, "map %d", n))
		w.scheduleWant(end, n+1)
	})
}

func (w *World) scheduleFault(end instant) {
	after := instant(w.rng.ExpFloat64() * float64(faultInterval))
	if w.now+after >= end {
		return
	}
	w.schedule(after, func() {
		w.injectFault()
		w.scheduleFault(end)
	})
}

// injectFault causes one of the failures that the group must survive.
func (w *World) injectFault() {
	rank := burdockid.Rank(w.rng.IntN(len(w.sites)))
	process := w.processes[w.rng.IntN(len(w.processes))]
	pause := millisecond + instant(w.rng.Int64N(int64(2*leaseTTL)))
	switch w.rng.IntN(8) {
	case 0, 1:
		w.killController(process, pause)
	case 2, 3:
		w.freezeController(process, pause)
	case 4:
		w.ReplaceAgent(rank, pause.millis()/8)
	case 5:
		w.ReplaceVM(rank, pause.millis()/4)
	case 6:
		w.RestartEngine(rank)
	case 7:
		w.StopStore(pause.millis())
	}
}

// endFaults ends all faults.
func (w *World) endFaults() {
	w.faults = faults{}
	w.store.down = false
	for _, p := range w.processes {
		w.resumeController(p)
	}
}

// settled reports whether all engines run with the wanted map.
func (w *World) settled() bool {
	first := w.sites[0].engine.status.Base
	for _, s := range w.sites {
		st := s.engine.status
		if s.down || st.Held || st.Base == 0 || st.Base != first || st.Switch.Map != 0 {
			return false
		}
	}
	return first == w.inForce && slices.Equal(w.contents[first], w.wanted)
}

func (w *World) describe() string {
	text := fmt.Sprintf("step %d, store fence %d;", w.steps, w.store.fence)
	for _, s := range w.sites {
		text += fmt.Sprintf(" rank %d down %v agent %v engine %+v;", s.rank, s.down, s.agent != nil, s.engine.status)
		if s.agent != nil {
			text += fmt.Sprintf(" phase %s;", s.agent.State().Phase)
		}
	}
	for _, p := range w.processes {
		if p.controller != nil {
			state := p.controller.State()
			text += fmt.Sprintf("\ncontroller %d: %s %+v goal %+v events %+v", p.index, state.Phase, state.Lease, state.Goal, state.Events)
		}
	}
	return text
}
