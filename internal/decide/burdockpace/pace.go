// Package burdockpace bounds how many streams the engines of a service run, by
// the figures that their operators publish and the pauses between events that
// an entry sees itself.
//
// The package is pure: time is passed in. A Limit is not safe for concurrent
// use.
package burdockpace

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Engine is what the operators publish of one engine.
type Engine struct {
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Stride is the number of token steps in one pass; an event of a stream
	// comes with each pass.
	Stride int
	// StepMillis is the fixed part of a token step, SequenceMillis the part for
	// each running request.
	StepMillis     float64
	SequenceMillis float64
}

// pass returns the length of a pass with n requests at each engine, if all are
// evenly loaded and none reads a prompt.
func (e Engine) pass(n float64) float64 {
	return float64(max(e.Stride, 1)) * (e.StepMillis + n*e.SequenceMillis)
}

// fitting returns the number of requests with which a pass that takes factor
// times as long as the figures say lasts for most.
func (e Engine) fitting(most, factor float64) float64 {
	if e.SequenceMillis <= 0 {
		return float64(e.Slots)
	}
	return (most/(factor*float64(max(e.Stride, 1))) - e.StepMillis) / e.SequenceMillis
}

// Config holds the limits of a Limit. A zero field takes its default.
type Config struct {
	// Margin is the part of the longest pause that callers accept which the
	// longest passes may take. The rest is for the way and for single passes
	// that last longer than their neighbours.
	Margin float64
	// Period is the time over which pauses are gathered into one figure. It has
	// to hold a pass or two.
	Period burdockclock.Millis
	// HalfLife is the time in which the memory of the worst period fades by
	// half. It has to be longer than the time between two turns of the experts
	// in demand, which come every few seconds.
	HalfLife burdockclock.Millis
	// StartFactor is the factor by which passes are taken to be longer than the
	// figures say until a worse or, with time, a better one has been seen.
	StartFactor float64
	// MostFactor bounds what one period can show: a group that stalls shows
	// nothing of how many requests it can run.
	MostFactor float64
	// Least is the number of streams for each engine that the bound never falls
	// below, so that pauses can still be seen.
	Least float64
	// Fresh is how long a report of load stands as it is, and Fade the time in
	// which it fades by half after that: about half the length of a stream.
	Fresh burdockclock.Millis
	Fade  burdockclock.Millis
	// Share is the part of what is left that one entry takes up at a time.
	Share float64
	// LoadWeight is the weight of one engine's report in the mean of all.
	LoadWeight float64
}

// Defaults of Config.
const (
	defaultMargin                          = 0.9
	defaultPeriod      burdockclock.Millis = 150
	defaultHalfLife                        = 8 * burdockclock.Second
	defaultStartFactor                     = 2.0
	defaultMostFactor                      = 4.0
	defaultLeast                           = 2.0
	defaultLoadWeight                      = 0.12
	defaultFresh       burdockclock.Millis = 200
	defaultFade        burdockclock.Millis = 700
	defaultShare                           = 0.34
	// lastingWeight makes the factor that holds for a second or two out of
	// those of single periods.
	lastingWeight = 0.1
)

// Limit is the bound on running streams at one entry.
type Limit struct {
	cfg     Config
	engine  Engine
	engines int
	longest burdockclock.Millis // pause that callers accept

	own     float64             // requests of this entry at each engine, on average
	others  float64             // the same of all others, as engines report it
	heardAt burdockclock.Millis // when others was last reported or faded
	peak    float64             // the worst factor of late, fading
	lasting float64
	factor  float64 // of the last period
	sum     float64
	n       int
	endsAt  burdockclock.Millis
	fadedAt burdockclock.Millis
}

// New returns a limit for a number of engines, whose callers accept pauses of
// longest.
func New(cfg Config, engine Engine, engines int, longest burdockclock.Millis) *Limit {
	for _, f := range []struct {
		field *float64
		value float64
	}{
		{&cfg.Margin, defaultMargin}, {&cfg.StartFactor, defaultStartFactor}, {&cfg.MostFactor, defaultMostFactor},
		{&cfg.Least, defaultLeast}, {&cfg.LoadWeight, defaultLoadWeight}, {&cfg.Share, defaultShare},
	} {
		if *f.field <= 0 {
			*f.field = f.value
		}
	}
	for _, f := range []struct {
		field *burdockclock.Millis
		value burdockclock.Millis
	}{
		{&cfg.Period, defaultPeriod}, {&cfg.HalfLife, defaultHalfLife}, {&cfg.Fresh, defaultFresh}, {&cfg.Fade, defaultFade},
	} {
		if *f.field <= 0 {
			*f.field = f.value
		}
	}
	return &Limit{cfg: cfg, engine: engine, engines: max(engines, 1), longest: longest, peak: cfg.StartFactor, lasting: 1}
}

// SetEngines sets the number of engines.
func (l *Limit) SetEngines(n int) { l.engines = max(n, 1) }

// Report tells how many requests one engine runs and has waiting, of which so
// many are of this entry.
func (l *Limit) Report(now burdockclock.Millis, requests, own int) {
	l.fade(now)
	l.others += l.cfg.LoadWeight * (float64(max(requests-own, 0)) - l.others)
	l.heardAt = now
}

// fade lowers what is believed of other entries' requests while no engine
// reports: without it an entry that starts nothing, and so hears nothing, would
// believe for ever that the engines are full.
func (l *Limit) fade(now burdockclock.Millis) {
	silent := now - l.heardAt - l.cfg.Fresh
	if silent <= 0 {
		return
	}
	l.others *= math.Exp2(-float64(silent) / float64(l.cfg.Fade))
	l.heardAt = now - l.cfg.Fresh
}

// load returns the requests at each engine, on average.
func (l *Limit) load() float64 { return l.others + l.own }

// Pause tells of the time between two events of a stream.
func (l *Limit) Pause(now, pause burdockclock.Millis) {
	l.sum += float64(pause)
	l.n++
	if now >= l.endsAt {
		l.endPeriod(now)
	}
}

func (l *Limit) endPeriod(now burdockclock.Millis) {
	l.factor = min(l.sum/float64(l.n)/l.engine.pass(l.load()), l.cfg.MostFactor)
	l.lasting += lastingWeight * (l.factor - l.lasting)
	l.peak = max(l.factor, 1+(l.peak-1)*math.Exp2(-float64(now-l.fadedAt)/float64(l.cfg.HalfLife)))
	l.fadedAt, l.endsAt = now, now+l.cfg.Period
	l.sum, l.n = 0, 0
}

// State is what a Limit believes.
type State struct {
	Load    float64 `json:"load"`    // requests at each engine
	Factor  float64 `json:"factor"`  // of the last period
	Peak    float64 `json:"peak"`    // the worst of late
	Fitting float64 `json:"fitting"` // requests that each engine may have
}

// State returns what the limit believes now.
func (l *Limit) State() State {
	return State{Load: l.load(), Factor: l.factor, Peak: l.peak, Fitting: l.fitting()}
}

// fitting returns the number of requests that each engine may have.
//
// Load: a turn of the experts in demand while as many streams run as fit the
// even load of a moment before. Harm prevented: the passes of all ranks grow by
// half or more until the next map, beyond the pause that callers accept, and
// every stream that runs is late at once. So the passes are to fit as they are
// at the worst of the last turns. Where not even a few would fit for as long
// as a second, nothing can be in time, and as many run as the engines take.
func (l *Limit) fitting() float64 {
	most := l.cfg.Margin * float64(l.longest)
	if l.engine.fitting(most, l.lasting) < l.cfg.Least {
		return float64(l.engine.Slots)
	}
	return min(max(l.engine.fitting(most, l.peak), l.cfg.Least), float64(l.engine.Slots))
}

// Streams returns how many streams this entry may have running, of which it has
// running now.
//
// Load: entries that see uneven traffic and don't talk to each other. Harm
// prevented: a fixed part for each would turn callers away at one entry while
// places are free at the others' expense. All entries hear the same engines'
// loads, so each takes up what is left of the whole; a part of it at a time,
// since the others do the same before the next report.
func (l *Limit) Streams(now burdockclock.Millis, running int) int {
	l.fade(now)
	l.own = float64(running) / float64(l.engines)
	left := (l.fitting() - l.load()) * float64(l.engines)
	if left <= 0 {
		return max(running, 1)
	}
	return running + int(math.Ceil(left*l.cfg.Share))
}
