// Package burdockprofile defines profiles, the policies that operators set: priority
// classes, customers' shares, what a planned stop does with queued requests, retry and
// queue limits, and how step skew is weighed against the cost of moving experts. Each
// service runs under one profile.
package burdockprofile

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Profile is a named set of policies.
type Profile struct {
	Name burdockid.Profile `toml:"name" json:"name"`
	// Classes are ordered from most to least urgent.
	Classes []Class `toml:"class" json:"class"`
	// DefaultClass is the class of a request that does not specify one.
	DefaultClass string  `toml:"defaultClass" json:"defaultClass"`
	Shares       []Share `toml:"share" json:"share,omitempty"`
	// DefaultShare is the share of a customer that Shares does not list.
	DefaultShare float64 `toml:"defaultShare" json:"defaultShare"`
	Stop         Stop    `toml:"stop" json:"stop"`
	Experts      Experts `toml:"experts" json:"experts"`
	Retry        Retry   `toml:"retry" json:"retry"`
	Queue        Queue   `toml:"queue" json:"queue"`
}

// Class is a priority class.
type Class struct {
	Name string `toml:"name" json:"name"`
	// MaxStarvationMillis limits how long more urgent classes may delay the oldest
	// request of this class. It has no effect in the first class.
	MaxStarvationMillis burdockclock.Millis `toml:"maxStarvationMillis" json:"maxStarvationMillis"`
	// MaxWaitMillis limits the time in the queue. A request that is expected to wait
	// longer is refused at once.
	MaxWaitMillis burdockclock.Millis `toml:"maxWaitMillis" json:"maxWaitMillis"`
	// DeadlineMillis is the time limit for the complete answer when the caller
	// specifies no deadline.
	DeadlineMillis burdockclock.Millis `toml:"deadlineMillis" json:"deadlineMillis"`
}

// Share is the weight of a customer among the customers with queued requests.
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
	// RefuseQueued answers queued requests "not run" at once. The entry then sends
	// them to another upstream.
	RefuseQueued QueuedAction = "refuse"
)

// Stop is the policy for a planned stop of a process or upstream.
type Stop struct {
	// GraceMillis limits the time for requests in flight and, with FinishQueued, for
	// queued requests. It is at least the longest deadline of the classes.
	GraceMillis burdockclock.Millis `toml:"graceMillis" json:"graceMillis"`
	Queued      QueuedAction        `toml:"queued" json:"queued"`
}

// Experts weighs the two costs of expert placement against each other and limits how
// often the expert map changes.
type Experts struct {
	// SkewWeight is the weight of one millisecond of step time lost to skew.
	SkewWeight float64 `toml:"skewWeight" json:"skewWeight"`
	// CostWeight is the weight of one millisecond spent on moving experts.
	CostWeight float64 `toml:"costWeight" json:"costWeight"`
	// HoldMillis is the minimum time between two map changes of a group.
	HoldMillis burdockclock.Millis `toml:"holdMillis" json:"holdMillis"`
}

// Retry limits an entry's retries after the answer "not run" or after a failure of an
// idempotent request.
type Retry struct {
	// BudgetRatio is the number of retries allowed per recent success.
	BudgetRatio float64 `toml:"budgetRatio" json:"budgetRatio"`
	// MaxAttempts includes the first attempt.
	MaxAttempts int `toml:"maxAttempts" json:"maxAttempts"`
}

// Queue limits the queue of one agent.
type Queue struct {
	MaxQueued int `toml:"maxQueued" json:"maxQueued"`
}
