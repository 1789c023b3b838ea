package burdockqueuelab

import (
	"fmt"
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
)

// classLoad describes the requests of one priority class.
type classLoad struct {
	name string
	// part is the class's part of the offered tokens.
	part       float64
	meanTokens float64
	// sigma is the spread of the logarithm of the tokens.
	sigma    float64
	patience burdockclock.Millis // from arrival to deadline
}

// scenario is one load on one engine.
type scenario struct {
	name string
	what string
	// slots is 0 to take the command's.
	slots   int
	load    float64 // offered tokens as a part of capacity
	classes []classLoad
	// factor varies the load over time, as a part of the duration; nil is 1.
	factor func(at, duration burdockclock.Millis) float64
	// speed varies the engine's token rate over time; nil is 1.
	speed func(at, duration burdockclock.Millis) float64
	// hog is a customer that sends hogFactor times its part of the load.
	hog       burdockid.Customer
	hogFactor float64
	// returning is the work that comes back at once at returnAt, in seconds of
	// the engine's capacity.
	returning float64
}

const (
	returnAt     = 10 * burdockclock.Second
	returnWithin = burdockclock.Second / 2

	burstEvery  = 30 * burdockclock.Second
	burstLength = 3 * burdockclock.Second
	burstFactor = 5.0

	slowSpeed = 0.3

	skewFactor = 20.0
)

// The classes of most scenarios: status replies and payout checks; answers to
// an engineer or member who waits; statements and letters.
var usualClasses = []classLoad{
	{name: "urgent", part: 0.1, meanTokens: 80, sigma: 0.4, patience: 2 * burdockclock.Second},
	{name: "waiting", part: 0.4, meanTokens: 500, sigma: 0.6, patience: 15 * burdockclock.Second},
	{name: "letters", part: 0.5, meanTokens: 2000, sigma: 0.6, patience: 2 * burdockclock.Minute},
}

var mixedClasses = []classLoad{
	{name: "urgent", part: 0.05, meanTokens: 40, sigma: 0.4, patience: 2 * burdockclock.Second},
	{name: "letters", part: 0.95, meanTokens: 8000, sigma: 0.5, patience: 10 * burdockclock.Minute},
}

var scenarios = []scenario{
	{name: "steady", what: "load below capacity", load: 0.8, classes: usualClasses},
	{name: "burst", what: "0.6 of capacity, five times that for 3 s of every 30 s", load: 0.6, classes: usualClasses, factor: bursts},
	{name: "skew", what: "0.8 of capacity, and one customer sends 20 times its share", load: 0.8, classes: usualClasses, hog: "c07", hogFactor: skewFactor},
	{name: "slow", what: "0.8 of capacity; the engine falls to 0.3 of its rate for the middle third", load: 0.8, classes: usualClasses, speed: slowThird},
	{name: "mixed", what: "short urgent replies beside long prompts on 4 slots at 1.5 of capacity", slots: 4, load: 1.5, classes: mixedClasses},
	{name: "saturation", what: "2 times capacity throughout", load: 2, classes: usualClasses},
	{name: "return", what: "60 s of work comes back within half a second, then 0.7 of capacity", load: 0.7, classes: usualClasses, returning: 60},
}

func bursts(at, _ burdockclock.Millis) float64 {
	if at%burstEvery < burstLength {
		return burstFactor
	}
	return 1
}

func slowThird(at, duration burdockclock.Millis) float64 {
	if at > duration/3 && at <= duration*2/3 {
		return slowSpeed
	}
	return 1
}

func scenarioByName(name string) (scenario, error) {
	for _, s := range scenarios {
		if s.name == name {
			return s, nil
		}
	}
	return scenario{}, fmt.Errorf("no scenario %q; there are %s", name, scenarioNames())
}

// customers are about as many as a site has, a few of them large.
var customers = []struct {
	name  burdockid.Customer
	share float64
}{
	{"c01", 8}, {"c02", 4}, {"c03", 2}, {"c04", 1}, {"c05", 1},
	{"c06", 1}, {"c07", 1}, {"c08", 1}, {"c09", 1}, {"c10", 1},
}

func shares() map[burdockid.Customer]float64 {
	m := make(map[burdockid.Customer]float64)
	for _, c := range customers {
		m[c.name] = c.share
	}
	return m
}

// request is one caller's request as the lab knows it.
type request struct {
	work burdockqueue.Work
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
		work: burdockqueue.Work{
			Customer: customer,
			Class:    burdockqueue.Class(class),
			Cost:     burdockid.Tokens(math.Max(1, math.Round(estimate))),
			Arrived:  now,
			Deadline: now + c.patience,
		},
	}
}
