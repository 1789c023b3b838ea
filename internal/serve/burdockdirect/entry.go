// Package burdockdirect implements an entry that sends requests to upstreams itself, for
// sites whose platform manages routes and membership. Requests pass no agent: plain
// services have none, and replacing an agent would cut healthy streams.
//
// Admission, placement, retries and ejection are decided by the packages under
// internal/decide, which the entry that works with agents uses too.
package burdockdirect

import (
	"context"
	"sync"
	"sync/atomic"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockcrash"
	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Config holds the settings of an entry.
type Config struct {
	DataCentre burdockid.DataCentre
	// GraceMillis is the time from the start of a planned stop to its end, at which what is
	// still open is ended.
	GraceMillis burdockclock.Millis
	// QuarantineMillis is how long a request is kept from upstreams after it has crashed
	// some; 0 selects the default.
	QuarantineMillis burdockclock.Millis
	// BodyTimeoutMillis is how long the body of a request may take to arrive; 0 selects
	// the default.
	BodyTimeoutMillis burdockclock.Millis
	// AnswerBytes bounds the answers of upstreams that are held at a time; 0 selects the
	// default.
	AnswerBytes int64
	// SharedAdmission selects the services with shared admission; "" selects
	// SharedAdmissionAuto.
	SharedAdmission SharedAdmission
}

// Deps holds what an entry depends on.
type Deps struct {
	Clock   burdockclock.Clock
	Site    *burdocksite.Site
	Dialect Dialect
	Log     *zap.Logger
	Metrics *metrics.Set
	Seed    uint64
	// PublishCrashes notifies the other entries of crashes. It must not block; nil
	// notifies nobody.
	PublishCrashes func([]burdockcrash.Crash)
	// PublishAnswer tells the other entries that a request which ran at upstreams that crashed
	// was answered with success. It must not block; nil tells nobody.
	PublishAnswer func(burdockcrash.Answer)
	// PartNews tells the other entries about parts of prompts that crash upstreams; nil if
	// there are none.
	PartNews PartNews
	// PublishSuspected notifies the other entries that an upstream has failed a request.
	// It must not block; nil notifies nobody.
	PublishSuspected func(burdockid.Upstream)
	// NeedEntries is called when an upstream first names a rate limit, so that SetEntries
	// is called with all entries. It must not block; nil if that is called anyway.
	NeedEntries func()
}

// Entry is the http.Handler that serves callers.
type Entry struct {
	cfg       Config
	deps      Deps
	upstreams upstreamClients
	answers   *byteBudget // bounds the answers that are held
	meters    *meters
	// crashes detects the requests that crash upstreams.
	crashes *crashDetector
	// parts keeps requests with a part that crashes upstreams from those.
	parts *partGuard

	drainingAt atomic.Int64 // boot time of the planned stop; 0 before it
	active     atomic.Int64
	// ending is cancelled at the end of a planned stop, by endRequests.
	ending      context.Context
	endRequests context.CancelFunc
	// complete is closed when the site's snapshot is complete for the first time. starting
	// is the number of requests that wait for that.
	complete     chan struct{}
	completeOnce sync.Once
	starting     atomic.Int64

	mu     sync.Mutex
	pools  map[burdockid.Service]*pool
	speeds map[string]burdockspeed.Speed // of slow engines, by address
	groups map[string]burdockid.Group    // of lock-step engines, by address
	// entries are the entries that share the rates of upstreams.
	entries burdocksharedrate.Entries
}

// New returns an entry that has no pools yet.
func New(cfg Config, deps Deps) *Entry {
	e := &Entry{cfg: cfg, deps: deps, complete: make(chan struct{}), pools: map[burdockid.Service]*pool{}, meters: newMeters(deps.Metrics)}
	e.ending, e.endRequests = context.WithCancel(context.Background())
	e.parts = newPartGuard(deps, e.meters)
	e.crashes = newCrashDetector(deps, cfg.QuarantineMillis, e.parts)
	e.upstreams = newUpstreamClients()
	e.answers = newByteBudget(cfg.AnswerBytes)
	deps.Metrics.NewGauge("burdock_direct_answer_bytes", func() float64 { return float64(e.answers.used.Load()) })
	e.entries.ClockOffset = deps.Clock.Now() - deps.Clock.Boot()
	e.noteComplete(deps.Site.Now())
	return e
}

// Ready returns why the entry should get no new connections; "" if it should.
func (e *Entry) Ready() string {
	switch {
	case e.drainingAt.Load() != 0:
		return "stopping"
	case e.deps.Site.Now().Config == nil:
		return "no configuration yet"
	case !e.deps.Site.Now().Complete():
		return "upstreams not read yet"
	}
	return ""
}

func (e *Entry) now() burdockclock.Millis { return e.deps.Clock.Boot() }

// pool returns the pool of a service, and creates it for the first request.
func (e *Entry) pool(name burdockid.Service) *pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.pools[name]
	if !ok {
		p = newPool(name, e)
		p.setSpeeds(e.speeds)
		e.pools[name] = p
	}
	return p
}

// SetSpeeds replaces the speeds of the engines that are slow, by address.
func (e *Entry) SetSpeeds(speeds map[string]burdockspeed.Speed) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speeds = speeds
	for _, p := range e.pools {
		p.setSpeeds(speeds)
	}
}

// ApplySnapshot passes a change of the site to the pools.
func (e *Entry) ApplySnapshot(snap *burdocksite.Snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		p.applySnapshot(e.now(), snap)
	}
	e.noteComplete(snap)
}
