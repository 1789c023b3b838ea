package burdockexpert

import "math"

// change is one way to relieve the slowest rank of a layer. A field that is
// not used is none.
type change struct {
	rank   int  // the slowest
	expert int  // of rank
	target int  // the rank that takes expert over, or none: expert is dropped
	keep   bool // rank keeps expert, so that target gets one more replica
	evict  int  // of target: dropped to make room
	swap   int  // of target: goes to rank in exchange
}

const none = -1

// potentialDoublings makes potential the power 2^4 = 16. A search that looks
// at the slowest rank alone stands still when two ranks are equally slow: no
// single change lowers the largest time. The sum of a high power falls with
// each rank that gets quicker, and still looks at the slowest first.
const potentialDoublings = 4

func potential(t float64) float64 {
	for range potentialDoublings {
		t *= t
	}
	return t
}

// freeChanges stand for the price of a change that needs no fetch, so that the
// gain for each fetch is finite. The lower, the more a search prefers changes
// with few fetches over those with a large gain; neither is always right.
var freeChanges = [...]float64{0.25, 1}

// relieve finds the change to the slowest rank that lowers the potential most
// for each fetch. When none lowers it, relieve returns the additional replica
// that raises it least, as long as the state has kicks left, and pins it.
//
// Load: an expert that alone is more than a rank's fair time. Harm prevented:
// a layer that stays uneven because a part of that expert is still too much
// for any rank that keeps all it has. With the replica in place the changes
// that follow relieve the rank that took it; it is pinned so that they don't
// just take it back. The caller goes back to the best state that it saw, so a
// kick that leads nowhere does no harm but for the time; hence the limit.
func (st *layerState) relieve(evictable []int) (change, bool) {
	slow := st.slowest()
	for q := range st.held {
		evictable[q] = st.lightestRedundant(q)
	}
	best, bestValue := change{}, 0.0
	kick, kickGain := change{target: none}, math.Inf(-1)
	consider := func(c change, gain float64, fetches int) {
		if c.keep && gain > kickGain {
			kick, kickGain = c, gain
		}
		if gain <= minGain*st.power[slow] {
			return
		}
		if value := gain / (float64(fetches) + st.freeChange); value > bestValue {
			best, bestValue = c, value
		}
	}
	for _, held := range st.held[slow] {
		e := int(held)
		if st.pinned[slow*st.shape.Experts+e] {
			continue
		}
		if len(st.holders[e]) > 1 {
			c := change{rank: slow, expert: e, target: none, evict: none, swap: none}
			consider(c, st.gain(c), 0)
		}
		for q := range st.held {
			if q == slow || st.slots[q] == 0 || st.holds(q, e) || st.time[q] >= st.time[slow] {
				continue
			}
			st.considerTarget(slow, e, q, evictable[q], consider)
		}
	}
	if bestValue > 0 || kick.target == none || st.kicks == 0 {
		return best, bestValue > 0
	}
	st.kicks--
	st.pinned[kick.target*st.shape.Experts+kick.expert] = true
	return kick, true
}

// layerKicks bounds the kicks in one layer's search.
const layerKicks = 3

// minGain is the part of the slowest rank's potential below which a gain is
// taken for rounding.
const minGain = 1e-9

// considerTarget weighs the ways in which rank q can take over expert e.
func (st *layerState) considerTarget(slow, e, q, evict int, consider func(change, float64, int)) {
	if !st.mayAdd(q, e) {
		return
	}
	price := st.price(q, e)
	if st.free(q) || evict != none {
		if st.free(q) {
			evict = none
		}
		c := change{rank: slow, expert: e, target: q, evict: evict, swap: none}
		st.considerTaking(c, price, consider)
		c.keep = true
		st.considerTaking(c, price, consider)
	}
	out := st.part(e)
	for _, held := range st.held[q] {
		f := int(held)
		in := st.part(f)
		if in >= out {
			continue
		}
		slowTime := st.time[slow] - (out-in)*st.inverse[slow]
		targetTime := st.time[q] + (out-in)*st.inverse[q]
		if targetTime >= st.time[slow] || st.holds(slow, f) || !st.mayAdd(slow, f) {
			continue
		}
		gain := st.power[slow] + st.power[q] - potential(slowTime) - potential(targetTime)
		c := change{rank: slow, expert: e, target: q, evict: none, swap: f}
		consider(c, gain, price+st.price(slow, f))
	}
}

// considerTaking weighs a change in which the target takes the expert with
// nothing in exchange. When that makes the target the slowest rank, the gain is
// negative and only matters for the choice of a kick; the target's own part of
// it is near enough then, and far cheaper.
func (st *layerState) considerTaking(c change, price int, consider func(change, float64, int)) {
	taken := st.part(c.expert)
	if c.keep {
		replicas := float64(len(st.holders[c.expert]))
		taken *= replicas / (replicas + 1)
	}
	if c.evict != none {
		taken -= st.part(c.evict)
	}
	if t := st.time[c.target] + taken*st.inverse[c.target]; t >= st.time[c.rank] {
		consider(c, st.power[c.target]-potential(t), price)
		return
	}
	consider(c, st.gain(c), price)
}

// lightestRedundant returns the expert of a rank that another rank holds too
// and whose loss the rank feels least, or none.
func (st *layerState) lightestRedundant(r int) int {
	at, least := none, 0.0
	for _, held := range st.held[r] {
		e := int(held)
		if len(st.holders[e]) < 2 {
			continue
		}
		if part := st.part(e); at == none || part < least {
			at, least = e, part
		}
	}
	return at
}

// gain returns by how much a change lowers the sum of potentials.
func (st *layerState) gain(c change) float64 {
	st.touched = st.touched[:0]
	st.shift(c)
	gain := 0.0
	for _, r := range st.touched {
		gain += st.power[r] - potential(st.time[r]+st.delta[r])
		st.delta[r], st.mark[r] = 0, false
	}
	return gain
}

// shift writes the changes of time to delta, for changes other than swaps.
func (st *layerState) shift(c change) {
	before := st.part(c.expert)
	replicas := len(st.holders[c.expert])
	if c.target == none {
		replicas--
	}
	if c.keep {
		replicas++
	}
	after := st.share[c.expert] / float64(replicas)
	if after != before {
		for _, r := range st.holders[c.expert] {
			st.touch(int(r), after-before)
		}
	}
	if !c.keep {
		st.touch(c.rank, -after)
	}
	if c.target != none {
		st.touch(c.target, after)
	}
	if c.evict != none {
		st.shiftEvict(c.target, c.evict)
	}
}

func (st *layerState) shiftEvict(rank, e int) {
	before := st.part(e)
	after := st.share[e] / float64(len(st.holders[e])-1)
	for _, r := range st.holders[e] {
		st.touch(int(r), after-before)
	}
	st.touch(rank, -after)
}

func (st *layerState) touch(r int, share float64) {
	if !st.mark[r] {
		st.mark[r] = true
		st.touched = append(st.touched, r)
	}
	st.delta[r] += share * st.inverse[r]
}

// apply carries a change out.
func (st *layerState) apply(c change) {
	if c.evict != none {
		st.drop(c.target, c.evict)
	}
	if c.swap != none {
		st.drop(c.target, c.swap)
	}
	if !c.keep {
		st.drop(c.rank, c.expert)
	}
	if c.swap != none {
		st.add(c.rank, c.swap)
	}
	if c.target != none {
		st.add(c.target, c.expert)
	}
	st.retime()
}
