package burdockqueuelab

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
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
