package burdockledger

import (
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"pgregory.net/rapid"
)

const noon = 1_800_000_000_000 * burdockclock.Millis(1)

func keyedRequest(key, request string, created burdockclock.Millis) KeyedRequest {
	return KeyedRequest{Key: KeyOf("acme", burdockid.IdempotencyKey(key)), Request: burdockid.Request(request), Fingerprint: 1, CreatedAt: created}
}

func ownerOfAllSlots(since burdockclock.Millis) *Ledger {
	l := New()
	for slot := range Slot(SlotCount) {
		l.AcquireSlot(slot, since)
	}
	return l
}

// timeOrderedKey returns a key that contains its creation time.
func timeOrderedKey(at burdockclock.Millis) burdockid.IdempotencyKey {
	digits := fmt.Sprintf("%012x", int64(at))
	return burdockid.IdempotencyKey(digits[:8] + "-" + digits[8:] + "-7abc-8def-0123456789ab")
}

func TestCreationTime(t *testing.T) {
	cases := []struct {
		key  burdockid.IdempotencyKey
		want burdockclock.Millis
		ok   bool
	}{
		{timeOrderedKey(noon), noon, true},
		{"0192f0c1-2b3c-4abc-8def-0123456789ab", 0, false}, // version 4
		{"letter-2031-q1", 0, false},
		{"zzzzzzzz-zzzz-7abc-8def-0123456789ab", 0, false},
		{"", 0, false},
	}
	for _, c := range cases {
		if got, ok := CreationTime(c.key); got != c.want || ok != c.ok {
			t.Errorf("CreationTime(%q) = %d, %v; want %d, %v", c.key, got, ok, c.want, c.ok)
		}
	}
}

// A caller that repeats a key gets the answer of the first run, not a second run.
func TestRepeatAttaches(t *testing.T) {
	l := ownerOfAllSlots(0)
	if got := l.Decide(noon, keyedRequest("k", "first", 0)); got != (Run{}) {
		t.Fatalf("first: got %#v, want Run", got)
	}
	l.RecordOutcome(keyedRequest("k", "", 0).Key, "first", OutcomeAnswered)
	want := Attach{Request: "first", Outcome: OutcomeAnswered}
	if got := l.Decide(noon+1, keyedRequest("k", "second", 0)); got != want {
		t.Errorf("repeat: got %#v, want %#v", got, want)
	}
	other := keyedRequest("k", "third", 0)
	other.Fingerprint = 2
	if got := l.Decide(noon+2, other); got != (Reused{}) {
		t.Errorf("key with another request: got %#v, want Reused", got)
	}
}

func TestKeyRunsAfterNotRun(t *testing.T) {
	l := ownerOfAllSlots(0)
	l.Decide(noon, keyedRequest("k", "first", 0))
	l.RecordNotRun(keyedRequest("k", "", 0).Key, "first")
	if got := l.Decide(noon+1, keyedRequest("k", "second", 0)); got != (Run{}) {
		t.Errorf("after not run: got %#v, want Run", got)
	}
}

// A caller repeats a key at an owner that took over from one that was lost. The first
// run may be among the lost records, so the key is not run again. A key that was
// created after the takeover can't have run before it.
func TestTakeoverWithoutRecords(t *testing.T) {
	l := ownerOfAllSlots(noon)
	cases := []struct {
		name    string
		wall    burdockclock.Millis
		created burdockclock.Millis
		want    Decision
	}{
		{"created before the takeover", noon + 5*burdockclock.Second, noon - 1, MayHaveRun{}},
		{"created within the clock skew", noon + 2*burdockclock.Minute, noon + MaxClockSkew, MayHaveRun{}},
		{"created after the takeover", noon + 2*burdockclock.Minute, noon + MaxClockSkew + 1, Run{}},
		{"no creation time, within the repeat window", noon + RepeatWindow, 0, MayHaveRun{}},
		{"no creation time, after the repeat window", noon + RepeatWindow + MaxClockSkew, 0, Run{}},
	}
	for _, c := range cases {
		if got := l.Decide(c.wall, keyedRequest(c.name, c.name, c.created)); got != c.want {
			t.Errorf("%s: got %#v, want %#v", c.name, got, c.want)
		}
	}
}

// An owner that is stopped as planned exports its records to the next one, where a
// repeated key attaches to the first request.
func TestHandoverKeepsRecords(t *testing.T) {
	a, b := ownerOfAllSlots(0), New()
	a.Decide(noon, keyedRequest("k", "first", 0))
	slot := SlotOf(keyedRequest("k", "", 0).Key)
	b.ImportSlot(slot, a.CompleteSince(slot), a.ExportSlot(slot))
	a.ReleaseSlot(slot)
	if got, want := b.Decide(noon+1, keyedRequest("k", "second", 0)), (Attach{Request: "first", Outcome: OutcomeRunning}); got != want {
		t.Errorf("repeat at the next owner: got %#v, want %#v", got, want)
	}
	if got, want := a.OwnsSlot(slot), false; got != want {
		t.Errorf("slot still belongs to the old owner: got %v, want %v", got, want)
	}
}

func TestEvictedKeyDoesNotRunAgain(t *testing.T) {
	l := ownerOfAllSlots(0)
	l.Decide(noon, keyedRequest("k", "first", noon))
	later := noon + Retention + 1
	l.Evict(later)
	if got, want := l.Len(), 0; got != want {
		t.Errorf("keys remembered: got %d, want %d", got, want)
	}
	if got := l.Decide(later, keyedRequest("k", "again", noon)); got != (MayHaveRun{}) {
		t.Errorf("key created before the horizon: got %#v, want MayHaveRun", got)
	}
}

// A key is refused at first and runs hours later. Its retention counts from the run
// and not from the first arrival.
func TestRetentionCountsFromTheRun(t *testing.T) {
	l := ownerOfAllSlots(0)
	l.Decide(noon, keyedRequest("k", "refused", 0))
	l.RecordNotRun(keyedRequest("k", "", 0).Key, "refused")
	later := noon + Retention - burdockclock.Hour
	l.Decide(later, keyedRequest("k", "run", 0))
	l.RecordOutcome(keyedRequest("k", "", 0).Key, "run", OutcomeAnswered)
	wall := noon + Retention + 1
	l.Evict(wall)
	want := Attach{Request: "run", Outcome: OutcomeAnswered}
	if got := l.Decide(wall, keyedRequest("k", "repeat", 0)); got != want {
		t.Errorf("repeat an hour after the run: got %#v, want %#v", got, want)
	}
}

// A full fleet refuses hundreds of thousands of keys. They must not cause the eviction
// of keys that ran, whether they were refused here or went to another owner.
func TestRefusedKeysDoNotEvict(t *testing.T) {
	l := ownerOfAllSlots(0)
	l.Decide(noon, keyedRequest("k", "run", 0))
	for i := range MaxKeys + 1 {
		refused := keyedRequest(fmt.Sprint("refused ", i), "refused", 0)
		l.Decide(noon+1, refused)
		l.RecordNotRun(refused.Key, "refused")
	}
	l.Evict(noon + 2)
	want := Attach{Request: "run", Outcome: OutcomeRunning}
	if got := l.Decide(noon+2, keyedRequest("k", "repeat", 0)); got != want {
		t.Errorf("repeat: got %#v, want %#v", got, want)
	}
}

// A slot is released and imported again with its records. The next export must
// contain each key only once.
func TestReleaseSlotRemovesArrivals(t *testing.T) {
	l := ownerOfAllSlots(0)
	l.Decide(noon, keyedRequest("k", "run", 0))
	slot := SlotOf(keyedRequest("k", "", 0).Key)
	records := l.ExportSlot(slot)
	l.ReleaseSlot(slot)
	l.ImportSlot(slot, 0, records)
	if got, want := len(l.ExportSlot(slot)), 1; got != want {
		t.Errorf("records: got %d, want %d", got, want)
	}
}

// Callers repeat keys at random while owners are lost, stopped as planned and
// replaced. No key runs twice in any order of events. Clocks differ by less than the
// maximum skew.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := noon
		owner := ownerOfAllSlots(0)
		runCount := map[string]int{}
		createdAt := map[string]burdockclock.Millis{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			wall += rapid.SampledFrom([]burdockclock.Millis{1, burdockclock.Second, burdockclock.Minute}).Draw(t, "wait")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				owner = ownerOfAllSlots(wall) // lost and replaced by one without records
			case 1:
				next := New()
				for slot := range Slot(SlotCount) {
					next.ImportSlot(slot, owner.CompleteSince(slot), owner.ExportSlot(slot))
				}
				owner = next
			default:
				name := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
				repeatKey(owner, wall, name, fmt.Sprint("r", i), rapid.Bool().Draw(t, "dated"), runCount, createdAt)
			}
		}
		for name, n := range runCount {
			if n > 1 {
				t.Fatalf("%s ran %d times", name, n)
			}
		}
	})
}

// repeatKey sends a key as a caller does: it repeats the key within the repeat window
// of its first use and creates a new one afterwards.
func repeatKey(owner *Ledger, wall burdockclock.Millis, name, request string, timeOrdered bool, runCount map[string]int, createdAt map[string]burdockclock.Millis) {
	kind := "undated "
	if timeOrdered {
		kind = "dated "
	}
	first, ok := createdAt[kind+name]
	if !ok || (!timeOrdered && wall-first > RepeatWindow) {
		first = wall
		createdAt[kind+name] = wall
	}
	full := fmt.Sprint(kind, name, " of ", first)
	created := burdockclock.Millis(0)
	if timeOrdered {
		created = first
	}
	if _, runs := owner.Decide(wall, keyedRequest(full, request, created)).(Run); runs {
		runCount[full]++
	}
}

func BenchmarkDecide(b *testing.B) {
	l := ownerOfAllSlots(0)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		l.Decide(noon, keyedRequest(fmt.Sprint(n), "r", 0))
	}
}

// An owner imports a slot whose keys arrived in between those of its other slots. The
// oldest must be evicted first, whichever owner received them: a key that is evicted
// too early gets "may have run" although its answer is known.
func TestImportedKeysAreEvictedInOrder(t *testing.T) {
	l := New()
	l.AcquireSlot(SlotOf(Key{1}), 0)
	for i := range uint64(3) {
		l.Decide(burdockclock.Millis(10*i+5), KeyedRequest{Key: Key{1, i}, Request: "own"})
	}
	// Out of order, as an agent of another release may send them.
	var records []HandoverRecord
	for _, i := range []uint64{2, 0, 1} {
		records = append(records, HandoverRecord{Key: Key{2, i}, Request: "taken", ReceivedAt: burdockclock.Millis(10 * i)})
	}
	l.ImportSlot(SlotOf(Key{2}), 0, records)
	for want := 5; want >= 0; want-- {
		l.Evict(Retention + burdockclock.Millis(5*(5-want)+1))
		if got := l.Len(); got != want {
			t.Fatalf("remaining keys: got %d, want %d", got, want)
		}
	}
}
