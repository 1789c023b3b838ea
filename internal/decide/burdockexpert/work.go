package burdockexpert

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// planRun computes one decision. It improves base, layer by layer, to next. If
// the current map is unusable, the result is forced: next replaces it at any cost.
type planRun struct {
	cfg          Config
	in           *Input
	loaded       *Map // what the ranks hold: the current map without replaced ranks
	base         *Map // loaded, made usable by repair
	next         *Map
	forced       bool
	before       []float64 // by layer: imbalance in base
	after        []float64 // by layer: imbalance in next
	horizons     []float64 // by layer, in milliseconds; see Planner.horizons
	improved     []bool    // by layer
	plannedLoads []int     // by rank: loads for the layers improved so far
	saving       float64   // milliseconds, less the part that may be noise
	stayReason   Reason    // why the layer closest to a change was not changed
	layerState   *layerState
	noise        float64 // noiseSkew of the current layer
}

func newPlanRun(cfg Config, in *Input, horizons []float64) *planRun {
	run := &planRun{
		cfg:          cfg,
		in:           in,
		loaded:       in.Current.clone(),
		horizons:     horizons,
		improved:     make([]bool, len(horizons)),
		plannedLoads: make([]int, len(in.Ranks)),
		layerState:   newLayerState(in.shape(), in.Ranks),
		stayReason:   ReasonNothingToGain,
	}
	for r, rank := range in.Ranks {
		if rank.Empty {
			run.clearRank(r)
		}
	}
	run.base = run.loaded.clone()
	return run
}

// clearRank removes a replaced rank's experts from loaded. The current map can't
// stay in use if it has any, because the rank has lost them.
func (run *planRun) clearRank(r int) {
	for l := range run.loaded.shape.Layers {
		if len(run.loaded.layer(l)[r]) > 0 {
			run.forced = true
			run.loaded.layer(l)[r] = nil
		}
	}
}

// repair makes the map usable, at whatever cost.
func (run *planRun) repair() {
	for l := range run.base.shape.Layers {
		run.layerState.reset(run.in.Popularity.Share[l], run.base.layer(l))
		if run.layerState.isUsable() {
			run.before = append(run.before, run.layerState.maxTime())
			continue
		}
		run.forced = true
		run.layerState.repair()
		run.layerState.copyHeld(run.base.layer(l))
		run.before = append(run.before, run.layerState.maxTime())
	}
	run.next = run.base.clone()
	run.after = slices.Clone(run.before)
}

// improve changes layers by descending imbalance, until the budget of changes is
// used up.
func (run *planRun) improve() {
	order := make([]int, len(run.before))
	for l := range order {
		order[l] = l
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(run.before[b], run.before[a]) })
	budget := run.cfg.MaxTotalChanges
	evictable := make([]int, run.base.shape.Ranks)
	for _, l := range order {
		if budget <= 0 {
			break
		}
		run.setLoadLimits()
		budget -= run.improveLayer(l, min(budget, run.cfg.MaxLayerChanges), evictable)
	}
}

// setLoadLimits sets the number of loads allowed for each rank in the next layer.
func (run *planRun) setLoadLimits() {
	for r, rank := range run.in.Ranks {
		limit := run.base.shape.Experts
		if rank.MaxLayerLoads > 0 {
			limit = rank.MaxLayerLoads
		}
		if rank.MaxTotalLoads > 0 {
			limit = min(limit, rank.MaxTotalLoads-run.plannedLoads[r])
		}
		run.layerState.maxLoads[r] = limit
	}
}

// countLoads adds the loads for a layer's new placement to plannedLoads.
func (run *planRun) countLoads(l int) {
	for r, held := range run.next.layer(l) {
		for _, e := range held {
			if !run.loaded.Holds(burdockid.Layer(l), burdockid.Rank(r), burdockid.Expert(e)) {
				run.plannedLoads[r]++
			}
		}
	}
}

// improveLayer searches a layer once for each of zeroLoadCosts, with up to limit
// changes, and takes the best state seen into next if it saves more than it
// costs. It returns the number of changes tried.
func (run *planRun) improveLayer(l, limit int, evictable []int) int {
	st := run.layerState
	run.noise = noiseSkew(run.in.Popularity.Deviation[l], st, run.base.layer(l))
	noise := run.cfg.NoiseMargin * run.noise
	// If even perfect balance with a single load does not save enough, there is
	// nothing to search. This holds for most layers while the group is balanced.
	maxSaving := run.weightedSaving(l, run.before[l]-1-noise) - run.weightedCost(1)
	if maxSaving <= 0 {
		run.noteStayReason(run.weightedSaving(l, run.before[l]-1) > run.weightedCost(1))
		return 0
	}
	best, tried := 0.0, 0
	for _, cost := range zeroLoadCosts {
		st.zeroLoadCost = cost
		tried += run.searchLayer(l, limit, noise, &best, evictable)
	}
	if best > 0 {
		run.saving += (run.before[l] - run.after[l] - noise) * run.millisPerImbalance(l)
		run.improved[l] = true
		run.countLoads(l)
	}
	return tried
}

// searchLayer applies changes to a layer one after another. A state whose net
// saving, less the part that may be noise, is larger than best goes into next,
// and its saving into best. It returns the number of changes tried.
func (run *planRun) searchLayer(l, limit int, noise float64, best *float64, evictable []int) int {
	st := run.layerState
	st.reset(run.in.Popularity.Share[l], run.base.layer(l))
	st.setLoaded(run.loaded.layer(l))
	repairLoads := st.totalLoads
	savingWithNoise, found, tried := 0.0, false, 0
	for ; tried < limit; tried++ {
		c, ok := st.findChange(evictable)
		if !ok {
			break
		}
		st.apply(c)
		netSaving := run.netSaving(l, st.totalLoads-repairLoads)
		savingWithNoise = max(savingWithNoise, netSaving)
		found = found || st.maxTime() < run.before[l]
		if netSaving -= run.weightedSaving(l, noise); netSaving > *best {
			*best = netSaving
			run.after[l] = st.maxTime()
			st.copyHeld(run.next.layer(l))
		}
	}
	if *best == 0 && found {
		run.noteStayReason(savingWithNoise > 0)
	}
	return tried + 1
}

// netSaving returns the weighted saving of a layer's state over base, less the
// weighted cost of the given loads. Balance better than the noise allows counts
// as no saving: it exists only in the estimate, and the search would spend loads
// on it.
func (run *planRun) netSaving(l, loads int) float64 {
	after := max(run.layerState.maxTime(), 1+run.noise)
	return run.weightedSaving(l, run.before[l]-after) - run.weightedCost(loads)
}

// noteStayReason records why a layer is not changed. Noise takes precedence over
// cost.
func (run *planRun) noteStayReason(noise bool) {
	if noise {
		run.stayReason = ReasonSavingWithinNoise
	} else if run.stayReason == ReasonNothingToGain {
		run.stayReason = ReasonCostOutweighsSaving
	}
}

// millisPerImbalance returns the time that one unit of a layer's imbalance costs
// within its horizon, in milliseconds. Each layer takes an equal part of a step.
func (run *planRun) millisPerImbalance(l int) float64 {
	return run.horizons[l] / float64(run.base.shape.Layers)
}

// weightedSaving returns the weighted time that a reduction of a layer's imbalance
// saves.
func (run *planRun) weightedSaving(l int, saving float64) float64 {
	return run.in.Weights.Skew * saving * run.millisPerImbalance(l)
}

// weightedCost returns the weighted time of n loads.
func (run *planRun) weightedCost(n int) float64 {
	return run.in.Weights.Cost * float64(n) * run.in.millisPerLoad()
}

// decision compares the computed map with the current one.
func (run *planRun) decision() (Decision, Record) {
	rec := Record{ImbalanceBefore: mean(run.before), ImbalanceAfter: mean(run.after)}
	if !run.forced && run.next.Equal(run.in.Current) {
		rec.Verdict, rec.Reason = verdictStay, run.stayReason
		return Stay{Reason: run.stayReason}, rec
	}
	// A bug in the search may give an invalid map. A map without one of the
	// experts loses tokens on every rank, and a panic ends the requests of this
	// process's upstream. Keeping the current map is the lesser harm; the
	// findings go to the log and fail the randomised tests.
	if list := run.next.Check(run.in.Ranks); list.Err() != nil {
		rec.Verdict, rec.Reason = verdictStay, ReasonPlannerFault
		return Stay{Reason: ReasonPlannerFault, Findings: list}, rec
	}
	reason := ReasonSavingOutweighsCost
	if run.forced {
		reason = ReasonMapUnusable
	}
	loads := RequiredLoads(run.loaded, run.next)
	move := Move{
		Reason: reason,
		Map:    run.next,
		Loads:  loads,
		Cost:   run.in.loadTime(len(loads)),
		Saving: burdockclock.Millis(run.saving),
	}
	rec.Verdict, rec.Reason = verdictMove, reason
	rec.Loads, rec.Cost, rec.Saving = len(loads), move.Cost, move.Saving
	return move, rec
}
