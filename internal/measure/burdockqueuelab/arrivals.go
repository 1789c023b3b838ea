package burdockqueuelab

import (
	"fmt"
	"math"
	"sort"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
)

// request is one caller's request as the lab knows it.
type request struct {
	work burdockqueue.Request
	// tokens is what it takes in truth; work.Cost is the estimate.
	tokens float64

	outcome  outcome
	attempts int
	offered  burdockclock.Millis // the instant of the last attempt
	running  bool                // has ever had a slot
	started  burdockclock.Millis
	served   float64 // tokens so far
	inWindow float64 // tokens served within the measured time
	// toldAfter is how long the last attempt waited for its refusal.
	toldAfter burdockclock.Millis
}

// outcome is how a request ended for its caller.
type outcome int

const (
	outcomeOpen    outcome = iota
	outcomeInTime          // whole answer by the deadline
	outcomeCut             // running when the caller hung up
	outcomeUntold          // queued when the caller hung up
	outcomeRefused         // told that it was not run, with no time to come back
)

// arrivals draws the requests of a scenario in the order of arrival.
func (l *lab) arrivals() []*request {
	var all []*request
	s := l.scenario
	for class := range s.classes {
		all = append(all, l.stream(class)...)
	}
	if s.returning > 0 {
		all = append(all, l.comeBack()...)
	}
	sortByArrival(all)
	for i, r := range all {
		r.work.ID = burdockid.Request(fmt.Sprintf("r%06d", i))
	}
	return all
}

// stream draws one class as a Poisson process, by thinning one at the peak.
func (l *lab) stream(class int) []*request {
	s := l.scenario
	peak := 1.0
	if s.factor != nil {
		peak = burstFactor
	}
	parts, total := l.customerParts()
	perMilli := s.load * total * l.capacity() * s.classes[class].part / s.classes[class].meanTokens
	var all []*request
	for at := 0.0; ; {
		at += l.rnd.ExpFloat64() / (perMilli * peak)
		now := burdockclock.Millis(at)
		if now >= l.cfg.duration {
			return all
		}
		if s.factor != nil && l.rnd.Float64()*peak > s.factor(now, l.cfg.duration) {
			continue
		}
		all = append(all, l.draw(now, class, l.pickCustomer(parts, total)))
	}
}

// comeBack draws the work that returns at once, in the usual mix.
func (l *lab) comeBack() []*request {
	s := l.scenario
	parts, total := l.customerParts()
	var all []*request
	for class, c := range s.classes {
		n := int(s.returning * float64(burdockclock.Second) * l.capacity() * c.part / c.meanTokens)
		for range n {
			at := returnAt + burdockclock.Millis(l.rnd.Int64N(int64(returnWithin)))
			all = append(all, l.draw(at, class, l.pickCustomer(parts, total)))
		}
	}
	return all
}

// customerParts returns each customer's part of the load. They sum to 1 unless
// one customer sends more than its share.
func (l *lab) customerParts() (parts []float64, total float64) {
	sum := 0.0
	for _, c := range customers {
		sum += c.share
	}
	for _, c := range customers {
		part := c.share / sum
		if c.name == l.scenario.hog {
			part *= l.scenario.hogFactor
		}
		parts = append(parts, part)
		total += part
	}
	return parts, total
}

func (l *lab) pickCustomer(parts []float64, total float64) burdockid.Customer {
	x := l.rnd.Float64() * total
	for i, part := range parts {
		if x < part {
			return customers[i].name
		}
		x -= part
	}
	return customers[len(customers)-1].name
}

func (l *lab) draw(now burdockclock.Millis, class int, customer burdockid.Customer) *request {
	c := l.scenario.classes[class]
	// The mean of a log-normal variable is exp(mu + sigma²/2).
	tokens := c.meanTokens * math.Exp(c.sigma*l.rnd.NormFloat64()-c.sigma*c.sigma/2)
	tokens = math.Max(1, math.Round(tokens))
	estimate := tokens * math.Exp(l.cfg.estimateError*l.rnd.NormFloat64())
	return &request{
		tokens: tokens,
		work: burdockqueue.Request{
			Customer: customer,
			Class:    burdockqueue.Class(class),
			Cost:     burdockid.Tokens(math.Max(1, math.Round(estimate))),
			Arrived:  now,
			Deadline: now + c.patience,
		},
	}
}

func sortByArrival(all []*request) {
	sort.SliceStable(all, func(i, j int) bool { return all[i].work.Arrived < all[j].work.Arrived })
}
