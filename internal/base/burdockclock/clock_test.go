package burdockclock

import (
	"testing"
	"time"
)

func TestManualAdvances(t *testing.T) {
	m := NewManual(5 * Second)
	m.Advance(250)
	if got, want := m.Clock().Now(), Millis(5250); got != want {
		t.Errorf("Now() = %d, want %d", got, want)
	}
	if got, want := m.Clock().Boot(), Millis(5250); got != want {
		t.Errorf("Boot() = %d, want %d", got, want)
	}
}

func TestSystemBootNeverGoesBack(t *testing.T) {
	c := System()
	before := c.Boot()
	time.Sleep(2 * time.Millisecond)
	if got := c.Boot(); got <= before {
		t.Errorf("Boot() = %d, want more than %d", got, before)
	}
}

func TestMillisConversions(t *testing.T) {
	if got, want := (1500 * Millis(1)).Duration(), 1500*time.Millisecond; got != want {
		t.Errorf("Duration() = %v, want %v", got, want)
	}
	if got, want := FromDuration(1999*time.Microsecond), Millis(1); got != want {
		t.Errorf("FromDuration = %d, want %d", got, want)
	}
	if got, want := Millis(0).Time().Year(), 1970; got != want {
		t.Errorf("Time().Year() = %d, want %d", got, want)
	}
}
