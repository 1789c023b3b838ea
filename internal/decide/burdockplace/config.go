package burdockplace

import (
	"cmp"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Config configures a Placer. A field that is zero takes its default.
type Config struct {
	// Owners is the number of upstreams that own a prefix which is not hot, that
	// is, which get its requests and so have it in their cache. More owners give
	// more choice by load and data centre, but each one keeps another copy of the
	// prefix, and the caches of a pool hold only some of all prefixes.
	Owners int
	// OverflowCandidates is the number of random further upstreams that are
	// compared when all owners are over the bound. Two random choices remove most
	// of the imbalance of one; more add little and cost time.
	OverflowCandidates int
	// RecentCandidates is the number of upstreams with a recent report that are
	// compared with them.
	RecentCandidates int
	// BoundedOffers is the number of offers of one request that carry a load
	// bound. The next one carries none, otherwise a full fleet passes a request
	// around endlessly.
	BoundedOffers int
	// BoundRatio is the load, as a multiple of the fleet's mean, above which a
	// prefix overflows. Without it one hot prefix keeps its owners at a load that
	// slows every other request there at each step.
	BoundRatio float64
	// BoundSlack is added to the bound, in requests. With few slots the ratio
	// alone makes a prefix overflow because of a single request.
	BoundSlack float64
	// BoundFloor is the minimum of the bound. In a nearly idle fleet an overflow
	// gains nothing and misses the cache.
	BoundFloor float64
	// WaitBound is the expected wait above which a prefix overflows whatever the
	// load. A longer wait costs more than computing the prefix again.
	WaitBound burdockclock.Millis
	// ReportHalfLife is the age at which an upstream's load is estimated half from
	// its report and half from the fleet's mean. Without it an upstream that
	// reported idle long ago gets all requests, and one that reported full is
	// never tried again.
	ReportHalfLife burdockclock.Millis
	// RemotePenalty is added to the load of an upstream in another data centre
	// when candidates are compared. It stands for a round trip of about 3 ms,
	// which is little compared with computing a prefix twice, so it decides only
	// between candidates of similar load.
	RemotePenalty float64
	// WidthHalfLife is the time in which the number of upstreams that a hot prefix
	// is spread over halves once no upstream refuses it any longer.
	WidthHalfLife burdockclock.Millis
}

// Defaults of Config. docs/design/placing.md explains the values.
const (
	defaultOwners             = 2
	defaultOverflowCandidates = 2
	defaultRecentCandidates   = 6
	defaultBoundedOffers      = 3
	defaultBoundRatio         = 1.05
	defaultBoundSlack         = 1
	defaultBoundFloor         = 0.25
	defaultWaitBound          = 500 * burdockclock.Millis(1)
	defaultReportHalfLife     = 2 * burdockclock.Second
	defaultRemotePenalty      = 0.02
	defaultWidthHalfLife      = 2 * burdockclock.Minute
)

func (c Config) withDefaults() Config {
	c.Owners = cmp.Or(c.Owners, defaultOwners)
	c.OverflowCandidates = cmp.Or(c.OverflowCandidates, defaultOverflowCandidates)
	c.RecentCandidates = cmp.Or(c.RecentCandidates, defaultRecentCandidates)
	c.BoundedOffers = cmp.Or(c.BoundedOffers, defaultBoundedOffers)
	c.BoundRatio = cmp.Or(c.BoundRatio, defaultBoundRatio)
	c.BoundSlack = cmp.Or(c.BoundSlack, defaultBoundSlack)
	c.BoundFloor = cmp.Or(c.BoundFloor, defaultBoundFloor)
	c.WaitBound = cmp.Or(c.WaitBound, defaultWaitBound)
	c.ReportHalfLife = cmp.Or(c.ReportHalfLife, defaultReportHalfLife)
	c.RemotePenalty = cmp.Or(c.RemotePenalty, defaultRemotePenalty)
	c.WidthHalfLife = cmp.Or(c.WidthHalfLife, defaultWidthHalfLife)
	// The candidates of one choice are kept in an array on the stack.
	c.Owners = min(c.Owners, maxCandidates/2)
	c.OverflowCandidates = min(c.OverflowCandidates, maxCandidates/2)
	return c
}
