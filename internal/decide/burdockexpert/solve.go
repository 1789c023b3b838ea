package burdockexpert

import (
	"cmp"
	"slices"
)

// maxRefineSteps limits the changes made to a layer after packing. Few are needed,
// because packing by descending share ends close to balanced.
const maxRefineSteps = 24

// refinedExcess is the excess over the balanced time at which refining stops. It
// is smaller than what noise in the counts produces, and removing the rest would
// take half of Solve's time.
const refinedExcess = 0.0025

// Solve computes a map from scratch, regardless of what the ranks hold. It is used
// for the first placement and as a reference for the planner. The popularity and
// the ranks must have passed Input.Check.
func Solve(s Snapshot, ranks []Rank) *Map {
	shape := Shape{Layers: len(s.Share), Ranks: len(ranks), Experts: s.Experts}
	m := NewMap(shape)
	st := newLayerState(shape, ranks)
	empty := make([][]uint16, shape.Ranks)
	evictable := make([]int, shape.Ranks)
	for l := range s.Share {
		st.reset(s.Share[l], empty)
		st.pack()
		st.refine(evictable)
		st.copyHeld(m.layer(l))
	}
	return m
}

// pack fills empty ranks. It gives additional replicas to the most popular experts
// until all slots are used, and then places the replicas by descending share,
// each on the rank that is fastest with it.
func (st *layerState) pack() {
	order := st.replicasToPlace()
	for _, rep := range order {
		if r := st.fastestRankFor(rep.expert, rep.replicaShare); r != none {
			st.add(r, rep.expert)
			st.rankTime[r] += rep.replicaShare * st.timePerShare[r]
		}
	}
	// A replica is left out if all ranks with free slots hold its expert already,
	// so the shares of the expert's other replicas may have grown.
	st.recomputeTimes()
}

// replica is one replica of an expert that is still to be placed.
type replica struct {
	expert       int
	replicaShare float64
}

// replicasToPlace returns the replicas to place, by descending share.
func (st *layerState) replicasToPlace() []replica {
	counts := make([]int, st.shape.Experts)
	sorted := make([]replica, st.shape.Experts)
	for e := range counts {
		counts[e] = 1
		sorted[e] = replica{expert: e, replicaShare: st.share[e]}
	}
	slices.SortFunc(sorted, largerFirst)
	spareSlots := -len(counts)
	for _, n := range st.slots {
		spareSlots += n
	}
	for spareSlots > 0 && len(sorted) > 0 {
		top := sorted[0]
		if counts[top.expert] == st.usableRanks {
			sorted = slices.Delete(sorted, 0, 1)
			continue
		}
		counts[top.expert]++
		spareSlots--
		top.replicaShare = st.share[top.expert] / float64(counts[top.expert])
		reinsert(sorted, top)
	}
	var all []replica
	for e, n := range counts {
		for range n {
			all = append(all, replica{expert: e, replicaShare: st.share[e] / float64(n)})
		}
	}
	slices.SortStableFunc(all, largerFirst)
	return all
}

// reinsert restores the order after the share of the first entry became smaller.
func reinsert(sorted []replica, first replica) {
	i := 1
	for i < len(sorted) && largerFirst(sorted[i], first) < 0 {
		sorted[i-1] = sorted[i]
		i++
	}
	sorted[i-1] = first
}

func largerFirst(a, b replica) int {
	if c := cmp.Compare(b.replicaShare, a.replicaShare); c != 0 {
		return c
	}
	return cmp.Compare(a.expert, b.expert)
}

// fastestRankFor returns the rank with a free slot that takes the least time with
// one more replica of e, or none.
func (st *layerState) fastestRankFor(e int, share float64) int {
	fastest, minTime := none, 0.0
	for r := range st.held {
		if !st.hasFreeSlot(r) || st.holds(r, e) {
			continue
		}
		if t := st.rankTime[r] + share*st.timePerShare[r]; fastest == none || t < minTime {
			fastest, minTime = r, t
		}
	}
	return fastest
}

// refine applies changes to the slowest rank until the layer is nearly balanced or
// there is no change left, and returns to the best state seen.
func (st *layerState) refine(evictable []int) {
	best := st.maxTime()
	held := st.copyHeld(nil)
	for range maxRefineSteps {
		if best <= 1+refinedExcess {
			break
		}
		c, ok := st.findChange(evictable)
		if !ok {
			break
		}
		st.apply(c)
		if t := st.maxTime(); t < best {
			best = t
			held = st.copyHeld(held)
		}
	}
	st.reset(st.share, held)
}
