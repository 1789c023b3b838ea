// Package burdockclock represents times and durations in whole milliseconds.
package burdockclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a duration, or a time since the Unix epoch, in milliseconds.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// Duration converts a duration to the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time converts a time to the standard library's type, in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// FromDuration converts a time.Duration, rounding towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock reads the current time. The zero value is not usable; see System and NewManual.
type Clock struct {
	now  func() Millis
	boot func() Millis
}

// Now returns the wall clock time. It may jump when the VM's clock is set.
func (c Clock) Now() Millis { return c.now() }

// Boot returns the time since a fixed point, including the time during which the VM is
// suspended. Go's monotonic clock stops then, so a process that was suspended until after
// the end of its lease would believe that it still holds the lease.
func (c Clock) Boot() Millis { return c.boot() }

// System returns the machine's clock.
func System() Clock {
	return Clock{
		now:  func() Millis { return Millis(time.Now().UnixMilli()) },
		boot: bootMillis,
	}
}

// Wall returns a clock whose boot time is the wall clock too. It follows the simulated time
// of package testing/synctest, which the machine's clocks don't.
func Wall() Clock {
	now := func() Millis { return Millis(time.Now().UnixMilli()) }
	return Clock{now: now, boot: now}
}

func bootMillis() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every Linux this project supports.
		panic("burdockclock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Millis(ts.Nano() / int64(time.Millisecond))
}

// Manual is a clock that only Advance moves, for tests and experiments.
type Manual struct {
	mu       sync.Mutex
	now      Millis
	wallStep Millis // by which the wall clock was set forward
}

// NewManual returns a manual clock that is set to start.
func NewManual(start Millis) *Manual { return &Manual{now: start} }

// Clock returns the Clock that reads m.
func (m *Manual) Clock() Clock { return Clock{now: m.readWall, boot: m.read} }

// StepWall sets the wall clock forward by d, or back if d is negative.
func (m *Manual) StepWall(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wallStep += d
}

func (m *Manual) readWall() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now + m.wallStep
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
}

func (m *Manual) read() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}
