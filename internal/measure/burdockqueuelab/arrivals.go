package burdockqueuelab

import (
	"fmt"
	"math"
	"sort"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
)

// request is a simulated request with the state of its caller.
type request struct {
	work burdockqueue.Request
	// actualTokens is the true cost; work.Cost is the estimate that the queue uses.
	actualTokens float64

	outcome        outcome
	attempts       int
	lastOffered    burdockclock.Millis // time of the last attempt
	everStarted    bool                // got a slot, also if it has finished since
	startedAt      burdockclock.Millis
	served         float64 // tokens served so far
	measuredTokens float64 // tokens served within the measured time
	// timeToRefusal is the time from the last attempt to its refusal.
	timeToRefusal burdockclock.Millis
}

// outcome is the result of a request for its caller.
type outcome int

const (
	outcomePending     outcome = iota
	outcomeInTime              // complete answer by the deadline
	outcomeInterrupted         // running when the caller hung up
	outcomeUnanswered          // queued when the caller hung up
	outcomeRefused             // refused, with no attempt or no time left for a retry
)

// arrivals generates the requests of the scenario in order of arrival.
func (l *lab) arrivals() []*request {
	var all []*request
	s := l.scenario
	for class := range s.classes {
		all = append(all, l.classArrivals(class)...)
	}
	if s.backlogSeconds > 0 {
		all = append(all, l.backlog()...)
	}
	sortByArrival(all)
	for i, r := range all {
		r.work.ID = burdockid.Request(fmt.Sprintf("r%06d", i))
	}
	return all
}

// classArrivals generates the requests of one class as a Poisson process. A varying
// rate is produced by thinning a process with the peak rate.
func (l *lab) classArrivals(class int) []*request {
	s := l.scenario
	peak := 1.0
	if s.loadFactor != nil {
		peak = burstFactor
	}
	loads, total := l.customerLoads()
	perMilli := s.load * total * l.capacity() * s.classes[class].tokenShare / s.classes[class].meanTokens
	var all []*request
	for at := 0.0; ; {
		at += l.rnd.ExpFloat64() / (perMilli * peak)
		now := burdockclock.Millis(at)
		if now >= l.cfg.duration {
			return all
		}
		if s.loadFactor != nil && l.rnd.Float64()*peak > s.loadFactor(now, l.cfg.duration) {
			continue
		}
		all = append(all, l.newRequest(now, class, l.pickCustomer(loads, total)))
	}
}

// backlog generates the requests that arrive together at backlogAt, with the
// scenario's mix of classes and customers.
func (l *lab) backlog() []*request {
	s := l.scenario
	loads, total := l.customerLoads()
	var all []*request
	for class, c := range s.classes {
		n := int(s.backlogSeconds * float64(burdockclock.Second) * l.capacity() * c.tokenShare / c.meanTokens)
		for range n {
			at := backlogAt + burdockclock.Millis(l.rnd.Int64N(int64(backlogSpread)))
			all = append(all, l.newRequest(at, class, l.pickCustomer(loads, total)))
		}
	}
	return all
}

// customerLoads returns the load of each customer, relative to the scenario's load,
// and their sum. The sum is 1 unless heavyCustomer sends more than its share.
func (l *lab) customerLoads() (loads []float64, total float64) {
	sum := 0.0
	for _, c := range customers {
		sum += c.share
	}
	for _, c := range customers {
		load := c.share / sum
		if c.name == l.scenario.heavyCustomer {
			load *= l.scenario.heavyFactor
		}
		loads = append(loads, load)
		total += load
	}
	return loads, total
}

func (l *lab) pickCustomer(loads []float64, total float64) burdockid.Customer {
	x := l.rnd.Float64() * total
	for i, load := range loads {
		if x < load {
			return customers[i].name
		}
		x -= load
	}
	return customers[len(customers)-1].name
}

func (l *lab) newRequest(now burdockclock.Millis, class int, customer burdockid.Customer) *request {
	c := l.scenario.classes[class]
	// The mean of a log-normal variable is exp(mu + sigma²/2).
	actualTokens := c.meanTokens * math.Exp(c.sigma*l.rnd.NormFloat64()-c.sigma*c.sigma/2)
	actualTokens = math.Max(1, math.Round(actualTokens))
	estimate := actualTokens * math.Exp(l.cfg.estimateError*l.rnd.NormFloat64())
	return &request{
		actualTokens: actualTokens,
		work: burdockqueue.Request{
			Customer: customer,
			Class:    burdockqueue.Class(class),
			Cost:     burdockid.Tokens(math.Max(1, math.Round(estimate))),
			Arrived:  now,
			Deadline: now + c.timeout,
		},
	}
}

func sortByArrival(all []*request) {
	sort.SliceStable(all, func(i, j int) bool { return all[i].work.Arrived < all[j].work.Arrived })
}
