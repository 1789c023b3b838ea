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
	"burdockbend.example/burdockbend/internal/decide/burdocksuspect"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"go.uber.org/zap"
)

const (
	// examineFor is how long an upstream whose connection broke and that can't be
	// reached is watched for the end of its record: three heartbeats and more.
	examineFor = 6 * burdockclock.Second
	// examineEvery is how often its record is looked at.
	examineEvery = 250 * time.Millisecond
	// massPart of a service's upstreams, but massLeast at least, that crash within
	// massSpan had a cause of their own: one request runs at one upstream at a time.
	massPart                      = 4
	massLeast                     = 3
	massSpan  burdockclock.Millis = 1000
)

// crashes finds the requests that crash the upstreams that run them, and keeps
// them from others. Instants are the wall clock's, as entries tell each other.
type crashes struct {
	clock burdockclock.Clock
	site  *burdocksite.Site
	log   *zap.Logger
	tell  func([]burdocksuspect.Crash) // tells the other entries; may be nil

	mu       sync.Mutex
	ledger   *burdocksuspect.Tracker
	examined map[burdockid.Upstream]*examination
	// crashed holds when upstreams crashed of late.
	crashed map[burdockid.Upstream]burdockclock.Millis
}

func newCrashes(deps Deps, memory burdockclock.Millis) *crashes {
	return &crashes{
		clock: deps.Clock, site: deps.Site, log: deps.Log, tell: deps.PublishCrashes,
		ledger:   burdocksuspect.New(burdocksuspect.Config{TTL: memory}),
		examined: map[burdockid.Upstream]*examination{}, crashed: map[burdockid.Upstream]burdockclock.Millis{},
	}
}

// digest returns what tells a request from others, whatever its id.
func (req *request) digest() burdocksuspect.Digest {
	return burdocksuspect.DigestOf(req.method, req.target, req.customer, req.body)
}

// quarantined returns how much longer a request is kept from upstreams; 0 if it
// isn't.
func (c *crashes) quarantined(req *request) burdockclock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledger.Empty() {
		return 0
	}
	return c.ledger.QuarantineRemaining(c.clock.Now(), req.digest())
}

// suspects returns the requests that are remembered.
func (c *crashes) suspects() []burdocksuspect.CrashingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.CrashingRequests(c.clock.Now())
}

// told takes in what other entries know.
func (c *crashes) told(all []burdocksuspect.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, crash := range all {
		c.add(now, crash)
	}
}

// add takes in a crash. The lock must be held.
func (c *crashes) add(now burdockclock.Millis, crash burdocksuspect.Crash) bool {
	if !c.ledger.Add(now, crash) {
		return false
	}
	if left := c.ledger.QuarantineRemaining(now, crash.Request); left > 0 {
		c.log.Warn("request crashes upstreams", zap.Stringer("request", crash.Request),
			zap.String("upstream", string(crash.Upstream)), zap.Int64("keptMillis", int64(left)))
	}
	return true
}

// examination finds out whether an upstream crashed, after its connections broke
// with requests running.
type examination struct {
	crashes  *crashes
	upstream burdocksite.Upstream
	at       burdockclock.Millis
	requests []burdocksuspect.Digest
	crashed  bool
}

// cut takes in that the connection to an upstream broke as it ran a request.
func (c *crashes) cut(u burdocksite.Upstream, d burdocksuspect.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.examined[u.ID]
	if x == nil {
		x = &examination{crashes: c, upstream: u, at: c.clock.Now()}
		c.examined[u.ID] = x
		go x.run()
	}
	x.requests = append(x.requests, d)
	if x.crashed {
		x.accuse()
	}
}

// run decides whether the upstream crashed. One that can be connected to lives, so
// that the network cut its connections; one that refuses is gone; of one that is
// silent its record tells.
func (x *examination) run() {
	defer x.end()
	dialer := net.Dialer{Timeout: upstreamDial}
	conn, err := dialer.DialContext(context.Background(), "tcp", x.upstream.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || x.vanishes() {
		x.found()
	}
}

// vanishes waits for the end of the upstream's record, and reports false if it is
// still there after a while, or was about to leave.
func (x *examination) vanishes() bool {
	ticker := time.NewTicker(examineEvery)
	defer ticker.Stop()
	for until := x.at + examineFor; x.crashes.clock.Now() < until; <-ticker.C {
		if u, there := x.crashes.site.Now().Upstreams[x.upstream.ID]; !there {
			return true
		} else if u.Leaving {
			return false
		}
	}
	return false
}

// found accuses the requests that ran there.
func (x *examination) found() {
	c := x.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	x.crashed = true
	c.crashed[x.upstream.ID] = x.at
	x.accuse()
}

// accuse tells all entries of the requests that ran at the upstream, unless so many
// crashed with it that no request can be the cause. The lock must be held.
func (x *examination) accuse() {
	c := x.crashes
	requests := x.requests
	x.requests = nil
	if c.mass(x.upstream.Service, x.at) {
		return
	}
	var news []burdocksuspect.Crash
	for _, d := range requests {
		crash := burdocksuspect.Crash{Request: d, Upstream: x.upstream.ID, At: x.at}
		if c.add(c.clock.Now(), crash) {
			news = append(news, crash)
		}
	}
	if len(news) > 0 && c.tell != nil {
		c.tell(news)
	}
}

// mass reports whether a good part of a service's upstreams crashed at a time.
func (c *crashes) mass(service burdockid.Service, at burdockclock.Millis) bool {
	n := 0
	for u, crashedAt := range c.crashed {
		if at-crashedAt > massSpan {
			delete(c.crashed, u)
			continue
		}
		n++
	}
	return n >= max(massLeast, len(c.site.Now().Members(service))/massPart)
}

// end forgets the examination after a while, so that what breaks late is still
// counted.
func (x *examination) end() {
	time.Sleep(massSpan.Duration())
	x.crashes.mu.Lock()
	defer x.crashes.mu.Unlock()
	delete(x.crashes.examined, x.upstream.ID)
}

// AddCrashes takes in the crashes that other entries know.
func (e *Entry) AddCrashes(all []burdocksuspect.Crash) { e.crashes.told(all) }

// CrashingRequests returns the requests that ran at upstreams which crashed, for operators.
func (e *Entry) CrashingRequests() []burdocksuspect.CrashingRequest { return e.crashes.suspects() }
