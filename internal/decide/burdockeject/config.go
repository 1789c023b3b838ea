package burdockeject

import (
	"cmp"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Config holds the limits of a Tracker. A zero field takes its default.
type Config struct {
	// ScoreThreshold is the score at which an upstream at full weight is demoted. A
	// failure scores 1 and a failed connection 1.5. A slow response scores the number of
	// doublings by which it exceeds the mean of its peers, less Tolerance.
	//
	// At 3 it takes three failures in a row, or two responses of four times the typical
	// duration. That is rare for a healthy upstream, and is reached soon even where an
	// entry sees few responses of each upstream.
	ScoreThreshold float64
	// Tolerance is the slowness, in doublings, that is not counted against an upstream.
	// Response times vary even when no upstream is slow.
	Tolerance float64
	// MaxScore bounds the score of one response, so that a single one never ejects.
	MaxScore float64
	// FailureCap is the largest share of the members' total weight that may be removed
	// because of failures. Weight removed because of slowness counts towards it.
	//
	// The fault may lie in this entry's own network, in which case all upstreams seem to
	// fail; some must stay in use for the entry to notice when its network recovers. The
	// cap has to allow for the loss of two regions out of three, which is what an entry
	// sees that is cut off from them.
	FailureCap float64
	// SlowCap is the largest share of the total weight that may be removed because of
	// slowness. It is smaller than FailureCap: a slow upstream still responds, and the
	// load taken from it slows the others.
	SlowCap float64
	// InitialProbeDelay is the time from ejection to the first probe. It doubles with
	// each failed probe, up to MaxProbeDelay. The actual delay is drawn from the upper
	// half of that time; otherwise hundreds of entries probe at the same instant.
	InitialProbeDelay burdockclock.Millis
	MaxProbeDelay     burdockclock.Millis
	// MinProbeInterval is the minimum mean time between two probes, over all upstreams.
	// Without it, a data centre of 380 ejected upstreams costs an entry a large part of
	// its 18 requests a second.
	MinProbeInterval burdockclock.Millis
	// ProbeTimeout is when a probe without a reported result counts as failed.
	ProbeTimeout burdockclock.Millis
	// ScoreHalfLife is the time in which a score decays by half. It has to be longer than
	// the time between two responses of one upstream, which is three and a half minutes
	// for an entry with 18 requests a second over 3,800 upstreams.
	ScoreHalfLife burdockclock.Millis
	// MinRecoveryInterval is the minimum time between two promotions of an upstream.
	MinRecoveryInterval burdockclock.Millis
}

// Defaults. docs/design/retries.md gives the reasons and figures.
const (
	defaultScoreThreshold      = 3
	defaultTolerance           = 0.5
	defaultMaxScore            = 2
	defaultFailureCap          = 0.7
	defaultSlowCap             = 0.2
	defaultInitialProbeDelay   = 2 * burdockclock.Second
	defaultMaxProbeDelay       = 2 * burdockclock.Minute
	defaultMinProbeInterval    = 250 * burdockclock.Millis(1)
	defaultProbeTimeout        = 30 * burdockclock.Second
	defaultScoreHalfLife       = 10 * burdockclock.Minute
	defaultMinRecoveryInterval = 2 * burdockclock.Second
)

func (c Config) withDefaults() Config {
	c.ScoreThreshold = cmp.Or(c.ScoreThreshold, defaultScoreThreshold)
	c.Tolerance = cmp.Or(c.Tolerance, defaultTolerance)
	c.MaxScore = cmp.Or(c.MaxScore, defaultMaxScore)
	c.FailureCap = cmp.Or(c.FailureCap, defaultFailureCap)
	c.SlowCap = cmp.Or(c.SlowCap, defaultSlowCap)
	c.InitialProbeDelay = cmp.Or(c.InitialProbeDelay, defaultInitialProbeDelay)
	c.MaxProbeDelay = cmp.Or(c.MaxProbeDelay, defaultMaxProbeDelay)
	c.MinProbeInterval = cmp.Or(c.MinProbeInterval, defaultMinProbeInterval)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, defaultProbeTimeout)
	c.ScoreHalfLife = cmp.Or(c.ScoreHalfLife, defaultScoreHalfLife)
	c.MinRecoveryInterval = cmp.Or(c.MinRecoveryInterval, defaultMinRecoveryInterval)
	return c
}
