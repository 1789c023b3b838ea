// Package burdockplacelab compares the entries' placement of requests with simple
// policies and with a policy that knows all loads.
//
// It runs the decision packages of an entry in simulated time against modelled
// replicas, each of which has a queue, slots and a bounded prefix cache. For a
// given seed, all policies get the same requests.
package burdockplacelab

import (
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
)

// Options are the settings of one run.
type Options struct {
	Replicas    int
	Entries     int
	DataCentres int
	// Lag is the age of a load report when an entry receives it.
	Lag burdockclock.Millis
	// Seed seeds all random numbers of the run.
	Seed uint64
	// Slots is the number of requests that a replica runs concurrently.
	Slots int
	// Utilisation is the average share of all slots that the requests occupy.
	Utilisation float64
	Scenario    Scenario
	// PrefixesPerReplica is the number of distinct system prompts per replica.
	PrefixesPerReplica int
	// Skew is the exponent of the Zipf distribution of system prompts over requests;
	// 0 is uniform.
	Skew float64
	// CacheTokens is the capacity of a replica's prefix cache.
	CacheTokens burdockid.Tokens
	// WarmUp is the simulated time before measuring starts, Measured the time that is
	// measured.
	WarmUp   burdockclock.Millis
	Measured burdockclock.Millis
	// PlacerConfig configures the placers of EntryPlacer.
	PlacerConfig burdockplace.Config
}

// DefaultOptions returns the settings of a small present-day site.
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

// Result holds the measurements of one policy. Loads are requests per slot, running
// and queued.
type Result struct {
	Policy  string
	LoadP50 float64
	LoadP99 float64
	LoadMax float64
	// Spread is the coefficient of variation of the replicas' loads at one instant
	// (standard deviation divided by mean), averaged over the samples.
	Spread float64
	// WaitP50 and WaitP99 are times from a request's arrival at its entry until a
	// replica starts it.
	WaitP50 burdockclock.Millis
	WaitP99 burdockclock.Millis
	// HitRate is the share of prompt tokens found in a cache.
	HitRate float64
	// Offers is the mean number of offers per request.
	Offers float64
	// RemoteShare is the share of requests that ran in another data centre.
	RemoteShare float64
	// SlowShare is the share of requests that ran on a slow replica.
	SlowShare float64
	// EjectedReplicas is the capacity that an entry withholds by ejection at the end
	// of the run, in replicas, averaged over entries.
	EjectedReplicas float64
	// Requests counts the requests that a replica started, Interrupted those whose
	// replica went down while they ran or were queued, and Refused those that were
	// refused and not offered again.
	Requests    int
	Interrupted int
	Refused     int
}

// Run simulates one policy and returns its measurements.
func Run(o Options, p Policy) Result {
	s := newSimulation(o, p)
	s.run()
	return s.result()
}

// randomStream returns the source of random numbers of one part of a run. Parts have
// separate streams, so that the number of values a policy draws does not change
// the requests.
func randomStream(o Options, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(o.Seed, stream))
}

// Numbers of the random streams.
const (
	streamWorkload uint64 = iota
	streamPolicy
	streamEntries // first stream of the first entry
	// streamTurns is the first of the streams of conversation turns.
	streamTurns uint64 = 1 << 32
	// streamsPerEntry is the number of streams reserved for one entry.
	streamsPerEntry = 4
	turnBits        = 10
)
