package burdocktimeliness

import (
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Guards against late requests that take the room of those that arrive while it is full, and
// against room that stays unused because it is kept for requests that don't come.
func TestLateRoomFollowsArrivals(t *testing.T) {
	for _, c := range []struct {
		name     string
		perSec   int // of priority 1
		priority int // of the late requests
		running  int // that started in time
		min, max int
	}{
		{"no arrivals", 0, 1, 0, 100, 100},
		{"a third of the room", 33, 1, 0, 58, 64},
		{"a third of the room, which runs", 33, 1, 33, 91, 97},
		{"more than the room", 150, 1, 0, 20, 20},
		{"less urgent arrivals", 150, 0, 0, 100, 100},
		{"more urgent arrivals", 33, 2, 0, 58, 64},
	} {
		f := NewForecast(3)
		for range 200 {
			f.ObserveStream(burdockclock.Second)
		}
		now := burdockclock.Hour
		for end := now + 10*burdockclock.Second; c.perSec > 0 && now < end; now += burdockclock.Second / burdockclock.Millis(c.perSec) {
			f.ObserveArrival(now, 1)
		}
		if got := f.LateRoom(now, 100, c.priority, c.running); got < c.min || got > c.max {
			t.Errorf("%s: room for late requests: got %d, want %d to %d of 100", c.name, got, c.min, c.max)
		}
	}
}

// Guards against a burst of late requests right after an entry has started, when few arrivals
// have been counted.
func TestLateRoomAfterStart(t *testing.T) {
	f := NewForecast(1)
	for i := range 30 {
		f.ObserveArrival(burdockclock.Millis(10*i), 0)
	}
	if got := f.LateRoom(300, 100, 0, 0); got != 20 {
		t.Errorf("room for late requests after 0.3 s with 100 arrivals a second: got %d, want 20 of 100", got)
	}
}
