// Package burdockrank runs the map change of lock-stepped groups in an agent:
// the state machines of burdockgroup on real time, messages, leases and an
// engine, and the planner of burdockexpert on the popularity that the engines
// report. docs/design/mapchange.md says how the parts work together.
package burdockrank

import (
	"math/rand/v2"
	"sync"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/external/burdockengine"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"go.uber.org/zap"
)

// followEvery is how often a host looks whether its upstream's group changed.
const followEvery = 200 * time.Millisecond

// Deps is what a host works with.
type Deps struct {
	Clock  burdockclock.Clock
	Engine burdockengine.GroupEngine
	// EngineFor, if set, returns the engine of a seat, in place of Engine.
	EngineFor func(Assignment) burdockengine.GroupEngine
	Store     LeaseStore
	// Directory tells the seat and the peers.
	Directory Directory
	Peers     *burdocktransport.Peers
	Log       *zap.Logger
	// RemoteEngine returns the engine of another rank as it is ordered from this VM, nil
	// if its address is not known; without RemoteEngine engines take no orders from
	// afar.
	RemoteEngine func(group string, rank burdockid.Rank) burdockengine.GroupEngine
	// InitialMap returns the version and content of the map that engines of a group
	// begin with; nil where they begin without one.
	InitialMap func(ranks int) (burdockid.MapVersion, []byte, error)
	// Tuning is how fast the group follows its popularity. Fields that are zero
	// take their defaults.
	Tuning Tuning
}

// Host speaks for the rank that the fleet's membership gives its upstream, if
// it gives one.
type Host struct {
	upstream burdockid.Upstream
	deps     Deps
	stop     chan struct{}
	stopped  chan struct{}

	mu      sync.Mutex
	current *member // nil while the upstream is in no group
}

// NewHost returns the host of an upstream. Its loop must be started with Start.
func NewHost(upstream burdockid.Upstream, deps Deps) *Host {
	deps.Tuning.setDefaults()
	return &Host{upstream: upstream, deps: deps, stop: make(chan struct{}), stopped: make(chan struct{})}
}

// Start begins to follow the fleet.
func (h *Host) Start() { go h.loop() }

// Close gives up the rank and the group's lease.
func (h *Host) Close() {
	close(h.stop)
	<-h.stopped
	h.replace(nil)
}

func (h *Host) loop() {
	defer close(h.stopped)
	ticker := time.NewTicker(followEvery)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-ticker.C:
			h.follow()
		}
	}
}

func (h *Host) follow() {
	want := h.deps.Directory.Assignment()
	m := h.member()
	switch {
	case m == nil && want.Group == "", m != nil && m.seat == want:
	case want.Group == "":
		h.replace(nil)
	default:
		// The old machines end before the new ones begin: an engine has one door.
		h.replace(nil)
		h.replace(newMember(want, h.upstream, h.deps, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
	}
}

func (h *Host) member() *member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// memberOf returns the member of a group, nil if the upstream is not in it.
func (h *Host) memberOf(group string) *member {
	if m := h.member(); m != nil && m.seat.Group == group {
		return m
	}
	return nil
}

func (h *Host) replace(m *member) {
	h.mu.Lock()
	old := h.current
	h.current = m
	h.mu.Unlock()
	if old != nil {
		old.close()
	}
	if m != nil {
		m.start()
	}
}
