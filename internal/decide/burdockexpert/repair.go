package burdockexpert

// repair makes the layer usable with as few fetches as it can: it trims ranks
// that hold more than they have room for, and then places each expert that no
// rank holds. It relies on the slots of all ranks being at least the number of
// experts: then an uncovered expert leaves either a free slot or an expert
// that is held twice.
func (st *layerState) repair() {
	for r := range st.held {
		for len(st.held[r]) > st.slots[r] {
			st.drop(r, st.leastMissed(r))
		}
	}
	st.retime()
	for e := range st.holders {
		if len(st.holders[e]) == 0 {
			st.place(e)
		}
	}
}

// usableNow reports whether every expert is held and no rank is over memory.
func (st *layerState) usableNow() bool {
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

// leastMissed returns the expert that a rank should drop first: the heaviest
// that another rank holds too, since that relieves it most at no fetch, or
// else the lightest, whose fetch elsewhere disturbs least.
func (st *layerState) leastMissed(r int) int {
	redundant, alone := none, none
	for _, held := range st.held[r] {
		e := int(held)
		if len(st.holders[e]) > 1 {
			if redundant == none || st.part(e) > st.part(redundant) {
				redundant = e
			}
			continue
		}
		if alone == none || st.share[e] < st.share[alone] {
			alone = e
		}
	}
	if redundant != none {
		return redundant
	}
	return alone
}

// place finds room for an expert that no rank holds.
func (st *layerState) place(e int) {
	target, evict, least := none, none, 0.0
	for r := range st.held {
		out := none
		t := st.time[r] + st.share[e]*st.inverse[r]
		if !st.free(r) {
			if out = st.lightestRedundant(r); out == none {
				continue
			}
			t -= st.part(out) * st.inverse[r]
		}
		if target == none || t < least {
			target, evict, least = r, out, t
		}
	}
	if evict != none {
		st.drop(target, evict)
	}
	st.add(target, e)
	st.retime()
}
