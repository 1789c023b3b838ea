// Package burdockdirect is an entry that speaks to upstreams itself, for sites
// whose platform keeps routes and membership. Requests pass no agent: plain
// services have none, and an agent that is replaced would cut sound streams.
//
// Admission, placing, retries and ejection are the packages under
// internal/decide that the entry beside agents uses too.
package burdockdirect

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockspeed"
	"burdockbend.example/burdockbend/internal/decide/burdocksuspect"
	"burdockbend.example/burdockbend/internal/state/burdocksite"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Config says where an entry stands.
type Config struct {
	DataCentre burdockid.DataCentre
	// GraceMillis is how long a planned stop may take.
	GraceMillis burdockclock.Millis
	// QuarantineMillis is how long a request is kept from upstreams after it has
	// crashed some; 0 takes the default.
	QuarantineMillis burdockclock.Millis
}

// Deps is what an entry works with.
type Deps struct {
	Clock   burdockclock.Clock
	Site    *burdocksite.Site
	Dialect Dialect
	Log     *zap.Logger
	Metrics *metrics.Set
	Seed    uint64
	// PublishCrashes tells the other entries of crashes. It must not block; nil tells
	// nobody.
	PublishCrashes func([]burdocksuspect.Crash)
	// PublishSuspected tells the other entries that an upstream has failed a request. It
	// must not block; nil tells nobody.
	PublishSuspected func(burdockid.Upstream)
}

// Entry serves callers.
type Entry struct {
	cfg    Config
	deps   Deps
	client *http.Client
	meters *meters
	// crashes knows the requests that crash upstreams.
	crashes *crashes

	drainingAt atomic.Int64 // boot time of the planned stop; 0 before it
	active     atomic.Int64

	mu     sync.Mutex
	pools  map[burdockid.Service]*pool
	speeds map[string]burdockspeed.Speed // of slow engines, by address
}

const (
	// stopStreams is how long after the beginning of a planned stop streams are
	// still begun. New connections come for two to three seconds, until the
	// balancer has asked twice; an answer under load takes up to twice as long as
	// the rest of a stop of some eight seconds.
	stopStreams burdockclock.Millis = 2700
	// stopFactor and stopSlack are how long a request that starts in a planned
	// stop must have, in usual times and beside them.
	stopFactor                     = 2
	stopSlack  burdockclock.Millis = 700
	// upstreamDial bounds the opening of a connection, some two hundred times
	// the way between data centres: what takes longer is dark, and another
	// upstream can still answer in time since nothing was sent.
	upstreamDial = 400 * time.Millisecond
	// upstreamIdle is how long an unused connection is kept. Upstreams close
	// theirs after seconds; one that is closed as a request is on its way
	// leaves its outcome unknown.
	upstreamIdle = 3 * time.Second
	// upstreamsIdle is the number of connections kept for one upstream: as many
	// as one entry has there at a time when requests come in a burst.
	upstreamsIdle = 16
)

// New returns an entry that knows no upstream yet.
func New(cfg Config, deps Deps) *Entry {
	e := &Entry{cfg: cfg, deps: deps, pools: map[burdockid.Service]*pool{}, meters: newMeters(deps.Metrics), crashes: newCrashes(deps, cfg.QuarantineMillis)}
	e.client = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: burdocktransport.NewOnce(&http.Transport{
			DialContext:         dialUpstream,
			MaxIdleConnsPerHost: upstreamsIdle,
			IdleConnTimeout:     upstreamIdle,
			DisableCompression:  true,
		}),
	}
	return e
}

// dialUpstream connects to an upstream so that closing the connection discards
// what has not arrived.
//
// Failure: a caller leaves while its request waits in the buffers of a VM that
// is frozen. Symptom: the upstream gets it when the VM wakes, seconds after
// anybody wanted the answer. Answers are read to their end before a connection
// is closed in order, so nothing that is wanted is lost.
func dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: upstreamDial}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without it the connection is only closed later.
		_ = tcp.SetLinger(0)
	}
	return conn, nil
}

// Ready returns why the entry should get no new connections, or "".
func (e *Entry) Ready() string {
	switch {
	case e.drainingAt.Load() != 0:
		return "stopping"
	case e.deps.Site.Now().Config == nil:
		return "no configuration yet"
	}
	return ""
}

// Drain begins a planned stop: answers end their connections from now on.
func (e *Entry) Drain() { e.drainingAt.CompareAndSwap(0, int64(e.now())) }

// tooLate reports whether a planned stop would come before the answer of a
// request that starts now.
//
// Failure: a caller goes on using its connection while the process stops, and
// its request starts shortly before the end. Symptom: the answer is cut off by
// a stop that was planned. Callers that are refused go to another entry at once;
// with twice the usual time and a little more, hardly an answer is cut.
func (e *Entry) tooLate(p *pool, req *request) bool {
	began := burdockclock.Millis(e.drainingAt.Load())
	if began == 0 {
		return false
	}
	if req.route.Stream && e.now()-began > stopStreams {
		return true
	}
	left := began + e.cfg.GraceMillis - e.now()
	return left < stopFactor*p.usual()+stopSlack
}

// Idle reports whether no request is in flight.
func (e *Entry) Idle() bool { return e.active.Load() == 0 }

func (e *Entry) now() burdockclock.Millis { return e.deps.Clock.Boot() }

// pool returns what is known of the upstreams of a service.
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

// ApplySnapshot hands a change of the site to the pools.
func (e *Entry) ApplySnapshot(snap *burdocksite.Snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		p.follow(e.now(), snap)
	}
}
