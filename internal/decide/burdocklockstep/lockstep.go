// Package burdocklockstep tells an entry whether the engines of a lock-stepped
// group run passes, from what the entry's own streams and offers show.
//
// The package is pure: time is passed in. A View is not safe for concurrent use.
package burdocklockstep

import (
	"cmp"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// State is what a group does, as far as an entry can tell.
type State string

// States of a group.
const (
	// Advancing: the group runs passes, or nothing says otherwise.
	Advancing State = "moving"
	// Stalled: streams run and none has had an event for several passes, as when
	// a rank has died or an order holds the group.
	Stalled State = "standing"
	// Closed: engines that have room refuse, as while the group forms anew.
	Closed State = "closed"
)

// Config holds the times of a View. A zero field takes its default.
type Config struct {
	// StallTimeout is how long all streams may be without an event before the group is
	// taken to stand: several of its longest usual passes.
	StallTimeout burdockclock.Millis
	// FirstEventTimeout is the same for an entry that has no stream with an event yet: first
	// events take longer than the ones after them.
	FirstEventTimeout burdockclock.Millis
	// MinProbeInterval and MostProbe bound the time between two offers that find out
	// whether a closed group has opened.
	MinProbeInterval burdockclock.Millis
	MaxProbeInterval burdockclock.Millis
	// ClosedTTL is how long a group is taken to be closed when no engine refuses any
	// more: several probes. BelieveStand is the same for one that stood until its last
	// caller had left, whose engines don't refuse.
	ClosedTTL        burdockclock.Millis
	StalledClosedTTL burdockclock.Millis
}

const (
	defaultStand        burdockclock.Millis = 450
	defaultStandFirst                       = burdockclock.Second
	defaultFirstProbe   burdockclock.Millis = 50
	defaultMostProbe    burdockclock.Millis = 250
	defaultBelieve                          = burdockclock.Second
	defaultBelieveStand                     = 6 * burdockclock.Second
	// refusals is how many engines have to refuse, with no event in between: one
	// alone may have its own reason.
	refusals = 2
	// probeGrowth is the part of the time between two probes by which the next is
	// longer: one in so many.
	probeGrowth = 2
)

// View is what one entry knows of a group.
type View struct {
	cfg     Config
	begun   int // streams that run and have had an event
	pending int // offers that have had none
	// pendingAt is when the first of them was made.
	pendingAt burdockclock.Millis
	eventAt   burdockclock.Millis
	refused   map[burdockid.Upstream]bool // since the last event
	closed    bool
	// closedAt is when the group was last found to be closed.
	closedAt burdockclock.Millis
	// believeUntil is when that is believed no longer unless something shows it anew.
	believeUntil burdockclock.Millis
	probeAt      burdockclock.Millis // when the next probe is due
	wait         burdockclock.Millis // between the last two
	stood        burdockclock.Millis // until the last event
}

// New returns a view of a group of which nothing is known.
func New(cfg Config) *View {
	cfg.StallTimeout = cmp.Or(cfg.StallTimeout, defaultStand)
	cfg.FirstEventTimeout = cmp.Or(cfg.FirstEventTimeout, defaultStandFirst)
	cfg.MinProbeInterval = cmp.Or(cfg.MinProbeInterval, defaultFirstProbe)
	cfg.MaxProbeInterval = cmp.Or(cfg.MaxProbeInterval, defaultMostProbe)
	cfg.ClosedTTL = cmp.Or(cfg.ClosedTTL, defaultBelieve)
	cfg.StalledClosedTTL = cmp.Or(cfg.StalledClosedTTL, defaultBelieveStand)
	return &View{cfg: cfg, refused: map[burdockid.Upstream]bool{}}
}

// StreamOffered tells of a stream that was offered to an engine.
func (v *View) StreamOffered(now burdockclock.Millis) {
	if v.pending == 0 {
		v.pendingAt = now
	}
	v.pending++
}

// FirstEvent tells of the first event of such a stream.
func (v *View) FirstEvent(now burdockclock.Millis) {
	v.StreamEvent(now)
	v.pending = max(v.pending-1, 0)
	v.begun++
}

// StreamEvent tells of an event of a stream.
func (v *View) StreamEvent(now burdockclock.Millis) {
	v.stood = v.stoodAt(now)
	v.eventAt = now
	v.open()
}

// StreamEnded tells that an offered stream runs no longer, if it had begun or not. A group
// that stands until the last caller has left is taken to be closed, as no stream is
// there any more to show that it moves.
func (v *View) StreamEnded(now burdockclock.Millis, begun bool) {
	if v.begun+v.pending <= 1 && v.State(now) == Stalled {
		v.close(now, v.cfg.StalledClosedTTL)
	}
	if begun {
		v.begun = max(v.begun-1, 0)
	} else {
		v.pending = max(v.pending-1, 0)
	}
}

// EngineAccepted tells that an engine has begun to answer, which those of a group that
// refused everything don't before it has opened.
func (v *View) EngineAccepted(now burdockclock.Millis) {
	if v.closed && len(v.refused) >= refusals {
		v.StreamEvent(now)
	}
}

func (v *View) close(now, believe burdockclock.Millis) {
	v.stood = v.stoodAt(now)
	v.closed, v.closedAt, v.believeUntil = true, now, now+believe
	v.schedule(now)
}

func (v *View) open() {
	v.closed, v.wait = false, 0
	clear(v.refused)
}

// EngineRefused tells that an engine refused an offer although it has room.
func (v *View) EngineRefused(now burdockclock.Millis, u burdockid.Upstream) {
	v.refused[u] = true
	v.believeUntil = max(v.believeUntil, now+v.cfg.ClosedTTL)
	if v.State(now) == Closed || len(v.refused) < refusals || v.begun > 0 && now-v.eventAt < v.cfg.StallTimeout {
		return
	}
	v.close(now, v.cfg.ClosedTTL)
}

// State returns the group's state.
//
// Failure: the offer that would show that a group has opened is lost. Symptom: nothing
// is started any more, so nothing can show it. What isn't shown anew is believed no
// longer.
func (v *View) State(now burdockclock.Millis) State {
	switch {
	case v.closed && now < v.believeUntil:
		return Closed
	case now >= v.standsAt():
		return Stalled
	}
	return Advancing
}

const never burdockclock.Millis = 1 << 62

// standsAt returns from when on the group is taken to stand unless there is an event.
func (v *View) standsAt() burdockclock.Millis {
	switch {
	case v.begun > 0:
		return v.eventAt + v.cfg.StallTimeout
	case v.pending > 0:
		return max(v.eventAt, v.pendingAt) + v.cfg.FirstEventTimeout
	}
	return never
}

// ProbeNow tells that the group is said to have opened, so that it is worth finding out
// at once.
func (v *View) ProbeNow(now burdockclock.Millis) { v.probeAt, v.wait = now, 0 }

// NextProbeAt returns when the next probe of a closed group is due.
func (v *View) NextProbeAt() burdockclock.Millis { return v.probeAt }

// TryProbe reports whether an offer may be made to a closed group now, and takes
// the turn.
//
// Load: hundreds of requests that wait for a group to form. Harm prevented: each
// offer that is refused counts against the retries that all entries share; one at
// a time, ever more seldom, is enough to notice the opening.
func (v *View) TryProbe(now burdockclock.Millis) bool {
	if v.State(now) != Closed || now < v.probeAt {
		return false
	}
	v.schedule(now)
	return true
}

func (v *View) schedule(now burdockclock.Millis) {
	v.wait = min(max(v.cfg.MinProbeInterval, v.wait+v.wait/probeGrowth), v.cfg.MaxProbeInterval)
	v.probeAt = now + v.wait
}

// RunningClock returns now less the time in which the group ran no passes: a clock by
// which what was told of the engines' load ages.
func (v *View) RunningClock(now burdockclock.Millis) burdockclock.Millis { return now - v.stoodAt(now) }

func (v *View) stoodAt(now burdockclock.Millis) burdockclock.Millis {
	switch v.State(now) {
	case Closed:
		return v.stood + now - v.closedAt
	case Stalled:
		return v.stood + now - v.standsAt()
	}
	return v.stood
}

// IsStepInterval reports whether the time between two events of a stream is that of a pass.
// One in which the group stood tells nothing of how many streams it can run.
func (v *View) IsStepInterval(pause burdockclock.Millis) bool { return pause < v.cfg.StallTimeout }
