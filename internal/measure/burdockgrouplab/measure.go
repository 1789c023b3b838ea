package burdockgrouplab

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/joomcode/errorx"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const second = 1000 * millisecond

// NotInForce is the error type for a map change that did not come into force in time.
var NotInForce = errorx.NewNamespace("grouplab").NewType("notInForce")

// Cost is what changes of the map cost a group.
type Cost struct {
	LostSteps []float64 // one value per change, sorted
	Millis    float64   // mean time from the request until the map is in force
	Orders    float64   // mean number of orders per change
}

// Mean returns the mean number of steps lost.
func (c Cost) Mean() float64 {
	sum := 0.0
	for _, lost := range c.LostSteps {
		sum += lost
	}
	return sum / float64(len(c.LostSteps))
}

// Quantile returns a quantile of the steps lost.
func (c Cost) Quantile(q float64) float64 {
	return c.LostSteps[int(q*float64(len(c.LostSteps)-1))]
}

// MeasureArmAhead measures map changes by the state machines of burdockgroup in a group
// without faults. The switch lead may grow from lead to maxLead.
func MeasureArmAhead(cfg Config, changes int, lead, maxLead burdockid.Step) (Cost, error) {
	cfg.Controllers, cfg.Lead, cfg.MaxLead = 1, lead, maxLead
	w := NewWorld(cfg)
	w.Want([]byte("first"))
	if !w.Settle() {
		return Cost{}, NotInForce.New("first map not in force in %d s", quietSpan/second)
	}
	var cost Cost
	for i := range changes {
		lost, orders, begun := w.lost, w.orders, w.now
		w.Want(fmt.Appendf(nil, "map %d", i))
		if !w.Settle() {
			return Cost{}, NotInForce.New("change %d not in force in %d s", i+1, quietSpan/second)
		}
		cost.LostSteps = append(cost.LostSteps, float64(w.lost-lost)/float64(cfg.StepMicros))
		cost.Millis += float64(w.settledAt-begun) / float64(millisecond) / float64(changes)
		cost.Orders += float64(w.orders-orders) / float64(changes)
	}
	slices.Sort(cost.LostSteps)
	return cost, nil
}

// MeasurePausing samples the cost of the simple method: stop all ranks, switch all, and
// resume all, with one round for each. The map is loaded during the pause, or before it
// if loadFirst is set.
func MeasurePausing(cfg Config, changes int, loadFirst bool) Cost {
	w := &World{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	var cost Cost
	for range changes {
		stopped, stopAcked := w.round()
		pauseBegins := stopped + instant(w.rng.Int64N(cfg.StepMicros+1)) // the running step is finished first
		now := stopAcked
		load := w.slowestLoad()
		if !loadFirst {
			now += load
		}
		_, switched := w.round()
		now += switched + w.lastArrival()
		cost.LostSteps = append(cost.LostSteps, max(0, float64(now-pauseBegins))/float64(cfg.StepMicros))
		if loadFirst {
			now += load
		}
		cost.Millis += float64(now) / float64(millisecond) / float64(changes)
	}
	const orders = 4 // load, stop, switch, resume
	cost.Orders = float64(orders * cfg.Ranks)
	slices.Sort(cost.LostSteps)
	return cost
}

// round returns when the first rank receives an order and when the last answer has
// arrived.
func (w *World) round() (first, last instant) {
	for i := range w.cfg.Ranks {
		arrives := w.delay()
		if i == 0 || arrives < first {
			first = arrives
		}
		last = max(last, arrives+2*engineLatency+w.delay())
	}
	return first, last
}

func (w *World) lastArrival() instant {
	var last instant
	for range w.cfg.Ranks {
		last = max(last, w.delay()+engineLatency)
	}
	return last
}

func (w *World) slowestLoad() instant {
	var last instant
	for range w.cfg.Ranks {
		took := instant(w.cfg.LoadMicros) + instant(w.rng.Int64N(w.cfg.LoadMicros+1))
		last = max(last, w.delay()+took+w.delay())
	}
	return last
}
