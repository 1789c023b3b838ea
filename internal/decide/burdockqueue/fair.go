package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// fairQueue holds one class: start-time fair queueing by customer.
//
// Load: many customers of unequal size and requests of unequal length, all
// backlogged. Harm prevented: a customer that sends many or long requests gets
// more of the engine than its share. Between two customers that stay
// backlogged, service over share differs by at most shareBound for each: every
// start takes the least virtual time, and what a start was charged wrongly is
// put right at its end, for at most as many requests as there are slots.
type fairQueue struct {
	cfg     ClassConfig
	flows   map[burdockid.Customer]*flow
	byStart indexedHeap[*flow] // flows with queued work, least virtual time first
	byTail  indexedHeap[*flow] // the same flows, the last to be served first
	idle    indexedHeap[*flow] // flows kept only for what they were served ahead

	virtual      float64 // the greatest start tag so far
	activeWeight float64 // of the flows with queued work
	queued       int
	queuedCost   burdockid.Tokens
	running      int
	// maxCharge and maxRunning are the greatest charge of one request and the
	// most requests at a time since the class was last empty.
	maxCharge  burdockid.Tokens
	maxRunning int
	// waitingSince is the last start, or the arrival of the first queued work
	// if that is later.
	waitingSince burdockclock.Millis

	service serviceTime
	starts  meter
}

func newFairQueue(cfg ClassConfig) *fairQueue {
	return &fairQueue{
		cfg:   cfg,
		flows: make(map[burdockid.Customer]*flow),
		byStart: indexedHeap[*flow]{
			less: func(a, b *flow) bool {
				if a.virtual != b.virtual {
					return a.virtual < b.virtual
				}
				return a.customer < b.customer
			},
			index: func(f *flow) *int { return &f.startIndex },
		},
		byTail: indexedHeap[*flow]{
			less: func(a, b *flow) bool {
				if x, y := a.tailTag(), b.tailTag(); x != y {
					return x > y
				}
				return a.customer > b.customer
			},
			index: func(f *flow) *int { return &f.tailIndex },
		},
		idle: indexedHeap[*flow]{
			less:  func(a, b *flow) bool { return a.virtual < b.virtual },
			index: func(f *flow) *int { return &f.idleIndex },
		},
	}
}

// flow returns the customer's flow, a new one if it has none.
func (c *fairQueue) flow(customer burdockid.Customer, weight float64) *flow {
	f, ok := c.flows[customer]
	if !ok {
		f = newFlow(customer, weight, c.virtual)
		c.flows[customer] = f
	}
	return f
}

// startTag is the virtual time at which the customer's next work would start.
func (c *fairQueue) startTag(customer burdockid.Customer, weight float64) float64 {
	f, ok := c.flows[customer]
	if !ok {
		return c.virtual
	}
	if f.queued == 0 {
		return max(f.virtual, c.virtual)
	}
	return f.virtual + float64(f.queuedCost)/weight
}

func (c *fairQueue) push(now burdockclock.Millis, it *item, weight float64) {
	f := c.flow(it.work.Customer, weight)
	it.flow = f
	if c.queued == 0 {
		c.waitingSince = now
	}
	if f.queued == 0 {
		c.idle.remove(f)
		// A customer that comes back has no claim on the time it was away;
		// without this it could hold up all others until it had caught up.
		f.virtual = max(f.virtual, c.virtual)
		f.append(it)
		c.activeWeight += f.weight
		c.byStart.add(f)
		c.byTail.add(f)
	} else {
		f.append(it)
		c.byTail.fix(f)
	}
	c.queued++
	c.queuedCost += charged(it.work.Cost)
}

// remove takes queued work out without charging for it.
func (c *fairQueue) remove(it *item) {
	f := it.flow
	f.unlink(it)
	c.queued--
	c.queuedCost -= charged(it.work.Cost)
	if f.queued > 0 {
		c.byTail.fix(f)
		return
	}
	c.byStart.remove(f)
	c.byTail.remove(f)
	c.activeWeight -= f.weight
	if len(c.byStart.items) == 0 {
		c.activeWeight = 0 // leaves no rounding errors behind
	}
	c.settle(f)
}

// charge accounts for the start of work of f, which may be queued or not.
func (c *fairQueue) charge(now burdockclock.Millis, f *flow, cost burdockid.Tokens) {
	start := f.virtual
	if f.queued == 0 {
		start = max(start, c.virtual)
		c.idle.remove(f)
	}
	c.virtual = max(c.virtual, start)
	f.virtual = start + f.inVirtual(charged(cost))
	f.running++
	c.occupy(cost)
	c.waitingSince = now
	c.starts.add(now, float64(charged(cost)))
	c.refile(f)
	c.forget()
}

// occupy counts running work of a cost.
func (c *fairQueue) occupy(cost burdockid.Tokens) {
	c.running++
	c.maxRunning = max(c.maxRunning, c.running)
	c.maxCharge = max(c.maxCharge, charged(cost))
}

// release ends running work of f and corrects its charge to what was served.
func (c *fairQueue) release(f *flow, cost, served burdockid.Tokens) {
	f.running--
	c.running--
	c.maxCharge = max(c.maxCharge, served)
	f.virtual += f.inVirtual(served - charged(cost))
	c.refile(f)
	c.settle(f)
	c.forget()
}

func (c *fairQueue) refile(f *flow) {
	if f.queued > 0 {
		c.byStart.fix(f)
		c.byTail.fix(f)
	}
}

// settle files a flow that has nothing queued or running: what it was served
// ahead of the others must be remembered, or it would be forgiven by a pause.
func (c *fairQueue) settle(f *flow) {
	if f.queued > 0 || f.running > 0 || f.idleIndex != notInHeap {
		return
	}
	c.idle.add(f)
}

// forget drops idle flows that are ahead of nobody, which bounds memory by the
// customers of the last few rounds instead of all that ever came.
func (c *fairQueue) forget() {
	if c.queued == 0 && c.running == 0 {
		// The end of a busy period: nobody waits, so nobody is owed anything.
		clear(c.flows)
		c.idle.items = nil
		c.virtual, c.maxCharge, c.maxRunning = 0, 0, 0
		return
	}
	for {
		f, ok := c.idle.first()
		if !ok || f.virtual > c.virtual {
			return
		}
		c.idle.remove(f)
		delete(c.flows, f.customer)
	}
}

// next returns the work whose turn it is.
func (c *fairQueue) next() (*item, bool) {
	f, ok := c.byStart.first()
	if !ok {
		return nil, false
	}
	return f.head, true
}

// last returns the newest work of the customer furthest over its share.
func (c *fairQueue) last() (*item, bool) {
	f, ok := c.byTail.first()
	if !ok {
		return nil, false
	}
	return f.tail, true
}

// tokensUntil returns the queued tokens that are served before virtual time
// reaches a tag: meanwhile each backlogged customer is served its weight times
// the span, and together no more than the others have queued.
func (c *fairQueue) tokensUntil(tag, activeWeight float64, others burdockid.Tokens) float64 {
	return min(max(tag-c.virtual, 0)*activeWeight, float64(others))
}

// dueAt returns the instant at which the class must get a start.
func (c *fairQueue) dueAt() burdockclock.Millis {
	if c.queued == 0 || c.cfg.MaxStarvation <= 0 {
		return never
	}
	return c.waitingSince + c.cfg.MaxStarvation
}

// starvationRate returns the tokens a millisecond that the bound on starvation
// gives to the class at the least.
func (c *fairQueue) starvationRate() float64 {
	if c.queued == 0 || c.cfg.MaxStarvation <= 0 {
		return 0
	}
	mean := float64(c.queuedCost) / float64(c.queued)
	return mean / float64(c.cfg.MaxStarvation)
}

// shareBound is how far in tokens a backlogged customer may be from its share:
// as many requests as ran beside each other, each of the greatest charge.
func (c *fairQueue) shareBound() float64 {
	return float64(max(c.maxRunning, 1)) * float64(c.maxCharge)
}

// reweigh takes over new shares. What a flow is ahead or behind in tokens stays.
func (c *fairQueue) reweigh(share func(burdockid.Customer) float64) {
	c.activeWeight = 0
	for _, f := range c.flows {
		weight := share(f.customer)
		f.virtual = c.virtual + (f.virtual-c.virtual)*f.weight/weight
		f.weight = weight
		if f.queued > 0 {
			c.activeWeight += weight
		}
	}
	c.byStart.rebuild()
	c.byTail.rebuild()
	c.idle.rebuild()
}

// inOrder returns all queued work, each customer's oldest first. It is for a
// change of profile and for checks; its cost grows with the queue.
func (c *fairQueue) inOrder() []*item {
	var items []*item
	for _, f := range c.byStart.items {
		for it := f.head; it != nil; it = it.next {
			items = append(items, it)
		}
	}
	return items
}

// adopt takes over running work of a class that is gone.
func (c *fairQueue) adopt(it *item, weight float64) *flow {
	f := c.flow(it.work.Customer, weight)
	c.idle.remove(f)
	f.running++
	c.occupy(it.work.Cost)
	return f
}
