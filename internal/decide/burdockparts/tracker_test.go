package burdockparts

import (
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const testMembers = 16

func process(n int) burdockid.Process {
	return burdockid.Process{Upstream: burdockid.Upstream(fmt.Sprint("u", n))}
}

func crashOf(n int, at burdockclock.Millis, parts ...burdockid.PromptPart) Crash {
	c := Crash{Process: process(n), Service: "s", At: at, Members: testMembers}
	for _, part := range parts {
		c.Parts = append(c.Parts, PartStarts{Part: part})
	}
	return c
}

// crashes adds the crashes of processes one after the other, each second.
func addCrashes(t *Tracker, from burdockclock.Millis, first, n int, parts ...burdockid.PromptPart) {
	for i := range n {
		addCrash(t, from+burdockclock.Millis(i)*burdockclock.Second, first+i, parts...)
	}
}

// addCrash adds a crash and decides, at once and when all crashes with a common cause are known.
func addCrash(t *Tracker, at burdockclock.Millis, n int, parts ...burdockid.PromptPart) {
	t.AddCrash(at, crashOf(n, at, parts...))
	t.Decide(at)
	t.Decide(at + DecideAfter)
}

// newBusyTracker returns a tracker that knows of answers in the service.
func newBusyTracker() *Tracker {
	t := New()
	for range minServiceStarts {
		settledStart(t, 1, 0, "usual")
	}
	return t
}

func isQuarantined(t *Tracker, now burdockclock.Millis, part burdockid.PromptPart) bool {
	_, quarantined := t.Quarantined(now, "s", []burdockid.PromptPart{part})
	return quarantined
}

func wantQuarantined(t *testing.T, tracker *Tracker, now burdockclock.Millis, part burdockid.PromptPart, want bool) {
	t.Helper()
	if got := isQuarantined(tracker, now, part); got != want {
		t.Errorf("part %s quarantined: got %v, want %v", part, got, want)
	}
}

// start records an answer that settles.
func settledStart(t *Tracker, at burdockclock.Millis, n int, parts ...burdockid.PromptPart) []Sound {
	t.AddStart(at, "s", process(n), parts)
	return t.Settle(at + SettleTime)
}

// Guards against a part that crashes one upstream after the other.
func TestPartOfSeparateCrashesIsQuarantined(t *testing.T) {
	tracker := newBusyTracker()
	addCrashes(tracker, 1000, 0, 2, "bad", "subject")
	wantQuarantined(t, tracker, 2000, "bad", false)
	addCrash(tracker, 3000, 2, "bad")
	wantQuarantined(t, tracker, 3000, "bad", true)
	wantQuarantined(t, tracker, 3000, "subject", false)
	if _, quarantined := tracker.Quarantined(3000, "other", []burdockid.PromptPart{"bad"}); quarantined {
		t.Error("part at another service: got quarantined, want not")
	}
}

// Guards against a burst of requests with the part that is taken for a power cut.
func TestPartOfAllCrashesAtOnceIsQuarantined(t *testing.T) {
	tracker := newBusyTracker()
	for i := range 6 {
		tracker.AddCrash(1000, crashOf(i, 1000, "c0", "bad", burdockid.PromptPart(fmt.Sprint("s", i))))
		tracker.AddStart(1000, "s", process(10), []burdockid.PromptPart{"c0"})
		tracker.Decide(1000)
	}
	wantQuarantined(t, tracker, 1000, "bad", false)
	tracker.Decide(1000 + DecideAfter)
	wantQuarantined(t, tracker, 1000, "bad", true)
	wantQuarantined(t, tracker, 1000, "c0", false)
}

// Guards against denying sound parts after power cuts, in which most upstreams crash at once.
func TestPowerCutsQuarantineNoPart(t *testing.T) {
	tracker := newBusyTracker()
	for range minKnownStarts {
		settledStart(tracker, 1000, 0, "c0")
	}
	for cut := range 10 {
		at := burdockclock.Millis(cut+1) * 5 * burdockclock.Second
		for i := range testMembers {
			tracker.AddCrash(at, crashOf(cut*testMembers+i, at, "c0", burdockid.PromptPart(fmt.Sprint("s", i%3))))
			tracker.Decide(at)
		}
		tracker.Decide(at + DecideAfter)
	}
	if got, want := tracker.QuarantinedParts(), 0; got != want {
		t.Errorf("quarantined parts: got %d, want %d", got, want)
	}
}

// Guards against denying a part that all requests of a route have, in a group that crashes
// before any answer begins.
func TestCommonPartIsNotTakenForTheRareOne(t *testing.T) {
	tracker := newBusyTracker()
	for i := range 200 {
		settledStart(tracker, burdockclock.Millis(i*10), i%testMembers, "c0")
	}
	for i := range 5 {
		at := burdockclock.Millis(10_000 + 4000*i)
		addCrash(tracker, at, 100+i, "c0", "bad")
	}
	wantQuarantined(t, tracker, 26_000, "c0", false)
	wantQuarantined(t, tracker, 26_000, "bad", true)
}

// Guards against a part that is suspected for ever though answers begin on it.
func TestAnswerThatBeginsClearsItsParts(t *testing.T) {
	tracker := newBusyTracker()
	addCrashes(tracker, 1000, 0, 2, "subject")
	if got, want := len(settledStart(tracker, 2500, 9, "subject", "other")), 1; got != want {
		t.Errorf("parts to tell the other entries: got %d, want %d", got, want)
	}
	addCrashes(tracker, 4000, 2, 2, "subject")
	wantQuarantined(t, tracker, 5000, "subject", false)
	addCrash(tracker, 6000, 4, "subject")
	wantQuarantined(t, tracker, 6000, "subject", true)
	if !tracker.AddSound(7000, Key{"s", "subject"}, 6500) {
		t.Error("freed by an answer at another entry: got false, want true")
	}
	wantQuarantined(t, tracker, 7000, "subject", false)
}

// Guards against an upstream that crashes shortly after the first event of an answer.
func TestAnswerOfAnUpstreamThatCrashesSoonClearsNothing(t *testing.T) {
	tracker := newBusyTracker()
	for i := range 3 {
		at := burdockclock.Millis(1000 + 2000*i)
		tracker.AddStart(at, "s", process(i), []burdockid.PromptPart{"bad"})
		addCrash(tracker, at+SettleTime/2, i, "bad")
		tracker.Settle(at + SettleTime)
	}
	wantQuarantined(t, tracker, 6000, "bad", true)
}

// Guards against several reports of one crash that count as several crashes.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	tracker := newBusyTracker()
	for i := range 20 {
		at := burdockclock.Millis(1000 + i*100)
		addCrash(tracker, at, i%2, "subject")
	}
	wantQuarantined(t, tracker, 3000, "subject", false)
	restarted := crashOf(0, 3000, "subject")
	restarted.Process.StartedAt = 2000
	tracker.AddCrash(3000, restarted)
	tracker.Decide(3000 + DecideAfter)
	wantQuarantined(t, tracker, 3000, "subject", true)
}

// Guards against a part that goes on crashing upstreams because hardly anything else is asked of
// the service, or the entries have just been started.
func TestPartOfAQuietServiceIsQuarantined(t *testing.T) {
	tracker := New()
	addCrashes(tracker, 1000, 0, 4, "bad")
	wantQuarantined(t, tracker, 4600, "bad", false)
	addCrash(tracker, 5000, 4, "bad")
	wantQuarantined(t, tracker, 5600, "bad", true)
}

// Guards against denying a harmless part for minutes in a quiet service after crashes of another
// cause.
func TestHarmlessPartOfAQuietServiceIsServed(t *testing.T) {
	tracker := New()
	settledStart(tracker, 500, 0, "c0")
	addCrashes(tracker, 1000, 0, 5, "c0", "bad")
	wantQuarantined(t, tracker, 5600, "bad", true)
	wantQuarantined(t, tracker, 5600, "c0", false)
}

// Guards against denying a part for minutes that nothing tells from the one which crashes
// upstreams: a request with the harmless one alone is tried first.
func TestSinglePartIsTriedFirst(t *testing.T) {
	tracker := New()
	addCrashes(tracker, 1000, 0, 5, "c0", "bad")
	due := 5000 + DecideAfter + knownQuarantine
	alone, _ := tracker.Quarantined(due, "s", []burdockid.PromptPart{"c0"})
	if alone.Remaining != 0 || alone.Parts != 1 {
		t.Errorf("request with one quarantined part: got %+v, want its trial due", alone)
	}
	both, _ := tracker.Quarantined(due, "s", []burdockid.PromptPart{"c0", "bad"})
	if both.Remaining == 0 || both.Parts != 2 {
		t.Errorf("request with both: got %+v, want its trial later", both)
	}
	tracker.AddTrial(due, alone.Trial)
	tracker.AddSound(due+1000, Key{"s", "c0"}, due+1000)
	wantQuarantined(t, tracker, due+1000, "c0", false)
	wantQuarantined(t, tracker, due+1000, "bad", true)
}

// Guards against a part that is tried again at every entry, or each minute.
func TestTrialsBecomeRarer(t *testing.T) {
	tracker := newBusyTracker()
	addCrashes(tracker, 1000, 0, 3, "bad")
	now, want := 3*burdockclock.Second, firstQuarantine
	for number := 1; number <= 5; number++ {
		v, quarantined := tracker.Quarantined(now, "s", []burdockid.PromptPart{"bad"})
		if !quarantined || v.Remaining != want || v.Trial.Number != number {
			t.Fatalf("before trial %d: got %+v, want %d ms", number, v, want)
		}
		now += want
		if v, _ = tracker.Quarantined(now, "s", []burdockid.PromptPart{"bad"}); v.Remaining != 0 {
			t.Fatalf("trial %d: got %d ms left, want it due", number, v.Remaining)
		}
		tracker.AddTrial(now, v.Trial)
		tracker.AddTrial(now+1, v.Trial) // another entry's, too late
		want = min(want*quarantineFactor, maxQuarantine)
	}
	tracker.AddSound(now, Key{"s", "bad"}, now)
	wantQuarantined(t, tracker, now, "bad", false)
}

// Guards against a part that is denied for ever after it has been forgotten elsewhere.
func TestSuspectsExpire(t *testing.T) {
	tracker := newBusyTracker()
	addCrashes(tracker, 1000, 0, 2, "subject")
	addCrashes(tracker, 1000, 10, 3, "bad")
	if got, want := len(tracker.Suspects(3000)), 2; got != want {
		t.Fatalf("suspects: got %d, want %d", got, want)
	}
	if got, want := len(tracker.Suspects(suspicionTTL+3001)), 1; got != want {
		t.Errorf("suspects after the TTL: got %d, want %d", got, want)
	}
	if got, want := len(tracker.Suspects(firstQuarantine+quarantineMemory+5000)), 0; got != want {
		t.Errorf("suspects at the end: got %d, want %d", got, want)
	}
	if got, want := len(tracker.services), 0; got != want {
		t.Errorf("services: got %d, want %d", got, want)
	}
}

// Guards against memory that grows with the parts that callers make up.
func TestTrackerIsBounded(t *testing.T) {
	tracker := newBusyTracker()
	for i := range 20_000 {
		part := burdockid.PromptPart(fmt.Sprintf("%x", i))
		tracker.AddStart(burdockclock.Millis(i), "s", process(1), []burdockid.PromptPart{part})
		tracker.Settle(burdockclock.Millis(i))
		tracker.AddCrash(burdockclock.Millis(i), crashOf(i, burdockclock.Millis(i), part))
	}
	s := tracker.services["s"]
	if len(s.crashes) > maxCrashes || len(s.suspects) > maxSuspects {
		t.Errorf("got %d crashes and %d suspects, want at most %d and %d", len(s.crashes), len(s.suspects), maxCrashes, maxSuspects)
	}
	if got := len(tracker.starts.latest) + len(tracker.starts.previous) + len(tracker.starts.unsettled); got > 2*maxCounted+maxUnsettled {
		t.Errorf("answers that have begun: got %d, want at most %d", got, 2*maxCounted+maxUnsettled)
	}
}
