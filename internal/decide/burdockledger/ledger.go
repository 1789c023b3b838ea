package burdockledger

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Outcome is what became of the first request with a key.
type Outcome uint8

// Outcomes.
const (
	// OutcomeRunning means that the request waits or runs.
	OutcomeRunning Outcome = iota
	// OutcomeAnswered means that the answer was received completely.
	OutcomeAnswered
	// OutcomeUnknown means that the request was sent to the upstream and no complete
	// answer was received.
	OutcomeUnknown
)

// Fingerprint identifies the content of a request. Two requests with the same key
// are the same request if their fingerprints are equal.
type Fingerprint uint64

// KeyedRequest is a request with a key, as the owner of the key receives it.
type KeyedRequest struct {
	Key         Key
	Request     burdockid.Request
	Fingerprint Fingerprint
	// CreatedAt is the wall-clock time at which the key was created; 0 if unknown.
	CreatedAt burdockclock.Millis
}

// Decision is the result of Decide: Run, Attach, MayHaveRun or Reused.
type Decision interface{ isDecision() }

// Run means that the key is new and has certainly not run elsewhere.
type Run struct{}

// Attach means that the key's request is known. The caller gets its answer.
type Attach struct {
	Request burdockid.Request
	Outcome Outcome
}

// MayHaveRun means that the request may have run before this owner's records begin.
// Because this can't be determined, the request is not run.
type MayHaveRun struct{}

// Reused means that the key was used before with another request.
type Reused struct{}

func (Run) isDecision()        {}
func (Attach) isDecision()     {}
func (MayHaveRun) isDecision() {}
func (Reused) isDecision()     {}

const (
	// RepeatWindow is the longest time after which a caller repeats a key. A new
	// owner that lacks the records of the previous one lets a key without a creation
	// time run only once this time has passed since the takeover.
	RepeatWindow = 10 * burdockclock.Minute
	// MaxClockSkew is the largest assumed difference between the clock of a key's
	// creator and the local one.
	MaxClockSkew = burdockclock.Minute
	// Retention is how long a key is remembered. A repeat after that runs again,
	// unless the key's creation time shows that it is older.
	Retention = 24 * burdockclock.Hour
	// MaxKeys limits the memory to 25 MB, at 126 bytes per key (burdock measure
	// capacity). At the design's peak rate a replica gets 141,000 requests a day,
	// with a key or without.
	MaxKeys = 200_000
)

// record is what the ledger stores for a key.
type record struct {
	request     burdockid.Request
	fingerprint Fingerprint
	outcome     Outcome
}

// arrival is a key with the wall-clock time at which its request came. The ledger
// lists arrivals oldest first.
type arrival struct {
	key        Key
	receivedAt burdockclock.Millis
}

// Ledger records the keys of the slots that one agent owns.
type Ledger struct {
	records       map[Key]record
	arrivals      []arrival
	completeSince map[Slot]burdockclock.Millis
	// horizon is the time before which keys have been evicted.
	horizon burdockclock.Millis
}

// New returns a ledger that owns no slot.
func New() *Ledger {
	return &Ledger{records: map[Key]record{}, completeSince: map[Slot]burdockclock.Millis{}}
}

// AcquireSlot makes the ledger the owner of a slot. completeSince is the wall-clock
// time since which every run of the slot's keys is in this ledger. It is 0 if the
// slot never had another owner.
func (l *Ledger) AcquireSlot(slot Slot, completeSince burdockclock.Millis) {
	l.completeSince[slot] = completeSince
}

// ReleaseSlot gives up a slot and deletes the records of its keys.
func (l *Ledger) ReleaseSlot(slot Slot) {
	delete(l.completeSince, slot)
	l.arrivals = slices.DeleteFunc(l.arrivals, func(a arrival) bool {
		if SlotOf(a.key) != slot {
			return false
		}
		delete(l.records, a.key)
		return true
	})
}

// OwnsSlot reports whether the ledger owns a slot.
func (l *Ledger) OwnsSlot(slot Slot) bool {
	_, ok := l.completeSince[slot]
	return ok
}

// OwnedSlots returns the number of slots that the ledger owns.
func (l *Ledger) OwnedSlots() int { return len(l.completeSince) }

// Decide decides whether a request with a key may run. The ledger must own the key's
// slot. After Run the key counts as running until RecordNotRun or RecordOutcome.
//
// Callers repeat requests whose answer they lost, through any entry and while
// processes fail. Running such a request again may send a letter twice or answer a
// lookup in two different ways. A key that may have run without a record in this
// ledger is therefore not run again, and the caller is told that its outcome is
// unknown.
func (l *Ledger) Decide(wall burdockclock.Millis, req KeyedRequest) Decision {
	if rec, ok := l.records[req.Key]; ok {
		if rec.fingerprint != req.Fingerprint {
			return Reused{}
		}
		return Attach{Request: rec.request, Outcome: rec.outcome}
	}
	if l.mayHaveRun(wall, req) {
		return MayHaveRun{}
	}
	l.records[req.Key] = record{request: req.Request, fingerprint: req.Fingerprint}
	l.arrivals = append(l.arrivals, arrival{key: req.Key, receivedAt: wall})
	return Run{}
}

func (l *Ledger) mayHaveRun(wall burdockclock.Millis, req KeyedRequest) bool {
	completeSince := max(l.completeSince[SlotOf(req.Key)], l.horizon)
	if completeSince == 0 {
		return false
	}
	if req.CreatedAt > 0 {
		return req.CreatedAt <= completeSince+MaxClockSkew
	}
	// Without a creation time only the takeover matters. The horizon is a day in the
	// past, far longer than RepeatWindow.
	return wall < l.completeSince[SlotOf(req.Key)]+RepeatWindow+MaxClockSkew
}

// RecordNotRun records that the request of a key was not sent to the upstream and
// never will be. The key may run when it is repeated.
func (l *Ledger) RecordNotRun(key Key, request burdockid.Request) {
	if rec, ok := l.records[key]; ok && rec.request == request {
		delete(l.records, key)
		l.removeArrival(key)
	}
}

// removeArrival removes the arrival of a key that was not run, so that each record
// has exactly one arrival. An arrival left behind would evict a later run of the key
// too early and count towards MaxKeys. The search begins with the newest arrival,
// because a refused request is usually recent.
func (l *Ledger) removeArrival(key Key) {
	for i := len(l.arrivals) - 1; i >= 0; i-- {
		if l.arrivals[i].key == key {
			l.arrivals = slices.Delete(l.arrivals, i, i+1)
			return
		}
	}
}

// RecordOutcome records the outcome of a key's request.
func (l *Ledger) RecordOutcome(key Key, request burdockid.Request, outcome Outcome) {
	if rec, ok := l.records[key]; ok && rec.request == request {
		rec.outcome = outcome
		l.records[key] = rec
	}
}

// Evict removes keys that are older than Retention or exceed MaxKeys, oldest first.
func (l *Ledger) Evict(wall burdockclock.Millis) {
	n := 0
	for n < len(l.arrivals) && (wall-l.arrivals[n].receivedAt > Retention || len(l.arrivals)-n > MaxKeys) {
		delete(l.records, l.arrivals[n].key)
		l.horizon = l.arrivals[n].receivedAt
		n++
	}
	l.arrivals = l.arrivals[n:]
}

// Len returns the number of keys that are recorded.
func (l *Ledger) Len() int { return len(l.records) }
