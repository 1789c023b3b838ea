package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// ClassConfig sets one priority class.
type ClassConfig struct {
	Name string
	// MaxStarvation bounds how long the class has queued work without a start;
	// 0 is no bound. The start comes with the first slot that is not kept for a
	// more urgent class.
	MaxStarvation burdockclock.Millis
	// MaxWait bounds the wait of each request; 0 is no bound.
	MaxWait burdockclock.Millis
	// ReservedSlots are slots that less urgent classes may not take.
	ReservedSlots int
}

// Config sets a queue.
type Config struct {
	// Slots is how many requests the engine runs beside each other.
	Slots int
	// MaxQueued bounds how many requests wait.
	MaxQueued int
	// Classes are the priority classes, the most urgent first.
	Classes []ClassConfig
	// Shares weigh customers against each other within a class.
	Shares map[burdockid.Customer]float64
	// DefaultShare is for customers that Shares does not name; 0 takes 1.
	DefaultShare float64
	// RetrySpread is the least span over which the refused come back; 0 takes
	// one second.
	RetrySpread burdockclock.Millis
	// MaxRetryAfter bounds every RetryAfter; 0 takes one minute.
	MaxRetryAfter burdockclock.Millis
	// InitialRate is the service rate of one slot in tokens a second that is
	// believed until one has been measured; 0 is unknown, and then no work is
	// refused for its deadline unless that has passed.
	InitialRate float64
}

const (
	defaultShare         = 1.0
	defaultRetrySpread   = burdockclock.Second
	defaultMaxRetryAfter = burdockclock.Minute
	// leastShare keeps a customer whose share is 0 from dividing by zero; it is
	// served when nobody else in its class waits.
	leastShare = 1e-6
	mostShare  = 1e6
)

// withDefaults fills in what cfg leaves at zero.
func (cfg Config) withDefaults() Config {
	if len(cfg.Classes) == 0 {
		cfg.Classes = []ClassConfig{{Name: "default"}}
	}
	if cfg.DefaultShare <= 0 {
		cfg.DefaultShare = defaultShare
	}
	if cfg.RetrySpread <= 0 {
		cfg.RetrySpread = defaultRetrySpread
	}
	if cfg.MaxRetryAfter <= 0 {
		cfg.MaxRetryAfter = defaultMaxRetryAfter
	}
	return cfg
}

// share returns the weight of a customer, always above zero and finite.
func (cfg Config) share(customer burdockid.Customer) float64 {
	share, ok := cfg.Shares[customer]
	if !ok {
		share = cfg.DefaultShare
	}
	if !(share > leastShare) { // also when it is not a number
		return leastShare
	}
	return min(share, mostShare)
}
