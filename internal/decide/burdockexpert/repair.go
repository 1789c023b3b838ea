package burdockexpert

// repair makes the layer usable with few loads: it drops experts from ranks that
// hold more than they have slots, and then places each expert that no rank
// holds. There have to be at least as many slots as experts: then, as long as
// an expert is unplaced, there is a free slot or an expert with two replicas.
func (st *layerState) repair() {
	for r := range st.held {
		for len(st.held[r]) > st.slots[r] {
			st.remove(r, st.dropCandidate(r))
		}
	}
	st.recomputeTimes()
	for e := range st.holders {
		if len(st.holders[e]) == 0 {
			st.placeUncovered(e)
		}
	}
}

// isUsable reports whether every expert is placed and no rank exceeds its slots.
func (st *layerState) isUsable() bool {
	for r, held := range st.held {
		if len(held) > st.slots[r] {
			return false
		}
	}
	for _, holders := range st.holders {
		if len(holders) == 0 {
			return false
		}
	}
	return true
}

// dropCandidate returns the expert that a rank should drop first: of those with
// another replica the one with the largest share, as that takes most off the
// rank and needs no load elsewhere. If there is none, it is the expert with the
// smallest share, which adds least to the rank that has to load it.
func (st *layerState) dropCandidate(r int) int {
	replicated, single := none, none
	for _, held := range st.held[r] {
		e := int(held)
		if len(st.holders[e]) > 1 {
			if replicated == none || st.replicaShare(e) > st.replicaShare(replicated) {
				replicated = e
			}
			continue
		}
		if single == none || st.share[e] < st.share[single] {
			single = e
		}
	}
	if replicated != none {
		return replicated
	}
	return single
}

// placeUncovered places an expert that no rank holds on the rank that is fastest
// with it, if necessary in place of an expert that has another replica.
func (st *layerState) placeUncovered(e int) {
	target, evict, minTime := none, none, 0.0
	for r := range st.held {
		candidate := none
		t := st.rankTime[r] + st.share[e]*st.timePerShare[r]
		if !st.hasFreeSlot(r) {
			if candidate = st.lightestReplicated(r); candidate == none {
				continue
			}
			t -= st.replicaShare(candidate) * st.timePerShare[r]
		}
		if target == none || t < minTime {
			target, evict, minTime = r, candidate, t
		}
	}
	if evict != none {
		st.remove(target, evict)
	}
	st.add(target, e)
	st.recomputeTimes()
}
