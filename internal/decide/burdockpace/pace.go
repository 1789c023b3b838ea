// Package burdockpace bounds how many streams one entry has running at the
// engines of a service, by the pause between events that it sees itself.
//
// The package is pure: time is passed in. A Limit is not safe for concurrent
// use.
package burdockpace

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Config holds the limits of a Limit. A zero field takes its default.
type Config struct {
	// Target is the part of the longest pause that callers accept at which the
	// mean pause is kept. The rest is room for the spread of pauses around
	// their mean, as a pass that also reads prompts takes longer.
	Target float64
	// Period is the time over which pauses are gathered before the limit is
	// changed. It has to hold some passes of a group.
	Period burdockclock.Millis
	// MostShrink is the least factor by which one period lowers the limit.
	// Streams that run end over seconds, so a deeper cut would answer the same
	// excess more than once.
	MostShrink float64
	// Growth is how much a period raises the limit, in streams.
	Growth float64
	// Least is what the limit never falls below, so that pauses can still be
	// seen.
	Least float64
}

// Defaults of Config.
const (
	defaultTarget                         = 0.72
	defaultPeriod     burdockclock.Millis = 300
	defaultMostShrink                     = 0.88
	defaultGrowth                         = 1.0
	defaultLeast                          = 4.0
)

// Limit is the bound on running streams.
type Limit struct {
	cfg     Config
	limit   float64
	most    float64
	sum     float64 // of pauses, as parts of the longest accepted
	n       int
	pressed bool // the limit was reached in this period
	endsAt  burdockclock.Millis
}

// New returns a limit that begins at start and never exceeds most.
func New(cfg Config, start, most float64) *Limit {
	setDefault(&cfg.Target, defaultTarget)
	setDefault(&cfg.Period, defaultPeriod)
	setDefault(&cfg.MostShrink, defaultMostShrink)
	setDefault(&cfg.Growth, defaultGrowth)
	setDefault(&cfg.Least, defaultLeast)
	l := &Limit{cfg: cfg, limit: start}
	l.SetMost(most)
	return l
}

func setDefault[T burdockclock.Millis | float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// SetMost sets what the limit never exceeds: the places of all engines.
func (l *Limit) SetMost(most float64) {
	l.most = max(most, l.cfg.Least)
	l.limit = min(max(l.limit, l.cfg.Least), l.most)
}

// Pause tells of the time between two events of a stream whose callers accept
// one of longest.
func (l *Limit) Pause(pause, longest burdockclock.Millis) {
	if longest > 0 {
		l.sum += float64(pause) / float64(longest)
		l.n++
	}
}

// Update returns the bound on running streams, given how many run and wait.
//
// Load: more streams than the engines can run within the pause that callers
// accept, from entries that don't talk to each other and see uneven traffic.
// Harm prevented: each stream that runs lengthens the passes of all ranks of a
// lock-stepped group, so that beyond a point every stream is late at once and
// the backlog never drains. All entries see the same passes, so each can judge
// by its own streams; those that are full shrink by a factor and grow by a
// step, which brings their shares together as it does for senders on one link.
func (l *Limit) Update(now burdockclock.Millis, running, waiting int) int {
	l.pressed = l.pressed || waiting > 0 || float64(running) >= l.limit-1
	if now < l.endsAt {
		return int(l.limit)
	}
	l.endsAt = now + l.cfg.Period
	if l.n > 0 {
		l.adjust(l.sum / float64(l.n))
	}
	l.sum, l.n, l.pressed = 0, 0, false
	return int(l.limit)
}

func (l *Limit) adjust(mean float64) {
	switch {
	case mean > l.cfg.Target:
		l.limit *= max(l.cfg.MostShrink, l.cfg.Target/mean)
	case l.pressed:
		l.limit += l.cfg.Growth
	}
	l.limit = min(max(l.limit, l.cfg.Least), l.most)
}
