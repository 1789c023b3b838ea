package burdockagent

import (
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockledger"
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
)

// holdsIdle reports whether the agent holds a slot with nothing under way.
func (a *Agent) holdsIdle(slot burdockledger.Slot) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keyed.ledger.OwnsSlot(slot) && !a.keyed.moving[slot] && !a.busySlot(slot)
}

func (a *Agent) busySlot(slot burdockledger.Slot) bool {
	for _, j := range a.jobs {
		if j.slot == slot && j.keyed() && !j.hasEnded() {
			return true
		}
	}
	return false
}

// beginMove stops new runs in a slot, and returns its memory and the version
// of its home.
func (a *Agent) beginMove(slot burdockledger.Slot) (*burdockwire.TakeKeysRequest, burdockid.Version, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.keyed.ledger.OwnsSlot(slot) || a.busySlot(slot) {
		return nil, 0, false
	}
	a.keyed.moving[slot] = true
	offer := &burdockwire.TakeKeysRequest{
		FromIncarnation: string(a.incarnation),
		Slot:            int32(slot),
		SinceMillis:     int64(a.keyed.ledger.CompleteSince(slot)),
	}
	for _, l := range a.keyed.ledger.ExportSlot(slot) {
		offer.Lines = append(offer.Lines, &burdockwire.KeyLine{
			KeyHigh:     l.Key[0],
			KeyLow:      l.Key[1],
			RequestId:   string(l.Request),
			Fingerprint: uint64(l.Fingerprint),
			Fate:        uint32(l.Outcome),
			AtMillis:    int64(l.ReceivedAt),
		})
	}
	return offer, a.keyed.homes[slot].Version, true
}

// endMove lets a slot whose handover came to nothing run keys again.
func (a *Agent) endMove(slot burdockledger.Slot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.keyed.moving, slot)
}

// heldSlots returns of how many slots the agent is the home.
func (a *Agent) heldSlots() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followConfig(a.deps.Clock.Boot())
	return a.keyed.ledger.OwnedSlots()
}

func (a *Agent) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}
