package burdockexpert

import "slices"

// layerState is the map of one layer while it is being changed, with the time
// of each rank kept up to date. Times are in units of the balanced time: the
// one that each rank would take if the load were spread by the ranks' speeds.
type layerState struct {
	shape   Shape
	slots   []int
	most    []int     // by rank: loads that it can take, see Rank.MaxLayerLoads
	news    []int     // by rank: what it has to load to get here from origin
	inverse []float64 // time that a unit of share takes on the rank
	usable  int       // ranks with slots

	share      []float64
	parts      []float64  // by expert: the share that each replica carries
	held       [][]uint16 // by rank, in no order
	holders    [][]uint16 // by expert, in no order
	has        []bool     // by rank and expert
	origin     []bool     // as has, when the state was reset
	time       []float64  // by rank
	power      []float64  // by rank: potential(time)
	pinned     []bool     // as has: replicas that a kick placed
	kicks      int        // left, see relieve
	freeChange float64    // see freeChanges
	loads      int        // what the ranks have to fetch to get here from origin

	delta   []float64 // scratch: change of time by rank
	touched []int     // scratch: ranks with an entry in delta
	mark    []bool    // scratch: by rank
}

func newLayerState(s Shape, ranks []Rank) *layerState {
	st := &layerState{
		freeChange: freeChanges[0],
		shape:      s,
		slots:      make([]int, s.Ranks),
		most:       make([]int, s.Ranks),
		news:       make([]int, s.Ranks),
		inverse:    make([]float64, s.Ranks),
		parts:      make([]float64, s.Experts),
		held:       make([][]uint16, s.Ranks),
		holders:    make([][]uint16, s.Experts),
		has:        make([]bool, s.Ranks*s.Experts),
		origin:     make([]bool, s.Ranks*s.Experts),
		pinned:     make([]bool, s.Ranks*s.Experts),
		time:       make([]float64, s.Ranks),
		power:      make([]float64, s.Ranks),
		delta:      make([]float64, s.Ranks),
		mark:       make([]bool, s.Ranks),
	}
	speeds := 0.0
	for r, rank := range ranks {
		st.slots[r] = min(max(0, rank.Slots), s.Experts)
		st.most[r] = s.Experts
		if st.slots[r] > 0 {
			speeds += rank.Speed
			st.usable++
		}
	}
	for r, rank := range ranks {
		st.inverse[r] = speeds / rank.Speed
	}
	return st
}

// reset starts from what the ranks hold, which counts as fetched already.
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
		st.repart(e)
	}
	copy(st.origin, st.has)
	clear(st.news)
	clear(st.pinned)
	st.kicks = layerKicks
	st.loads = 0
	st.retime()
}

// startFrom counts as fetched what the ranks held before a repair, so that the
// repair's own fetches may still go elsewhere at no further price.
func (st *layerState) startFrom(held [][]uint16) {
	clear(st.origin)
	clear(st.news)
	st.loads = 0
	for r, list := range held {
		for _, e := range list {
			st.origin[r*st.shape.Experts+int(e)] = true
		}
	}
	for at, has := range st.has {
		if has && !st.origin[at] {
			st.loads++
			st.news[at/st.shape.Experts]++
		}
	}
}

// retime computes all times afresh.
func (st *layerState) retime() {
	for r, held := range st.held {
		load := 0.0
		for _, e := range held {
			load += st.part(int(e))
		}
		st.time[r] = load * st.inverse[r]
		st.power[r] = potential(st.time[r])
	}
}

// part returns the share that each replica of an expert carries.
func (st *layerState) part(e int) float64 { return st.parts[e] }

func (st *layerState) repart(e int) { st.parts[e] = st.share[e] / float64(max(1, len(st.holders[e]))) }

func (st *layerState) holds(r, e int) bool { return st.has[r*st.shape.Experts+e] }

func (st *layerState) free(r int) bool { return len(st.held[r]) < st.slots[r] }

// add lets a rank hold an expert; times are left as they were.
func (st *layerState) add(r, e int) {
	at := r*st.shape.Experts + e
	st.has[at] = true
	st.held[r] = append(st.held[r], uint16(e))
	st.holders[e] = append(st.holders[e], uint16(r))
	st.repart(e)
	if !st.origin[at] {
		st.loads++
		st.news[r]++
	}
}

// drop is the reverse of add.
func (st *layerState) drop(r, e int) {
	at := r*st.shape.Experts + e
	st.has[at] = false
	st.held[r] = without(st.held[r], e)
	st.holders[e] = without(st.holders[e], r)
	st.repart(e)
	if !st.origin[at] {
		st.loads--
		st.news[r]--
	}
}

func without(list []uint16, v int) []uint16 {
	i := slices.Index(list, uint16(v))
	list[i] = list[len(list)-1]
	return list[:len(list)-1]
}

// price returns what add would add to loads.
func (st *layerState) price(r, e int) int {
	if st.origin[r*st.shape.Experts+e] {
		return 0
	}
	return 1
}

// mayAdd reports whether a rank can load an expert if it has not got it.
func (st *layerState) mayAdd(r, e int) bool {
	return st.news[r]+st.price(r, e) <= st.most[r]
}

// slowest returns the rank with the largest time.
func (st *layerState) slowest() int {
	at := 0
	for r, t := range st.time {
		if t > st.time[at] {
			at = r
		}
	}
	return at
}

func (st *layerState) largest() float64 { return st.time[st.slowest()] }

// mean returns the mean time of the ranks that have slots.
func (st *layerState) mean() float64 {
	sum := 0.0
	for _, t := range st.time {
		sum += t
	}
	return sum / float64(st.usable)
}

// copyHeld returns a copy of what the ranks hold, in ascending order.
func (st *layerState) copyHeld(into [][]uint16) [][]uint16 {
	if into == nil {
		into = make([][]uint16, len(st.held))
	}
	for r, held := range st.held {
		into[r] = append(into[r][:0], held...)
		slices.Sort(into[r])
	}
	return into
}

// layer returns what each rank holds in a layer.
func (m *Map) layer(l int) [][]uint16 {
	return m.holds[l*m.shape.Ranks : (l+1)*m.shape.Ranks]
}
