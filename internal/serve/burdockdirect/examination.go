package burdockdirect

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockcrash"
	"burdockbend.example/burdockbend/internal/decide/burdockparts"
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
	// examinationWait bounds how long a request waits for the examination of the upstream that
	// broke its connection. One that refuses connections does so at once.
	examinationWait = 100 * time.Millisecond
)

// examination determines whether an upstream crashed, after its connections broke while it
// ran requests.
type examination struct {
	crashes   *crashDetector
	upstream  burdocksite.Upstream
	startedAt burdockclock.Millis
	requests  []burdockcrash.Digest
	parts     pendingParts // of requests whose answers may have crashed the upstream
	reported  int          // parts that were reported
	broken    int          // requests whose connections broke
	crashed   bool
	// dialled is closed once it is known whether the upstream accepts connections.
	dialled chan struct{}
}

// brokenRequest is a request whose connection to its upstream broke.
type brokenRequest struct {
	// digest is nil if the request isn't suspected as a whole.
	digest *burdockcrash.Digest
	// parts are the shared parts of its prompt if its answer may have crashed the upstream.
	parts []burdockid.PromptPart
	// silent means that there was no event for long before.
	silent bool
}

// connectionBroke records that the connection to an upstream broke while it ran a request. It
// returns a channel that is closed once it is known whether the upstream accepts connections.
func (c *crashDetector) connectionBroke(u burdocksite.Upstream, req brokenRequest) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.now()
	c.expireCrashes(now)
	x := c.examinations[processOf(u)]
	switch {
	case x == nil && req.silent && c.mayBeStall(now):
		return closedChannel
	case x == nil:
		x = &examination{crashes: c, upstream: u, startedAt: now, dialled: make(chan struct{})}
		c.examinations[processOf(u)] = x
		go x.run()
	}
	x.add(req)
	return x.dialled
}

// closedChannel is returned where there is nothing to wait for.
var closedChannel = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

// add adds a request that ran at the upstream. The lock must be held.
func (x *examination) add(req brokenRequest) {
	x.broken++
	if req.digest != nil {
		x.requests = append(x.requests, *req.digest)
	}
	x.parts.add(req.parts)
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
	if found == verdictRefuses {
		close(x.dialled)
	}
	x.logVerdict(found)
}

// examine connects to the upstream. If that doesn't tell whether it crashed, its record
// decides.
func (x *examination) examine() verdict {
	dialer := net.Dialer{Timeout: upstreamDialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", x.upstream.Address)
	if !refused(err) {
		close(x.dialled)
	}
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent
		return verdictAccepts
	case refused(err):
		return verdictRefuses
	case x.recordRemoved():
		return verdictGone
	}
	return verdictUnreachable
}

// refused reports whether nothing listens at an address.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// recordRemoved waits for the upstream's record to disappear or become that of another
// process. It reports false if the record is still there after examineTimeout, or if the
// upstream was about to leave.
func (x *examination) recordRemoved() bool {
	ticker := time.NewTicker(examineInterval)
	defer ticker.Stop()
	for until := x.startedAt + examineTimeout; x.crashes.clock.now() < until; <-ticker.C {
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
		zap.Int64("tookMillis", int64(c.clock.now()-x.startedAt)))
}

// confirmCrash records the crash for the requests that ran at the upstream.
func (x *examination) confirmCrash() {
	c := x.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	x.crashed = true
	c.crashedAt[processOf(x.upstream)] = x.startedAt
	x.recordCrashes()
}

// recordCrashes records and publishes the crash for the parts of prompts that were pending, and
// for each request that ran at the upstream, unless so many upstreams crashed with it that no
// request can be the cause. The lock must be held.
func (x *examination) recordCrashes() {
	c := x.crashes
	if len(x.parts.all) > x.reported {
		x.reported = len(x.parts.all)
		c.parts.crashed(burdockparts.Crash{
			Process: processOf(x.upstream), Service: x.upstream.Service, At: x.startedAt,
			Members: len(c.site.Now().Members(x.upstream.Service)),
		}, x.parts.lastFirst())
	}
	requests := x.requests
	x.requests = nil
	if c.isMassCrash(x.upstream.Service, x.startedAt) {
		return
	}
	var added []burdockcrash.Crash
	for _, d := range requests {
		crash := burdockcrash.Crash{Request: d, Process: processOf(x.upstream), At: x.startedAt}
		if c.add(c.clock.now(), crash) {
			added = append(added, crash)
		}
	}
	if len(added) > 0 && c.publish != nil {
		c.publish(added)
	}
}

// expire removes the examination after a while, so that connections that break late still
// count.
func (x *examination) expire() {
	time.Sleep(massCrashWindow.Duration())
	x.crashes.mu.Lock()
	defer x.crashes.mu.Unlock()
	delete(x.crashes.examinations, processOf(x.upstream))
}
