package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// ClassConfig configures one priority class.
type ClassConfig struct {
	Name string
	// MaxStarvation bounds how long the class may have queued requests without a start; 0
	// means no bound. When it has passed, the class gets the next slot that is not
	// reserved for a more urgent class.
	MaxStarvation burdockclock.Millis
	// MaxWait bounds the wait of each request; 0 means no bound.
	MaxWait burdockclock.Millis
	// ReservedSlots is the number of slots that less urgent classes may not use.
	ReservedSlots int
	// MaxRunning bounds the running requests of all classes with which a request of this
	// class may start; 0 means no bound. The slots above it are for the other classes.
	MaxRunning int
	// NewestFirst makes the newest request of a customer the next one instead of the
	// oldest. Customers are still served by their shares. It is for a standing backlog, in
	// which the oldest request is always the one about to be late.
	NewestFirst bool
}

// Config configures a queue.
type Config struct {
	// Slots is the number of requests that the engine runs concurrently.
	Slots int
	// MaxQueued bounds the number of queued requests.
	MaxQueued int
	// Classes are the priority classes, the most urgent first.
	Classes []ClassConfig
	// Shares are the relative weights of customers within a class.
	Shares map[burdockid.Customer]float64
	// DefaultShare is the weight of customers that are not in Shares; 0 means 1.
	DefaultShare float64
	// RetrySpread is the minimum interval over which retries of refused requests are
	// spread; 0 means one second.
	RetrySpread burdockclock.Millis
	// MaxRetryAfter bounds every RetryAfter; 0 means one minute.
	MaxRetryAfter burdockclock.Millis
	// InitialRate is the service rate of one slot, in tokens per second, that is assumed
	// until one has been measured. 0 means unknown: no request is then refused for its
	// deadline unless that has already passed.
	InitialRate float64
}

const (
	defaultShare         = 1.0
	defaultRetrySpread   = burdockclock.Second
	defaultMaxRetryAfter = burdockclock.Minute
	// minShare replaces a share of 0, which would divide by zero. Such a customer is
	// served only when nobody else in its class is queued.
	minShare = 1e-6
	maxShare = 1e6
)

// withDefaults replaces zero values by their defaults.
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

// share returns the weight of a customer, which is always positive and finite.
func (cfg Config) share(customer burdockid.Customer) float64 {
	share, ok := cfg.Shares[customer]
	if !ok {
		share = cfg.DefaultShare
	}
	if !(share > minShare) { // also true for NaN
		return minShare
	}
	return min(share, maxShare)
}
