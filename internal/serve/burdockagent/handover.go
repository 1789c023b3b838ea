package burdockagent

import (
	"context"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockowner"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

// handOverSlots hands over at most limit of the agent's idle slots for which selected
// returns true.
//
// Without a handover, a planned stop loses the key records of the agent, and its
// successor must answer each repeat, and each key without a creation time, with "may have
// run". The records are sent to the successor first and the owner is changed afterwards
// in a single write, so there is always one owner that has all records.
func (m *KeySlotManager) handOverSlots(ctx context.Context, service burdockid.Service, limit int, selected func(burdockledger.Slot) bool) {
	var tasks []slotTask
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		if len(tasks) < limit && m.agent.ownsIdleSlot(slot) && selected(slot) {
			tasks = append(tasks, slotTask{manager: m, service: service, slot: slot, action: handOverAction{}})
		}
	}
	for batch := range slices.Chunk(tasks, maxParallelTasks) {
		if ctx.Err() != nil || m.pendingWrites() > 0 {
			return // with one write unresolved, further ones would hardly succeed
		}
		runAll(ctx, batch)
	}
}

func (m *KeySlotManager) handOverSlot(ctx context.Context, service burdockid.Service, slot burdockledger.Slot) {
	offer, base, ok := m.agent.beginHandover(slot)
	if !ok {
		return
	}
	next, inc, ok := m.findSuccessor(ctx, service, slot, offer)
	if !ok {
		m.agent.abortHandover(slot)
		return
	}
	m.writeHandover(ctx, service, slot, ownerWrite{base: base, owner: burdockowner.Owner{
		Upstream:      next,
		Incarnation:   inc,
		CompleteSince: burdockclock.Millis(offer.GetSinceMillis()),
		HandedOverBy:  m.agent.incarnation,
	}})
}

// writeHandover writes the new owner of a slot. If the result is unknown, the write is
// kept for retryPending.
//
// Until the result is known, no key of the slot runs: the write may still take effect,
// and the new owner would have no record of what ran here. Each retry is the same write
// over the same base version, so at most one attempt takes effect.
func (m *KeySlotManager) writeHandover(ctx context.Context, service burdockid.Service, slot burdockledger.Slot, w ownerWrite) {
	result := m.write(ctx, service, slot, w)
	if result == writeConflict {
		m.agent.abortHandover(slot)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if result == writeUnknown {
		m.pending[slot] = w
		return
	}
	delete(m.pending, slot)
}

// retryPending retries all handover writes whose result is unknown.
func (m *KeySlotManager) retryPending(ctx context.Context, service burdockid.Service) {
	m.mu.Lock()
	var tasks []slotTask
	for slot, w := range m.pending {
		tasks = append(tasks, slotTask{manager: m, service: service, slot: slot, action: retryAction{w}})
	}
	m.mu.Unlock()
	runAll(ctx, tasks)
}

func (m *KeySlotManager) pendingWrites() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pending)
}

// findSuccessor offers the slot's records to the other agents in the slot's order of
// preference, and returns the first that accepts them. Unless this agent is draining,
// only agents that precede it in that order are asked.
func (m *KeySlotManager) findSuccessor(ctx context.Context, service burdockid.Service, slot burdockledger.Slot, offer *burdockwire.TakeKeysRequest) (burdockid.Upstream, burdockid.Incarnation, bool) {
	for _, next := range m.preferredMembers(service, slot) {
		switch {
		case next.Name != m.agent.cfg.Upstream:
			if m.avoids(next.Name) {
				continue
			}
			if inc, taken := m.offerSlot(ctx, next, offer); taken {
				return next.Name, inc, true
			}
			m.startAvoiding(next.Name)
		case !m.agent.isDraining():
			return "", "", false
		}
	}
	return "", "", false
}

// avoidPeriod is how long no slot is offered to an agent that did not accept one.
//
// The agent that a slot prefers may be frozen or dead for minutes. No key of a slot runs
// while the slot is being offered, so keys of a slot that is offered twice a second would
// be refused most of the time.
const avoidPeriod = 15 * burdockclock.Second

func (m *KeySlotManager) avoids(u burdockid.Upstream) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.agent.deps.Clock.Boot() < m.avoidUntil[u]
}

func (m *KeySlotManager) startAvoiding(u burdockid.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.avoidUntil[u] = m.agent.deps.Clock.Boot() + avoidPeriod
}

func (m *KeySlotManager) offerSlot(ctx context.Context, next burdockmember.Upstream, offer *burdockwire.TakeKeysRequest) (burdockid.Incarnation, bool) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	client := burdockwire.NewAgentServiceClient(m.peers.Client, m.peers.URL(next.Agent), burdocktransport.ClientOptions()...)
	res, err := client.TakeKeys(ctx, connect.NewRequest(offer))
	if err != nil || !res.Msg.GetTaken() {
		return "", false
	}
	return burdockid.Incarnation(res.Msg.GetIncarnation()), true
}
