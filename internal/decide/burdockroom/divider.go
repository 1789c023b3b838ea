// Package burdockroom divides the room of a service, which is the number of streams that its
// engines may run at once, among the entries that send streams to them.
//
// It handles demand beyond the room: of several priorities, uneven by entry and by customer,
// and changing within a second. Entries that decide independently start less urgent work in
// the place of urgent work that waits elsewhere, keep the share that they had when a surge
// began, and together start more than fits.
//
// A Divider runs at one agent and keeps the latest Report of each entry. It answers each
// report with that entry's Part: limits on how many streams the entry runs while requests of
// a priority may start. A ledger of what was granted keeps the sum of all limits within the
// room. Nothing else is stored: a Divider that replaces another one learns all from reports.
//
// The package is pure: time is passed in. A Divider is not safe for concurrent use.
package burdockroom

import (
	"math"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Config configures a Divider. A field that is not positive takes its default.
type Config struct {
	// ValidFor is how long a Part is valid. It spans two reports and a lost one.
	ValidFor burdockclock.Millis
	// LearningTime is how long a Divider learns from reports before it divides. It spans
	// a report of each entry, also of idle ones, and the rest of the parts that a former
	// Divider has given.
	LearningTime burdockclock.Millis
	// ForgetAfter is the time after its last report at which an entry is forgotten.
	ForgetAfter burdockclock.Millis
	// ReserveFraction is the fraction of the room that the least urgent priority with
	// demand leaves free for more urgent ones.
	ReserveFraction float64
	// MostUrgent is the most urgent priority that the service's requests have. Nothing is
	// reserved for more urgent ones.
	MostUrgent int
	// MaxStarvation is the time after which a priority that waits gets one start.
	MaxStarvation burdockclock.Millis
	// Turnover is the fraction of an entry's streams, of a priority for which the room is
	// too small, that one report passes on to others as the streams end. In simulations
	// with streams of a second, entries whose demand tripled had four fifths of their new
	// share after 1.4 to 1.8 s with 0.5, after 1.6 to 2.6 s with 0.25. With 1, up to 4 in
	// 100 of the room were unused.
	Turnover float64
	// RecentTime is the time constant with which an entry's former demand is forgotten.
	RecentTime burdockclock.Millis
	// ServiceHalfLife is the time in which half of what a customer has had is forgotten.
	ServiceHalfLife burdockclock.Millis
	// ReportInterval is the usual interval of reports.
	ReportInterval burdockclock.Millis
	// IdleInterval is the usual interval of entries that neither run nor wait.
	IdleInterval burdockclock.Millis
	// MaxReportRate is how many reports per second a Divider asks for. Each takes about
	// 11 µs.
	MaxReportRate float64
	// MaxEntries and MaxKnownCustomers bound memory and the time of a division.
	MaxEntries, MaxKnownCustomers int
}

// Defaults of Config.
const (
	defaultValidFor        burdockclock.Millis = 600
	defaultLearningTime    burdockclock.Millis = 700
	defaultForgetAfter                         = 5 * burdockclock.Second
	defaultReserveFraction                     = 0.05
	defaultMaxStarvation                       = 2 * burdockclock.Second
	defaultTurnover                            = 0.5
	defaultRecentTime                          = 5 * burdockclock.Second
	defaultServiceHalfLife                     = 5 * burdockclock.Second
	defaultReportInterval  burdockclock.Millis = 100
	defaultIdleInterval    burdockclock.Millis = 500
	defaultMaxReportRate                       = 1200.0
	defaultMaxEntries                          = 1024
	defaultMaxKnown                            = 16_384
)

// entriesPerMilli sets how often the room is divided: for many entries, once for several
// reports, so that the time that it takes per second doesn't grow with their square.
const entriesPerMilli = 5

// Divider divides the room.
type Divider struct {
	cfg       Config
	startedAt burdockclock.Millis
	started   bool
	entries   map[burdockid.VM]*entry
	all       []*entry // the same entries
	engines   engineSet
	customers customers
	loads     loads
	starving  starvation
	division  division
}

// New returns a Divider that knows no entries.
func New(cfg Config) *Divider {
	setDefault(&cfg.ValidFor, defaultValidFor)
	setDefault(&cfg.LearningTime, defaultLearningTime)
	setDefault(&cfg.ForgetAfter, defaultForgetAfter)
	setDefault(&cfg.ReserveFraction, defaultReserveFraction)
	setDefault(&cfg.MaxStarvation, defaultMaxStarvation)
	setDefault(&cfg.Turnover, defaultTurnover)
	setDefault(&cfg.RecentTime, defaultRecentTime)
	setDefault(&cfg.ServiceHalfLife, defaultServiceHalfLife)
	setDefault(&cfg.ReportInterval, defaultReportInterval)
	setDefault(&cfg.IdleInterval, defaultIdleInterval)
	setDefault(&cfg.MaxReportRate, defaultMaxReportRate)
	setDefault(&cfg.MaxEntries, defaultMaxEntries)
	setDefault(&cfg.MaxKnownCustomers, defaultMaxKnown)
	return &Divider{
		cfg:       cfg,
		entries:   map[burdockid.VM]*entry{},
		customers: newCustomers(cfg.MaxKnownCustomers),
		engines:   engineSet{},
		loads:     loads{byEngine: map[burdockid.Upstream]*load{}},
	}
}

func setDefault[T burdockclock.Millis | float64 | int](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Handle records a report and returns the entry's part. An error has the type InvalidReport,
// and the report has then changed nothing. Part.Loads must not be modified.
func (d *Divider) Handle(now burdockclock.Millis, r Report) (Part, error) {
	if err := r.validate(d.engines); err != nil {
		return Part{}, err
	}
	e, err := d.entryOf(&r)
	if err != nil {
		return Part{}, err
	}
	if !d.started {
		d.started, d.startedAt = true, now
	}
	d.record(now, e, &r)
	if now-d.division.at >= burdockclock.Millis(len(d.entries)/entriesPerMilli) {
		d.forgetSilent(now)
		d.divide(now)
	}
	return d.part(now, e), nil
}

// learning reports whether parts carry no limits yet: entries that a Divider hasn't heard
// from may hold room that it doesn't know of, and without any measured capacity there is
// nothing to divide.
func (d *Divider) learning(now burdockclock.Millis) bool {
	return now-d.startedAt < d.cfg.LearningTime || d.division.room == 0
}

// reportInterval returns the interval of the reports of entries with demand, 0 for the usual
// one. It grows with the fleet, whose reports would otherwise take a notable part of a core at
// the agent.
func (d *Divider) reportInterval() burdockclock.Millis {
	idle := float64(len(d.all) - d.division.active)
	rate := max(d.cfg.MaxReportRate-idle*perSecond(d.cfg.IdleInterval), perSecond(d.cfg.IdleInterval))
	interval := burdockclock.Millis(math.Ceil(float64(d.division.active) * float64(burdockclock.Second) / rate))
	if interval <= d.cfg.ReportInterval {
		return 0
	}
	return min(interval, d.cfg.ValidFor/2)
}

// perSecond returns how often an interval passes in a second.
func perSecond(interval burdockclock.Millis) float64 {
	return float64(burdockclock.Second) / float64(interval)
}
