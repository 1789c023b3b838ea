package burdockexpert

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// work is one decision in the making.
type work struct {
	cfg      Config
	in       *Input
	held     *Map // the present map without what replaced ranks have lost
	base     *Map // held, made usable
	next     *Map
	forced   bool
	before   []float64 // imbalance of each layer of base
	after    []float64 // imbalance of each layer of next
	holds    []float64 // by layer, in milliseconds
	improved []bool    // by layer
	taken    []int     // by rank: loads of the layers improved so far
	saved    float64   // milliseconds, less the noise's part
	refused  Reason    // why the layer that came closest was left alone
	state    *layerState
	noise    float64 // of the layer at hand, see noiseSkew
}

func newWork(cfg Config, in *Input, holds []float64) *work {
	w := &work{
		cfg:      cfg,
		in:       in,
		held:     in.Current.clone(),
		holds:    holds,
		improved: make([]bool, len(holds)),
		taken:    make([]int, len(in.Ranks)),
		state:    newLayerState(in.shape(), in.Ranks),
		refused:  ReasonNothingToGain,
	}
	for r, rank := range in.Ranks {
		if rank.Empty {
			w.forget(r)
		}
	}
	w.base = w.held.clone()
	return w
}

// forget takes from a rank all that the present map says it holds. A map that
// names experts which the rank has lost can't stay in force.
func (w *work) forget(r int) {
	for l := range w.held.shape.Layers {
		if len(w.held.layer(l)[r]) > 0 {
			w.forced = true
			w.held.layer(l)[r] = nil
		}
	}
}

// repair makes the present map usable; that is not weighed against its cost.
func (w *work) repair() {
	for l := range w.base.shape.Layers {
		w.state.reset(w.in.Popularity.Share[l], w.base.layer(l))
		if w.state.usableNow() {
			w.before = append(w.before, w.state.largest())
			continue
		}
		w.forced = true
		w.state.repair()
		w.state.copyHeld(w.base.layer(l))
		w.before = append(w.before, w.state.largest())
	}
	w.next = w.base.clone()
	w.after = slices.Clone(w.before)
}

// improve changes the layers that lose most, as far as the budget reaches.
func (w *work) improve() {
	order := make([]int, len(w.before))
	for l := range order {
		order[l] = l
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(w.before[b], w.before[a]) })
	budget := w.cfg.MaxTotalChanges
	evictable := make([]int, w.base.shape.Ranks)
	for _, l := range order {
		if budget <= 0 {
			break
		}
		w.bound()
		budget -= w.improveLayer(l, min(budget, w.cfg.MaxLayerChanges), evictable)
	}
}

// bound sets how many loads each rank can take in the next layer.
func (w *work) bound() {
	for r, rank := range w.in.Ranks {
		most := w.base.shape.Experts
		if rank.MaxLayerLoads > 0 {
			most = rank.MaxLayerLoads
		}
		if rank.MaxTotalLoads > 0 {
			most = min(most, rank.MaxTotalLoads-w.taken[r])
		}
		w.state.most[r] = most
	}
}

// take counts the loads that a layer's new map brings each rank.
func (w *work) take(l int) {
	for r, held := range w.next.layer(l) {
		for _, e := range held {
			if !w.held.Holds(burdockid.Layer(l), burdockid.Rank(r), burdockid.Expert(e)) {
				w.taken[r]++
			}
		}
	}
}

// improveLayer tries up to limit changes and keeps the state on the way that
// is worth most. It returns the number of changes tried.
func (w *work) improveLayer(l, limit int, evictable []int) int {
	st := w.state
	w.noise = noiseSkew(w.in.Popularity.Deviation[l], st, w.base.layer(l))
	noise := w.cfg.NoiseMargin * w.noise
	// Even a perfect layer would not save enough: this ends most layers'
	// search before it begins when the group runs well.
	ideal := w.worth(l, w.before[l]-1-noise) - w.price(1)
	if ideal <= 0 {
		w.refuse(w.worth(l, w.before[l]-1) > w.price(1))
		return 0
	}
	best, tried := 0.0, 0
	for _, free := range freeChanges {
		st.freeChange = free
		tried += w.search(l, limit, noise, &best, evictable)
	}
	if best > 0 {
		w.saved += (w.before[l] - w.after[l] - noise) * w.unit(l)
		w.improved[l] = true
		w.take(l)
	}
	return tried
}

// search makes changes in a layer, each on top of the one before, and writes
// the state that is worth most to next. It returns that worth, less the
// noise's part, and the number of changes.
func (w *work) search(l, limit int, noise float64, best *float64, evictable []int) int {
	st := w.state
	st.reset(w.in.Popularity.Share[l], w.base.layer(l))
	st.startFrom(w.held.layer(l))
	needed := st.loads
	unguarded, found, tried := 0.0, false, 0
	for ; tried < limit; tried++ {
		c, ok := st.relieve(evictable)
		if !ok {
			break
		}
		st.apply(c)
		value := w.value(l, st.loads-needed)
		unguarded = max(unguarded, value)
		found = found || st.largest() < w.before[l]
		if value -= w.worth(l, noise); value > *best {
			*best = value
			w.after[l] = st.largest()
			st.copyHeld(w.next.layer(l))
		}
	}
	if *best == 0 && found {
		w.refuse(unguarded > 0)
	}
	return tried + 1
}

// value weighs the state of a layer against what it was, at so many fetches.
// Evenness beyond what noise leaves is worth nothing: it is evenness on the
// estimate alone, and the search would spend fetches on it.
func (w *work) value(l, fetches int) float64 {
	after := max(w.state.largest(), 1+w.noise)
	return w.worth(l, w.before[l]-after) - w.price(fetches)
}

// refuse notes why a layer stays: because of noise, or because of the cost.
func (w *work) refuse(noise bool) {
	if noise {
		w.refused = ReasonSavingWithinNoise
	} else if w.refused == ReasonNothingToGain {
		w.refused = ReasonCostOutweighsSaving
	}
}

// unit is the time that one unit of one layer's imbalance loses while the
// popularity holds, in milliseconds: the layers share the step's time.
func (w *work) unit(l int) float64 { return w.holds[l] / float64(w.base.shape.Layers) }

// worth weighs an imbalance saved in one layer.
func (w *work) worth(l int, saving float64) float64 {
	return w.in.Weights.Skew * saving * w.unit(l)
}

// price weighs a number of fetches.
func (w *work) price(n int) float64 { return w.in.Weights.Cost * float64(n) * w.in.perMove() }

// decision compares the map made with the present one.
func (w *work) decision() (Decision, Record) {
	rec := Record{ImbalanceBefore: mean(w.before), ImbalanceAfter: mean(w.after)}
	if !w.forced && w.next.Equal(w.in.Current) {
		rec.Verdict, rec.Reason = verdictStay, w.refused
		return Stay{Reason: w.refused}, rec
	}
	// A map that leaves an expert out would lose tokens on every rank, and
	// ending the process would cut off its upstream's requests. Should the
	// search ever have a fault, the present map is the lesser harm; the
	// findings reach the log and the randomised tests.
	if list := w.next.Check(w.in.Ranks); list.Err() != nil {
		rec.Verdict, rec.Reason = verdictStay, ReasonPlannerFault
		return Stay{Reason: ReasonPlannerFault, Findings: list}, rec
	}
	reason := ReasonSavingOutweighsCost
	if w.forced {
		reason = ReasonMapUnusable
	}
	moves := RequiredLoads(w.held, w.next)
	move := Move{
		Reason: reason,
		Map:    w.next,
		Loads:  moves,
		Cost:   w.in.moveCost(len(moves)),
		Saving: burdockclock.Millis(w.saved),
	}
	rec.Verdict, rec.Reason = verdictMove, reason
	rec.Loads, rec.Cost, rec.Saving = len(moves), move.Cost, move.Saving
	return move, rec
}
