package burdockplace

import (
	"cmp"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Config holds the limits of a placer. A zero field takes its default.
type Config struct {
	// Owners is how many upstreams a prefix that is not hot belongs to.
	//
	// Made for: a pool whose caches hold a part of all prefixes. More homes
	// give more choice by load and data centre; each also takes a copy of the
	// prefix into another cache.
	Owners int
	// OverflowCandidates is how many further upstreams are compared once the homes are
	// loaded beyond the bound. Two random choices already take away most of
	// the excess of one; more add little and cost time.
	OverflowCandidates int
	// RecentCandidates is how many of the upstreams that reported lately are compared
	// with them.
	RecentCandidates int
	// BoundedOffers is how many offers of one request carry a bound. The next one
	// carries none, so that a request is never passed around without end.
	BoundedOffers int
	// BoundRatio is the load, as a multiple of the mean over the fleet, beyond
	// which a prefix spills. Harm prevented: one hot prefix holds its homes at
	// a load that every other request there feels at each step.
	BoundRatio float64
	// BoundSlack is added to the bound, in requests. With few slots a ratio
	// alone would spill on a single request.
	BoundSlack float64
	// BoundFloor is the load that the bound never falls below. In a fleet that
	// is nearly idle a spill gains nothing and loses the cache.
	BoundFloor float64
	// WaitBound is the expected wait beyond which a prefix spills whatever the
	// load: a wait this long costs more than computing the prefix again.
	WaitBound burdockclock.Millis
	// ReportHalfLife is the age at which a report counts half and the mean of
	// the fleet the other half. Harm prevented: an upstream that was reported
	// idle long ago draws everything, one reported full is never tried again.
	ReportHalfLife burdockclock.Millis
	// RemotePenalty is added to the load of an upstream in another data centre
	// when candidates are compared. It stands for the way there and back,
	// about three milliseconds, which is little against a prefix computed
	// twice, so it decides only between candidates of like load.
	RemotePenalty float64
	// WidthHalfLife is how long the spread of a hot prefix takes to halve once
	// nothing refuses it any longer.
	WidthHalfLife burdockclock.Millis
}

// Defaults. docs/design/placing.md gives the figures behind them.
const (
	defaultHome           = 2
	defaultSpill          = 2
	defaultRecent         = 6
	defaultOffers         = 3
	defaultBoundRatio     = 1.05
	defaultBoundSlack     = 1
	defaultBoundFloor     = 0.25
	defaultWaitBound      = 500 * burdockclock.Millis(1)
	defaultReportHalfLife = 2 * burdockclock.Second
	defaultRemotePenalty  = 0.02
	defaultWidthHalfLife  = 2 * burdockclock.Minute
)

func (c Config) withDefaults() Config {
	c.Owners = cmp.Or(c.Owners, defaultHome)
	c.OverflowCandidates = cmp.Or(c.OverflowCandidates, defaultSpill)
	c.RecentCandidates = cmp.Or(c.RecentCandidates, defaultRecent)
	c.BoundedOffers = cmp.Or(c.BoundedOffers, defaultOffers)
	c.BoundRatio = cmp.Or(c.BoundRatio, defaultBoundRatio)
	c.BoundSlack = cmp.Or(c.BoundSlack, defaultBoundSlack)
	c.BoundFloor = cmp.Or(c.BoundFloor, defaultBoundFloor)
	c.WaitBound = cmp.Or(c.WaitBound, defaultWaitBound)
	c.ReportHalfLife = cmp.Or(c.ReportHalfLife, defaultReportHalfLife)
	c.RemotePenalty = cmp.Or(c.RemotePenalty, defaultRemotePenalty)
	c.WidthHalfLife = cmp.Or(c.WidthHalfLife, defaultWidthHalfLife)
	// The candidates of one choice live in an array on the stack.
	c.Owners = min(c.Owners, maxCandidates/2)
	c.OverflowCandidates = min(c.OverflowCandidates, maxCandidates/2)
	return c
}
