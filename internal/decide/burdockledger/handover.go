package burdockledger

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// HandoverRecord is what the owner of a slot sends the next one about one key.
type HandoverRecord struct {
	Key         Key
	Request     burdockid.Request
	Fingerprint Fingerprint
	Outcome     Outcome
	ReceivedAt  burdockclock.Millis // wall-clock time at which the request came
}

// ExportSlot returns everything that is recorded about the keys of one slot.
func (l *Ledger) ExportSlot(slot Slot) []HandoverRecord {
	var exported []HandoverRecord
	for _, a := range l.arrivals {
		if SlotOf(a.key) != slot {
			continue // true of nearly all arrivals, and cheaper than the lookup
		}
		rec, ok := l.records[a.key]
		if !ok {
			continue
		}
		exported = append(exported, HandoverRecord{
			Key:         a.key,
			Request:     rec.request,
			Fingerprint: rec.fingerprint,
			Outcome:     rec.outcome,
			ReceivedAt:  a.receivedAt,
		})
	}
	return exported
}

// CompleteSince returns the time since which every run of a slot's keys is recorded.
func (l *Ledger) CompleteSince(slot Slot) burdockclock.Millis { return l.completeSince[slot] }

// Horizon returns the time before which keys have been evicted.
func (l *Ledger) Horizon() burdockclock.Millis { return l.horizon }

// ImportSlot acquires a slot with the records that its previous owner exported. They
// are complete, so completeSince is the same as at the previous owner.
//
// An owner of 200,000 keys may import a slot of 20,000. The arrivals are therefore
// sorted once: inserting them one by one blocked every request of the agent for 15 s.
func (l *Ledger) ImportSlot(slot Slot, completeSince burdockclock.Millis, imported []HandoverRecord) {
	l.AcquireSlot(slot, completeSince)
	for _, rec := range imported {
		if _, ok := l.records[rec.Key]; ok {
			continue // already imported
		}
		l.records[rec.Key] = record{request: rec.Request, fingerprint: rec.Fingerprint, outcome: rec.Outcome}
		l.arrivals = append(l.arrivals, arrival{key: rec.Key, receivedAt: rec.ReceivedAt})
	}
	slices.SortStableFunc(l.arrivals, func(a, b arrival) int { return cmp.Compare(a.receivedAt, b.receivedAt) })
}
