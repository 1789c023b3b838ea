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
	// Fraction is how many retries are allowed for each recent success. Harm
	// prevented: when an upstream or a data centre fails, retries multiply
	// the load on the rest just when it has the least room. A tenth keeps the
	// added load within what a fleet at nine tenths can take.
	Fraction float64
	// Floor is how many retries are allowed within the window whatever the
	// successes, so that an entry with little traffic can still route around
	// a single failure.
	Floor float64
	// Offers bounds the offers of one request that were refused or failed.
	Offers int
	// Unreached bounds the offers of one request when the latest was never
	// sent. With a third of the upstreams gone and none ejected yet, four in a
	// row are gone for one request in eighty, eight for one in six thousand.
	Unreached int
	// Enquiries bounds the offers of one request that ended in OverBound. The
	// placer makes fewer; the bound is there for an upstream that answers so
	// to an offer without a bound, which would otherwise never end.
	Enquiries int
	// MostRefuse is the share of recent offers refused beyond which nothing is
	// offered a second time.
	MostRefuse float64
	// Evidence is how many recent offers MostRefuse needs: fewer say nothing.
	Evidence float64
	// Backoff is the longest wait before a retry after a failure, as opposed
	// to a refusal; the wait is drawn evenly from up to it, doubled with each
	// offer. It spreads the retries of all requests that one failure cut off.
	Backoff burdockclock.Millis
	// ComeBack is the least time to come back that a caller is told.
	ComeBack burdockclock.Millis
	// Spread is how far times to come back are drawn apart, as a multiple of
	// the time itself. Harm prevented: callers refused in one instant return
	// in one instant, and are refused again.
	Spread float64
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
	c.Fraction = cmp.Or(c.Fraction, defaultFraction)
	c.Floor = cmp.Or(c.Floor, defaultFloor)
	c.Offers = cmp.Or(c.Offers, defaultOffers)
	c.Unreached = cmp.Or(c.Unreached, defaultUnreached)
	c.Enquiries = cmp.Or(c.Enquiries, defaultEnquiries)
	c.MostRefuse = cmp.Or(c.MostRefuse, defaultMostRefuse)
	c.Evidence = cmp.Or(c.Evidence, defaultEvidence)
	c.Backoff = cmp.Or(c.Backoff, defaultBackoff)
	c.ComeBack = cmp.Or(c.ComeBack, defaultComeBack)
	c.Spread = cmp.Or(c.Spread, defaultSpread)
	return c
}
