package burdockledger

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Outcome is what became of the request that a key came with first.
type Outcome uint8

// Fates.
const (
	// OutcomeRunning: it waits or runs.
	OutcomeRunning Outcome = iota
	// OutcomeAnswered: its answer came whole.
	OutcomeAnswered
	// OutcomeUnknown: it was handed to the upstream, and no whole answer came.
	OutcomeUnknown
)

// Fingerprint tells whether two requests with one key are the same request.
type Fingerprint uint64

// KeyedRequest is a request with a key, as it comes to the home of the key.
type KeyedRequest struct {
	Key         Key
	Request     burdockid.Request
	Fingerprint Fingerprint
	// CreatedAt is when the key was made, on the wall clock; 0 when it doesn't say.
	CreatedAt burdockclock.Millis
}

// Decision is the answer to an Ask: Run, Attach, MayHaveRun or Reused.
type Decision interface{ isDecision() }

// Run means that the key is new here, and certain not to have run elsewhere.
type Run struct{}

// Attach means that the key's request is known: the caller gets its answer.
type Attach struct {
	Request burdockid.Request
	Outcome Outcome
}

// MayHaveRun means that the request may have run before this home could
// remember. Nobody can tell, so it is not run.
type MayHaveRun struct{}

// Reused means that the key came before, with another request.
type Reused struct{}

func (Run) isDecision()        {}
func (Attach) isDecision()     {}
func (MayHaveRun) isDecision() {}
func (Reused) isDecision()     {}

const (
	// RepeatWindow is the longest time after which a caller repeats a key. A new
	// home that lacks the memory of the one before it lets a key without a time
	// of birth run only when this much time has passed.
	RepeatWindow = 10 * burdockclock.Minute
	// MaxClockSkew covers how far the clocks of those who make keys may be from ours.
	MaxClockSkew = burdockclock.Minute
	// Retention is how long a key is remembered. A repeat after more than
	// that runs anew, unless the key says that it is older.
	Retention = 24 * burdockclock.Hour
	// MaxKeys bounds the memory: 126 bytes each, 25 MB (burdock measure
	// capacity). At the design's peak rate a replica sees 141,000 requests a
	// day, with a key or without.
	MaxKeys = 200_000
)

// record is what the ledger keeps for a key.
type record struct {
	request     burdockid.Request
	fingerprint Fingerprint
	fate        Outcome
}

// arrival is when a key came, oldest first.
type arrival struct {
	key Key
	at  burdockclock.Millis
}

// Ledger is the memory of one home for the slots that it holds.
type Ledger struct {
	records  map[Key]record
	arrivals []arrival
	since    map[Slot]burdockclock.Millis
	// horizon is the instant before which keys have been forgotten.
	horizon burdockclock.Millis
}

// New returns a ledger that holds no slot.
func New() *Ledger {
	return &Ledger{records: map[Key]record{}, since: map[Slot]burdockclock.Millis{}}
}

// AcquireSlot takes a slot. since is the instant on the wall clock from which on
// every run of the slot's keys is in this ledger; 0 when the slot never had
// another home.
func (l *Ledger) AcquireSlot(slot Slot, since burdockclock.Millis) { l.since[slot] = since }

// ReleaseSlot gives a slot up, with what is remembered of its keys.
func (l *Ledger) ReleaseSlot(slot Slot) {
	delete(l.since, slot)
	l.arrivals = slices.DeleteFunc(l.arrivals, func(a arrival) bool {
		if SlotOf(a.key) != slot {
			return false
		}
		delete(l.records, a.key)
		return true
	})
}

// OwnsSlot reports whether the ledger holds a slot.
func (l *Ledger) OwnsSlot(slot Slot) bool {
	_, ok := l.since[slot]
	return ok
}

// OwnedSlots returns how many slots the ledger holds.
func (l *Ledger) OwnedSlots() int { return len(l.since) }

// Decide says whether a request with a key may run. The ledger must hold the
// key's slot. After Run the key counts as running until RecordNotRun or RecordOutcome.
//
// Load: callers repeat requests whose answer they lost, through any entry and
// while processes fail. Harm prevented: a letter sent twice, a lookup answered
// twice in two ways. A key that may have run where this ledger can't see is
// not run again; the caller is told that nobody can tell.
func (l *Ledger) Decide(wall burdockclock.Millis, a KeyedRequest) Decision {
	if known, ok := l.records[a.Key]; ok {
		if known.fingerprint != a.Fingerprint {
			return Reused{}
		}
		return Attach{Request: known.request, Outcome: known.fate}
	}
	if l.mayHaveRun(wall, a) {
		return MayHaveRun{}
	}
	l.records[a.Key] = record{request: a.Request, fingerprint: a.Fingerprint}
	l.arrivals = append(l.arrivals, arrival{key: a.Key, at: wall})
	return Run{}
}

func (l *Ledger) mayHaveRun(wall burdockclock.Millis, a KeyedRequest) bool {
	since := max(l.since[SlotOf(a.Key)], l.horizon)
	if since == 0 {
		return false
	}
	if a.CreatedAt > 0 {
		return a.CreatedAt <= since+MaxClockSkew
	}
	// Without a time of birth: the horizon is a day back, far beyond any repeat;
	// the time of a takeover is not.
	return wall < l.since[SlotOf(a.Key)]+RepeatWindow+MaxClockSkew
}

// RecordNotRun tells that the request of a key was not handed to the upstream and
// never will be: the key may run when it comes again.
func (l *Ledger) RecordNotRun(key Key, request burdockid.Request) {
	if known, ok := l.records[key]; ok && known.request == request {
		delete(l.records, key)
		l.removeArrival(key)
	}
}

// removeArrival removes the arrival of a key that was not run, so that each
// key has one arrival as long as it has a record. Left behind, it would have a
// later run of the key forgotten too early, and take the room of others. It
// looks from the newest on, where what was just refused is.
func (l *Ledger) removeArrival(key Key) {
	for i := len(l.arrivals) - 1; i >= 0; i-- {
		if l.arrivals[i].key == key {
			l.arrivals = slices.Delete(l.arrivals, i, i+1)
			return
		}
	}
}

// RecordOutcome tells what became of a key's request.
func (l *Ledger) RecordOutcome(key Key, request burdockid.Request, fate Outcome) {
	if known, ok := l.records[key]; ok && known.request == request {
		known.fate = fate
		l.records[key] = known
	}
}

// Evict drops keys that are too old or too many.
func (l *Ledger) Evict(wall burdockclock.Millis) {
	n := 0
	for n < len(l.arrivals) && (wall-l.arrivals[n].at > Retention || len(l.arrivals)-n > MaxKeys) {
		delete(l.records, l.arrivals[n].key)
		l.horizon = l.arrivals[n].at
		n++
	}
	l.arrivals = l.arrivals[n:]
}

// Len returns how many keys are remembered.
func (l *Ledger) Len() int { return len(l.records) }
