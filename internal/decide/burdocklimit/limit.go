// Package burdocklimit limits how many streams the engines of a service run. It uses
// the performance figures that operators publish for an engine, and the event gaps
// that an entry measures: the times between two events of a stream.
//
// The package does no I/O: time is passed in. A Limit is not safe for concurrent
// use.
package burdocklimit

import (
	"maps"
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Engine holds the published performance figures of one engine.
type Engine struct {
	// Slots is the number of requests that it runs at a time.
	Slots int
	// StepsPerEvent is the number of token steps between two events of a stream,
	// called a cycle here. Less than 1 counts as 1.
	StepsPerEvent int
	// BaseStepMillis is the fixed part of the duration of a token step.
	// StepMillisPerRequest is added to it for each running request.
	BaseStepMillis       float64
	StepMillisPerRequest float64
}

// cycle returns the duration in milliseconds of a cycle with n requests at each
// engine, if all engines are evenly loaded and none processes a prompt. It is also
// the event gap of each stream.
func (e Engine) cycle(n float64) float64 {
	return float64(max(e.StepsPerEvent, 1)) * (e.BaseStepMillis + n*e.StepMillisPerRequest)
}

// maxRequests returns the number of requests with which a cycle takes maxCycle
// milliseconds, given that it takes slowdown times as long as the figures imply.
func (e Engine) maxRequests(maxCycle, slowdown float64) float64 {
	if e.StepMillisPerRequest <= 0 {
		return float64(e.Slots)
	}
	return (maxCycle/(slowdown*float64(max(e.StepsPerEvent, 1))) - e.BaseStepMillis) / e.StepMillisPerRequest
}

// Config configures a Limit. A field that is not positive takes its default.
type Config struct {
	// GapFraction is the fraction of the maximum event gap that a cycle may take.
	// The rest covers network latency and single cycles that take longer than
	// their neighbours.
	GapFraction float64
	// SafetyFactor is the factor by which cycles are assumed to be longer than
	// typical. With a higher value fewer streams are late when the experts in
	// demand change, but more streams are turned away all the time.
	SafetyFactor float64
	// SamplePeriod is the time over which event gaps are averaged into one
	// slowdown. It has to span a cycle or two.
	SamplePeriod burdockclock.Millis
	// AveragingTime is the time constant of the typical slowdown. It is longer than
	// the time between two changes of the experts in demand, which come every few
	// seconds, because a limit that follows each change is always late.
	AveragingTime burdockclock.Millis
	// InitialSlowdown is the typical slowdown until event gaps have been measured.
	// The slowdown is the measured cycle divided by the one that the figures imply.
	InitialSlowdown float64
	// MaxSlowdown limits the slowdown of one period, because the event gaps of a
	// stalled group say nothing about how many requests it can run.
	MaxSlowdown float64
	// MinPerEngine is the smallest limit on the requests at each engine. With fewer
	// there are too few event gaps to measure. When not even these fit, the engines'
	// slots are the limit.
	MinPerEngine float64
	// ReportFreshFor is the age up to which a load report counts fully. After that
	// its weight halves every ReportHalfLife, which is about half the length of a
	// stream.
	ReportFreshFor burdockclock.Millis
	ReportHalfLife burdockclock.Millis
	// ShareWithoutReports is the share of the remaining capacity that an entry uses
	// when it has received no recent reports.
	ShareWithoutReports float64
	// GradualStart limits the streams of an entry that has just started by a ramp; see
	// ramp. The typical slowdown is then the mean of what was measured until that covers
	// AveragingTime.
	GradualStart bool
}

// Defaults of Config.
const (
	defaultGapFraction                             = 0.9
	defaultSafetyFactor                            = 1.3
	defaultSamplePeriod        burdockclock.Millis = 150
	defaultAveragingTime                           = 6 * burdockclock.Second
	defaultInitialSlowdown                         = 1.7
	defaultMaxSlowdown                             = 4.0
	defaultMinPerEngine                            = 2.0
	defaultReportFreshFor      burdockclock.Millis = 300
	defaultReportHalfLife      burdockclock.Millis = 700
	defaultShareWithoutReports                     = 0.34
)

// Limit computes the limit on running streams at one entry.
type Limit struct {
	cfg         Config
	engine      Engine
	engines     int
	maxEventGap burdockclock.Millis // that callers accept

	own             float64 // running requests of this entry, per engine
	reports         map[burdockid.Upstream]report
	typicalSlowdown float64 // moving average of slowdown
	slowdown        float64 // of the last period
	gapSum          float64
	n               int
	periodStart     burdockclock.Millis // of the gaps in gapSum, of which there are n
	measured        burdockclock.Millis // total length of the periods that have ended
	ramp            ramp
}

// report is the load that an engine reported of other entries' requests, and how
// many requests per engine this entry had when it received the report.
type report struct {
	others     float64
	own        float64
	receivedAt burdockclock.Millis
}

// New returns a limit for the given number of engines. Callers accept event gaps of
// up to maxEventGap.
func New(cfg Config, engine Engine, engines int, maxEventGap burdockclock.Millis) *Limit {
	setDefault(&cfg.GapFraction, defaultGapFraction)
	setDefault(&cfg.SafetyFactor, defaultSafetyFactor)
	setDefault(&cfg.SamplePeriod, defaultSamplePeriod)
	setDefault(&cfg.AveragingTime, defaultAveragingTime)
	setDefault(&cfg.InitialSlowdown, defaultInitialSlowdown)
	setDefault(&cfg.MaxSlowdown, defaultMaxSlowdown)
	setDefault(&cfg.MinPerEngine, defaultMinPerEngine)
	setDefault(&cfg.ReportFreshFor, defaultReportFreshFor)
	setDefault(&cfg.ReportHalfLife, defaultReportHalfLife)
	setDefault(&cfg.ShareWithoutReports, defaultShareWithoutReports)
	l := &Limit{
		cfg: cfg, engine: engine, engines: max(engines, 1), maxEventGap: maxEventGap,
		reports: map[burdockid.Upstream]report{}, typicalSlowdown: cfg.InitialSlowdown,
	}
	if cfg.GradualStart {
		l.ramp.bound = rampStart
	}
	return l
}

func setDefault[T burdockclock.Millis | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// SetEngines replaces the engines.
func (l *Limit) SetEngines(engines []burdockid.Upstream) {
	l.engines = max(len(engines), 1)
	known := make(map[burdockid.Upstream]bool, len(engines))
	for _, u := range engines {
		known[u] = true
	}
	maps.DeleteFunc(l.reports, func(u burdockid.Upstream, _ report) bool { return !known[u] })
}

// Report records how many requests one engine has running or waiting. own is how
// many of them are from this entry.
func (l *Limit) Report(now burdockclock.Millis, u burdockid.Upstream, requests, own int) {
	l.reports[u] = report{others: float64(max(requests-own, 0)), own: l.own, receivedAt: now}
}

// Forget drops the report of an engine that was restarted.
func (l *Limit) Forget(u burdockid.Upstream) { delete(l.reports, u) }

// reportedLoad returns the mean number of requests at each engine according to the
// latest reports: those of other entries, and those that this entry had when it
// received the reports.
//
// An entry receives a report of an engine when it sends a request there, which it
// does less often the more loaded the engine is. Each engine therefore counts with
// its latest report, weighted by age. When no reports arrive, for example because
// this entry starts no streams, the load of other entries decays. Otherwise the
// entry would consider the engines full forever.
func (l *Limit) reportedLoad(now burdockclock.Millis) (others, own float64) {
	totalWeight := 0.0
	for _, r := range l.reports {
		weight := math.Exp2(-float64(now-r.receivedAt) / float64(l.cfg.ReportHalfLife))
		others += weight * r.others
		own += weight * r.own
		totalWeight += weight
	}
	if totalWeight <= 0 {
		return 0, l.own
	}
	return l.freshness(now) * others / totalWeight, own / totalWeight
}

// load returns the mean number of requests at each engine.
func (l *Limit) load(now burdockclock.Millis) float64 {
	others, _ := l.reportedLoad(now)
	return others + l.own
}

// freshness returns the weight of the newest report, from 1 (recent) to 0.
func (l *Limit) freshness(now burdockclock.Millis) float64 {
	minAge := burdockclock.Millis(math.MaxInt64)
	for _, r := range l.reports {
		minAge = min(minAge, now-r.receivedAt)
	}
	if minAge <= l.cfg.ReportFreshFor {
		return 1
	}
	return math.Exp2(-float64(minAge-l.cfg.ReportFreshFor) / float64(l.cfg.ReportHalfLife))
}

// ObserveEventGap records the time between two events of a stream.
func (l *Limit) ObserveEventGap(now, gap burdockclock.Millis) {
	if l.n == 0 {
		l.periodStart = now
	}
	l.gapSum += float64(gap)
	l.n++
	if now-l.periodStart >= l.cfg.SamplePeriod {
		l.endPeriod(now)
	}
}

func (l *Limit) endPeriod(now burdockclock.Millis) {
	l.slowdown = min(l.gapSum/float64(l.n)/l.engine.cycle(l.load(now)), l.cfg.MaxSlowdown)
	elapsed := now - l.periodStart
	l.measured = min(l.measured+elapsed, l.cfg.AveragingTime)
	averagingTime := l.cfg.AveragingTime
	if l.cfg.GradualStart {
		averagingTime = l.measured
	}
	weight := min(float64(elapsed)/float64(averagingTime), 1)
	l.typicalSlowdown += weight * (l.slowdown - l.typicalSlowdown)
	l.gapSum, l.n = 0, 0
}

// SetTypicalSlowdown sets the typical slowdown that others have measured. It does nothing
// once this entry has measured one, or if v is not positive and finite.
func (l *Limit) SetTypicalSlowdown(v float64) {
	if l.measured > 0 || !(v > 0) || math.IsInf(v, 1) {
		return
	}
	l.typicalSlowdown = min(v, l.cfg.MaxSlowdown)
}

// State is a snapshot of a Limit.
type State struct {
	Load            float64 `json:"load"`    // requests at each engine
	Slowdown        float64 `json:"factor"`  // of the last period
	TypicalSlowdown float64 `json:"usual"`   // moving average of Slowdown
	MaxPerEngine    float64 `json:"fitting"` // requests that each engine may have
}

// State returns the limit's current state.
func (l *Limit) State(now burdockclock.Millis) State {
	return State{Load: l.load(now), Slowdown: l.slowdown, TypicalSlowdown: l.typicalSlowdown, MaxPerEngine: l.maxRequests()}
}

// maxRequests returns the number of requests that each engine may have.
//
// Each additional stream lengthens the cycles of all ranks of lockstep engines. With
// more streams than fit the maximum event gap, every stream is late at once and the
// backlog never drains. If not even MinPerEngine requests fit, no stream can be on
// time, and the engines' slots are the limit: late answers are better than none.
func (l *Limit) maxRequests() float64 {
	limit := l.engine.maxRequests(l.cfg.GapFraction*float64(l.maxEventGap), l.typicalSlowdown*l.cfg.SafetyFactor)
	if limit < l.cfg.MinPerEngine {
		return float64(l.engine.Slots)
	}
	return min(limit, float64(l.engine.Slots))
}

// Capacity returns how many streams all engines together may run.
func (l *Limit) Capacity() float64 { return l.maxRequests() * float64(l.engines) }

// MeasuredSlowdown returns the typical slowdown; 0 while no event gaps have been measured.
func (l *Limit) MeasuredSlowdown() float64 {
	if l.slowdown == 0 {
		return 0
	}
	return l.typicalSlowdown
}

// growthFactor returns the factor by which an entry's requests may grow since the
// latest reports. headroom is the factor by which all requests together may grow.
// While there is headroom an entry with growing traffic may use more than its
// share, because other entries rarely grow at the same moment. Near the limit the
// extra is close to nothing.
func growthFactor(headroom float64) float64 {
	if headroom <= 1 {
		return headroom
	}
	return headroom * math.Sqrt(headroom)
}

// MaxStreams returns how many streams this entry may have running. running is how
// many it has now.
//
// The limit has to work for one entry or hundreds, which get uneven traffic and
// don't communicate. With a fixed share of the capacity for each, one entry turns
// callers away while slots of the others are unused. With a fixed share of the
// remaining capacity, all entries take theirs before the next reports and fill the
// engines many times over. Each entry's share is therefore the share of all requests
// that it had at the time of the reports. These shares add up to 1 for any number of
// entries, and what an entry has started since counts only against its own share. An
// entry without recent reports doesn't know its share, and gradually takes
// ShareWithoutReports of the remaining capacity instead.
func (l *Limit) MaxStreams(now burdockclock.Millis, running int) int {
	l.own = float64(running) / float64(l.engines)
	limit := l.maxRequests()
	others, own := l.reportedLoad(now)
	reportWeight := l.freshness(now)
	bound := 0.0
	if load := others + own; load > 0 {
		share := own * growthFactor(limit/load)
		// When few requests ran at the latest reports, the growth factor is large and
		// means little. The share is therefore limited to what other entries leave.
		bound = reportWeight * min(share, max(limit-others, own)) * float64(l.engines)
	}
	if remaining := limit - others - l.own; remaining > 0 {
		bound += (1 - reportWeight) * (float64(running) + remaining*float64(l.engines)*l.cfg.ShareWithoutReports)
	}
	return l.ramp.apply(now, running, max(int(math.Ceil(bound)), 1))
}
