package burdockexpert

import "slices"

// layerState is the placement of one layer while it is being changed, together
// with the resulting time of each rank. Times are relative to the balanced time,
// which each rank takes if the tokens are split in proportion to the speeds.
type layerState struct {
	shape        Shape
	slots        []int
	maxLoads     []int     // by rank: limit of newLoads
	newLoads     []int     // by rank: experts that it has to load
	timePerShare []float64 // by rank: its time with all of the layer's tokens
	usableRanks  int       // number of ranks with slots

	share         []float64
	replicaShares []float64  // by expert: share of each of its replicas
	held          [][]uint16 // experts by rank, unordered
	holders       [][]uint16 // ranks by expert, unordered
	has           []bool     // by rank and expert: whether it is in held
	loaded        []bool     // as has: what needs no load
	rankTime      []float64  // by rank
	rankPotential []float64  // potential(rankTime)
	pinned        []bool     // as has: replicas that a perturbation placed
	perturbations int        // number left, see findChange
	zeroLoadCost  float64    // see zeroLoadCosts
	totalLoads    int        // sum of newLoads

	timeDelta []float64 // scratch: change of time by rank
	touched   []int     // scratch: ranks with an entry in timeDelta
	isTouched []bool    // scratch: by rank
}

func newLayerState(s Shape, ranks []Rank) *layerState {
	st := &layerState{
		zeroLoadCost:  zeroLoadCosts[0],
		shape:         s,
		slots:         make([]int, s.Ranks),
		maxLoads:      make([]int, s.Ranks),
		newLoads:      make([]int, s.Ranks),
		timePerShare:  make([]float64, s.Ranks),
		replicaShares: make([]float64, s.Experts),
		held:          make([][]uint16, s.Ranks),
		holders:       make([][]uint16, s.Experts),
		has:           make([]bool, s.Ranks*s.Experts),
		loaded:        make([]bool, s.Ranks*s.Experts),
		pinned:        make([]bool, s.Ranks*s.Experts),
		rankTime:      make([]float64, s.Ranks),
		rankPotential: make([]float64, s.Ranks),
		timeDelta:     make([]float64, s.Ranks),
		isTouched:     make([]bool, s.Ranks),
	}
	speeds := 0.0
	for r, rank := range ranks {
		st.slots[r] = min(max(0, rank.Slots), s.Experts)
		st.maxLoads[r] = s.Experts
		if st.slots[r] > 0 {
			speeds += rank.Speed
			st.usableRanks++
		}
	}
	for r, rank := range ranks {
		st.timePerShare[r] = speeds / rank.Speed
	}
	return st
}

// reset starts with the given experts of each rank, all of them loaded.
func (st *layerState) reset(share []float64, held [][]uint16) {
	st.share = share
	clear(st.has)
	for e := range st.holders {
		st.holders[e] = st.holders[e][:0]
	}
	for r := range st.held {
		st.held[r] = append(st.held[r][:0], held[r]...)
		for _, e := range held[r] {
			st.has[r*st.shape.Experts+int(e)] = true
			st.holders[e] = append(st.holders[e], uint16(r))
		}
	}
	for e := range st.holders {
		st.updateReplicaShare(e)
	}
	copy(st.loaded, st.has)
	clear(st.newLoads)
	clear(st.pinned)
	st.perturbations = maxPerturbations
	st.totalLoads = 0
	st.recomputeTimes()
}

// setLoaded sets the experts that the ranks have loaded already. After a repair
// these are the ones from before it, so that the search can still place a load of
// the repair on another rank without counting one more.
func (st *layerState) setLoaded(held [][]uint16) {
	clear(st.loaded)
	clear(st.newLoads)
	st.totalLoads = 0
	for r, list := range held {
		for _, e := range list {
			st.loaded[r*st.shape.Experts+int(e)] = true
		}
	}
	for at, has := range st.has {
		if has && !st.loaded[at] {
			st.totalLoads++
			st.newLoads[at/st.shape.Experts]++
		}
	}
}

// recomputeTimes computes the time of each rank from its experts.
func (st *layerState) recomputeTimes() {
	for r, held := range st.held {
		share := 0.0
		for _, e := range held {
			share += st.replicaShare(int(e))
		}
		st.rankTime[r] = share * st.timePerShare[r]
		st.rankPotential[r] = potential(st.rankTime[r])
	}
}

// replicaShare returns the share of the layer's tokens that each replica of an
// expert gets.
func (st *layerState) replicaShare(e int) float64 { return st.replicaShares[e] }

func (st *layerState) updateReplicaShare(e int) {
	st.replicaShares[e] = st.share[e] / float64(max(1, len(st.holders[e])))
}

func (st *layerState) holds(r, e int) bool { return st.has[r*st.shape.Experts+e] }

func (st *layerState) hasFreeSlot(r int) bool { return len(st.held[r]) < st.slots[r] }

// add places an expert on a rank. It does not update the times.
func (st *layerState) add(r, e int) {
	at := r*st.shape.Experts + e
	st.has[at] = true
	st.held[r] = append(st.held[r], uint16(e))
	st.holders[e] = append(st.holders[e], uint16(r))
	st.updateReplicaShare(e)
	if !st.loaded[at] {
		st.totalLoads++
		st.newLoads[r]++
	}
}

// remove is the reverse of add.
func (st *layerState) remove(r, e int) {
	at := r*st.shape.Experts + e
	st.has[at] = false
	st.held[r] = removeValue(st.held[r], e)
	st.holders[e] = removeValue(st.holders[e], r)
	st.updateReplicaShare(e)
	if !st.loaded[at] {
		st.totalLoads--
		st.newLoads[r]--
	}
}

func removeValue(list []uint16, v int) []uint16 {
	i := slices.Index(list, uint16(v))
	list[i] = list[len(list)-1]
	return list[:len(list)-1]
}

// loadsToAdd returns by how much add would raise totalLoads.
func (st *layerState) loadsToAdd(r, e int) int {
	if st.loaded[r*st.shape.Experts+e] {
		return 0
	}
	return 1
}

// canAdd reports whether a rank has the expert loaded or may load one more.
func (st *layerState) canAdd(r, e int) bool {
	return st.newLoads[r]+st.loadsToAdd(r, e) <= st.maxLoads[r]
}

// slowest returns the rank with the maximum time.
func (st *layerState) slowest() int {
	at := 0
	for r, t := range st.rankTime {
		if t > st.rankTime[at] {
			at = r
		}
	}
	return at
}

func (st *layerState) maxTime() float64 { return st.rankTime[st.slowest()] }

// meanTime returns the mean time of the ranks that have slots.
func (st *layerState) meanTime() float64 {
	sum := 0.0
	for _, t := range st.rankTime {
		sum += t
	}
	return sum / float64(st.usableRanks)
}

// copyHeld copies the experts of each rank, in ascending order, to dst and
// returns it. It allocates dst if it is nil.
func (st *layerState) copyHeld(dst [][]uint16) [][]uint16 {
	if dst == nil {
		dst = make([][]uint16, len(st.held))
	}
	for r, held := range st.held {
		dst[r] = append(dst[r][:0], held...)
		slices.Sort(dst[r])
	}
	return dst
}

// layer returns the experts of each rank in a layer. Changes to the result change
// the map.
func (m *Map) layer(l int) [][]uint16 {
	return m.placement[l*m.shape.Ranks : (l+1)*m.shape.Ranks]
}
