package burdockagent

import (
	"context"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/config/burdockmember"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/state/burdockhome"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

// handOver passes on up to most of the held slots that which names.
//
// Failure: an agent is stopped as planned, and with it goes the memory of the
// keys that it let run. Symptom: its successor must answer each repeat, and
// each undated key, with "may have run". The memory goes to the successor
// first and the home changes afterwards in one write, so at every moment one
// home has all of it.
func (h *KeySlotManager) handOver(ctx context.Context, service burdockid.Service, most int, which func(burdockledger.Slot) bool) {
	var tasks []task
	for slot := range burdockledger.Slot(burdockledger.SlotCount) {
		if len(tasks) < most && h.agent.holdsIdle(slot) && which(slot) {
			tasks = append(tasks, task{homes: h, service: service, slot: slot, do: handing{}})
		}
	}
	for group := range slices.Chunk(tasks, tasksAtOnce) {
		if ctx.Err() != nil || h.openMoves() > 0 {
			return // a store that leaves one write open will leave the next
		}
		runAll(ctx, group)
	}
}

func (h *KeySlotManager) handOverSlot(ctx context.Context, service burdockid.Service, slot burdockledger.Slot) {
	offer, base, ok := h.agent.beginMove(slot)
	if !ok {
		return
	}
	next, inc, ok := h.successor(ctx, service, slot, offer)
	if !ok {
		h.agent.endMove(slot)
		return
	}
	h.settle(ctx, service, slot, move{base: base, home: burdockhome.Home{
		Upstream:    next,
		Incarnation: inc,
		SinceMillis: burdockclock.Millis(offer.GetSinceMillis()),
		From:        h.agent.incarnation,
	}})
}

// settle writes a handover until its outcome is clear.
//
// While it is open the slot runs nothing: the write may yet take effect, and
// the next home would not know of what ran here. The same write is tried
// again over the same version, so that one of the tries decides.
func (h *KeySlotManager) settle(ctx context.Context, service burdockid.Service, slot burdockledger.Slot, m move) {
	outcome := h.write(ctx, service, slot, m)
	if outcome == writeLost {
		h.agent.endMove(slot)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if outcome == writeOpen {
		h.open[slot] = m
		return
	}
	delete(h.open, slot)
}

// settleOpen tries all open handovers again.
func (h *KeySlotManager) settleOpen(ctx context.Context, service burdockid.Service) {
	h.mu.Lock()
	var tasks []task
	for slot, m := range h.open {
		tasks = append(tasks, task{homes: h, service: service, slot: slot, do: settling{m}})
	}
	h.mu.Unlock()
	runAll(ctx, tasks)
}

func (h *KeySlotManager) openMoves() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.open)
}

// successor finds the first agent that a slot prefers and that takes its
// memory. Unless this agent leaves, only those count that the slot prefers to
// it.
func (h *KeySlotManager) successor(ctx context.Context, service burdockid.Service, slot burdockledger.Slot, offer *burdockwire.TakeKeysRequest) (burdockid.Upstream, burdockid.Incarnation, bool) {
	for _, next := range h.successors(service, slot) {
		switch {
		case next.Name != h.agent.cfg.Upstream:
			if h.avoids(next.Name) {
				continue
			}
			if inc, taken := h.offer(ctx, next, offer); taken {
				return next.Name, inc, true
			}
			h.avoidFor(next.Name)
		case !h.agent.isDraining():
			return "", "", false
		}
	}
	return "", "", false
}

// avoidLength is how long an agent that did not take a slot is left alone.
//
// Load: the agent that a slot prefers is frozen or dead for minutes. Harm:
// while a slot is offered to it, nothing runs there; offered twice a second,
// its keys would be refused most of the time.
const avoidLength = 15 * burdockclock.Second

func (h *KeySlotManager) avoids(u burdockid.Upstream) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.agent.deps.Clock.Boot() < h.avoid[u]
}

func (h *KeySlotManager) avoidFor(u burdockid.Upstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoid[u] = h.agent.deps.Clock.Boot() + avoidLength
}

func (h *KeySlotManager) offer(ctx context.Context, next burdockmember.Upstream, offer *burdockwire.TakeKeysRequest) (burdockid.Incarnation, bool) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	client := burdockwire.NewAgentServiceClient(h.peers.Client, h.peers.URL(next.Agent), burdocktransport.ClientOptions()...)
	res, err := client.TakeKeys(ctx, connect.NewRequest(offer))
	if err != nil || !res.Msg.GetTaken() {
		return "", false
	}
	return burdockid.Incarnation(res.Msg.GetIncarnation()), true
}
