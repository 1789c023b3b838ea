package burdockagent

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// ownsIdleSlot reports whether the agent owns a slot that is not being handed over and
// has no queued or running request.
func (a *Agent) ownsIdleSlot(slot burdockledger.Slot) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keys.ledger.OwnsSlot(slot) && !a.keys.handingOver[slot] && !a.slotInUse(slot)
}

func (a *Agent) slotInUse(slot burdockledger.Slot) bool {
	for _, j := range a.jobs {
		if j.slot == slot && j.hasKey() && !j.hasEnded() {
			return true
		}
	}
	return false
}

// beginHandover keeps further keys of a slot from running, and returns the slot's records
// and the version of its owner. It returns false if the agent does not own the slot or
// one of its keys is queued or running.
func (a *Agent) beginHandover(slot burdockledger.Slot) (*burdockwire.TakeKeysRequest, burdockid.Version, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.keys.ledger.OwnsSlot(slot) || a.slotInUse(slot) {
		return nil, 0, false
	}
	a.keys.handingOver[slot] = true
	offer := &burdockwire.TakeKeysRequest{
		FromIncarnation: string(a.incarnation),
		Slot:            int32(slot),
		SinceMillis:     int64(a.keys.ledger.CompleteSince(slot)),
	}
	for _, l := range a.keys.ledger.ExportSlot(slot) {
		offer.Lines = append(offer.Lines, &burdockwire.KeyLine{
			KeyHigh:     l.Key[0],
			KeyLow:      l.Key[1],
			RequestId:   string(l.Request),
			Fingerprint: uint64(l.Fingerprint),
			Fate:        uint32(l.Outcome),
			AtMillis:    int64(l.ReceivedAt),
		})
	}
	return offer, a.keys.owners[slot].Version, true
}

// abortHandover lets the keys of a slot run again after its handover has failed.
func (a *Agent) abortHandover(slot burdockledger.Slot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.keys.handingOver, slot)
}

// ownedSlots returns the number of slots that the agent owns.
func (a *Agent) ownedSlots() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyConfig(a.deps.Clock.Boot())
	return a.keys.ledger.OwnedSlots()
}

func (a *Agent) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}
