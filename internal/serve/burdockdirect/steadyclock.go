package burdockdirect

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// steadyClock gives the times of what entries tell each other: the wall clock at the start of the
// process, and from then on time that doesn't jump when the wall clock is set.
type steadyClock struct {
	clock  burdockclock.Clock
	offset burdockclock.Millis
}

func newSteadyClock(clock burdockclock.Clock) steadyClock {
	return steadyClock{clock, clock.Now() - clock.Boot()}
}

func (c steadyClock) now() burdockclock.Millis { return c.clock.Boot() + c.offset }
