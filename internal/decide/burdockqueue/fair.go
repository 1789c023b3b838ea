package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// fairQueue is the queue of one class: start-time fair queueing by customer.
//
// With many backlogged customers of unequal size and requests of unequal length, it
// prevents a customer from getting more than its share of the engine by sending many or
// long requests. The service over share of two backlogged customers differs by at most
// shareBound for each of them: every start takes the lowest start tag, and a wrong cost
// estimate is corrected when the request ends, so that at most as many requests as there
// are slots are charged wrongly at a time.
type fairQueue struct {
	cfg         ClassConfig
	flows       map[burdockid.Customer]*flow
	byStartTag  indexedHeap[*flow] // flows with queued requests, lowest virtual time first
	byFinishTag indexedHeap[*flow] // the same flows, highest finish tag first
	idle        indexedHeap[*flow] // flows with nothing queued or running

	virtualTime  float64 // the highest start tag so far
	activeWeight float64 // sum over the flows with queued requests
	queued       int
	queuedCost   burdockid.Tokens
	running      int
	// maxCharge and maxRunning are the greatest cost charged for one request and the most
	// requests running at a time since the class was last empty.
	maxCharge  burdockid.Tokens
	maxRunning int
	// waitingSince is the time of the last start or, if later, of the arrival of the
	// first queued request.
	waitingSince burdockclock.Millis

	service    serviceEstimator
	startMeter meter
}

func newFairQueue(cfg ClassConfig) *fairQueue {
	return &fairQueue{
		cfg:   cfg,
		flows: make(map[burdockid.Customer]*flow),
		byStartTag: indexedHeap[*flow]{
			less: func(a, b *flow) bool {
				if a.virtualTime != b.virtualTime {
					return a.virtualTime < b.virtualTime
				}
				return a.customer < b.customer
			},
			index: func(f *flow) *int { return &f.startTagIndex },
		},
		byFinishTag: indexedHeap[*flow]{
			less: func(a, b *flow) bool {
				if x, y := a.finishTag(), b.finishTag(); x != y {
					return x > y
				}
				return a.customer > b.customer
			},
			index: func(f *flow) *int { return &f.finishTagIndex },
		},
		idle: indexedHeap[*flow]{
			less:  func(a, b *flow) bool { return a.virtualTime < b.virtualTime },
			index: func(f *flow) *int { return &f.idleIndex },
		},
	}
}

// flow returns the customer's flow and creates it if necessary.
func (c *fairQueue) flow(customer burdockid.Customer, weight float64) *flow {
	f, ok := c.flows[customer]
	if !ok {
		f = newFlow(customer, weight, c.virtualTime)
		c.flows[customer] = f
	}
	return f
}

// startTag returns the start tag that the customer's next request would get: the virtual
// time at which it starts.
func (c *fairQueue) startTag(customer burdockid.Customer, weight float64) float64 {
	f, ok := c.flows[customer]
	if !ok {
		return c.virtualTime
	}
	if f.queued == 0 {
		return max(f.virtualTime, c.virtualTime)
	}
	if c.cfg.NewestFirst {
		return f.virtualTime
	}
	return f.virtualTime + float64(f.queuedCost)/weight
}

func (c *fairQueue) push(now burdockclock.Millis, it *item, weight float64) {
	f := c.flow(it.req.Customer, weight)
	it.flow = f
	if c.queued == 0 {
		c.waitingSince = now
	}
	if f.queued == 0 {
		c.idle.remove(f)
		// A returning customer gets no credit for the time it had nothing queued.
		// Otherwise it would block all others until it had caught up.
		f.virtualTime = max(f.virtualTime, c.virtualTime)
		f.append(it)
		c.activeWeight += f.weight
		c.byStartTag.add(f)
		c.byFinishTag.add(f)
	} else {
		f.append(it)
		c.byFinishTag.fix(f)
	}
	c.queued++
	c.queuedCost += chargedCost(it.req.Cost)
}

// remove removes a queued request without charging for it.
func (c *fairQueue) remove(it *item) {
	f := it.flow
	f.unlink(it)
	c.queued--
	c.queuedCost -= chargedCost(it.req.Cost)
	if f.queued > 0 {
		c.byFinishTag.fix(f)
		return
	}
	c.byStartTag.remove(f)
	c.byFinishTag.remove(f)
	c.activeWeight -= f.weight
	if len(c.byStartTag.items) == 0 {
		c.activeWeight = 0 // clears accumulated rounding errors
	}
	c.trackIdle(f)
}

// charge records the start of a request of f, whether or not f has others queued.
func (c *fairQueue) charge(now burdockclock.Millis, f *flow, cost burdockid.Tokens) {
	start := f.virtualTime
	if f.queued == 0 {
		start = max(start, c.virtualTime)
		c.idle.remove(f)
	}
	c.virtualTime = max(c.virtualTime, start)
	f.virtualTime = start + f.toVirtualTime(chargedCost(cost))
	f.running++
	c.countRunning(cost)
	c.waitingSince = now
	c.startMeter.add(now, float64(chargedCost(cost)))
	c.fixHeaps(f)
	c.pruneIdle()
}

// countRunning records one more running request of the given cost.
func (c *fairQueue) countRunning(cost burdockid.Tokens) {
	c.running++
	c.maxRunning = max(c.maxRunning, c.running)
	c.maxCharge = max(c.maxCharge, chargedCost(cost))
}

// release records the end of a running request of f and corrects its charge to the tokens
// served.
func (c *fairQueue) release(f *flow, cost, served burdockid.Tokens) {
	f.running--
	c.running--
	c.maxCharge = max(c.maxCharge, served)
	f.virtualTime += f.toVirtualTime(served - chargedCost(cost))
	c.fixHeaps(f)
	c.trackIdle(f)
	c.pruneIdle()
}

func (c *fairQueue) fixHeaps(f *flow) {
	if f.queued > 0 {
		c.byStartTag.fix(f)
		c.byFinishTag.fix(f)
	}
}

// trackIdle adds f to the idle flows if it has nothing queued or running. A flow that was
// served more than its share is kept until the others have caught up; otherwise a short
// pause would clear its excess.
func (c *fairQueue) trackIdle(f *flow) {
	if f.queued > 0 || f.running > 0 || f.idleIndex != notInHeap {
		return
	}
	c.idle.add(f)
}

// pruneIdle deletes the idle flows that are not ahead of the class's virtual time. It
// bounds the memory by recently active customers instead of all that ever sent a request.
func (c *fairQueue) pruneIdle() {
	if c.queued == 0 && c.running == 0 {
		// The end of a busy period: nothing is queued or running, so all accounts start
		// afresh.
		clear(c.flows)
		c.idle.items = nil
		c.virtualTime, c.maxCharge, c.maxRunning = 0, 0, 0
		return
	}
	for {
		f, ok := c.idle.first()
		if !ok || f.virtualTime > c.virtualTime {
			return
		}
		c.idle.remove(f)
		delete(c.flows, f.customer)
	}
}

// next returns the request to start next.
func (c *fairQueue) next() (*item, bool) {
	f, ok := c.byStartTag.first()
	if !ok {
		return nil, false
	}
	if c.cfg.NewestFirst {
		return f.tail, true
	}
	return f.head, true
}

// evictionCandidate returns the request that starts last of the customer furthest over its
// share.
func (c *fairQueue) evictionCandidate() (*item, bool) {
	f, ok := c.byFinishTag.first()
	if !ok {
		return nil, false
	}
	if c.cfg.NewestFirst {
		return f.head, true
	}
	return f.tail, true
}

// queuedTag returns the virtual time at which a queued request starts. With NewestFirst it
// depends on later arrivals, and the tag is the lowest possible one.
func (c *fairQueue) queuedTag(it *item) float64 {
	if c.cfg.NewestFirst {
		return it.flow.virtualTime
	}
	return it.flow.startTag(it)
}

// isBounded reports whether MaxRunning keeps the class from a start while the given number
// of requests run.
func (c *fairQueue) isBounded(running int) bool {
	return c.cfg.MaxRunning > 0 && running >= c.cfg.MaxRunning
}

// tokensBeforeTag returns how many of the queued tokens are served before the virtual
// time reaches tag. Until then each backlogged customer is served its weight times the
// remaining virtual time, and all together at most what is queued.
func (c *fairQueue) tokensBeforeTag(tag, activeWeight float64, queued burdockid.Tokens) float64 {
	return min(max(tag-c.virtualTime, 0)*activeWeight, float64(queued))
}

// starvationDeadline returns the time at which the class must get a start, or never.
func (c *fairQueue) starvationDeadline() burdockclock.Millis {
	if c.queued == 0 || c.cfg.MaxStarvation <= 0 {
		return never
	}
	return c.waitingSince + c.cfg.MaxStarvation
}

// starvationRate returns the minimum service rate that MaxStarvation guarantees to the
// class, in tokens per millisecond.
func (c *fairQueue) starvationRate() float64 {
	if c.queued == 0 || c.cfg.MaxStarvation <= 0 {
		return 0
	}
	mean := float64(c.queuedCost) / float64(c.queued)
	return mean / float64(c.cfg.MaxStarvation)
}

// shareBound returns how far a backlogged customer may deviate from its share, in tokens:
// the most requests that ran concurrently, each with the greatest charge.
func (c *fairQueue) shareBound() float64 {
	return float64(max(c.maxRunning, 1)) * float64(c.maxCharge)
}

// updateWeights applies new shares. Each flow stays ahead or behind by the same number of
// tokens.
func (c *fairQueue) updateWeights(share func(burdockid.Customer) float64) {
	c.activeWeight = 0
	for _, f := range c.flows {
		weight := share(f.customer)
		f.virtualTime = c.virtualTime + (f.virtualTime-c.virtualTime)*f.weight/weight
		f.weight = weight
		if f.queued > 0 {
			c.activeWeight += weight
		}
	}
	c.byStartTag.rebuild()
	c.byFinishTag.rebuild()
	c.idle.rebuild()
}

// snapshot returns all queued requests, the oldest of each customer first. Its cost
// grows with the queue; it is used only when the configuration changes.
func (c *fairQueue) snapshot() []*item {
	var items []*item
	for _, f := range c.byStartTag.items {
		for it := f.head; it != nil; it = it.next {
			items = append(items, it)
		}
	}
	return items
}

// adoptRunning adds a running request of a class that was removed.
func (c *fairQueue) adoptRunning(it *item, weight float64) *flow {
	f := c.flow(it.req.Customer, weight)
	c.idle.remove(f)
	f.running++
	c.countRunning(it.req.Cost)
	return f
}
