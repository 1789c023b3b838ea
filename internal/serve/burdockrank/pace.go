package burdockrank

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// Tuning says how fast a group follows its popularity, and what that may cost.
type Tuning struct {
	// HalfLife is the age at which a count weighs half.
	HalfLife burdockclock.Millis
	// CountsInterval is the least time between two rounds of questions for counts.
	CountsInterval burdockclock.Millis
	// CountsBytesPerSecond bounds what a controller receives for its planner; 0
	// is no bound, and then all ranks are asked at once.
	CountsBytesPerSecond int
	// PlanOnUnconfirmedShift plans on counts that break with those before without waiting for
	// the next to confirm them, unless they are partly of before. It suits groups
	// whose popularity swaps at an instant and whose changes are cheap.
	PlanOnUnconfirmedShift bool
	// MinChangeInterval is the least time between two changes; 0 takes the profile's.
	MinChangeInterval burdockclock.Millis
	// SampledRanks is how many ranks are asked in one round. All ranks draw from
	// the same requests, so some are a sample of the group.
	SampledRanks int
	// MaxRankLoads returns the most experts that one change has one rank load, by
	// the number of layers; nil is no bound.
	MaxRankLoads func(layers int) int
	// TickInterval is how often ranks and controllers look at the time.
	TickInterval burdockclock.Millis
	// LeaseTTL is how long a group may be without a controller after one died,
	// and LeaseRenewInterval how often the lease is renewed.
	LeaseTTL           burdockclock.Millis
	LeaseRenewInterval burdockclock.Millis
	// MaxStoreOutage is how long a controller goes on while the store doesn't answer;
	// 0 lets the lease lapse.
	MaxStoreOutage burdockclock.Millis
	// LeaseRetryInterval is how often an agent without the lease tries for it, where that
	// costs nothing while another one has it; 0 takes LeaseRenewInterval.
	LeaseRetryInterval burdockclock.Millis
	// LeaseStagger is the time between two ranks' first tries for the lease.
	LeaseStagger burdockclock.Millis
	// WatchInterval is how often the agent asks its engine for finished steps.
	WatchInterval burdockclock.Millis
	// LinkBytesPerMilli is what the link of a VM carries; 0 if it is not known, and
	// then orders go to each agent themselves.
	LinkBytesPerMilli float64
	// AdjustController adjusts the controller's times; nil leaves the defaults.
	AdjustController func(*burdockgroup.ControllerConfig)
}

const (
	// popularityHalfLife is short against drifts through the day, and long
	// against the noise of single batches.
	popularityHalfLife = burdockclock.Minute
	// countsEvery is the least time between two questions for counts.
	countsEvery = 2 * burdockclock.Second
	// countsBytesPerSecond bounds what a controller receives for its planner to
	// half of the 3 KB a second that a node may spend on control. The counts of
	// 60 layers of 128 experts take tens of kilobytes, so at that size one rank
	// is asked each half minute. All ranks draw from the same requests, so each
	// is a sample of the group.
	countsBytesPerSecond = 1500
	// rankTick is RankConfig.Retry and ControllerConfig.Retry of the defaults.
	rankTick burdockclock.Millis = 50
	// leaseTTL is how long a group may be without a controller after one died.
	// A shorter one costs the store more renewals: 240 groups at one in 5 s are
	// 48 writes a second already.
	leaseTTL = 10 * burdockclock.Second
	// leaseEvery leaves room for one lost renewal.
	leaseEvery = 5 * burdockclock.Second
	// leaseStagger lets the lowest rank try first when a group starts, which
	// keeps the rest from asking a store that has answered already.
	leaseStagger burdockclock.Millis = 300
	// watchEvery is how often the agent asks its engine, on the same VM, for the
	// steps that it finished. An engine that was restarted stands still until
	// its agent notices.
	watchEvery burdockclock.Millis = 250
)

// setDefaults fills in the pace for popularity that drifts through the day.
func (p *Tuning) setDefaults() {
	for _, f := range []struct {
		field *burdockclock.Millis
		value burdockclock.Millis
	}{
		{&p.HalfLife, popularityHalfLife},
		{&p.TickInterval, rankTick},
		{&p.LeaseTTL, leaseTTL},
		{&p.LeaseRenewInterval, leaseEvery},
		{&p.LeaseStagger, leaseStagger},
		{&p.WatchInterval, watchEvery},
	} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	if p.CountsInterval == 0 {
		p.CountsInterval, p.CountsBytesPerSecond = countsEvery, countsBytesPerSecond
	}
}
