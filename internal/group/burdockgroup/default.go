package burdockgroup

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Defaults for groups of up to 32 ranks in one site, with steps of 4.5 ms and a one-way
// delay of 1.5 ms between data centres.
const (
	// defaultRetry is over ten round trips between data centres, so a slow answer is not
	// mistaken for a lost one.
	defaultRetry burdockclock.Millis = 50
	// defaultNotifyDelay is longer than a successful change keeps a rank armed.
	defaultNotifyDelay burdockclock.Millis = 200
	// defaultLoadPoll adds an eighth of a second, on average, to loads that take seconds.
	defaultLoadPoll burdockclock.Millis = 250
	// defaultPoll limits a group of 32 ranks at rest to 6.4 queries per second.
	defaultPoll = 5 * burdockclock.Second
	// defaultSwitchLead is the lead at which no step was lost with 1.5 ms one way.
	defaultSwitchLead burdockid.Step = 4
	// defaultMaxSwitchLead limits what a slow network adds to a change to 0.3 s.
	defaultMaxSwitchLead burdockid.Step = 64
	// defaultArmBudget is more than the time of the longest lead and a few lost messages.
	defaultArmBudget = burdockclock.Second
)

// DefaultRankConfig returns the default configuration of one rank in a group of the given
// size.
func DefaultRankConfig(rank burdockid.Rank, ranks int, incarnation burdockid.Incarnation) RankConfig {
	return RankConfig{
		Rank:        rank,
		Ranks:       ranks,
		Incarnation: incarnation,
		Retry:       defaultRetry,
		NotifyDelay: defaultNotifyDelay,
	}
}

// DefaultControllerConfig returns the default configuration of the controller of a group
// of the given size.
func DefaultControllerConfig(ranks int) ControllerConfig {
	return ControllerConfig{
		Ranks:         ranks,
		Retry:         defaultRetry,
		LoadPoll:      defaultLoadPoll,
		Poll:          defaultPoll,
		SwitchLead:    defaultSwitchLead,
		MaxSwitchLead: defaultMaxSwitchLead,
		ArmBudget:     defaultArmBudget,
	}
}
