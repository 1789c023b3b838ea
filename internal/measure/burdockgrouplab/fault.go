package burdockgrouplab

import (
	"fmt"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// faults is how badly the network does at present.
type faults struct {
	loss   float64 // share of messages that are lost
	repeat float64 // share that arrive twice
	late   float64 // share that arrive after the lease has passed to another
}

// maxLate is the longest that a late message takes.
const maxLate = 2 * leaseTime

// send has a message arrive after a delay, or not, or twice.
func (w *World) send(arrive func()) {
	if w.rng.Float64() < w.faults.loss {
		return
	}
	w.schedule(w.delay(), arrive)
	if w.rng.Float64() < w.faults.repeat {
		w.schedule(w.delay(), arrive)
	}
}

func (w *World) delay() instant {
	d := instant(w.cfg.DelayMicros) + instant(w.rng.ExpFloat64()*float64(w.cfg.TailMicros))
	if w.rng.Float64() < w.faults.late {
		d += instant(w.rng.Int64N(int64(maxLate)))
	}
	return d
}

// Spans of a Trial.
const (
	startSpan = 400 * millisecond
	faultSpan = 1500 * millisecond
	quietSpan = 20_000 * millisecond
	faultGap  = 60 * millisecond // mean time between two faults
	wantGap   = 150 * millisecond
)

// quietSteps is how many steps a group has to run at the end of a Trial.
const quietSteps = 20

// Trial runs a World through random faults, then without any until the group
// runs with the map that was wanted last. It returns the broken invariants,
// being stuck among them.
func (w *World) Trial() []string {
	w.Want([]byte("first"))
	w.run(w.now+startSpan, nil)
	end := w.now + faultSpan
	w.faults = faults{loss: w.rng.Float64() * 0.15, repeat: w.rng.Float64() * 0.15, late: w.rng.Float64() * 0.1}
	w.nextWant(end, 0)
	w.nextFault(end)
	w.run(end, w.failed)
	w.heal()
	w.Settle()
	return w.failures
}

// Settle runs until the group runs with the map that was wanted last. Being
// stuck is a failure. It reports whether there was none.
func (w *World) Settle() bool {
	settledAt := w.steps
	w.settleAt = 0
	w.run(w.now+quietSpan, func() bool {
		if !w.settled() {
			settledAt, w.settleAt = w.steps, 0
		} else if w.settleAt == 0 {
			w.settleAt = w.now
		}
		return w.failed() || w.steps >= settledAt+quietSteps
	})
	if !w.failed() && w.steps < settledAt+quietSteps {
		w.fail("group is stuck: %s", w.describe())
	}
	return !w.failed()
}

func (w *World) failed() bool { return len(w.failures) > 0 }

func (w *World) nextWant(end instant, n int) {
	after := instant(w.rng.ExpFloat64() * float64(wantGap))
	if w.now+after >= end {
		return
	}
	w.schedule(after, func() {
		w.Want(fmt.Appendf(nil, "map %d", n))
		w.nextWant(end, n+1)
	})
}

func (w *World) nextFault(end instant) {
	after := instant(w.rng.ExpFloat64() * float64(faultGap))
	if w.now+after >= end {
		return
	}
	w.schedule(after, func() {
		w.oneFault()
		w.nextFault(end)
	})
}

// oneFault causes one of the failures that the product is made for.
func (w *World) oneFault() {
	rank := burdockid.Rank(w.rng.IntN(len(w.sites)))
	duty := w.duties[w.rng.IntN(len(w.duties))]
	pause := millisecond + instant(w.rng.Int64N(int64(2*leaseTime)))
	switch w.rng.IntN(8) {
	case 0, 1:
		w.killDuty(duty, pause)
	case 2, 3:
		w.freezeDuty(duty, pause)
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

// heal ends all faults.
func (w *World) heal() {
	w.faults = faults{}
	w.store.down = false
	for _, d := range w.duties {
		w.wakeDuty(d)
	}
}

// settled reports whether all engines run with the map that is wanted.
func (w *World) settled() bool {
	first := w.sites[0].engine.status.Base
	for _, s := range w.sites {
		st := s.engine.status
		if s.down || st.Held || st.Base == 0 || st.Base != first || st.Switch.Map != 0 {
			return false
		}
	}
	return first == w.inForce && slices.Equal(w.bytes[first], w.wanted)
}

func (w *World) describe() string {
	text := fmt.Sprintf("step %d, store fence %d;", w.steps, w.store.fence)
	for _, s := range w.sites {
		text += fmt.Sprintf(" rank %d down %v agent %v engine %+v;", s.rank, s.down, s.agent != nil, s.engine.status)
		if s.agent != nil {
			text += fmt.Sprintf(" phase %s;", s.agent.State().Phase)
		}
	}
	for _, d := range w.duties {
		if d.controller != nil {
			state := d.controller.State()
			text += fmt.Sprintf("\ncontroller %d: %s %+v goal %+v events %+v", d.index, state.Phase, state.Lease, state.Goal, state.Events)
		}
	}
	return text
}
