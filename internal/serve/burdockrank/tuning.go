package burdockrank

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/group/burdockgroup"
)

// Tuning holds the intervals and limits with which a group adapts its expert map to the
// popularity of experts.
type Tuning struct {
	// HalfLife is the age at which a token count has half its weight in the popularity.
	HalfLife burdockclock.Millis
	// CountsInterval is the minimum time between two requests for counts, or between two
	// rounds of requests.
	CountsInterval burdockclock.Millis
	// CountsBytesPerSecond bounds the traffic of counts that the controller receives. 0
	// means no bound; counts are then requested in rounds from several ranks at once.
	CountsBytesPerSecond int
	// PlanOnUnconfirmedShift plans on counts that differ sharply from those before
	// without waiting for the next ones to confirm the shift, unless their time window
	// also covers the time before the shift. It suits groups whose popularity shifts at
	// once and whose map changes are cheap.
	PlanOnUnconfirmedShift bool
	// MinChangeInterval is the minimum time between two map changes; 0 takes the
	// profile's hold time.
	MinChangeInterval burdockclock.Millis
	// SampledRanks is how many ranks a round asks for counts; 0 means all. All ranks
	// serve the same requests, so some of them are a sample of the group.
	SampledRanks int
	// MaxRankLoads returns how many experts one map change may have a rank load in all
	// layers together, given the number of layers. nil means no bound.
	MaxRankLoads func(layers int) int
	// TickInterval is the interval of the ticks of ranks and controllers.
	TickInterval burdockclock.Millis
	// LeaseTTL is the time to live of the lease, and so how long a group may be without a
	// controller after one died. LeaseRenewInterval is the interval between its renewals.
	LeaseTTL           burdockclock.Millis
	LeaseRenewInterval burdockclock.Millis
	// MaxStoreOutage is how long a controller extends its lease while the store doesn't
	// answer; 0 lets the lease expire.
	MaxStoreOutage burdockclock.Millis
	// LeaseRetryInterval is the interval at which an agent without the lease tries to
	// acquire it, for stores where a try costs nothing while another agent holds the
	// lease; 0 takes LeaseRenewInterval.
	LeaseRetryInterval burdockclock.Millis
	// LeaseStagger is the delay between the first tries of consecutive ranks to acquire
	// the lease.
	LeaseStagger burdockclock.Millis
	// WatchInterval is how often the agent asks its engine for finished steps.
	WatchInterval burdockclock.Millis
	// LinkBytesPerMilli is the bandwidth of a VM's link in bytes per millisecond. 0 means
	// unknown; orders are then not relayed but sent to each agent.
	LinkBytesPerMilli float64
	// AdjustController changes the controller's default configuration; nil keeps the
	// defaults.
	AdjustController func(*burdockgroup.ControllerConfig)
}

const (
	// popularityHalfLife is short compared with the drift of popularity through the day,
	// and long compared with the noise of single batches.
	popularityHalfLife = burdockclock.Minute
	// countsInterval is the default minimum time between two requests for counts.
	countsInterval = 2 * burdockclock.Second
	// countsBytesPerSecond limits the counts that a controller receives to half of the
	// control traffic that a VM may cause, which is 3 KB a second. The counts of 60
	// layers of 128 experts take tens of kilobytes, so at that size one rank is asked
	// each half minute. All ranks serve the same requests, so each is a sample of the
	// group.
	countsBytesPerSecond = 1500
	// tickInterval equals the defaults of RankConfig.Retry and ControllerConfig.Retry.
	tickInterval burdockclock.Millis = 50
	// leaseTTL is how long a group may be without a controller after one died. A shorter
	// TTL costs the store more renewals: 240 groups with one renewal in 5 s already cause
	// 48 writes a second.
	leaseTTL = 10 * burdockclock.Second
	// leaseRenewInterval leaves room for one lost renewal.
	leaseRenewInterval = 5 * burdockclock.Second
	// leaseStagger lets the lowest rank try first when a group starts. The others then
	// find the lease taken and need not ask the store at the same moment.
	leaseStagger burdockclock.Millis = 300
	// watchInterval is how often the agent asks its engine, on the same VM, for finished
	// steps. A restarted engine runs no step until its agent notices the restart.
	watchInterval burdockclock.Millis = 250
)

// setDefaults fills in the defaults, which suit popularity that drifts through the day.
func (p *Tuning) setDefaults() {
	for _, f := range []struct {
		field *burdockclock.Millis
		value burdockclock.Millis
	}{
		{&p.HalfLife, popularityHalfLife},
		{&p.TickInterval, tickInterval},
		{&p.LeaseTTL, leaseTTL},
		{&p.LeaseRenewInterval, leaseRenewInterval},
		{&p.LeaseStagger, leaseStagger},
		{&p.WatchInterval, watchInterval},
	} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	if p.CountsInterval == 0 {
		p.CountsInterval, p.CountsBytesPerSecond = countsInterval, countsBytesPerSecond
	}
}
