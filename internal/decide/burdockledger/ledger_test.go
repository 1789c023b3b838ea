package burdockledger

import (
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"pgregory.net/rapid"
)

const noon = 1_800_000_000_000 * burdockclock.Millis(1)

func ask(key, request string, birth burdockclock.Millis) KeyedRequest {
	return KeyedRequest{Key: KeyOf("acme", burdockid.IdempotencyKey(key)), Request: burdockid.Request(request), Fingerprint: 1, CreatedAt: birth}
}

func holding(since burdockclock.Millis) *Ledger {
	l := New()
	for slot := range Slot(SlotCount) {
		l.AcquireSlot(slot, since)
	}
	return l
}

// dated returns a key that says when it was made.
func dated(at burdockclock.Millis) burdockid.IdempotencyKey {
	digits := fmt.Sprintf("%012x", int64(at))
	return burdockid.IdempotencyKey(digits[:8] + "-" + digits[8:] + "-7abc-8def-0123456789ab")
}

func TestBirth(t *testing.T) {
	cases := []struct {
		key  burdockid.IdempotencyKey
		want burdockclock.Millis
		ok   bool
	}{
		{dated(noon), noon, true},
		{"0192f0c1-2b3c-4abc-8def-0123456789ab", 0, false}, // version 4
		{"letter-2031-q1", 0, false},
		{"zzzzzzzz-zzzz-7abc-8def-0123456789ab", 0, false},
		{"", 0, false},
	}
	for _, c := range cases {
		if got, ok := CreationTime(c.key); got != c.want || ok != c.ok {
			t.Errorf("Birth(%q) = %d, %v; want %d, %v", c.key, got, ok, c.want, c.ok)
		}
	}
}

// A caller repeats a key and gets the first run's answer, not a second run.
func TestRepeatAttaches(t *testing.T) {
	l := holding(0)
	if got := l.Decide(noon, ask("k", "first", 0)); got != (Run{}) {
		t.Fatalf("first: got %#v, want Run", got)
	}
	l.RecordOutcome(ask("k", "", 0).Key, "first", OutcomeAnswered)
	want := Attach{Request: "first", Outcome: OutcomeAnswered}
	if got := l.Decide(noon+1, ask("k", "second", 0)); got != want {
		t.Errorf("repeat: got %#v, want %#v", got, want)
	}
	other := ask("k", "third", 0)
	other.Fingerprint = 2
	if got := l.Decide(noon+2, other); got != (Reused{}) {
		t.Errorf("the key with another request: got %#v, want Reused", got)
	}
}

func TestNotRunMayComeAgain(t *testing.T) {
	l := holding(0)
	l.Decide(noon, ask("k", "first", 0))
	l.RecordNotRun(ask("k", "", 0).Key, "first")
	if got := l.Decide(noon+1, ask("k", "second", 0)); got != (Run{}) {
		t.Errorf("after not run: got %#v, want Run", got)
	}
}

// A caller repeats a key at a home that took over from one that was lost. The
// first run may be in the lost memory, so it is not run again. A key that was
// made after the takeover can't have run before it.
func TestTakeoverWithoutMemory(t *testing.T) {
	l := holding(noon)
	cases := []struct {
		name  string
		wall  burdockclock.Millis
		birth burdockclock.Millis
		want  Decision
	}{
		{"made before", noon + 5*burdockclock.Second, noon - 1, MayHaveRun{}},
		{"made within the skew of clocks", noon + 2*burdockclock.Minute, noon + MaxClockSkew, MayHaveRun{}},
		{"made after", noon + 2*burdockclock.Minute, noon + MaxClockSkew + 1, Run{}},
		{"undated, within the repeat window", noon + RepeatWindow, 0, MayHaveRun{}},
		{"undated, after it", noon + RepeatWindow + MaxClockSkew, 0, Run{}},
	}
	for _, c := range cases {
		if got := l.Decide(c.wall, ask(c.name, c.name, c.birth)); got != c.want {
			t.Errorf("%s: got %#v, want %#v", c.name, got, c.want)
		}
	}
}

// A home that is stopped as planned hands its memory to the next, where a
// repeat attaches and a new key runs at once.
func TestHandoverKeepsMemory(t *testing.T) {
	a, b := holding(0), New()
	a.Decide(noon, ask("k", "first", 0))
	slot := SlotOf(ask("k", "", 0).Key)
	b.ImportSlot(slot, a.CompleteSince(slot), a.ExportSlot(slot))
	a.ReleaseSlot(slot)
	if got, want := b.Decide(noon+1, ask("k", "second", 0)), (Attach{Request: "first", Outcome: OutcomeRunning}); got != want {
		t.Errorf("repeat at the next home: got %#v, want %#v", got, want)
	}
	if got, want := a.OwnsSlot(slot), false; got != want {
		t.Errorf("the old home holds the slot: got %v, want %v", got, want)
	}
}

func TestForgetKeepsTheOldFromRunning(t *testing.T) {
	l := holding(0)
	l.Decide(noon, ask("k", "first", noon))
	later := noon + Retention + 1
	l.Evict(later)
	if got, want := l.Len(), 0; got != want {
		t.Errorf("keys remembered: got %d, want %d", got, want)
	}
	if got := l.Decide(later, ask("k", "again", noon)); got != (MayHaveRun{}) {
		t.Errorf("a dated key from before the horizon: got %#v, want MayHaveRun", got)
	}
}

// A caller's key is refused at first and runs hours later. It is remembered
// for as long as any other from its run on, not from its first arrival.
func TestForgetCountsFromTheRun(t *testing.T) {
	l := holding(0)
	l.Decide(noon, ask("k", "refused", 0))
	l.RecordNotRun(ask("k", "", 0).Key, "refused")
	later := noon + Retention - burdockclock.Hour
	l.Decide(later, ask("k", "run", 0))
	l.RecordOutcome(ask("k", "", 0).Key, "run", OutcomeAnswered)
	wall := noon + Retention + 1
	l.Evict(wall)
	want := Attach{Request: "run", Outcome: OutcomeAnswered}
	if got := l.Decide(wall, ask("k", "repeat", 0)); got != want {
		t.Errorf("repeat an hour after the run: got %#v, want %#v", got, want)
	}
}

// A full fleet refuses keys by the hundred thousand. Keys that ran are not
// forgotten for them, whether they were refused here or went to another home.
func TestRefusedKeysTakeNoRoom(t *testing.T) {
	l := holding(0)
	l.Decide(noon, ask("k", "run", 0))
	for i := range MaxKeys + 1 {
		refused := ask(fmt.Sprint("refused ", i), "refused", 0)
		l.Decide(noon+1, refused)
		l.RecordNotRun(refused.Key, "refused")
	}
	l.Evict(noon + 2)
	want := Attach{Request: "run", Outcome: OutcomeRunning}
	if got := l.Decide(noon+2, ask("k", "repeat", 0)); got != want {
		t.Errorf("repeat: got %#v, want %#v", got, want)
	}
}

// A slot goes away and comes back with its memory. Each key is in the memory
// that is handed on next once, as it would be had the slot stayed.
func TestDropLeavesNothingBehind(t *testing.T) {
	l := holding(0)
	l.Decide(noon, ask("k", "run", 0))
	slot := SlotOf(ask("k", "", 0).Key)
	lines := l.ExportSlot(slot)
	l.ReleaseSlot(slot)
	l.ImportSlot(slot, 0, lines)
	if got, want := len(l.ExportSlot(slot)), 1; got != want {
		t.Errorf("lines: got %d, want %d", got, want)
	}
}

// Callers repeat keys at random while homes are lost, stopped as planned and
// replaced. No key runs twice, whatever the order. Clocks are within the skew.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := noon
		home := holding(0)
		ran := map[string]int{}
		born := map[string]burdockclock.Millis{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			wall += rapid.SampledFrom([]burdockclock.Millis{1, burdockclock.Second, burdockclock.Minute}).Draw(t, "wait")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				home = holding(wall) // lost, and replaced by one without memory
			case 1:
				next := New()
				for slot := range Slot(SlotCount) {
					next.ImportSlot(slot, home.CompleteSince(slot), home.ExportSlot(slot))
				}
				home = next
			default:
				name := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
				repeatKey(home, wall, name, fmt.Sprint("r", i), rapid.Bool().Draw(t, "dated"), ran, born)
			}
		}
		for name, n := range ran {
			if n > 1 {
				t.Fatalf("%s ran %d times", name, n)
			}
		}
	})
}

// repeatKey asks for a key as a caller does: within the repeat window of its
// first use, and with a new key afterwards.
func repeatKey(home *Ledger, wall burdockclock.Millis, name, request string, isDated bool, ran map[string]int, born map[string]burdockclock.Millis) {
	kind := "undated "
	if isDated {
		kind = "dated "
	}
	first, ok := born[kind+name]
	if !ok || (!isDated && wall-first > RepeatWindow) {
		first = wall
		born[kind+name] = wall
	}
	full := fmt.Sprint(kind, name, " of ", first)
	birth := burdockclock.Millis(0)
	if isDated {
		birth = first
	}
	if _, runs := home.Decide(wall, ask(full, request, birth)).(Run); runs {
		ran[full]++
	}
}

func BenchmarkDecide(b *testing.B) {
	l := holding(0)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		l.Decide(noon, ask(fmt.Sprint(n), "r", 0))
	}
}

// A home takes over a slot whose keys came in between its own. The oldest must
// be forgotten first, whoever had them: a key that is forgotten before its time
// is answered with "may have run" though its answer is known.
func TestTakenKeysAreForgottenInTheirTurn(t *testing.T) {
	l := New()
	l.AcquireSlot(SlotOf(Key{1}), 0)
	for i := range uint64(3) {
		l.Decide(burdockclock.Millis(10*i+5), KeyedRequest{Key: Key{1, i}, Request: "own"})
	}
	// Out of order, as a sender of another release may send them.
	var lines []HandoverRecord
	for _, i := range []uint64{2, 0, 1} {
		lines = append(lines, HandoverRecord{Key: Key{2, i}, Request: "taken", ReceivedAt: burdockclock.Millis(10 * i)})
	}
	l.ImportSlot(SlotOf(Key{2}), 0, lines)
	for want := 5; want >= 0; want-- {
		l.Evict(Retention + burdockclock.Millis(5*(5-want)+1))
		if got := l.Len(); got != want {
			t.Fatalf("keys that are left: got %d, want %d", got, want)
		}
	}
}
