package burdockexpert

import (
	"cmp"
	"slices"
)

// polishSteps bounds the changes made after a layer was packed afresh. Few
// are needed: packing by descending share ends close to even.
const polishSteps = 24

// polishedSkew is the excess over an even layer that polishing leaves: less
// than noise in the counts feigns, and half of Solve's time to get rid of.
const polishedSkew = 0.0025

// Solve returns a map made afresh, with no regard to what ranks hold: the
// first placement, and what the planner is measured against. The input's
// popularity and ranks must have passed Check.
func Solve(s Snapshot, ranks []Rank) *Map {
	shape := Shape{Layers: len(s.Share), Ranks: len(ranks), Experts: s.Experts}
	m := NewMap(shape)
	st := newLayerState(shape, ranks)
	nothing := make([][]uint16, shape.Ranks)
	evictable := make([]int, shape.Ranks)
	for l := range s.Share {
		st.reset(s.Share[l], nothing)
		st.pack()
		st.polish(evictable)
		st.copyHeld(m.layer(l))
	}
	return m
}

// pack fills empty ranks: replicas for the hottest experts, as many as there
// are slots, then the heaviest replica first onto the rank that is quickest
// with it.
func (st *layerState) pack() {
	order := st.replicas()
	for _, rep := range order {
		if r := st.quickestWith(rep.expert, rep.part); r != none {
			st.add(r, rep.expert)
			st.time[r] += rep.part * st.inverse[r]
		}
	}
	// A replica is left out when all ranks with room hold its expert, so the
	// parts may have grown.
	st.retime()
}

// replica is one copy of an expert that has yet to be placed.
type replica struct {
	expert int
	part   float64
}

// replicas returns the copies to place, the heaviest first.
func (st *layerState) replicas() []replica {
	counts := make([]int, st.shape.Experts)
	heap := make([]replica, st.shape.Experts)
	for e := range counts {
		counts[e] = 1
		heap[e] = replica{expert: e, part: st.share[e]}
	}
	slices.SortFunc(heap, heavierFirst)
	spare := -len(counts)
	for _, n := range st.slots {
		spare += n
	}
	for spare > 0 && len(heap) > 0 {
		top := heap[0]
		if counts[top.expert] == st.usable {
			heap = slices.Delete(heap, 0, 1)
			continue
		}
		counts[top.expert]++
		spare--
		top.part = st.share[top.expert] / float64(counts[top.expert])
		reinsert(heap, top)
	}
	var all []replica
	for e, n := range counts {
		for range n {
			all = append(all, replica{expert: e, part: st.share[e] / float64(n)})
		}
	}
	slices.SortStableFunc(all, heavierFirst)
	return all
}

// reinsert moves the first entry, now lighter, to its place in the order.
func reinsert(sorted []replica, first replica) {
	i := 1
	for i < len(sorted) && heavierFirst(sorted[i], first) < 0 {
		sorted[i-1] = sorted[i]
		i++
	}
	sorted[i-1] = first
}

func heavierFirst(a, b replica) int {
	if c := cmp.Compare(b.part, a.part); c != 0 {
		return c
	}
	return cmp.Compare(a.expert, b.expert)
}

// quickestWith returns the rank with room that would take least time with one
// more replica, or none.
func (st *layerState) quickestWith(e int, part float64) int {
	at, least := none, 0.0
	for r := range st.held {
		if !st.free(r) || st.holds(r, e) {
			continue
		}
		if t := st.time[r] + part*st.inverse[r]; at == none || t < least {
			at, least = r, t
		}
	}
	return at
}

// polish relieves the slowest rank while that lowers the largest time, and
// ends at the best state seen.
func (st *layerState) polish(evictable []int) {
	best := st.largest()
	held := st.copyHeld(nil)
	for range polishSteps {
		if best <= 1+polishedSkew {
			break
		}
		c, ok := st.relieve(evictable)
		if !ok {
			break
		}
		st.apply(c)
		if t := st.largest(); t < best {
			best = t
			held = st.copyHeld(held)
		}
	}
	st.reset(st.share, held)
}
