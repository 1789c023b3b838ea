package burdockplace

import "burdockbend.example/burdockbend/internal/base/burdockclock"

const (
	maxCandidates = 16
	// maxProbes bounds the search for candidates. With half of the fleet
	// ejected, 32 probes all miss once in four thousand million.
	maxProbes = 32
	// maxScan bounds the search once the probes have all missed, so that a
	// choice never costs more in a larger fleet. Up to this many members the
	// search is complete.
	maxScan = 64
)

// candidate is an upstream under comparison.
type candidate struct {
	index int32
	score float64 // the estimated load, with the penalty of distance
	over  bool    // beyond the bound
}

// candidates is a small set without an allocation.
type candidates struct {
	list [maxCandidates]candidate
	n    int
}

func (c *candidates) has(index int32) bool {
	for i := range c.n {
		if c.list[i].index == index {
			return true
		}
	}
	return false
}

func (c *candidates) add(one candidate) {
	c.list[c.n] = one
	c.n++
}

// chooser holds what one call of Choose needs.
type chooser struct {
	p     *Placer
	now   burdockclock.Millis
	req   *Request
	bound float64
	seen  candidates
	// key orders the members; the first width of that order are gone through
	// from start on, round to start, and the others after them.
	key    uint64
	width  int
	start  int
	next   int
	probes int
}

// Choose returns the upstream that the request should be offered to. It
// returns false when no member may be chosen.
//
// Made for: 350 entries before 3,800 upstreams, each with views that lag. The
// homes of the prefix come first, because a prefix computed twice costs more
// than a slightly longer batch. Beyond the bound the request spills to the
// next candidates, because a full home delays everyone on it. Between
// candidates the lower of two random ones is taken and never the lowest of
// all: entries with the same stale view would all pick the same.
func (p *Placer) Choose(now burdockclock.Millis, req Request) (Choice, bool) {
	if len(p.table) == 0 {
		return Choice{}, false
	}
	c := chooser{p: p, now: now, req: &req, bound: p.bound()}
	// A request is offered to homes only as often as there are homes. Positions
	// after them keep nothing of the prefix, and an upstream that reported lately
	// is the better choice. The last offer carries no bound and must not go to a
	// home: all that overflows from a hot prefix would be queued there.
	if req.Attempt < min(p.cfg.Owners, p.cfg.BoundedOffers) {
		if choice, ok := c.home(); ok {
			return choice, true
		}
	}
	if choice, ok := c.spill(); ok {
		return choice, true
	}
	return c.remaining()
}

// bound returns the load beyond which a request moves on. While the fleet has
// free slots it is at most 1: a request that queues for one slot while another
// is free waits for nothing.
func (p *Placer) bound() float64 {
	slack := p.cfg.BoundSlack / max(p.fleet.slots, 1)
	bound := max(p.cfg.BoundFloor, p.cfg.BoundRatio*p.fleet.mean+slack)
	if p.fleet.mean < 1 {
		return min(bound, 1)
	}
	return bound
}

// home compares the upstreams that the prefix belongs to.
func (c *chooser) home() (Choice, bool) {
	cfg := &c.p.cfg
	if len(c.req.Prefix) == 0 {
		c.order(c.p.rnd.Uint64(), 1, 0)
		c.collect(cfg.Owners)
		return c.pick(0, ReasonNoPrefix)
	}
	key := affinityKey(c.req.Prefix)
	if c.req.Attempt > 0 {
		c.p.widths.widen(c.now, cfg.WidthHalfLife, key, cfg.Owners)
	}
	width := c.p.widths.get(c.now, cfg.WidthHalfLife, key, cfg.Owners)
	reason := ReasonAffinity
	if width > cfg.Owners {
		reason = ReasonSpread
	}
	c.order(key, width, c.spread(width))
	c.collect(cfg.Owners)
	return c.first(reason)
}

// first takes the first home within the bound. The lower of two would send
// the turns of one conversation to different homes, and each would compute
// what the other keeps.
func (c *chooser) first(reason Reason) (Choice, bool) {
	for _, home := range c.seen.list[:c.seen.n] {
		if !home.over {
			return c.choice(home, reason), true
		}
	}
	return Choice{}, false
}

// order sets the order of members in which collect goes on.
func (c *chooser) order(key uint64, width, start int) {
	c.key, c.width, c.start, c.next = key, width, start, 0
}

// position returns the next position in the order of members.
func (c *chooser) position() int {
	i := c.next
	c.next++
	if i < c.width {
		return (c.start + i) % c.width
	}
	return i
}

// spread returns the position within the width of the prefix that this request
// looks at first. What follows the prefix decides, so that the
// turns of one conversation still meet.
func (c *chooser) spread(width int) int {
	key, ok := spreadKey(c.req.Prefix)
	if !ok {
		return c.p.rnd.IntN(width)
	}
	return jump(mix(key), width)
}

// spill compares further upstreams, found at random so that what overflows
// from a hot home does not overflow onto one other.
func (c *chooser) spill() (Choice, bool) {
	first := c.seen.n
	c.order(c.p.rnd.Uint64(), 1, 0)
	c.collect(c.p.cfg.OverflowCandidates)
	c.collectRecent(c.p.cfg.RecentCandidates)
	reason := ReasonOverflow
	if len(c.req.Prefix) == 0 {
		reason = ReasonNoPrefix
	}
	if choice, ok := c.lowest(first, reason); ok {
		return choice, true
	}
	if c.seen.n == 0 {
		return Choice{}, false
	}
	// Every candidate is beyond the bound: the fleet is full, or the view is
	// old. The upstream's own queue decides.
	return c.choice(c.lowerOfTwo(0, c.seen.n), ReasonSaturated), true
}

// collect adds up to n candidates in the order of members of the key.
func (c *chooser) collect(n int) {
	for n > 0 && c.probes < maxProbes && c.seen.n < maxCandidates {
		index := c.p.table.owner(c.key, c.position())
		c.probes++
		if c.seen.has(index) || !c.eligible(index) {
			continue
		}
		c.seen.add(c.measure(index))
		n--
	}
}

// eligible reports whether the member may get this request. A weight between
// 0 and 1 lets that share of requests pass.
func (c *chooser) eligible(index int32) bool {
	m := &c.p.members[index]
	if !c.allowed(m) {
		return false
	}
	return m.weight >= 1 || c.p.rnd.Float32() < m.weight
}

func (c *chooser) allowed(m *member) bool {
	if m.weight <= 0 {
		return false
	}
	return c.req.Exclude == nil || !c.req.Exclude(m.upstream)
}

func (c *chooser) measure(index int32) candidate {
	m := &c.p.members[index]
	load := c.p.estimate(c.now, m)
	wait := float64(m.wait) * c.p.trust(c.now, m)
	one := candidate{index: index, score: load}
	one.over = load > c.bound || wait > float64(c.p.cfg.WaitBound)
	if m.dataCentre != c.req.DataCentre {
		one.score += c.p.cfg.RemotePenalty
	}
	return one
}

// pick takes the lower of two random candidates, from first on, that are
// within the bound.
func (c *chooser) pick(first int, reason Reason) (Choice, bool) {
	within := first
	list := &c.seen.list
	for i := first; i < c.seen.n; i++ {
		if list[i].over {
			continue
		}
		list[within], list[i] = list[i], list[within]
		within++
	}
	if within == first {
		return Choice{}, false
	}
	return c.choice(c.lowerOfTwo(first, within), reason), true
}

// lowest takes the lowest candidate, from first on, that is within the bound.
func (c *chooser) lowest(first int, reason Reason) (Choice, bool) {
	best := -1
	for i := first; i < c.seen.n; i++ {
		one := &c.seen.list[i]
		if !one.over && (best < 0 || one.score < c.seen.list[best].score) {
			best = i
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return c.choice(c.seen.list[best], reason), true
}

func (c *chooser) lowerOfTwo(first, end int) candidate {
	list := &c.seen.list
	n := end - first
	a := first + c.p.rnd.IntN(n)
	if n == 1 {
		return list[a]
	}
	b := first + (a-first+1+c.p.rnd.IntN(n-1))%n
	if list[b].score < list[a].score {
		return list[b]
	}
	return list[a]
}

func (c *chooser) choice(one candidate, reason Reason) Choice {
	chosen := &c.p.members[one.index]
	if !c.allowed(chosen) {
		panic("burdockplace: chose an upstream that may get nothing: " + string(chosen.upstream))
	}
	choice := Choice{Upstream: chosen.upstream, Reason: reason, Candidates: c.seen.n}
	if c.req.Attempt < c.p.cfg.BoundedOffers && reason != ReasonSaturated {
		choice.MaxLoad = c.bound
	}
	return choice
}

// remaining searches a bounded part of the members, from a random one on, for
// any that may get the request, however small its weight.
func (c *chooser) remaining() (Choice, bool) {
	n := len(c.p.members)
	start := c.p.rnd.IntN(n)
	for i := range min(n, maxScan) {
		index := (start + i) % n
		if c.allowed(&c.p.members[index]) {
			c.seen.add(c.measure(int32(index)))
			return c.choice(c.seen.list[0], ReasonRemaining), true
		}
	}
	return Choice{}, false
}
