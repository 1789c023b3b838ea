package burdockretry

import (
	"cmp"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Config holds the limits of a Budget. A zero field takes its default.
type Config struct {
	// Window is the time constant with which counts of successes, retries, refusals and
	// offers decay. An entry with 18 requests a second counts 180 in ten seconds, which
	// is enough to tell a share of a fifth from a half.
	Window burdockclock.Millis
	// RetryRatio is the number of retries allowed for each recent success. When an
	// upstream or a data centre fails, retries add to the load of the others just when
	// these have the least room. A tenth keeps the added load within what a fleet at nine
	// tenths of its capacity can take.
	RetryRatio float64
	// MinRetries is the number of retries always allowed within the window, so that an
	// entry with little traffic can still route around a single failure.
	MinRetries float64
	// MaxOffers bounds the offers of one request, not counting those that ended in
	// OverLoadBound, when the latest was refused or failed.
	MaxOffers int
	// MaxUnchargedOffers is the bound in place of MaxOffers when the latest offer was
	// never sent or went to a leaving upstream. If a third of the upstreams are down and
	// none is ejected yet, four offers in a row hit one of these for one request in
	// eighty; eight do for one in six thousand.
	MaxUnchargedOffers int
	// MaxOverLoadBound bounds the offers of one request that ended in OverLoadBound. The
	// placer makes fewer. This stops a request from looping at an upstream that returns
	// OverLoadBound for an offer without a load bound.
	MaxOverLoadBound int
	// MaxRefusalShare is the share of refusals among recent offers above which no refused
	// or failed offer is retried.
	MaxRefusalShare float64
	// MinRefusalSamples is the number of recent offers below which MaxRefusalShare does
	// not apply.
	MinRefusalSamples float64
	// BaseBackoff is the maximum wait before the first retry of a failed (not a refused)
	// offer. The maximum doubles with each offer, and the wait is drawn uniformly from 0
	// to it. This spreads the retries of all requests that one failure interrupted.
	BaseBackoff burdockclock.Millis
	// MinRetryAfter is the minimum Retry-After reported to a caller.
	MinRetryAfter burdockclock.Millis
	// RetryAfterJitter is the range of the random time added to Retry-After, as a
	// multiple of it. Without it, callers refused at one instant return at one instant
	// and are refused again.
	RetryAfterJitter float64
}

// Defaults. docs/design/retries.md gives the reasons and figures.
const (
	defaultWindow             = 10 * burdockclock.Second
	defaultRetryRatio         = 0.1
	defaultMinRetries         = 3
	defaultMaxOffers          = 4
	defaultMaxUnchargedOffers = 8
	defaultMaxOverLoadBound   = 8
	defaultMaxRefusalShare    = 0.6
	defaultMinRefusalSamples  = 10
	defaultBaseBackoff        = 20 * burdockclock.Millis(1)
	defaultMinRetryAfter      = burdockclock.Second
	defaultRetryAfterJitter   = 1
)

func (c Config) withDefaults() Config {
	c.Window = cmp.Or(c.Window, defaultWindow)
	c.RetryRatio = cmp.Or(c.RetryRatio, defaultRetryRatio)
	c.MinRetries = cmp.Or(c.MinRetries, defaultMinRetries)
	c.MaxOffers = cmp.Or(c.MaxOffers, defaultMaxOffers)
	c.MaxUnchargedOffers = cmp.Or(c.MaxUnchargedOffers, defaultMaxUnchargedOffers)
	c.MaxOverLoadBound = cmp.Or(c.MaxOverLoadBound, defaultMaxOverLoadBound)
	c.MaxRefusalShare = cmp.Or(c.MaxRefusalShare, defaultMaxRefusalShare)
	c.MinRefusalSamples = cmp.Or(c.MinRefusalSamples, defaultMinRefusalSamples)
	c.BaseBackoff = cmp.Or(c.BaseBackoff, defaultBaseBackoff)
	c.MinRetryAfter = cmp.Or(c.MinRetryAfter, defaultMinRetryAfter)
	c.RetryAfterJitter = cmp.Or(c.RetryAfterJitter, defaultRetryAfterJitter)
	return c
}
