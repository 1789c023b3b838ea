// Package burdockplacelab measures how requests are placed, beside simple
// policies and beside perfect knowledge.
//
// It drives the project's pure placing package against replicas that are no
// more than a queue, some slots and a bounded cache of prefixes, in simulated
// time. The same seed gives every policy the same requests.
package burdockplacelab

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
)

// Options are the values of one run.
type Options struct {
	Replicas    int
	Entries     int
	DataCentres int
	// Lag is how old a load report is when an entry gets it.
	Lag burdockclock.Millis
	// Seed determines every request and every random choice.
	Seed uint64
	// Slots is how many requests a replica works on together.
	Slots int
	// Utilisation is the share of all slots that the requests fill on average.
	Utilisation float64
	Scenario    Scenario
	// PrefixesPerReplica is how many system prompts there are for each replica.
	PrefixesPerReplica int
	// Skew is the exponent of the Zipf law by which requests choose a system
	// prompt: 0 is even.
	Skew float64
	// CacheTokens is how much of prefixes one replica keeps.
	CacheTokens burdockid.Tokens
	// WarmUp and Measured are the spans before and during which is measured.
	WarmUp   burdockclock.Millis
	Measured burdockclock.Millis
	// PlacerConfig is the configuration of the project's own placer.
	PlacerConfig burdockplace.Config
}

// DefaultOptions returns the values of a small site of today.
func DefaultOptions() Options {
	return Options{
		Replicas:           16,
		Entries:            3,
		DataCentres:        3,
		Lag:                500,
		Seed:               1,
		Slots:              32,
		Utilisation:        0.8,
		Scenario:           Steady,
		PrefixesPerReplica: 10,
		Skew:               1,
		CacheTokens:        200_000,
		WarmUp:             burdockclock.Minute,
		Measured:           burdockclock.Minute,
	}
}

// Result is what one policy reached. Loads are requests held for each slot.
type Result struct {
	Policy  string
	LoadP50 float64
	LoadP99 float64
	LoadMax float64
	// Spread is the standard deviation of load over the replicas at one
	// instant, divided by their mean, averaged over all instants.
	Spread float64
	// Waits run from the caller's request to the start of its work.
	WaitP50 burdockclock.Millis
	WaitP99 burdockclock.Millis
	// HitRate is the share of prompt tokens that were found in a cache.
	HitRate float64
	// Offers is the mean number of offers for each request.
	Offers float64
	// RemoteShare is the share of requests that ran in another data centre.
	RemoteShare float64
	// SlowShare is the share of requests that ran on a slow replica.
	SlowShare float64
	// EjectedReplicas is how many whole replicas' work an entry withholds at the end,
	// averaged over entries.
	EjectedReplicas float64
	// Requests counts those whose work began; Interrupted those that were cut off in
	// their work or their queue; Refused those refused for good.
	Requests    int
	Interrupted int
	Refused     int
}

// Run measures one policy.
func Run(o Options, p Policy) Result {
	w := newWorld(o, p)
	w.run()
	return w.result()
}

// source returns the random source of one part of a run. Parts do not share
// one, so that a policy that draws more does not change the requests.
func source(o Options, part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(o.Seed, part))
}

// Parts of a run that draw random numbers.
const (
	partWorkload uint64 = iota
	partPolicy
	partEntries // and one for each entry from here on
	// partTurns has one for each turn of each conversation from here on.
	partTurns uint64 = 1 << 32
	// partsOfEntry is how many an entry has.
	partsOfEntry = 4
	turnBits     = 10
)
