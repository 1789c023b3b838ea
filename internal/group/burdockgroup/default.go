package burdockgroup

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Times and sizes for groups of up to 32 ranks in one site, with steps of 4.5
// ms and 1.5 ms one way between data centres.
const (
	// defaultRetry is over ten round trips between data centres, so a slow
	// answer is not taken for a lost one.
	defaultRetry burdockclock.Millis = 50
	// defaultPatience is longer than a change that goes well keeps a rank armed.
	defaultPatience burdockclock.Millis = 200
	// defaultLoadPoll adds an eighth of a second, on average, to loads that take
	// seconds.
	defaultLoadPoll burdockclock.Millis = 250
	// defaultPoll keeps a group at rest at 6.4 questions a second for 32 ranks.
	defaultPoll = 5 * burdockclock.Second
	// defaultLead is where no step was lost with 1.5 ms one way.
	defaultLead burdockid.Step = 4
	// defaultMaxLead bounds what a slow network adds to a change to 0.3 s.
	defaultMaxLead burdockid.Step = 64
	// defaultArmBudget is more than the longest lead and a few lost messages.
	defaultArmBudget = burdockclock.Second
)

// DefaultRankConfig returns the configuration of a rank in a group of ranks.
func DefaultRankConfig(rank burdockid.Rank, ranks int, incarnation burdockid.Incarnation) RankConfig {
	return RankConfig{
		Rank:        rank,
		Ranks:       ranks,
		Incarnation: incarnation,
		Retry:       defaultRetry,
		NotifyDelay: defaultPatience,
	}
}

// DefaultControllerConfig returns the configuration of a controller of a group.
func DefaultControllerConfig(ranks int) ControllerConfig {
	return ControllerConfig{
		Ranks:         ranks,
		Retry:         defaultRetry,
		LoadPoll:      defaultLoadPoll,
		Poll:          defaultPoll,
		SwitchLead:    defaultLead,
		MaxSwitchLead: defaultMaxLead,
		ArmBudget:     defaultArmBudget,
	}
}
