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
	"burdockbend.example/burdockbend/internal/state/burdockowner"
	"burdockbend.example/burdockbend/internal/state/burdocksync"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// manageInterval is how often slots are claimed and handed over.
	manageInterval = 500 * time.Millisecond
	// writeTimeout limits one write of a slot's owner, so that a store outage does not
	// keep the agent from its other slots.
	writeTimeout = 3 * time.Second
	offerTimeout = 2 * time.Second
	// maxReturnsPerRound limits how many slots an agent returns to their preferred
	// upstreams in one round, to spread the handovers after a restart over time.
	maxReturnsPerRound = 4
)

// KeySlotManager manages an agent's ownership of slots of idempotency keys. It claims
// slots without a valid owner, and hands slots over when the agent is draining or when a slot
// prefers another upstream. Only the owner of a slot runs requests with its keys.
type KeySlotManager struct {
	agent   *Agent
	writer  *burdocksync.Writer
	view    *burdockconfig.View
	peers   *burdocktransport.Peers
	claimer *burdockowner.Claimer
	// roundsWithoutProgress counts the consecutive rounds of a draining agent in which
	// no slot was handed over.
	roundsWithoutProgress atomic.Int32

	mu sync.Mutex
	// pending contains handover writes whose result is unknown.
	pending map[burdockledger.Slot]ownerWrite
	// avoidUntil contains the agents that did not accept a slot, with the time on the
	// boot clock until which no slot is offered to them.
	avoidUntil map[burdockid.Upstream]burdockclock.Millis
	cancel     context.CancelFunc
	done       sync.WaitGroup
}

// ownerWrite is a write of a slot's owner over a base version.
type ownerWrite struct {
	base  burdockid.Version
	owner burdockowner.Owner
}

// writeResult is the result of writing a slot's owner.
type writeResult int

const (
	// writeDone means that the written owner is in force.
	writeDone writeResult = iota
	// writeConflict means that another write came first and this one had no effect.
	writeConflict
	// writeUnknown means that the write may or may not take effect.
	writeUnknown
)

// NewKeySlotManager returns a manager for the slots of an agent. Start starts it.
func NewKeySlotManager(agent *Agent, writer *burdocksync.Writer, view *burdockconfig.View, peers *burdocktransport.Peers) *KeySlotManager {
	return &KeySlotManager{agent: agent, writer: writer, view: view, peers: peers, pending: map[burdockledger.Slot]ownerWrite{}, avoidUntil: map[burdockid.Upstream]burdockclock.Millis{}}
}

// Start starts the periodic work.
func (m *KeySlotManager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Add(1)
	go m.loop(ctx)
}

// Close ends the periodic work.
func (m *KeySlotManager) Close() {
	m.cancel()
	m.done.Wait()
}

func (m *KeySlotManager) loop(ctx context.Context) {
	defer m.done.Done()
	ticker := time.NewTicker(manageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.runOnce(ctx)
		}
	}
}

func (m *KeySlotManager) runOnce(ctx context.Context) {
	a := m.agent
	a.mu.Lock()
	service, draining := a.policy.service, a.draining
	a.mu.Unlock()
	if service == "" || !a.deps.Verified() {
		// An agent that is cut off doesn't know the current owners. A stop must not wait
		// for that to change.
		if draining && a.Idle() {
			m.roundsWithoutProgress.Add(1)
		}
		return
	}
	m.retryPending(ctx, service)
	if draining {
		m.releaseAll(ctx, service)
		return
	}
	m.claimSlots(ctx, service)
	m.handOverSlots(ctx, service, maxReturnsPerRound, func(slot burdockledger.Slot) bool { return m.prefersOther(service, slot) })
}

// maxRoundsWithoutProgress is after how many rounds without a handover a draining agent
// stops although it still owns slots. This happens if the store is down or no other agent
// can take the slots. The next process on the VM then takes over the slots without their
// records.
const maxRoundsWithoutProgress = 4

func (m *KeySlotManager) releaseAll(ctx context.Context, service burdockid.Service) {
	ownedBefore := m.agent.ownedSlots()
	m.handOverSlots(ctx, service, burdockledger.SlotCount, func(burdockledger.Slot) bool { return true })
	if m.agent.ownedSlots() < ownedBefore || !m.agent.Idle() {
		m.roundsWithoutProgress.Store(0)
		return
	}
	m.roundsWithoutProgress.Add(1)
}

// Released reports whether the agent owns no slot any longer, or has given up handing
// over the rest.
func (m *KeySlotManager) Released() bool {
	return m.agent.ownedSlots() == 0 || m.roundsWithoutProgress.Load() >= maxRoundsWithoutProgress
}

// claimSlots makes this agent the owner of slots that have no valid owner.
func (m *KeySlotManager) claimSlots(ctx context.Context, service burdockid.Service) {
	a := m.agent
	if m.claimer == nil {
		m.claimer = burdockowner.NewClaimer(burdockowner.Self{Service: service, Upstream: a.cfg.Upstream, Incarnation: a.incarnation})
	}
	fleet := a.deps.Fleet.Now()
	if fleet.Upstreams[a.cfg.Upstream].VM != a.cfg.VM {
		// Operators have replaced this VM by another one. Only that one may claim slots
		// for the upstream.
		return
	}
	members := upstreamNames(fleet.Members[service])
	var tasks []slotTask
	for _, claim := range m.claimer.Claims(a.deps.Clock.Boot(), a.deps.Clock.Now(), fleet.KeyOwners[service], members) {
		tasks = append(tasks, slotTask{manager: m, service: service, slot: claim.Slot, action: claimAction{ownerWrite{base: claim.Base, owner: claim.Owner}}})
	}
	runAll(ctx, tasks)
}

func upstreamNames(members []burdockmember.Upstream) []burdockid.Upstream {
	list := make([]burdockid.Upstream, len(members))
	for i, m := range members {
		list[i] = m.Name
	}
	return list
}

// write writes a slot's owner to the store and merges the stored entry into the local
// configuration.
func (m *KeySlotManager) write(ctx context.Context, service burdockid.Service, slot burdockledger.Slot, w ownerWrite) writeResult {
	value, err := burdockowner.Encode(w.owner)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	e, err := m.writer.Write(ctx, burdocksync.Edit{Key: burdockowner.Key(service, slot), Value: value, Base: w.base})
	switch {
	case err == nil:
		m.view.Merge([]burdockconfig.Entry{e})
		return writeDone
	case errorx.IsOfType(err, burdocksync.ErrRace):
		m.view.Merge([]burdockconfig.Entry{e})
		return writeConflict
	default:
		m.agent.deps.Log.Info("home of keys not written", zap.Int("slot", int(slot)), zap.Error(err))
		return writeUnknown
	}
}

// prefersOther reports whether a slot prefers another upstream to this one and slots may
// be offered to that upstream now.
func (m *KeySlotManager) prefersOther(service burdockid.Service, slot burdockledger.Slot) bool {
	members := upstreamNames(m.agent.deps.Fleet.Now().Members[service])
	first := burdockowner.Order(service, slot, members)[0]
	return first != m.agent.cfg.Upstream && !m.avoids(first)
}

// preferredMembers returns the members of the service in a slot's order of preference.
func (m *KeySlotManager) preferredMembers(service burdockid.Service, slot burdockledger.Slot) []burdockmember.Upstream {
	fleet := m.agent.deps.Fleet.Now()
	order := burdockowner.Order(service, slot, upstreamNames(fleet.Members[service]))
	members := make([]burdockmember.Upstream, len(order))
	for i, name := range order {
		members[i] = fleet.Upstreams[name]
	}
	return members
}
