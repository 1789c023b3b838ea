// Package burdockentry is the process that callers speak to: it knows the
// customer, places a request on an upstream through its agent, and passes the
// answer back, whole and once.
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

// tick is how often an entry looks for new configuration and due probes.
const tick = 250 * time.Millisecond

// Config is what an entry is told at its start.
type Config struct {
	VM         burdockid.VM
	DataCentre burdockid.DataCentre
	Limits     burdocksettings.Limits
}

// Deps is what an entry works with.
type Deps struct {
	Clock burdockclock.Clock
	Fleet *burdockfleet.Fleet
	Peers *burdocktransport.Peers
	// Membership is the platform's membership list; nil when there is none.
	Membership burdocklist.List
	Log        *zap.Logger
	// Metrics takes the entry's metrics.
	Metrics *metrics.Set
	// Seed is what all random choices of the entry follow from.
	Seed uint64
}

// Entry serves callers.
type Entry struct {
	cfg      Config
	deps     Deps
	draining atomic.Bool
	open     atomic.Int64
	accounts accounts
	meters   meters
	stop     chan struct{}
	done     sync.WaitGroup

	mu     sync.Mutex
	pools  map[burdockid.Service]*pool
	seeded uint64
}

// New returns an entry. Its loop must be started with Start.
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

// Start begins the entry's own work.
func (e *Entry) Start() {
	e.done.Add(1)
	go e.loop()
	if e.deps.Membership != nil {
		e.done.Add(1)
		go (&listing{entry: e, states: map[burdockid.VM]burdocklist.State{}}).loop()
	}
}

// Close ends the entry's own work.
func (e *Entry) Close() {
	close(e.stop)
	e.done.Wait()
}

func (e *Entry) loop() {
	defer e.done.Done()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
			e.advance()
		}
	}
}

func (e *Entry) advance() {
	fleet := e.deps.Fleet.Now()
	for service := range fleet.Services {
		p := e.pool(fleet, service)
		for _, target := range p.due(e.deps.Clock.Boot()) {
			e.done.Add(1)
			go (&probe{entry: e, pool: p, target: target}).run()
		}
	}
}

// pool returns the pool of a service, up to date with the fleet.
func (e *Entry) pool(fleet *burdockfleet.Snapshot, service burdockid.Service) *pool {
	e.mu.Lock()
	p, ok := e.pools[service]
	if !ok {
		e.seeded++
		p = newPool(service, e.cfg.DataCentre, rand.NewPCG(e.deps.Seed, e.seeded))
		e.pools[service] = p
		e.meters.watch(p)
	}
	e.mu.Unlock()
	p.follow(e.deps.Clock.Boot(), fleet)
	return p
}

// Drain says that the process is about to stop. Requests are still served.
func (e *Entry) Drain() { e.draining.Store(true) }

// Draining reports whether Drain was called.
func (e *Entry) Draining() bool { return e.draining.Load() }

// Idle reports whether no request is open.
func (e *Entry) Idle() bool { return e.open.Load() == 0 }

// Handler returns what callers are served by.
func (e *Entry) Handler() http.Handler { return http.HandlerFunc(e.serve) }
