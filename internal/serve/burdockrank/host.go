// Package burdockrank is the agents' part in changing the expert map of lock-stepped
// groups. It connects the state machines of burdockgroup with clocks, messages, leases
// and an engine, and the planner of burdockexpert with the popularity that the engines
// report. docs/design/mapchange.md describes how the parts work together.
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

// assignmentPollInterval is how often a host checks whether its upstream's assignment has
// changed.
const assignmentPollInterval = 200 * time.Millisecond

// Deps holds the dependencies of a host.
type Deps struct {
	Clock  burdockclock.Clock
	Engine burdockengine.GroupEngine
	// EngineFor, if set, returns the engine of an assignment. It is used in place of
	// Engine.
	EngineFor func(Assignment) burdockengine.GroupEngine
	Store     LeaseStore
	// Directory returns the assignment and the addresses of the peers.
	Directory Directory
	Peers     *burdocktransport.Peers
	Log       *zap.Logger
	// RemoteEngine returns a client for the engine of another rank, or nil if its address
	// isn't known. If RemoteEngine is nil, engines accept no orders from other VMs.
	RemoteEngine func(group string, rank burdockid.Rank) burdockengine.GroupEngine
	// InitialMap returns the version and content of the map that engines of a group start
	// with. It is nil where they start without one.
	InitialMap func(ranks int) (burdockid.MapVersion, []byte, error)
	// Tuning holds the intervals and limits. Zero fields take their defaults.
	Tuning Tuning
}

// Host runs the rank that the membership assigns to its upstream, if any.
type Host struct {
	upstream burdockid.Upstream
	deps     Deps
	stop     chan struct{}
	stopped  chan struct{}

	mu      sync.Mutex
	current *member // nil while the upstream is in no group
}

// NewHost returns the host of an upstream. Call Start to run it.
func NewHost(upstream burdockid.Upstream, deps Deps) *Host {
	deps.Tuning.setDefaults()
	return &Host{upstream: upstream, deps: deps, stop: make(chan struct{}), stopped: make(chan struct{})}
}

// Start starts following the upstream's assignment.
func (h *Host) Start() { go h.loop() }

// Close gives up the rank and releases the group's lease.
func (h *Host) Close() {
	close(h.stop)
	<-h.stopped
	h.replace(nil)
}

func (h *Host) loop() {
	defer close(h.stopped)
	ticker := time.NewTicker(assignmentPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-ticker.C:
			h.updateAssignment()
		}
	}
}

func (h *Host) updateAssignment() {
	want := h.deps.Directory.Assignment()
	m := h.member()
	switch {
	case m == nil && want.Group == "", m != nil && m.assignment == want:
	case want.Group == "":
		h.replace(nil)
	default:
		// The old state machines must end before the new ones start: an engine accepts
		// orders from one rank machine only.
		h.replace(nil)
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		h.replace(newMember(want, h.upstream, h.deps, random, keptContents(m, want)))
	}
}

// keptContents returns the maps that an agent keeps when it gets another assignment: those
// of the same group.
//
// While a group is set up or grows, its agents learn of the ranks one by one, and those
// that know the first ones may put a map in force. If all of them dropped its content with
// the old assignment, no one could give it to the engine of a rank that joins, and the
// others would wait for that rank for good.
func keptContents(old *member, want Assignment) []mapContent {
	if old == nil || old.assignment.Group != want.Group {
		return nil
	}
	return old.receivedContents()
}

func (h *Host) member() *member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// memberOf returns the member of a group, or nil if the upstream isn't in it.
func (h *Host) memberOf(group string) *member {
	if m := h.member(); m != nil && m.assignment.Group == group {
		return m
	}
	return nil
}

// HeldLease returns the fencing number of the lease of a group; false if this agent does
// not hold it now.
func (h *Host) HeldLease(group string) (burdockid.Fence, bool) {
	m := h.memberOf(group)
	if m == nil {
		return 0, false
	}
	return m.leadership.lease.current()
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
