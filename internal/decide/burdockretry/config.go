package burdockretry

import (
	"cmp"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Config holds the limits of a budget. A zero field takes its default.
type Config struct {
	// Window is the time over which successes, retries and refusals are
	// remembered; they fade with this time constant. An entry with 18 requests
	// a second has 180 in ten seconds, enough to tell a fifth from a half.
	Window burdockclock.Millis
	// RetryRatio is how many retries are allowed for each recent success. Harm
	// prevented: when an upstream or a data centre fails, retries multiply
	// the load on the rest just when it has the least room. A tenth keeps the
	// added load within what a fleet at nine tenths can take.
	RetryRatio float64
	// MinRetries is how many retries are allowed within the window whatever the
	// successes, so that an entry with little traffic can still route around
	// a single failure.
	MinRetries float64
	// MaxOffers bounds the offers of one request that were refused or failed.
	MaxOffers int
	// MaxUnchargedOffers bounds the offers of one request when the latest was never
	// sent. With a third of the upstreams gone and none ejected yet, four in a
	// row are gone for one request in eighty, eight for one in six thousand.
	MaxUnchargedOffers int
	// MaxOverLoadBound bounds the offers of one request that ended in OverLoadBound. The
	// placer makes fewer; the bound is there for an upstream that answers so
	// to an offer without a bound, which would otherwise never end.
	MaxOverLoadBound int
	// MaxRefusalShare is the share of recent offers refused beyond which nothing is
	// offered a second time.
	MaxRefusalShare float64
	// MinRefusalSamples is how many recent offers MaxRefusalShare needs: fewer say nothing.
	MinRefusalSamples float64
	// BaseBackoff is the longest wait before a retry after a failure, as opposed
	// to a refusal; the wait is drawn evenly from up to it, doubled with each
	// offer. It spreads the retries of all requests that one failure cut off.
	BaseBackoff burdockclock.Millis
	// MinRetryAfter is the least time to come back that a caller is told.
	MinRetryAfter burdockclock.Millis
	// RetryAfterJitter is how far times to come back are drawn apart, as a multiple of
	// the time itself. Harm prevented: callers refused in one instant return
	// in one instant, and are refused again.
	RetryAfterJitter float64
}

// Defaults. docs/design/retries.md gives the reasons and figures.
const (
	defaultWindow     = 10 * burdockclock.Second
	defaultFraction   = 0.1
	defaultFloor      = 3
	defaultOffers     = 4
	defaultUnreached  = 8
	defaultEnquiries  = 8
	defaultMostRefuse = 0.6
	defaultEvidence   = 10
	defaultBackoff    = 20 * burdockclock.Millis(1)
	defaultComeBack   = burdockclock.Second
	defaultSpread     = 1
)

func (c Config) withDefaults() Config {
	c.Window = cmp.Or(c.Window, defaultWindow)
	c.RetryRatio = cmp.Or(c.RetryRatio, defaultFraction)
	c.MinRetries = cmp.Or(c.MinRetries, defaultFloor)
	c.MaxOffers = cmp.Or(c.MaxOffers, defaultOffers)
	c.MaxUnchargedOffers = cmp.Or(c.MaxUnchargedOffers, defaultUnreached)
	c.MaxOverLoadBound = cmp.Or(c.MaxOverLoadBound, defaultEnquiries)
	c.MaxRefusalShare = cmp.Or(c.MaxRefusalShare, defaultMostRefuse)
	c.MinRefusalSamples = cmp.Or(c.MinRefusalSamples, defaultEvidence)
	c.BaseBackoff = cmp.Or(c.BaseBackoff, defaultBackoff)
	c.MinRetryAfter = cmp.Or(c.MinRetryAfter, defaultComeBack)
	c.RetryAfterJitter = cmp.Or(c.RetryAfterJitter, defaultSpread)
	return c
}
