package burdockparts

import (
	"fmt"
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Guards against a part that goes on crashing upstreams because the tracker is full of suspects.
func TestNewCrashesCountBesideManySuspects(t *testing.T) {
	tracker := newBusyTracker()
	const perCrash = 512
	for i := range 2 * maxSuspects / perCrash {
		c := crashOf(1000+i, burdockclock.Millis(1000+2000*i))
		for j := range perCrash {
			c.Parts = append(c.Parts, PartStarts{Part: burdockid.PromptPart(fmt.Sprint("x", i, "-", j))})
		}
		tracker.AddCrash(c.At, c)
	}
	from := burdockclock.Millis(2000 * 2 * maxSuspects / perCrash)
	addCrashes(tracker, from, 0, 3, "bad")
	wantQuarantined(t, tracker, from+3000, "bad", true)
	if tracker.Dropped() == 0 {
		t.Error("dropped evidence: got 0, want some")
	}
}

// Guards against a part that goes on crashing upstreams because the tracker is full of crashes.
func TestNewCrashesCountBesideManyCrashes(t *testing.T) {
	tracker := newBusyTracker()
	for i := range 2 * maxCrashes {
		at := burdockclock.Millis(1000 + 100*i)
		tracker.AddCrash(at, crashOf(1000+i, at, burdockid.PromptPart(fmt.Sprint("x", i))))
	}
	const from = 1000 + 100*2*maxCrashes
	addCrashes(tracker, from, 0, 5, "bad")
	wantQuarantined(t, tracker, from+6000, "bad", true)
	if got := len(tracker.services["s"].crashes); got > maxCrashes {
		t.Errorf("crashes: got %d, want at most %d", got, maxCrashes)
	}
}

// Guards against memory that grows with the parts of long prompts.
func TestEvidenceIsBounded(t *testing.T) {
	tracker := newBusyTracker()
	const perCrash = 1024
	parts := make([]burdockid.PromptPart, perCrash)
	for i := range parts {
		parts[i] = burdockid.PromptPart(fmt.Sprint("common", i))
	}
	for i := range 4 * maxEvidence / perCrash {
		at := burdockclock.Millis(1000 * i)
		tracker.AddCrash(at, crashOf(i, at, parts...))
	}
	s, pairs := tracker.services["s"], 0
	for _, c := range s.crashes {
		pairs += len(c.parts)
	}
	if pairs != s.evidence || pairs > maxEvidence+perCrash {
		t.Errorf("parts of all crashes: got %d, counted %d, want at most %d", pairs, s.evidence, maxEvidence+perCrash)
	}
}

// Guards against reports of crashes from which the part that is the cause is left out.
func TestRarestPartsAreReported(t *testing.T) {
	var counted []PartStarts
	for i := range 100 {
		counted = append(counted, PartStarts{burdockid.PromptPart(fmt.Sprint("common", i)), 100 + i})
	}
	counted = append(counted, PartStarts{"bad", 0}, PartStarts{"rare", 1})
	got := Rarest(counted, 3)
	want := []PartStarts{{"bad", 0}, {"rare", 1}, {"common0", 100}}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against parts that other entries keep in quarantine because many others are reported.
func TestFreedAndMostSuspectedPartsAreReported(t *testing.T) {
	sound := func(part burdockid.PromptPart, crashes int, freed bool) Sound {
		return Sound{Key: Key{"s", part}, Crashes: crashes, Freed: freed}
	}
	got := Weightiest([]Sound{sound("a", 1, false), sound("b", 2, false), sound("c", 1, true), sound("d", 1, false)}, 2)
	want := []Sound{sound("c", 1, true), sound("b", 2, false)}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
