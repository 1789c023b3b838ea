package burdockagent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockconfig"
	"burdockbend.example/burdockbend/internal/state/burdockhome"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// homesEvery is how often an agent looks after the homes of keys.
	homesEvery = 500 * time.Millisecond
	// writeTimeout bounds one write of a home: while the store is out, an agent
	// has other slots to look after.
	writeTimeout = 3 * time.Second
	takeTimeout  = 2 * time.Second
	// returnsAtOnce bounds how many slots an agent hands back at a time to those
	// that the slots prefer, so that a restart moves them gently.
	returnsAtOnce = 4
)

// KeySlotManager looks after the homes of keys on behalf of one agent: it claims slots
// that have none, and hands slots over when the agent leaves or when another
// is preferred.
type KeySlotManager struct {
	agent   *Agent
	writer  *burdocksync.Writer
	view    *burdockconfig.View
	peers   *burdocktransport.Peers
	claimer *burdockhome.Claimer
	// fruitless counts the rounds of a leaving agent in which nothing moved.
	fruitless atomic.Int32

	mu sync.Mutex
	// open holds handovers whose write had no clear outcome.
	open map[burdockledger.Slot]move
	// avoid holds agents that did not take a slot, and until when they are not
	// asked again.
	avoid  map[burdockid.Upstream]burdockclock.Millis
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// move is the write that hands one slot over.
type move struct {
	base burdockid.Version
	home burdockhome.Home
}

// written is how the write of a home ended.
type written int

const (
	// writeDone: the home is in force.
	writeDone written = iota
	// writeLost: another write came first, and this one had no effect.
	writeLost
	// writeOpen: it may or may not take effect.
	writeOpen
)

// NewKeySlotManager returns a keeper of homes that is not yet running.
func NewKeySlotManager(agent *Agent, writer *burdocksync.Writer, view *burdockconfig.View, peers *burdocktransport.Peers) *KeySlotManager {
	return &KeySlotManager{agent: agent, writer: writer, view: view, peers: peers, open: map[burdockledger.Slot]move{}, avoid: map[burdockid.Upstream]burdockclock.Millis{}}
}

// Start begins to look after the homes.
func (h *KeySlotManager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.done.Add(1)
	go h.loop(ctx)
}

// Close ends it.
func (h *KeySlotManager) Close() {
	h.cancel()
	h.done.Wait()
}

func (h *KeySlotManager) loop(ctx context.Context) {
	defer h.done.Done()
	ticker := time.NewTicker(homesEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.once(ctx)
		}
	}
}

func (h *KeySlotManager) once(ctx context.Context) {
	a := h.agent
	a.mu.Lock()
	service, draining := a.policy.service, a.draining
	a.mu.Unlock()
	if service == "" || !a.deps.Verified() {
		// Cut off, it can't tell who the homes are; a stop must not wait for that.
		if draining && a.Idle() {
			h.fruitless.Add(1)
		}
		return
	}
	h.settleOpen(ctx, service)
	if draining {
		h.leave(ctx, service)
		return
	}
	h.claim(ctx, service)
	h.handOver(ctx, service, returnsAtOnce, func(slot burdockledger.Slot) bool { return h.elsewhere(service, slot) })
}

// fruitlessMost is how many rounds without any progress a leaving agent makes
// before it stops with keys still its own: the store is out, or no other agent
// is left to take them. Its successor on the VM then takes over without its
// memory.
const fruitlessMost = 4

func (h *KeySlotManager) leave(ctx context.Context, service burdockid.Service) {
	before := h.agent.heldSlots()
	h.handOver(ctx, service, burdockledger.SlotCount, func(burdockledger.Slot) bool { return true })
	if h.agent.heldSlots() < before || !h.agent.Idle() {
		h.fruitless.Store(0)
		return
	}
	h.fruitless.Add(1)
}

// Released reports whether a leaving agent is the home of no key any longer,
// or can't change that.
func (h *KeySlotManager) Released() bool {
	return h.agent.heldSlots() == 0 || h.fruitless.Load() >= fruitlessMost
}

// claim writes this agent's name on slots without a home.
func (h *KeySlotManager) claim(ctx context.Context, service burdockid.Service) {
	a := h.agent
	if h.claimer == nil {
		h.claimer = burdockhome.NewClaimer(burdockhome.Self{Service: service, Upstream: a.cfg.Upstream, Incarnation: a.incarnation})
	}
	fleet := a.deps.Fleet.Now()
	if fleet.Upstreams[a.cfg.Upstream].VM != a.cfg.VM {
		// Operators have put another VM in this one's place. Only that one may
		// claim what the upstream held.
		return
	}
	members := names(fleet.Members[service])
	var tasks []task
	for _, claim := range h.claimer.Claims(a.deps.Clock.Boot(), a.deps.Clock.Now(), fleet.Homes[service], members) {
		tasks = append(tasks, task{homes: h, service: service, slot: claim.Slot, do: claiming{move{base: claim.Base, home: claim.Home}}})
	}
	runAll(ctx, tasks)
}

func names(members []burdockmember.Upstream) []burdockid.Upstream {
	list := make([]burdockid.Upstream, len(members))
	for i, m := range members {
		list[i] = m.Name
	}
	return list
}

// write puts a home into the store, and takes up here what is then there.
func (h *KeySlotManager) write(ctx context.Context, service burdockid.Service, slot burdockledger.Slot, m move) written {
	value, err := burdockhome.Encode(m.home)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	e, err := h.writer.Write(ctx, burdocksync.Edit{Key: burdockhome.Key(service, slot), Value: value, Base: m.base})
	switch {
	case err == nil:
		h.view.Merge([]burdockconfig.Entry{e})
		return writeDone
	case errorx.IsOfType(err, burdocksync.ErrRace):
		h.view.Merge([]burdockconfig.Entry{e})
		return writeLost
	default:
		h.agent.deps.Log.Info("home of keys not written", zap.Int("slot", int(slot)), zap.Error(err))
		return writeOpen
	}
}

// elsewhere reports whether a slot prefers another upstream to this one, and
// that one may be asked.
func (h *KeySlotManager) elsewhere(service burdockid.Service, slot burdockledger.Slot) bool {
	members := names(h.agent.deps.Fleet.Now().Members[service])
	first := burdockhome.Order(service, slot, members)[0]
	return first != h.agent.cfg.Upstream && !h.avoids(first)
}

// successors returns the members in the order that a slot prefers.
func (h *KeySlotManager) successors(service burdockid.Service, slot burdockledger.Slot) []burdockmember.Upstream {
	fleet := h.agent.deps.Fleet.Now()
	order := burdockhome.Order(service, slot, names(fleet.Members[service]))
	members := make([]burdockmember.Upstream, len(order))
	for i, name := range order {
		members[i] = fleet.Upstreams[name]
	}
	return members
}
