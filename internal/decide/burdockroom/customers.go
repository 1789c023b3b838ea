package burdockroom

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// minService is the number of tokens below which what a customer has had is forgotten.
	minService = 1.0
	// serviceTime is for how long a share of the room has to last to count as one request.
	// It is about the length of a stream.
	serviceTime = burdockclock.Second
	// sweepInterval is how often what customers have had is reduced.
	sweepInterval = burdockclock.Second
	// levelTolerance, in streams, ends the search for a level.
	levelTolerance = 0.02
	// maxLevelSteps bounds the search. Every other step halves the interval.
	maxLevelSteps = 100
)

type customerKey struct {
	priority int
	customer burdockid.Customer
}

// customer is one customer's waiting work of one priority at all entries.
type customer struct {
	key     customerKey
	waiting int
	cost    float64 // tokens of all its waiting requests
	had     float64 // tokens that it was granted of late
	index   int     // in customers.byPriority
}

// costEach returns the tokens of one of the customer's requests.
func (c *customer) costEach() float64 { return max(c.cost/float64(max(c.waiting, 1)), 1) }

// customerWaiting is what one customer waits for at one entry.
type customerWaiting struct {
	*customer
	waiting int
	cost    float64
}

// customers holds the customers that wait, and those that were served of late. It handles a
// customer that sends to many entries: each entry alone would give it a share.
type customers struct {
	byKey      map[customerKey]*customer
	byPriority [Priorities][]*customer
	limit      int
	sweptAt    burdockclock.Millis
}

func newCustomers(limit int) customers {
	return customers{byKey: map[customerKey]*customer{}, limit: limit}
}

// attach adds the waiting work that an entry reports. What exceeds the entry's waiting work
// of a priority doesn't count, and customers beyond the limit count as unlisted.
func (cs *customers) attach(e *entry, demands []CustomerDemand) {
	e.unlisted = e.waiting
	for _, d := range demands {
		waiting := min(d.Waiting, e.unlisted[d.Priority])
		if waiting == 0 {
			continue
		}
		c := cs.find(customerKey{d.Priority, d.Customer})
		if c == nil {
			continue
		}
		e.unlisted[d.Priority] -= waiting
		w := customerWaiting{customer: c, waiting: waiting, cost: float64(d.Cost) * float64(waiting) / float64(d.Waiting)}
		c.waiting += w.waiting
		c.cost += w.cost
		e.customers = append(e.customers, w)
	}
}

// detach takes out the waiting work of an entry.
func (cs *customers) detach(e *entry) {
	for _, w := range e.customers {
		w.customer.waiting -= w.waiting
		w.customer.cost -= w.cost
		if w.customer.waiting == 0 {
			w.customer.cost = 0 // without rounding errors
		}
	}
	e.customers = e.customers[:0]
}

// find returns a customer, or nil if there are too many.
func (cs *customers) find(key customerKey) *customer {
	c, ok := cs.byKey[key]
	if !ok && len(cs.byKey) < cs.limit {
		c = &customer{key: key, index: len(cs.byPriority[key.priority])}
		cs.byKey[key] = c
		cs.byPriority[key.priority] = append(cs.byPriority[key.priority], c)
	}
	return c
}

// sweep reduces what customers have had, and drops those that have had nothing of late.
func (cs *customers) sweep(now, halfLife burdockclock.Millis) {
	if now-cs.sweptAt < sweepInterval {
		return
	}
	factor := math.Exp2(-float64(now-cs.sweptAt) / float64(halfLife))
	cs.sweptAt = now
	for _, c := range cs.byKey {
		c.had *= factor
		if c.waiting == 0 && c.had < minService {
			cs.drop(c)
		}
	}
}

func (cs *customers) drop(c *customer) {
	delete(cs.byKey, c.key)
	list := cs.byPriority[c.key.priority]
	last := list[len(list)-1]
	list[c.index], last.index = last, c.index
	cs.byPriority[c.key.priority] = list[:len(list)-1]
}

// level is up to how many tokens, with those that they have had, the customers of a
// priority get. Unlisted customers count as ones with a request each that have had the mean.
type level struct {
	tokens   float64
	unlisted float64 // the fraction of unlisted requests that start
}

// everything is the level at which all waiting requests start.
var everything = level{tokens: math.Inf(1), unlisted: 1}

// startsOf returns how many of a customer's waiting requests, at all entries, may start.
func (l level) startsOf(c *customer) float64 {
	return min(max((l.tokens-c.had)/c.costEach(), 0), float64(c.waiting))
}

// starts returns how many of an entry's waiting requests of a priority may start. Of one
// customer's requests, each entry may start the same fraction.
func (l level) starts(e *entry, p int) float64 {
	if e.waiting[p] == 0 {
		return 0
	}
	sum := l.unlisted * float64(e.unlisted[p])
	for _, w := range e.customers {
		if w.key.priority == p {
			sum += l.startsOf(w.customer) * float64(w.waiting) / float64(w.customer.waiting)
		}
	}
	return sum
}

// levelFor returns the level at which the given number of requests of a priority starts, of
// which there are more.
func (cs *customers) levelFor(p, unlisted int, starts float64) level {
	if starts <= 0 {
		return level{}
	}
	had, cost, top := cs.means(p)
	at := func(tokens float64) level {
		return level{tokens: tokens, unlisted: min(max((tokens-had)/cost, 0), 1)}
	}
	low, high := 0.0, max(top, had+cost)
	lowSum, highSum := 0.0, cs.sum(p, unlisted, at(high))
	for step := range maxLevelSteps {
		// Interpolation alone can approach the level from one side for many steps.
		part := 0.5
		if step%2 == 0 {
			part = (starts - lowSum) / max(highSum-lowSum, levelTolerance)
		}
		middle := at(low + (high-low)*min(max(part, 0), 1))
		sum := cs.sum(p, unlisted, middle)
		switch {
		case math.Abs(sum-starts) <= levelTolerance:
			return middle
		case sum > starts:
			high, highSum = middle.tokens, sum
		default:
			low, lowSum = middle.tokens, sum
		}
	}
	return at(low)
}

// means returns what the waiting customers of a priority have had and what a request costs,
// on average, and the level at which all of their requests start.
func (cs *customers) means(p int) (had, cost, top float64) {
	n := 0.0
	for _, c := range cs.byPriority[p] {
		if c.waiting == 0 {
			continue
		}
		n++
		had += c.had
		cost += c.costEach()
		top = max(top, c.had+c.costEach()*float64(c.waiting))
	}
	n = max(n, 1)
	return had / n, max(cost/n, 1), top
}

// sum returns how many requests of a priority start at a level.
func (cs *customers) sum(p, unlisted int, l level) float64 {
	sum := l.unlisted * float64(unlisted)
	for _, c := range cs.byPriority[p] {
		if c.waiting > 0 {
			sum += l.startsOf(c)
		}
	}
	return sum
}

// charge adds to what the customers of an entry have had: their share of the room, for as
// long as the entry's last part was in force.
func (d *Divider) charge(now burdockclock.Millis, e *entry) {
	weight := float64(min(now-e.receivedAt, serviceTime)) / float64(serviceTime)
	for _, w := range e.customers {
		starts := d.division.shares[w.key.priority].waiting.startsOf(w.customer)
		w.customer.had += weight * starts * w.costEach() * float64(w.waiting) / float64(w.customer.waiting)
	}
}
