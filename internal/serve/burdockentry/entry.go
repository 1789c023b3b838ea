// Package burdockentry implements the entry, the process that accepts callers'
// requests. It authenticates the customer, offers the request to upstreams through
// their agents, and forwards the complete response, each byte exactly once.
package burdockentry

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdocksettings"
	"burdockbend.example/burdockbend/internal/external/burdocklist"
	"burdockbend.example/burdockbend/internal/state/burdockfleet"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// tickInterval is how often an entry applies new configuration and starts due probes.
const tickInterval = 250 * time.Millisecond

// Config holds the settings of an entry.
type Config struct {
	VM         burdockid.VM
	DataCentre burdockid.DataCentre
	Limits     burdocksettings.Limits
}

// Deps holds the dependencies of an entry.
type Deps struct {
	Clock burdockclock.Clock
	Fleet *burdockfleet.Fleet
	Peers *burdocktransport.Peers
	// Membership is the platform's membership list; nil when there is none.
	Membership burdocklist.List
	Log        *zap.Logger
	// Metrics is the set that the entry registers its metrics in.
	Metrics *metrics.Set
	// Seed determines the random choices of placement, ejection and retries.
	Seed uint64
}

// Entry serves callers.
type Entry struct {
	cfg          Config
	deps         Deps
	stopAt       atomic.Int64 // boot time of the end of a planned stop; 0 before it
	openRequests atomic.Int64
	outcomes     outcomes
	meters       meters
	stop         chan struct{}
	wg           sync.WaitGroup

	mu           sync.Mutex
	pools        map[burdockid.Service]*pool
	poolsCreated uint64
}

// New returns an entry. Start must be called to run its background tasks.
func New(cfg Config, deps Deps) *Entry {
	e := &Entry{
		cfg:   cfg,
		deps:  deps,
		stop:  make(chan struct{}),
		pools: map[burdockid.Service]*pool{},
	}
	e.meters = newMeters(e, deps.Metrics)
	return e
}

// Start starts the background tasks.
func (e *Entry) Start() {
	e.wg.Add(1)
	go e.loop()
	if e.deps.Membership != nil {
		e.wg.Add(1)
		go (&membershipWatcher{entry: e, states: map[burdockid.VM]burdocklist.State{}}).loop()
	}
}

// Close stops the background tasks and waits for them.
func (e *Entry) Close() {
	close(e.stop)
	e.wg.Wait()
}

func (e *Entry) loop() {
	defer e.wg.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
			e.updatePools()
		}
	}
}

func (e *Entry) updatePools() {
	fleet := e.deps.Fleet.Now()
	for service := range fleet.Services {
		p := e.pool(fleet, service)
		for _, target := range p.dueProbes(e.deps.Clock.Boot()) {
			e.wg.Add(1)
			go (&probe{entry: e, pool: p, target: target}).run()
		}
	}
}

// pool returns the pool of a service with the fleet snapshot applied. It creates the
// pool if there is none yet.
func (e *Entry) pool(fleet *burdockfleet.Snapshot, service burdockid.Service) *pool {
	e.mu.Lock()
	p, ok := e.pools[service]
	if !ok {
		e.poolsCreated++
		p = newPool(service, e.cfg.DataCentre, rand.NewPCG(e.deps.Seed, e.poolsCreated))
		e.pools[service] = p
		e.meters.addPoolGauges(p)
	}
	e.mu.Unlock()
	p.applySnapshot(e.deps.Clock.Boot(), fleet)
	return p
}

// Drain marks the process as about to stop: what is still open at the boot time stopAt will be
// cut off. Requests are still served if their deadlines come before that.
func (e *Entry) Drain(stopAt burdockclock.Millis) { e.stopAt.CompareAndSwap(0, int64(stopAt)) }

// Draining reports whether Drain was called.
func (e *Entry) Draining() bool { return e.stopAt.Load() != 0 }

// stopsBefore reports whether the process stops before a deadline.
func (e *Entry) stopsBefore(deadline burdockclock.Millis) bool {
	stopAt := burdockclock.Millis(e.stopAt.Load())
	return stopAt != 0 && deadline > stopAt
}

// Idle reports whether no request is open.
func (e *Entry) Idle() bool { return e.openRequests.Load() == 0 }

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler { return http.HandlerFunc(e.serve) }
