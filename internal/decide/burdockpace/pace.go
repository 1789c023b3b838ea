// Package burdockpace bounds how many streams the engines of a service run, by
// the figures that their operators publish and the pauses between events that
// an entry sees itself.
//
// The package is pure: time is passed in. A Limit is not safe for concurrent
// use.
package burdockpace

import (
	"maps"
	"math"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Engine is what the operators publish of one engine.
type Engine struct {
	// Slots is the number of requests that it runs at a time.
	Slots int
	// StepsPerEvent is the number of token steps in one pass; an event of a stream
	// comes with each pass.
	StepsPerEvent int
	// BaseStepMillis is the fixed part of a token step, StepMillisPerRequest the part for
	// each running request.
	BaseStepMillis       float64
	StepMillisPerRequest float64
}

// pass returns the length of a pass with n requests at each engine, if all are
// evenly loaded and none reads a prompt.
func (e Engine) pass(n float64) float64 {
	return float64(max(e.StepsPerEvent, 1)) * (e.BaseStepMillis + n*e.StepMillisPerRequest)
}

// fitting returns the number of requests with which a pass that takes factor
// times as long as the figures say lasts for most.
func (e Engine) fitting(most, factor float64) float64 {
	if e.StepMillisPerRequest <= 0 {
		return float64(e.Slots)
	}
	return (most/(factor*float64(max(e.StepsPerEvent, 1))) - e.BaseStepMillis) / e.StepMillisPerRequest
}

// Config holds the limits of a Limit. A zero field takes its default.
type Config struct {
	// GapFraction is the part of the longest pause that callers accept which a pass
	// may take. The rest is for the way and for single passes that last longer
	// than their neighbours.
	GapFraction float64
	// SafetyFactor is how much longer than usual a pass is taken to be. Higher, and
	// fewer streams are late when the experts in demand turn, but more are
	// turned away all the time.
	SafetyFactor float64
	// SamplePeriod is the time over which pauses are gathered into one figure. It has
	// to hold a pass or two.
	SamplePeriod burdockclock.Millis
	// AveragingTime is the time over which the usual is taken: longer than the time
	// between two turns of the experts in demand, which come every few seconds,
	// as a bound that follows each turn is always late.
	AveragingTime burdockclock.Millis
	// InitialSlowdown is the factor by which passes are taken to be longer than the
	// figures say until some have been seen.
	InitialSlowdown float64
	// MaxSlowdown bounds what one period can show: a group that stalls shows
	// nothing of how many requests it can run.
	MaxSlowdown float64
	// MinPerEngine is the number of streams for each engine that the bound never falls
	// below, so that pauses can still be seen.
	MinPerEngine float64
	// ReportFreshFor is how long a report of load stands as it is, and ReportHalfLife the time in
	// which it fades by half after that: about half the length of a stream.
	ReportFreshFor burdockclock.Millis
	ReportHalfLife burdockclock.Millis
	// ShareWithoutReports is the part of what is left that an entry takes up which has heard
	// nothing of late.
	ShareWithoutReports float64
}

// Defaults of Config.
const (
	defaultMargin                          = 0.9
	defaultReserve                         = 1.3
	defaultPeriod      burdockclock.Millis = 150
	defaultMemory                          = 6 * burdockclock.Second
	defaultStartFactor                     = 1.7
	defaultMostFactor                      = 4.0
	defaultLeast                           = 2.0
	defaultFresh       burdockclock.Millis = 300
	defaultFade        burdockclock.Millis = 700
	defaultShare                           = 0.34
)

// Limit is the bound on running streams at one entry.
type Limit struct {
	cfg     Config
	engine  Engine
	engines int
	longest burdockclock.Millis // pause that callers accept

	own     float64 // requests of this entry, for each engine
	reports map[burdockid.Upstream]report
	usual   float64 // factor by which passes are longer than the figures say
	factor  float64 // of the last period
	sum     float64
	n       int
	beganAt burdockclock.Millis // of the period
}

// report is what an engine told of the requests of other entries, and how many
// this entry had then, for each engine.
type report struct {
	others float64
	own    float64
	at     burdockclock.Millis
}

// New returns a limit for a number of engines, whose callers accept pauses of
// longest.
func New(cfg Config, engine Engine, engines int, longest burdockclock.Millis) *Limit {
	setDefault(&cfg.GapFraction, defaultMargin)
	setDefault(&cfg.SafetyFactor, defaultReserve)
	setDefault(&cfg.SamplePeriod, defaultPeriod)
	setDefault(&cfg.AveragingTime, defaultMemory)
	setDefault(&cfg.InitialSlowdown, defaultStartFactor)
	setDefault(&cfg.MaxSlowdown, defaultMostFactor)
	setDefault(&cfg.MinPerEngine, defaultLeast)
	setDefault(&cfg.ReportFreshFor, defaultFresh)
	setDefault(&cfg.ReportHalfLife, defaultFade)
	setDefault(&cfg.ShareWithoutReports, defaultShare)
	return &Limit{
		cfg: cfg, engine: engine, engines: max(engines, 1), longest: longest,
		reports: map[burdockid.Upstream]report{}, usual: cfg.InitialSlowdown,
	}
}

func setDefault[T burdockclock.Millis | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// SetEngines replaces the engines.
func (l *Limit) SetEngines(engines []burdockid.Upstream) {
	l.engines = max(len(engines), 1)
	maps.DeleteFunc(l.reports, func(u burdockid.Upstream, _ report) bool { return !slices.Contains(engines, u) })
}

// Report tells how many requests one engine runs and has waiting, of which so
// many are of this entry.
func (l *Limit) Report(now burdockclock.Millis, u burdockid.Upstream, requests, own int) {
	l.reports[u] = report{others: float64(max(requests-own, 0)), own: l.own, at: now}
}

// heard returns what the latest reports say of the requests at each engine, on
// average: those of other entries, and those that this one had as they were told.
// An entry hears of an engine when it sends a request there, which it does less
// often the more loaded the engine is: so each engine counts by its latest report,
// the older the less. When none reports, as when this entry starts nothing, what
// was heard fades; else it would believe for ever that the engines are full.
func (l *Limit) heard(now burdockclock.Millis) (others, own float64) {
	weights := 0.0
	for _, r := range l.reports {
		weight := math.Exp2(-float64(now-r.at) / float64(l.cfg.ReportHalfLife))
		others += weight * r.others
		own += weight * r.own
		weights += weight
	}
	if weights <= 0 {
		return 0, l.own
	}
	return l.fresh(now) * others / weights, own / weights
}

// load returns the requests at each engine, on average.
func (l *Limit) load(now burdockclock.Millis) float64 {
	others, _ := l.heard(now)
	return others + l.own
}

// fresh returns how far the newest report still stands, from 1 to 0.
func (l *Limit) fresh(now burdockclock.Millis) float64 {
	newest := burdockclock.Millis(math.MaxInt64)
	for _, r := range l.reports {
		newest = min(newest, now-r.at)
	}
	if newest <= l.cfg.ReportFreshFor {
		return 1
	}
	return math.Exp2(-float64(newest-l.cfg.ReportFreshFor) / float64(l.cfg.ReportHalfLife))
}

// ObserveEventGap tells of the time between two events of a stream.
func (l *Limit) ObserveEventGap(now, pause burdockclock.Millis) {
	if l.n == 0 {
		l.beganAt = now
	}
	l.sum += float64(pause)
	l.n++
	if now-l.beganAt >= l.cfg.SamplePeriod {
		l.endPeriod(now)
	}
}

func (l *Limit) endPeriod(now burdockclock.Millis) {
	l.factor = min(l.sum/float64(l.n)/l.engine.pass(l.load(now)), l.cfg.MaxSlowdown)
	weight := min(float64(now-l.beganAt)/float64(l.cfg.AveragingTime), 1)
	l.usual += weight * (l.factor - l.usual)
	l.sum, l.n = 0, 0
}

// State is what a Limit believes.
type State struct {
	Load            float64 `json:"load"`    // requests at each engine
	Slowdown        float64 `json:"factor"`  // of the last period
	TypicalSlowdown float64 `json:"usual"`   // factor
	MaxPerEngine    float64 `json:"fitting"` // requests that each engine may have
}

// State returns what the limit believes now.
func (l *Limit) State(now burdockclock.Millis) State {
	return State{Load: l.load(now), Slowdown: l.factor, TypicalSlowdown: l.usual, MaxPerEngine: l.fitting()}
}

// fitting returns the number of requests that each engine may have.
//
// Load: more streams than engines in lock-step can run within the pause that
// callers accept. Harm prevented: each stream that runs lengthens the passes of
// all ranks, so that beyond a point every stream is late at once and the
// backlog never drains. Where not even a few would fit, nothing can be in time,
// and as many run as the engines take: late answers are better than none.
func (l *Limit) fitting() float64 {
	fit := l.engine.fitting(l.cfg.GapFraction*float64(l.longest), l.usual*l.cfg.SafetyFactor)
	if fit < l.cfg.MinPerEngine {
		return float64(l.engine.Slots)
	}
	return min(fit, float64(l.engine.Slots))
}

// room returns how many times as many requests as at the latest reports an entry
// may have, when that many times as many fit as there were. While there is room an
// entry whose traffic grows may take up more than its part, since that of the others
// hardly grows at the same moment; near the bound that is next to nothing.
func room(fits float64) float64 {
	if fits <= 1 {
		return fits
	}
	return fits * math.Sqrt(fits)
}

// MaxStreams returns how many streams this entry may have running, of which it has
// running now.
//
// Load: one entry or hundreds, which see uneven traffic and don't talk to each
// other. Harm prevented: a fixed part for each would turn callers away at one entry
// while places are free at the others' expense; a fixed part of what is left, taken
// up by all of them before the next reports, would fill the engines many times
// over. Each entry's part is that of all requests which it had when the reports
// were told. Those parts add up to one, however many entries there are, and what
// each has started since counts against its own part alone. An entry that hears
// nothing knows no longer what its part is, and takes up more.
func (l *Limit) MaxStreams(now burdockclock.Millis, running int) int {
	l.own = float64(running) / float64(l.engines)
	fit := l.fitting()
	others, own := l.heard(now)
	known := l.fresh(now)
	bound := 0.0
	if load := others + own; load > 0 {
		part := own * room(fit/load)
		// When little ran at the latest reports, a part of it says little of how much
		// more there may be: never more than the others leave.
		bound = known * min(part, max(fit-others, own)) * float64(l.engines)
	}
	if left := fit - others - l.own; left > 0 {
		bound += (1 - known) * (float64(running) + left*float64(l.engines)*l.cfg.ShareWithoutReports)
	}
	return max(int(math.Ceil(bound)), 1)
}
