package burdockplace

import "burdockbend.example/burdockbend/internal/base/burdockclock"

const (
	maxCandidates = 16
	// maxProbes limits the table lookups of one choice. With half of the fleet
	// ejected, 32 lookups all miss once in 4 billion choices.
	maxProbes = 32
	// maxScan limits the linear scan that follows when all lookups have missed,
	// which keeps the cost of a choice independent of the fleet's size. With up
	// to this many members the scan covers all of them.
	maxScan = 64
)

// candidate is an upstream under comparison.
type candidate struct {
	index     int32
	score     float64 // estimated load, plus the penalty for another data centre
	overBound bool    // load or expected wait exceeds the bound
}

// candidates is a small set that needs no allocation.
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

func (c *candidates) add(cand candidate) {
	c.list[c.n] = cand
	c.n++
}

// chooser holds the state of one call of Choose.
type chooser struct {
	p     *Placer
	now   burdockclock.Millis
	req   *Request
	bound float64
	seen  candidates
	// random means that candidates are drawn at random, and the next three fields don't
	// apply.
	random bool
	// key determines an order of the members. Of this order, nextPosition returns
	// the first width positions beginning at start and wrapping around, and then
	// the positions after them.
	key    uint64
	width  int
	start  int
	next   int
	probes int
}

// Choose returns the upstream that the request should be offered to. It
// returns false when no member may be chosen.
//
// It is designed for 350 entries in front of 3,800 upstreams, where each entry's
// view of the load lags. The owners of the prefix come first, because computing
// a prefix twice costs more than a slightly longer batch. Above the load bound
// the request overflows to further candidates, because a full owner delays every
// request on it. Requests without a prefix go to the less loaded of two random
// candidates instead of the least loaded of all, which all entries with the same
// stale view would pick at once. With a recent view they state Request.Compare.
func (p *Placer) Choose(now burdockclock.Millis, req Request) (Choice, bool) {
	if len(p.members) == 0 {
		return Choice{}, false
	}
	c := chooser{p: p, now: now, req: &req, bound: p.bound()}
	if req.Compare > 0 && len(req.Prefix) == 0 {
		if choice, ok := c.chooseOfMany(); ok {
			return choice, true
		}
		return c.chooseAny()
	}
	// A request is offered to the prefix's owners at most once per owner. Later
	// positions don't have the prefix cached, so an upstream that reported recently
	// is the better choice. The last offer carries no load bound and must not go to
	// an owner, otherwise all overflow of a hot prefix is queued there.
	if req.Attempt < min(p.cfg.Owners, p.cfg.BoundedOffers) {
		if choice, ok := c.chooseOwner(); ok {
			return choice, true
		}
	}
	if choice, ok := c.chooseOverflow(); ok {
		return choice, true
	}
	return c.chooseAny()
}

// chooseOfMany chooses the least loaded of Request.Compare random members. The draw
// is random, so the first of several with the same score is a random one.
func (c *chooser) chooseOfMany() (Choice, bool) {
	c.random = true
	c.collect(c.req.Compare)
	for i := range c.seen.n {
		cand := &c.seen.list[i]
		m := &c.p.members[cand.index]
		// A member below its normal share is the least loaded of nearly any sample.
		// Compared by load alone it would get a full share, however rarely it is drawn.
		cand.score += c.p.reportWeight(c.now, m) * float64(1-m.weight) * c.p.fleet.mean
	}
	if choice, ok := c.leastLoaded(0, ReasonNoPrefix); ok {
		return choice, true
	}
	for i := range c.seen.n {
		c.seen.list[i].overBound = false
	}
	return c.leastLoaded(0, ReasonSaturated)
}

// bound returns the load above which an upstream is passed over. While the fleet
// has free slots it is at most 1, because a request should not queue for one slot
// while another is free.
func (p *Placer) bound() float64 {
	slack := p.cfg.BoundSlack / max(p.fleet.slots, 1)
	bound := max(p.cfg.BoundFloor, p.cfg.BoundRatio*p.fleet.mean+slack)
	if p.fleet.mean < 1 {
		return min(bound, 1)
	}
	return bound
}

// chooseOwner chooses among the owners of the request's prefix, or among random
// members when the request has no prefix.
func (c *chooser) chooseOwner() (Choice, bool) {
	cfg := &c.p.cfg
	if len(c.req.Prefix) == 0 {
		c.random = true
		c.collect(cfg.Owners)
		return c.pickWithinBound(0, ReasonNoPrefix)
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
	c.setOrder(key, width, c.startWithin(width))
	c.collect(cfg.Owners)
	return c.firstWithinBound(reason)
}

// firstWithinBound returns the first owner within the bound. Choosing the less
// loaded of two would send the turns of one conversation to different owners, and
// each would compute what the other has cached.
func (c *chooser) firstWithinBound(reason Reason) (Choice, bool) {
	for _, owner := range c.seen.list[:c.seen.n] {
		if !owner.overBound {
			return c.result(owner, reason), true
		}
	}
	return Choice{}, false
}

// setOrder sets the order of members that collect follows, from its beginning.
func (c *chooser) setOrder(key uint64, width, start int) {
	c.random = false
	c.key, c.width, c.start, c.next = key, width, start, 0
}

// nextIndex returns the index of the next member to compare.
func (c *chooser) nextIndex() int32 {
	if c.random {
		return int32(c.p.rnd.IntN(len(c.p.members)))
	}
	return c.p.owners().owner(c.key, c.nextPosition())
}

// nextPosition returns the next position in the order of members.
func (c *chooser) nextPosition() int {
	i := c.next
	c.next++
	if i < c.width {
		return (c.start + i) % c.width
	}
	return i
}

// startWithin returns the position, among the first width ones, that this request
// tries first. It depends on the prompt after the prefix, so the turns of one
// conversation still go to the same upstream.
func (c *chooser) startWithin(width int) int {
	key, ok := spreadKey(c.req.Prefix)
	if !ok {
		return c.p.rnd.IntN(width)
	}
	return jumpHash(mix(key), width)
}

// chooseOverflow chooses among random further upstreams and ones that reported
// recently. They are random, otherwise a hot owner's overflow goes to one other
// upstream.
func (c *chooser) chooseOverflow() (Choice, bool) {
	from := c.seen.n
	if len(c.req.Prefix) == 0 {
		c.random = true
	} else {
		c.setOrder(c.p.rnd.Uint64(), 1, 0)
	}
	c.collect(c.p.cfg.OverflowCandidates)
	c.collectRecent(c.p.cfg.RecentCandidates)
	reason := ReasonOverflow
	if len(c.req.Prefix) == 0 {
		reason = ReasonNoPrefix
	}
	if choice, ok := c.leastLoaded(from, reason); ok {
		return choice, true
	}
	if c.seen.n == 0 {
		return Choice{}, false
	}
	// Every candidate is over the bound: the fleet is full or the reports are
	// stale. The upstream's own admission queue decides.
	return c.result(c.lessLoadedOfTwo(0, c.seen.n), ReasonSaturated), true
}

// collect adds up to n candidates in the order that setOrder has set.
func (c *chooser) collect(n int) {
	for n > 0 && c.probes < maxProbes && c.seen.n < maxCandidates {
		index := c.nextIndex()
		c.probes++
		if c.seen.has(index) || !c.eligible(index) {
			continue
		}
		c.seen.add(c.newCandidate(index))
		n--
	}
}

// eligible reports whether the member may get this request. A member with a
// weight between 0 and 1 is eligible for that share of the requests.
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

func (c *chooser) newCandidate(index int32) candidate {
	m := &c.p.members[index]
	load := c.p.estimate(c.now, m)
	wait := float64(m.wait) * c.p.reportWeight(c.now, m)
	cand := candidate{index: index, score: load}
	cand.overBound = load > c.bound || wait > float64(c.p.cfg.WaitBound)
	if m.dataCentre != c.req.DataCentre {
		cand.score += c.p.cfg.RemotePenalty
	}
	return cand
}

// pickWithinBound returns the less loaded of two random candidates within the
// bound, leaving out those before index from.
func (c *chooser) pickWithinBound(from int, reason Reason) (Choice, bool) {
	within := from
	list := &c.seen.list
	for i := from; i < c.seen.n; i++ {
		if list[i].overBound {
			continue
		}
		list[within], list[i] = list[i], list[within]
		within++
	}
	if within == from {
		return Choice{}, false
	}
	return c.result(c.lessLoadedOfTwo(from, within), reason), true
}

// leastLoaded returns the least loaded candidate within the bound, leaving out
// those before index from.
func (c *chooser) leastLoaded(from int, reason Reason) (Choice, bool) {
	best := -1
	for i := from; i < c.seen.n; i++ {
		cand := &c.seen.list[i]
		if !cand.overBound && (best < 0 || cand.score < c.seen.list[best].score) {
			best = i
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return c.result(c.seen.list[best], reason), true
}

func (c *chooser) lessLoadedOfTwo(from, end int) candidate {
	list := &c.seen.list
	n := end - from
	a := from + c.p.rnd.IntN(n)
	if n == 1 {
		return list[a]
	}
	b := from + (a-from+1+c.p.rnd.IntN(n-1))%n
	if list[b].score < list[a].score {
		return list[b]
	}
	return list[a]
}

func (c *chooser) result(cand candidate, reason Reason) Choice {
	chosen := &c.p.members[cand.index]
	if !c.allowed(chosen) {
		panic("burdockplace: chose an upstream that is excluded or has weight 0: " + string(chosen.upstream))
	}
	result := Choice{Upstream: chosen.upstream, Reason: reason, Candidates: c.seen.n}
	if c.req.Attempt < c.p.cfg.BoundedOffers && reason != ReasonSaturated {
		result.MaxLoad = c.bound
	}
	return result
}

// chooseAny scans up to maxScan members from a random one on and returns the first
// that is allowed, however small its weight.
func (c *chooser) chooseAny() (Choice, bool) {
	n := len(c.p.members)
	start := c.p.rnd.IntN(n)
	for i := range min(n, maxScan) {
		index := (start + i) % n
		if c.allowed(&c.p.members[index]) {
			c.seen.add(c.newCandidate(int32(index)))
			return c.result(c.seen.list[0], ReasonRemaining), true
		}
	}
	return Choice{}, false
}
