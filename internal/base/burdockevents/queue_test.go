package burdockevents

import (
	"slices"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

func TestRunUntilPlaysEventsInOrder(t *testing.T) {
	q := New(1000)
	var got []burdockclock.Millis
	note := func() { got = append(got, q.Now()) }
	q.After(30, note)
	q.After(10, func() {
		note()
		q.After(5, note)
		q.After(40, note)
	})
	q.After(20, note)
	q.RunUntil(1050)
	if want := []burdockclock.Millis{1010, 1015, 1020, 1030}; !slices.Equal(got, want) {
		t.Errorf("times of events: got %v, want %v", got, want)
	}
	q.RunUntil(1051)
	if got, want := q.Now(), burdockclock.Millis(1050); got != want {
		t.Errorf("time after the last event: got %d, want %d", got, want)
	}
}
