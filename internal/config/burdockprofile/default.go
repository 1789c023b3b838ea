package burdockprofile

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// Defaults of the keys that a profile may leave out.
const (
	defaultShare               = 1.0
	defaultMaxStarvationMillis = 10 * burdockclock.Second
	defaultMaxWaitMillis       = 30 * burdockclock.Second
	defaultDeadlineMillis      = 5 * burdockclock.Minute
	defaultGraceMillis         = defaultDeadlineMillis
	defaultQueued              = RefuseQueued
	defaultSkewWeight          = 1.0
	defaultCostWeight          = 1.0
	defaultHoldMillis          = 30 * burdockclock.Second
	defaultBudgetRatio         = 0.1
	defaultMaxAttempts         = 3
	defaultMaxQueued           = 256
)

// SetDefaults sets the values of the keys that a file may leave out.
func (p *Profile) SetDefaults() {
	p.DefaultShare = defaultShare
	p.Stop = Stop{GraceMillis: defaultGraceMillis, Queued: defaultQueued}
	p.Experts = Experts{SkewWeight: defaultSkewWeight, CostWeight: defaultCostWeight, HoldMillis: defaultHoldMillis}
	p.Retry = Retry{BudgetRatio: defaultBudgetRatio, MaxAttempts: defaultMaxAttempts}
	p.Queue = Queue{MaxQueued: defaultMaxQueued}
}

// SetDefaults sets the values of the keys that a file may leave out.
func (k *Class) SetDefaults() {
	k.MaxStarvationMillis = defaultMaxStarvationMillis
	k.MaxWaitMillis = defaultMaxWaitMillis
	k.DeadlineMillis = defaultDeadlineMillis
}

// SetDefaults sets the values of the keys that a file may leave out.
func (s *Share) SetDefaults() { s.Share = defaultShare }
