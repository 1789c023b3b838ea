package burdocksuspicion

import (
	"fmt"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// One failure is enough for all entries, and is not reported again at once.
func TestFailureIsNotifiedOnce(t *testing.T) {
	tracker := New(Config{})
	if !tracker.RecordLocalFailure(1000, "a", 3) {
		t.Error("first failure: got no notification, want one")
	}
	if tracker.RecordLocalFailure(1500, "a", 3) {
		t.Error("second failure: got a notification, want none")
	}
	if !tracker.RecordLocalFailure(3500, "a", 3) {
		t.Error("failure after the interval: got no notification, want one")
	}
	other := New(Config{})
	other.RecordRemoteFailure(1010, "a")
	if other.RecordLocalFailure(1100, "a", 3) {
		t.Error("failure known to others: got a notification, want none")
	}
	if got := other.Suspected(1200, 3); !got["a"] || len(got) != 1 {
		t.Errorf("suspected upstreams: got %v, want a", got)
	}
	if got := other.Suspected(5000, 3); len(got) != 0 {
		t.Errorf("suspected after the TTL: got %v, want none", got)
	}
}

// An entry with a bad link must not make all others avoid healthy upstreams.
func TestLocalFaultIsNotNotified(t *testing.T) {
	tracker := New(Config{})
	tracker.RecordLocalFailure(1000, "a", 3)
	if tracker.RecordLocalFailure(1100, "b", 3) {
		t.Error("two of three fail: got a notification, want none")
	}
}

// If most upstreams are suspected, the few others must not get all of the load.
func TestSuspicionOfMostIsIgnored(t *testing.T) {
	const members = 6
	tracker := New(Config{})
	for i := range members {
		tracker.RecordRemoteFailure(1000, burdockid.Upstream(fmt.Sprint(i)))
		want := i + 1
		if members-want < members/3 {
			want = 0
		}
		if got := len(tracker.Suspected(1000, members)); got != want {
			t.Errorf("%d of %d reported: got %d suspected, want %d", i+1, members, got, want)
		}
	}
}
