package burdockdirect

import (
	"maps"
	"net/http"
	"sync"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockcrash"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

const (
	// massCrashDivisor, massCrashMin and massCrashWindow define a mass crash: at least
	// massCrashMin upstreams of a service, and one in massCrashDivisor of them, crash
	// within massCrashWindow. No request can be the cause, since each runs at only one
	// upstream at a time.
	massCrashDivisor                     = 4
	massCrashMin                         = 3
	massCrashWindow  burdockclock.Millis = 1000
	// stallFrom and stallUntil bound the time after the crash of an engine in which the streams
	// at the other ranks of its group break off.
	stallFrom  = burdockclock.Second
	stallUntil = 5 * burdockclock.Second
)

// crashDetector finds the requests that crash the upstreams that run them, and keeps them
// from others.
type crashDetector struct {
	clock   steadyClock
	site    *burdocksite.Site
	log     *zap.Logger
	publish func([]burdockcrash.Crash) // notifies the other entries; may be nil
	// publishAnswer tells the other entries that a request was answered; may be nil.
	publishAnswer func(burdockcrash.Answer)
	parts         *partGuard

	mu      sync.Mutex
	tracker *burdockcrash.Tracker
	// recent remembers what was answered before any crash.
	recent *burdockcrash.RecentAnswers
	// telling holds the requests whose answers may have to be told to the other entries soon.
	telling      map[burdockcrash.Digest]bool
	examinations map[burdockid.Process]*examination
	// crashedAt holds when processes crashed recently.
	crashedAt map[burdockid.Process]burdockclock.Millis
	// droppedLogged is the number of dropped crashes at the latest line about them.
	droppedLogged int
}

func newCrashDetector(deps Deps, ttl burdockclock.Millis, parts *partGuard) *crashDetector {
	c := &crashDetector{
		parts: parts,
		clock: newSteadyClock(deps.Clock), site: deps.Site, log: deps.Log, publish: deps.PublishCrashes, publishAnswer: deps.PublishAnswer,
		tracker:      burdockcrash.New(burdockcrash.Config{TTL: ttl, Explained: parts.explains}),
		recent:       burdockcrash.NewRecentAnswers(),
		telling:      map[burdockcrash.Digest]bool{},
		examinations: map[burdockid.Process]*examination{}, crashedAt: map[burdockid.Process]burdockclock.Millis{},
	}
	deps.Metrics.NewGauge("burdock_direct_crash_evidence_dropped", func() float64 { return float64(c.droppedEvidence()) })
	return c
}

func (c *crashDetector) droppedEvidence() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Dropped()
}

// digest identifies a request by its content and service, whatever its ID. What crashes one
// service's upstreams may be answered by another's, on a route that is split between both.
func (req *request) digest() burdockcrash.Digest {
	if req.contentDigest == nil {
		d := burdockcrash.DigestOf(req.service, req.method, req.target, req.customer, req.body, req.SharedParts...)
		req.contentDigest = &d
	}
	return *req.contentDigest
}

// quarantined returns how much longer a request is kept from upstreams; 0 if it
// isn't.
func (c *crashDetector) quarantined(req *request) burdockclock.Millis {
	if c.empty() {
		return 0
	}
	digest := req.digest()
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.tracker.QuarantineRemaining(c.clock.now(), digest)
	if left == 0 {
		return 0
	}
	if at := c.recent.LastAt(c.recentKey(req)); at != 0 {
		c.addAnswer(burdockcrash.Answer{Request: digest, At: at})
		left = c.tracker.QuarantineRemaining(c.clock.now(), digest)
	}
	return left
}

func (c *crashDetector) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Empty()
}

// crashingRequests returns the requests that ran at upstreams that crashed.
func (c *crashDetector) crashingRequests() []burdockcrash.CrashingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.CrashingRequests(c.clock.now())
}

// addAll adds the crashes that other entries reported.
func (c *crashDetector) addAll(all []burdockcrash.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.now()
	for _, crash := range all {
		c.add(now, crash)
	}
}

// add records a crash and reports whether it was new. The lock must be held.
func (c *crashDetector) add(now burdockclock.Millis, crash burdockcrash.Crash) bool {
	if !c.tracker.Add(now, crash) {
		return false
	}
	c.logDropped()
	c.tell(crash.Request)
	if left := c.tracker.QuarantineRemaining(now, crash.Request); left > 0 {
		found := c.tracker.EvidenceOn(crash.Request)
		c.log.Warn("request crashes upstreams", zap.Stringer("request", crash.Request),
			zap.Int("crashes", found.Crashes), zap.Int("isolated", found.Isolated), zap.Int("answers", found.Answers),
			zap.String("upstream", string(crash.Process.Upstream)), zap.Int64("startedAtMillis", int64(crash.Process.StartedAt)), zap.Int64("keptMillis", int64(left)))
	}
	return true
}

// logDropped writes a line the first time that crashes were forgotten for want of room, and each
// time that their number has doubled. The lock must be held.
func (c *crashDetector) logDropped() {
	dropped := c.tracker.Dropped()
	if dropped == 0 || dropped < 2*c.droppedLogged {
		return
	}
	c.droppedLogged = dropped
	c.log.Warn("crashes of requests dropped", zap.Int("dropped", dropped))
}

// isMassCrash reports whether a large part of a service's upstreams crashed at the same
// time.
func (c *crashDetector) isMassCrash(service burdockid.Service, at burdockclock.Millis) bool {
	n := 0
	for _, crashedAt := range c.crashedAt {
		if at-crashedAt <= massCrashWindow {
			n++
		}
	}
	return n >= max(massCrashMin, len(c.site.Now().Members(service))/massCrashDivisor)
}

// expireCrashes forgets when upstreams crashed that no longer counts. The lock must be held.
func (c *crashDetector) expireCrashes(now burdockclock.Millis) {
	maps.DeleteFunc(c.crashedAt, func(_ burdockid.Process, at burdockclock.Millis) bool { return now-at > stallUntil })
}

// mayBeStall reports whether a stream that broke off after a long silence may have done so
// because another engine of its group has crashed. The lock must be held.
func (c *crashDetector) mayBeStall(now burdockclock.Millis) bool {
	for _, at := range c.crashedAt {
		if now-at >= stallFrom && now-at <= stallUntil {
			return true
		}
	}
	return false
}

// crashRefusalFor returns the refusal of a request that is quarantined as a whole; nil if it
// isn't.
func (e *Entry) crashRefusalFor(req *request) *refusal {
	left := e.crashes.quarantined(req)
	if left == 0 {
		return nil
	}
	e.meters.crashRefusals.Inc()
	return &refusal{http.StatusServiceUnavailable, "not run: it has crashed the upstreams that ran it", left}
}

// AddCrashes adds the crashes that other entries reported.
func (e *Entry) AddCrashes(all []burdockcrash.Crash) { e.crashes.addAll(all) }

// CrashingRequests returns the requests that ran at upstreams that crashed, for operators.
func (e *Entry) CrashingRequests() []burdockcrash.CrashingRequest {
	return e.crashes.crashingRequests()
}
