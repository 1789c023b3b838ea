package burdockeject

import (
	"cmp"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Config holds the limits of a tracker. A zero field takes its default.
type Config struct {
	// ScoreThreshold is the score at which an upstream falls its first level. A
	// failure scores 1, a missing connection 1.5; a slow answer scores how many times it was doubled against its
	// peers, less Tolerance. At 3, three failures in a row are needed, or two
	// answers of four times the usual length: rare for a healthy upstream,
	// and soon reached even where an entry sees few answers of each.
	ScoreThreshold float64
	// Tolerance is the slowness, in doublings, that counts as usual. Harm
	// prevented: lengths of answers differ without any upstream being slow.
	Tolerance float64
	// MaxScore bounds what one answer can score, so that no single one
	// ejects.
	MaxScore float64
	// FailureCap is the share of all members whose work may be taken away
	// because they fail. It has to hold two regions of three, which one cut off
	// from them sees no more of. Harm prevented: the fault may lie in this
	// entry's own network, and then all seem to fail; some must stay in use, so
	// that the entry notices by itself when its network is back.
	FailureCap float64
	// SlowCap is the same for slow ones. It is smaller: a slow upstream still
	// answers, and what it does not get makes the others slower.
	SlowCap float64
	// InitialProbeDelay is the time from ejection to the first probe; it doubles with
	// each probe that fails, up to MaxProbeDelay, and is drawn from half of it to
	// all of it. Harm prevented: hundreds of entries probe at one instant.
	InitialProbeDelay burdockclock.Millis
	MaxProbeDelay     burdockclock.Millis
	// MinProbeInterval is the mean time between two probes of any upstreams, at least.
	// With a data centre of 380 upstreams gone, their probes would otherwise take a
	// good part of an entry's 18 requests a second.
	MinProbeInterval burdockclock.Millis
	// ProbeTimeout is when a probe that was never told of counts as failed.
	ProbeTimeout burdockclock.Millis
	// ScoreHalfLife is the time in which a score fades by half. It has to be longer
	// than the time between two answers of one upstream, which is three and a
	// half minutes for an entry with 18 requests a second over 3,800.
	ScoreHalfLife burdockclock.Millis
	// MinRecoveryInterval is the least time between two steps back up.
	MinRecoveryInterval burdockclock.Millis
}

// Defaults. docs/design/retries.md gives the reasons and figures.
const (
	defaultEvidence   = 3
	defaultTolerance  = 0.5
	defaultMostScore  = 2
	defaultFailureCap = 0.7
	defaultSlowCap    = 0.2
	defaultProbeAfter = 2 * burdockclock.Second
	defaultProbeMost  = 2 * burdockclock.Minute
	defaultProbeGap   = 250 * burdockclock.Millis(1)
	defaultProbeLost  = 30 * burdockclock.Second
	defaultHalfLife   = 10 * burdockclock.Minute
	defaultRiseAfter  = 2 * burdockclock.Second
)

func (c Config) withDefaults() Config {
	c.ScoreThreshold = cmp.Or(c.ScoreThreshold, defaultEvidence)
	c.Tolerance = cmp.Or(c.Tolerance, defaultTolerance)
	c.MaxScore = cmp.Or(c.MaxScore, defaultMostScore)
	c.FailureCap = cmp.Or(c.FailureCap, defaultFailureCap)
	c.SlowCap = cmp.Or(c.SlowCap, defaultSlowCap)
	c.InitialProbeDelay = cmp.Or(c.InitialProbeDelay, defaultProbeAfter)
	c.MaxProbeDelay = cmp.Or(c.MaxProbeDelay, defaultProbeMost)
	c.MinProbeInterval = cmp.Or(c.MinProbeInterval, defaultProbeGap)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, defaultProbeLost)
	c.ScoreHalfLife = cmp.Or(c.ScoreHalfLife, defaultHalfLife)
	c.MinRecoveryInterval = cmp.Or(c.MinRecoveryInterval, defaultRiseAfter)
	return c
}
