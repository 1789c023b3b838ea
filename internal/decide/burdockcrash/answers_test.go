package burdockcrash

import (
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Guards against harmless content that is kept from upstreams because it is so frequent that it
// runs whenever one crashes.
func TestAnsweredContentIsNotQuarantined(t *testing.T) {
	for _, c := range []struct {
		name             string
		crashes, answers []burdockclock.Millis // in the order of their times, answers at this entry
		told             []burdockclock.Millis // answers at another entry
		wantQuarantine   bool
	}{
		{name: "never answered", crashes: []burdockclock.Millis{1000, 3000}, wantQuarantine: true},
		{name: "answered between the crashes", crashes: []burdockclock.Millis{1000, 3000}, answers: []burdockclock.Millis{2000}},
		{name: "answered after them", crashes: []burdockclock.Millis{1000, 3000}, answers: []burdockclock.Millis{3500}},
		{name: "answered at another entry after them", crashes: []burdockclock.Millis{1000, 3000}, told: []burdockclock.Millis{3500}},
		{name: "answered before them", crashes: []burdockclock.Millis{1000, 3000}, answers: []burdockclock.Millis{500}},
		{name: "answered at another entry before them", crashes: []burdockclock.Millis{1000, 3000}, told: []burdockclock.Millis{500}},
		{name: "three crashes together, answered after them", crashes: []burdockclock.Millis{1000, 1010, 1020}, answers: []burdockclock.Millis{1500}},
		{name: "many crashes, answered between all", crashes: []burdockclock.Millis{1000, 2000, 3000, 4000, 5000}, answers: []burdockclock.Millis{1500, 2500, 3500, 4500}},
		{name: "used to be answered, crashes each upstream now", crashes: []burdockclock.Millis{1000, 2000, 3000, 4000}, answers: []burdockclock.Millis{500}, wantQuarantine: true},
		{name: "used to be answered at another entry, crashes each upstream now", crashes: []burdockclock.Millis{1000, 2000, 3000, 4000}, told: []burdockclock.Millis{500}, wantQuarantine: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := New(Config{})
			now := burdockclock.Millis(6000)
			for i, at := range c.crashes {
				tracker.Add(now, crashOf(digest(1), burdockid.Upstream(fmt.Sprint("u", i)), at))
			}
			for _, at := range c.answers {
				tracker.AddAnswer(now, Answer{digest(1), at})
			}
			for _, at := range c.told {
				tracker.AddToldAnswer(now, Answer{digest(1), at})
			}
			if got := tracker.QuarantineRemaining(now, digest(1)) > 0; got != c.wantQuarantine {
				t.Errorf("quarantined: got %v, want %v (evidence %+v)", got, c.wantQuarantine, tracker.EvidenceOn(digest(1)))
			}
		})
	}
}

// Guards against harmless content that nothing can clear because it is kept from all upstreams.
func TestContentThatWasAnsweredIsKeptForLessTime(t *testing.T) {
	tracker := New(Config{})
	tracker.AddToldAnswer(500, Answer{digest(1), 500})
	at := burdockclock.Millis(0)
	for i, want := range []burdockclock.Millis{0, 0, 0, 15_000, 60_000, 240_000, defaultTTL} {
		at += 1000
		tracker.Add(at, crashOf(digest(1), burdockid.Upstream(fmt.Sprint("u", i)), at))
		wantQuarantine(t, tracker, fmt.Sprint("crash ", i+1), at, digest(1), want)
	}
}

// Guards against harmless requests that are kept from upstreams for crashes with a known cause.
func TestExplainedCrashesDoNotCount(t *testing.T) {
	explained := map[burdockid.Upstream]bool{"a": true, "b": true}
	tracker := New(Config{Explained: func(p burdockid.Process) bool { return explained[p.Upstream] }})
	for i, u := range []burdockid.Upstream{"a", "b", "c"} {
		at := burdockclock.Millis(1000 * (i + 1))
		tracker.Add(at, crashOf(digest(1), u, at))
	}
	wantQuarantine(t, tracker, "one crash without a cause", 3000, digest(1), 0)
	explained["b"] = false
	wantQuarantine(t, tracker, "two crashes without a cause", 3000, digest(1), defaultTTL)
}

// Guards against entries that go on refusing what another one gets answered, and against a write
// to the store for each answer.
func TestAnswersAreToldWhereOthersNeedThem(t *testing.T) {
	tracker := New(Config{})
	add := func(u burdockid.Upstream, at burdockclock.Millis) { tracker.Add(at, crashOf(digest(1), u, at)) }
	wantUntold := func(what string, want bool) {
		t.Helper()
		if _, got := tracker.Untold(digest(1)); got != want {
			t.Errorf("%s: got untold %v, want %v", what, got, want)
		}
	}
	add("a", 1000)
	tracker.AddAnswer(1500, Answer{digest(1), 1500})
	wantUntold("one crash", false)
	add("b", 2000)
	wantUntold("others quarantine it", true)
	tracker.AddToldAnswer(2100, Answer{digest(1), 1500})
	wantUntold("told", false)
	for i, u := range []burdockid.Upstream{"c", "d", "e"} {
		add(u, 3000+burdockclock.Millis(i))
	}
	tracker.AddAnswer(4000, Answer{digest(1), 4000})
	wantUntold("others quarantine it again", true)
}

// Guards against an answer of a record that is too old to count.
func TestOldAnswerIsIgnored(t *testing.T) {
	tracker := New(Config{TTL: 1000})
	tracker.AddToldAnswer(5000, Answer{digest(1), 100})
	if !tracker.Empty() {
		t.Error("tracker after an old answer: got a record, want none")
	}
}

func TestRecentAnswersAreBoundedAndForgotten(t *testing.T) {
	r := NewRecentAnswers()
	key := func(n int) uint64 { return r.Key("s", "POST", "/a", "acme", fmt.Append(nil, n)) }
	r.Add(100, key(1))
	if got, want := r.LastAt(key(1)), burdockclock.Millis(100); got != want {
		t.Errorf("answered at: got %d, want %d", got, want)
	}
	for i := range 3 * maxRecentAnswers {
		r.Add(200, key(2+i))
	}
	if got := r.LastAt(key(1)); got != 0 {
		t.Errorf("answered before many others: got %d, want 0", got)
	}
	if got, limit := len(r.latest)+len(r.previous), 2*maxRecentAnswers; got > limit {
		t.Errorf("remembered: got %d, want at most %d", got, limit)
	}
}

// Two requests have the same key only if all of their parts are the same.
func TestRecentAnswerKeysTellPartsApart(t *testing.T) {
	r := NewRecentAnswers()
	keys := map[uint64]string{}
	for name, key := range map[string]uint64{
		"plain":          r.Key("s", "POST", "/a", "b", []byte("c")),
		"target longer":  r.Key("s", "POST", "/ab", "", []byte("c")),
		"body longer":    r.Key("s", "POST", "/a", "", []byte("bc")),
		"with a part":    r.Key("s", "POST", "/a", "b", []byte("c"), "d"),
		"with two parts": r.Key("s", "POST", "/a", "b", []byte("c"), "d", "e"),
		"parts joined":   r.Key("s", "POST", "/a", "b", []byte("c"), "de"),
	} {
		if other, taken := keys[key]; taken {
			t.Errorf("%s: got the key of %s, want another one", name, other)
		}
		keys[key] = name
	}
	if got, want := r.Key("s", "POST", "/a", "b", []byte("c"), "d"), r.Key("s", "POST", "/a", "b", []byte("c"), "d"); got != want {
		t.Errorf("same content: got %d, want %d", got, want)
	}
}

// An answer is remembered at less than the cost of the request's digest.
func BenchmarkRecentAnswers(b *testing.B) {
	body := make([]byte, 4<<10)
	b.Run("recent", func(b *testing.B) {
		r := NewRecentAnswers()
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			r.Add(burdockclock.Millis(i), r.Key("s", "POST", "/a", "acme", body, "c0", "c1"))
		}
	})
	b.Run("digest", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			DigestOf("s", "POST", "/a", "acme", body, "c0", "c1")
		}
	})
}
