package burdockledger

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// HandoverRecord is what one home tells the next of one key.
type HandoverRecord struct {
	Key         Key
	Request     burdockid.Request
	Fingerprint Fingerprint
	Outcome     Outcome
	ReceivedAt  burdockclock.Millis // when it came, on the wall clock
}

// ExportSlot returns all that is remembered of the keys of one slot.
func (l *Ledger) ExportSlot(slot Slot) []HandoverRecord {
	var lines []HandoverRecord
	for _, a := range l.arrivals {
		if SlotOf(a.key) != slot {
			continue // cheaper than the look-up, and true of nearly all
		}
		known, ok := l.records[a.key]
		if !ok {
			continue
		}
		lines = append(lines, HandoverRecord{
			Key:         a.key,
			Request:     known.request,
			Fingerprint: known.fingerprint,
			Outcome:     known.fate,
			ReceivedAt:  a.at,
		})
	}
	return lines
}

// CompleteSince returns from when on the ledger holds every run of a slot's keys.
func (l *Ledger) CompleteSince(slot Slot) burdockclock.Millis { return l.since[slot] }

// Horizon returns the instant before which keys have been forgotten.
func (l *Ledger) Horizon() burdockclock.Millis { return l.horizon }

// ImportSlot holds a slot with the memory that its last home handed over. Since that
// memory is whole, keys go on to be known from the same instant on.
//
// Load: a home of 200,000 keys takes a slot of 20,000. Harm prevented: keys put
// in their places one by one held up every request of the agent for 15 s.
func (l *Ledger) ImportSlot(slot Slot, since burdockclock.Millis, lines []HandoverRecord) {
	l.AcquireSlot(slot, since)
	for _, line := range lines {
		if _, ok := l.records[line.Key]; ok {
			continue // handed over twice
		}
		l.records[line.Key] = record{request: line.Request, fingerprint: line.Fingerprint, fate: line.Outcome}
		l.arrivals = append(l.arrivals, arrival{key: line.Key, at: line.ReceivedAt})
	}
	slices.SortStableFunc(l.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
}
