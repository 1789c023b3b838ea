package burdockqueuelab

import (
	"fmt"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// classLoad describes the requests of one priority class.
type classLoad struct {
	name string
	// tokenShare is the class's fraction of the offered tokens.
	tokenShare float64
	meanTokens float64
	// sigma is the standard deviation of the logarithm of the tokens.
	sigma   float64
	timeout burdockclock.Millis // from arrival to deadline
}

// scenario describes the load on an engine and the engine's speed.
type scenario struct {
	name        string
	description string
	// slots overrides the number of slots unless 0.
	slots   int
	load    float64 // offered tokens as a fraction of capacity
	classes []classLoad
	// loadFactor varies the load over the run; nil is 1 throughout.
	loadFactor func(at, duration burdockclock.Millis) float64
	// speed varies the engine's token rate over the run; nil is 1 throughout.
	speed func(at, duration burdockclock.Millis) float64
	// heavyCustomer sends heavyFactor times its share of the load.
	heavyCustomer burdockid.Customer
	heavyFactor   float64
	// backlogSeconds is the amount of requests that arrive together at backlogAt, in
	// seconds of the engine's capacity.
	backlogSeconds float64
}

const (
	backlogAt     = 10 * burdockclock.Second
	backlogSpread = burdockclock.Second / 2

	burstEvery  = 30 * burdockclock.Second
	burstLength = 3 * burdockclock.Second
	burstFactor = 5.0

	slowSpeed = 0.3

	skewFactor = 20.0
)

// typicalClasses are the classes of most scenarios. The urgent class stands for status
// replies and payout checks, the waiting class for answers to an engineer or member
// who waits for them, and the last one for statements and letters.
var typicalClasses = []classLoad{
	{name: "urgent", tokenShare: 0.1, meanTokens: 80, sigma: 0.4, timeout: 2 * burdockclock.Second},
	{name: "waiting", tokenShare: 0.4, meanTokens: 500, sigma: 0.6, timeout: 15 * burdockclock.Second},
	{name: "letters", tokenShare: 0.5, meanTokens: 2000, sigma: 0.6, timeout: 2 * burdockclock.Minute},
}

var mixedClasses = []classLoad{
	{name: "urgent", tokenShare: 0.05, meanTokens: 40, sigma: 0.4, timeout: 2 * burdockclock.Second},
	{name: "letters", tokenShare: 0.95, meanTokens: 8000, sigma: 0.5, timeout: 10 * burdockclock.Minute},
}

var scenarios = []scenario{
	{name: "steady", description: "load below capacity", load: 0.8, classes: typicalClasses},
	{name: "burst", description: "0.6 of capacity, five times that for 3 s of every 30 s", load: 0.6, classes: typicalClasses, loadFactor: bursts},
	{name: "skew", description: "0.8 of capacity, and one customer sends 20 times its share", load: 0.8, classes: typicalClasses, heavyCustomer: "c07", heavyFactor: skewFactor},
	{name: "slow", description: "0.8 of capacity; the engine falls to 0.3 of its rate for the middle third", load: 0.8, classes: typicalClasses, speed: slowThird},
	{name: "mixed", description: "short urgent replies beside long prompts on 4 slots at 1.5 of capacity", slots: 4, load: 1.5, classes: mixedClasses},
	{name: "saturation", description: "2 times capacity throughout", load: 2, classes: typicalClasses},
	{name: "return", description: "60 s of work comes back within half a second, then 0.7 of capacity", load: 0.7, classes: typicalClasses, backlogSeconds: 60},
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

// customers resemble those of a site in number; a few have large shares.
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
