package burdockdoubt

import (
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Guards against each entry learning of a bad upstream by failures of its own.
func TestOneFailureIsToldOnce(t *testing.T) {
	l := New(Config{})
	if !l.RecordLocalFailure(1000, "a", 3) {
		t.Error("first failure: got not to be told, want told")
	}
	if l.RecordLocalFailure(1500, "a", 3) {
		t.Error("second failure: got to be told again, want not")
	}
	if !l.RecordLocalFailure(3500, "a", 3) {
		t.Error("failure after a while: got not to be told, want told")
	}
	other := New(Config{})
	other.RecordRemoteFailure(1010, "a")
	if other.RecordLocalFailure(1100, "a", 3) {
		t.Error("failure that others know of: got to be told, want not")
	}
	if got := other.Suspected(1200, 3); !got["a"] || len(got) != 1 {
		t.Errorf("in doubt: got %v, want a", got)
	}
	if got := other.Suspected(5000, 3); len(got) != 0 {
		t.Errorf("in doubt after a while: got %v, want none", got)
	}
}

// Guards against an entry with a bad link that takes sound upstreams from all others.
func TestEntryThatSeesHalfFailTellsNobody(t *testing.T) {
	l := New(Config{})
	l.RecordLocalFailure(1000, "a", 3)
	if l.RecordLocalFailure(1100, "b", 3) {
		t.Error("two of three fail: got to be told, want not")
	}
}

// Guards against sending all work to the one upstream that nobody doubts.
func TestDoubtOfMostDecidesNothing(t *testing.T) {
	const members = 6
	l := New(Config{})
	for i := range members {
		l.RecordRemoteFailure(1000, burdockid.Upstream(fmt.Sprint(i)))
		want := i + 1
		if members-want < members/3 {
			want = 0
		}
		if got := len(l.Suspected(1000, members)); got != want {
			t.Errorf("%d of %d told: got %d in doubt, want %d", i+1, members, got, want)
		}
	}
}
