// Package burdockprofile holds the operators' profiles: what is urgent, who
// gets which share, what a planned stop does with queued work, and how step
// skew is weighed against the cost of moving experts. Each service of the
// fleet runs under one profile.
package burdockprofile

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Profile is one named set of policies.
type Profile struct {
	Name burdockid.Profile `toml:"name" json:"name"`
	// Classes stand from most to least urgent.
	Classes []Class `toml:"class" json:"class"`
	// DefaultClass is the class of a request that names none.
	DefaultClass string  `toml:"defaultClass" json:"defaultClass"`
	Shares       []Share `toml:"share" json:"share,omitempty"`
	// DefaultShare is the share of a customer that Shares does not name.
	DefaultShare float64 `toml:"defaultShare" json:"defaultShare"`
	Stop         Stop    `toml:"stop" json:"stop"`
	Experts      Experts `toml:"experts" json:"experts"`
	Retry        Retry   `toml:"retry" json:"retry"`
	Queue        Queue   `toml:"queue" json:"queue"`
}

// Class is one priority class.
type Class struct {
	Name string `toml:"name" json:"name"`
	// MaxStarvationMillis bounds how long more urgent classes may hold back
	// the oldest request of this one. It has no use in the first class.
	MaxStarvationMillis burdockclock.Millis `toml:"maxStarvationMillis" json:"maxStarvationMillis"`
	// MaxWaitMillis bounds the time in the queue; a request that would wait
	// longer is refused at once.
	MaxWaitMillis burdockclock.Millis `toml:"maxWaitMillis" json:"maxWaitMillis"`
	// DeadlineMillis is the time for the whole answer when the caller states
	// no deadline of its own.
	DeadlineMillis burdockclock.Millis `toml:"deadlineMillis" json:"deadlineMillis"`
}

// Share is the weight of one customer among those with work waiting.
type Share struct {
	Customer burdockid.Customer `toml:"customer" json:"customer"`
	Share    float64            `toml:"share" json:"share"`
}

// QueuedAction is what a planned stop does with requests that are still queued.
type QueuedAction string

// The actions for queued requests on a planned stop.
const (
	// FinishQueued runs queued requests within the grace time.
	FinishQueued QueuedAction = "finish"
	// RefuseQueued answers queued requests "not run" at once, so that the
	// entry places them on another upstream.
	RefuseQueued QueuedAction = "refuse"
)

// Stop says how a process or upstream under this profile stops as planned.
type Stop struct {
	// GraceMillis bounds the time for requests in flight, and for queued ones
	// that are finished. It covers the longest deadline of the classes.
	GraceMillis burdockclock.Millis `toml:"graceMillis" json:"graceMillis"`
	Queued      QueuedAction        `toml:"queued" json:"queued"`
}

// Experts is the exchange rate between the two costs of expert placement.
type Experts struct {
	// SkewWeight is what one millisecond of step time lost to skew counts.
	SkewWeight float64 `toml:"skewWeight" json:"skewWeight"`
	// CostWeight is what one millisecond spent moving experts counts.
	CostWeight float64 `toml:"costWeight" json:"costWeight"`
	// HoldMillis is the least time between two map changes of one group.
	HoldMillis burdockclock.Millis `toml:"holdMillis" json:"holdMillis"`
}

// Retry bounds what an entry offers again after "not run", or after a failure
// of idempotent work.
type Retry struct {
	// BudgetRatio is the number of retries allowed per recent success.
	BudgetRatio float64 `toml:"budgetRatio" json:"budgetRatio"`
	// MaxAttempts counts the first offer as well.
	MaxAttempts int `toml:"maxAttempts" json:"maxAttempts"`
}

// Queue bounds the queue of one agent.
type Queue struct {
	MaxQueued int `toml:"maxQueued" json:"maxQueued"`
}
