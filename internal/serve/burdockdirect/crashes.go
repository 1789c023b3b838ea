package burdockdirect

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockcrash"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

const (
	// examineTimeout is how long an upstream's record is watched for its removal, after
	// the upstream's connection broke and it could not be reached: more than three
	// heartbeats.
	examineTimeout = 6 * burdockclock.Second
	// examineInterval is how often that record is checked.
	examineInterval = 250 * time.Millisecond
	// massCrashDivisor, massCrashMin and massCrashWindow define a mass crash: at least
	// massCrashMin upstreams of a service, and one in massCrashDivisor of them, crash
	// within massCrashWindow. No request can be the cause, since each runs at only one
	// upstream at a time.
	massCrashDivisor                     = 4
	massCrashMin                         = 3
	massCrashWindow  burdockclock.Millis = 1000
)

// crashDetector finds the requests that crash the upstreams that run them, and keeps them
// from others. It uses the wall clock, since entries exchange the times of crashes.
type crashDetector struct {
	clock   burdockclock.Clock
	site    *burdocksite.Site
	log     *zap.Logger
	publish func([]burdockcrash.Crash) // notifies the other entries; may be nil

	mu           sync.Mutex
	tracker      *burdockcrash.Tracker
	examinations map[burdockid.Upstream]*examination
	// crashedAt holds when upstreams crashed recently.
	crashedAt map[burdockid.Upstream]burdockclock.Millis
}

func newCrashDetector(deps Deps, ttl burdockclock.Millis) *crashDetector {
	return &crashDetector{
		clock: deps.Clock, site: deps.Site, log: deps.Log, publish: deps.PublishCrashes,
		tracker:      burdockcrash.New(burdockcrash.Config{TTL: ttl}),
		examinations: map[burdockid.Upstream]*examination{}, crashedAt: map[burdockid.Upstream]burdockclock.Millis{},
	}
}

// digest identifies a request by its content, whatever its ID.
func (req *request) digest() burdockcrash.Digest {
	return burdockcrash.DigestOf(req.method, req.target, req.customer, req.body)
}

// quarantined returns how much longer a request is kept from upstreams; 0 if it
// isn't.
func (c *crashDetector) quarantined(req *request) burdockclock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracker.Empty() {
		return 0
	}
	return c.tracker.QuarantineRemaining(c.clock.Now(), req.digest())
}

// crashingRequests returns the requests that ran at upstreams that crashed.
func (c *crashDetector) crashingRequests() []burdockcrash.CrashingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.CrashingRequests(c.clock.Now())
}

// addAll adds the crashes that other entries reported.
func (c *crashDetector) addAll(all []burdockcrash.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, crash := range all {
		c.add(now, crash)
	}
}

// add records a crash and reports whether it was new. The lock must be held.
func (c *crashDetector) add(now burdockclock.Millis, crash burdockcrash.Crash) bool {
	if !c.tracker.Add(now, crash) {
		return false
	}
	if left := c.tracker.QuarantineRemaining(now, crash.Request); left > 0 {
		c.log.Warn("request crashes upstreams", zap.Stringer("request", crash.Request),
			zap.String("upstream", string(crash.Upstream)), zap.Int64("keptMillis", int64(left)))
	}
	return true
}

// examination determines whether an upstream crashed, after its connections broke while it
// ran requests.
type examination struct {
	crashes   *crashDetector
	upstream  burdocksite.Upstream
	startedAt burdockclock.Millis
	requests  []burdockcrash.Digest
	broken    int // requests whose connections broke
	crashed   bool
}

// connectionBroke records that the connection to an upstream broke while it ran a request.
func (c *crashDetector) connectionBroke(u burdocksite.Upstream, d burdockcrash.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.examinations[u.ID]
	if x == nil {
		x = &examination{crashes: c, upstream: u, startedAt: c.clock.Now()}
		c.examinations[u.ID] = x
		go x.run()
	}
	x.requests = append(x.requests, d)
	x.broken++
	if x.crashed {
		x.recordCrashes()
	}
}

// verdict tells what an examination found.
type verdict string

// Verdicts of an examination.
const (
	// verdictAccepts: the upstream accepts connections, so the network broke the earlier
	// ones.
	verdictAccepts verdict = "accepts connections"
	// verdictRefuses: the upstream's VM is there, its process isn't.
	verdictRefuses verdict = "refuses connections"
	// verdictGone: the upstream can't be reached, and its record has gone or is that of
	// another process.
	verdictGone verdict = "record gone"
	// verdictUnreachable: the upstream can't be reached, and its record stays.
	verdictUnreachable verdict = "unreachable"
)

// crashed reports whether the upstream has crashed.
func (v verdict) crashed() bool { return v == verdictRefuses || v == verdictGone }

// run determines whether the upstream crashed.
func (x *examination) run() {
	defer x.expire()
	found := x.examine()
	if found.crashed() {
		x.confirmCrash()
	}
	x.logVerdict(found)
}

// examine connects to the upstream. If that doesn't tell whether it crashed, its record
// decides.
func (x *examination) examine() verdict {
	dialer := net.Dialer{Timeout: upstreamDialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", x.upstream.Address)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent
		return verdictAccepts
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return verdictRefuses
	case x.recordRemoved():
		return verdictGone
	}
	return verdictUnreachable
}

// recordRemoved waits for the upstream's record to disappear or become that of another
// process. It reports false if the
// record is still there after examineTimeout, or if the upstream was about to leave.
func (x *examination) recordRemoved() bool {
	ticker := time.NewTicker(examineInterval)
	defer ticker.Stop()
	for until := x.startedAt + examineTimeout; x.crashes.clock.Now() < until; <-ticker.C {
		if u, there := x.crashes.site.Now().Upstreams[x.upstream.ID]; !there || restarted(x.upstream, u) {
			return true
		} else if u.Leaving {
			return false
		}
	}
	return false
}

func (x *examination) logVerdict(found verdict) {
	c := x.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Info("upstream examined", zap.String("upstream", string(x.upstream.ID)), zap.String("service", string(x.upstream.Service)),
		zap.String("found", string(found)), zap.Int("requests", x.broken),
		zap.Bool("massCrash", found.crashed() && c.isMassCrash(x.upstream.Service, x.startedAt)),
		zap.Int64("tookMillis", int64(c.clock.Now()-x.startedAt)))
}

// confirmCrash records the crash for the requests that ran at the upstream.
func (x *examination) confirmCrash() {
	c := x.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	x.crashed = true
	c.crashedAt[x.upstream.ID] = x.startedAt
	x.recordCrashes()
}

// recordCrashes records and publishes a crash for each request that ran at the upstream,
// unless so many upstreams crashed with it that no request can be the cause. The lock must
// be held.
func (x *examination) recordCrashes() {
	c := x.crashes
	requests := x.requests
	x.requests = nil
	if c.isMassCrash(x.upstream.Service, x.startedAt) {
		return
	}
	var added []burdockcrash.Crash
	for _, d := range requests {
		crash := burdockcrash.Crash{Request: d, Upstream: x.upstream.ID, At: x.startedAt}
		if c.add(c.clock.Now(), crash) {
			added = append(added, crash)
		}
	}
	if len(added) > 0 && c.publish != nil {
		c.publish(added)
	}
}

// isMassCrash reports whether a large part of a service's upstreams crashed at the same
// time.
func (c *crashDetector) isMassCrash(service burdockid.Service, at burdockclock.Millis) bool {
	n := 0
	for u, crashedAt := range c.crashedAt {
		if at-crashedAt > massCrashWindow {
			delete(c.crashedAt, u)
			continue
		}
		n++
	}
	return n >= max(massCrashMin, len(c.site.Now().Members(service))/massCrashDivisor)
}

// expire removes the examination after a while, so that connections that break late still
// count.
func (x *examination) expire() {
	time.Sleep(massCrashWindow.Duration())
	x.crashes.mu.Lock()
	defer x.crashes.mu.Unlock()
	delete(x.crashes.examinations, x.upstream.ID)
}

// AddCrashes adds the crashes that other entries reported.
func (e *Entry) AddCrashes(all []burdockcrash.Crash) { e.crashes.addAll(all) }

// CrashingRequests returns the requests that ran at upstreams that crashed, for operators.
func (e *Entry) CrashingRequests() []burdockcrash.CrashingRequest {
	return e.crashes.crashingRequests()
}
