package burdockexpert

import "math"

// change is one way to take tokens off the slowest rank of a layer. Unused fields
// are none.
type change struct {
	source    int  // the slowest rank
	expert    int  // of source
	target    int  // rank that gets expert, or none: source only drops it
	replicate bool // source keeps expert, so target gets one more replica
	evict     int  // expert that target drops to make room
	swap      int  // expert that target gives to source in exchange
}

const none = -1

// potentialSquarings makes potential the power 2^4 = 16. A search that minimises
// the maximum time gets stuck when two ranks are equally slow, as no single
// change lowers it. The sum of a high power over all ranks falls whenever a rank
// gets faster, and the slowest ranks still dominate it.
const potentialSquarings = 4

func potential(t float64) float64 {
	for range potentialSquarings {
		t *= t
	}
	return t
}

// zeroLoadCosts are added to a change's number of loads, so that the gain per load
// is finite for changes without loads. The lower the value, the more a search
// prefers changes with few loads to those with a large gain. Neither is always
// better, so each layer is searched with every value.
var zeroLoadCosts = [...]float64{0.25, 1}

// findChange returns the change to the slowest rank that lowers the potential
// most per load. If no change lowers it, findChange perturbs the state: it
// returns the additional replica that raises the potential least, and pins it.
// It reports false if there is neither.
//
// Perturbations are for an expert that alone exceeds the balanced time of a rank.
// Without them its layer stays unbalanced, because even a part of that expert is
// too much for any rank that keeps its other experts. With the replica placed,
// the following changes take other experts off its rank; pinning prevents them
// from removing the replica again. Callers return to the best state seen, so a
// useless perturbation only costs time, which is why their number is limited.
func (st *layerState) findChange(evictable []int) (change, bool) {
	slow := st.slowest()
	for q := range st.held {
		evictable[q] = st.lightestReplicated(q)
	}
	best, bestValue := change{}, 0.0
	perturbation, perturbationGain := change{target: none}, math.Inf(-1)
	consider := func(c change, gain float64, loads int) {
		if c.replicate && gain > perturbationGain {
			perturbation, perturbationGain = c, gain
		}
		if gain <= minGainRatio*st.rankPotential[slow] {
			return
		}
		if value := gain / (float64(loads) + st.zeroLoadCost); value > bestValue {
			best, bestValue = c, value
		}
	}
	for _, held := range st.held[slow] {
		e := int(held)
		if st.pinned[slow*st.shape.Experts+e] {
			continue
		}
		if len(st.holders[e]) > 1 {
			c := change{source: slow, expert: e, target: none, evict: none, swap: none}
			consider(c, st.potentialGain(c), 0)
		}
		for q := range st.held {
			if q == slow || st.slots[q] == 0 || st.holds(q, e) || st.rankTime[q] >= st.rankTime[slow] {
				continue
			}
			st.considerTarget(slow, e, q, evictable[q], consider)
		}
	}
	if bestValue > 0 || perturbation.target == none || st.perturbations == 0 {
		return best, bestValue > 0
	}
	st.perturbations--
	st.pinned[perturbation.target*st.shape.Experts+perturbation.expert] = true
	return perturbation, true
}

// maxPerturbations limits the perturbations in one search of a layer.
const maxPerturbations = 3

// minGainRatio is the fraction of the slowest rank's potential up to which a gain
// is regarded as a rounding error.
const minGainRatio = 1e-9

// considerTarget considers the changes by which rank q gets expert e: with or
// without a replica left on the slowest rank, and in exchange for another expert.
func (st *layerState) considerTarget(slow, e, q, evict int, consider func(change, float64, int)) {
	if !st.canAdd(q, e) {
		return
	}
	loads := st.loadsToAdd(q, e)
	if st.hasFreeSlot(q) || evict != none {
		if st.hasFreeSlot(q) {
			evict = none
		}
		c := change{source: slow, expert: e, target: q, evict: evict, swap: none}
		st.considerTransfer(c, loads, consider)
		c.replicate = true
		st.considerTransfer(c, loads, consider)
	}
	out := st.replicaShare(e)
	for _, held := range st.held[q] {
		f := int(held)
		in := st.replicaShare(f)
		if in >= out {
			continue
		}
		slowTime := st.rankTime[slow] - (out-in)*st.timePerShare[slow]
		targetTime := st.rankTime[q] + (out-in)*st.timePerShare[q]
		if targetTime >= st.rankTime[slow] || st.holds(slow, f) || !st.canAdd(slow, f) {
			continue
		}
		gain := st.rankPotential[slow] + st.rankPotential[q] - potential(slowTime) - potential(targetTime)
		c := change{source: slow, expert: e, target: q, evict: none, swap: f}
		consider(c, gain, loads+st.loadsToAdd(slow, f))
	}
}

// considerTransfer considers a change in which the target gets the expert without
// an exchange. If that makes the target the slowest rank, the gain is negative
// and matters only for the choice of a perturbation. The target's part of the
// gain is a sufficient approximation then, and much cheaper to compute.
func (st *layerState) considerTransfer(c change, loads int, consider func(change, float64, int)) {
	added := st.replicaShare(c.expert)
	if c.replicate {
		replicas := float64(len(st.holders[c.expert]))
		added *= replicas / (replicas + 1)
	}
	if c.evict != none {
		added -= st.replicaShare(c.evict)
	}
	if t := st.rankTime[c.target] + added*st.timePerShare[c.target]; t >= st.rankTime[c.source] {
		consider(c, st.rankPotential[c.target]-potential(t), loads)
		return
	}
	consider(c, st.potentialGain(c), loads)
}

// lightestReplicated returns, of a rank's experts with another replica, the one
// with the smallest share per replica, or none.
func (st *layerState) lightestReplicated(r int) int {
	lightest, minShare := none, 0.0
	for _, held := range st.held[r] {
		e := int(held)
		if len(st.holders[e]) < 2 {
			continue
		}
		if share := st.replicaShare(e); lightest == none || share < minShare {
			lightest, minShare = e, share
		}
	}
	return lightest
}

// potentialGain returns by how much a change lowers the sum of potentials.
func (st *layerState) potentialGain(c change) float64 {
	st.touched = st.touched[:0]
	st.computeDeltas(c)
	gain := 0.0
	for _, r := range st.touched {
		gain += st.rankPotential[r] - potential(st.rankTime[r]+st.timeDelta[r])
		st.timeDelta[r], st.isTouched[r] = 0, false
	}
	return gain
}

// computeDeltas computes timeDelta for a change other than a swap.
func (st *layerState) computeDeltas(c change) {
	before := st.replicaShare(c.expert)
	replicas := len(st.holders[c.expert])
	if c.target == none {
		replicas--
	}
	if c.replicate {
		replicas++
	}
	after := st.share[c.expert] / float64(replicas)
	if after != before {
		for _, r := range st.holders[c.expert] {
			st.addDelta(int(r), after-before)
		}
	}
	if !c.replicate {
		st.addDelta(c.source, -after)
	}
	if c.target != none {
		st.addDelta(c.target, after)
	}
	if c.evict != none {
		st.computeEvictDeltas(c.target, c.evict)
	}
}

func (st *layerState) computeEvictDeltas(rank, e int) {
	before := st.replicaShare(e)
	after := st.share[e] / float64(len(st.holders[e])-1)
	for _, r := range st.holders[e] {
		st.addDelta(int(r), after-before)
	}
	st.addDelta(rank, -after)
}

func (st *layerState) addDelta(r int, share float64) {
	if !st.isTouched[r] {
		st.isTouched[r] = true
		st.touched = append(st.touched, r)
	}
	st.timeDelta[r] += share * st.timePerShare[r]
}

// apply makes a change and updates the times.
func (st *layerState) apply(c change) {
	if c.evict != none {
		st.remove(c.target, c.evict)
	}
	if c.swap != none {
		st.remove(c.target, c.swap)
	}
	if !c.replicate {
		st.remove(c.source, c.expert)
	}
	if c.swap != none {
		st.add(c.source, c.swap)
	}
	if c.target != none {
		st.add(c.target, c.expert)
	}
	st.recomputeTimes()
}
