// Package burdocklockstep infers whether the engines of a lock-step group run steps, from
// the streams and offers of one entry.
//
// The package is pure: time is passed in. A View is not safe for concurrent use.
package burdocklockstep

import (
	"cmp"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// State is the state of a group, as far as an entry can tell.
type State string

// States of a group.
const (
	// Advancing: the group runs steps, or nothing shows otherwise.
	Advancing State = "moving"
	// Stalled: streams are open and none has had an event for several steps, for instance
	// because a rank has died or the group is on hold.
	Stalled State = "standing"
	// Closed: the engines refuse new requests although they have room, as they do while
	// the ranks of the group join or rejoin.
	Closed State = "closed"
)

// Config holds the timeouts and intervals of a View. A zero field takes its default.
type Config struct {
	// StallTimeout is how long all streams may go without an event before the group
	// counts as stalled. It is several times the longest typical step.
	StallTimeout burdockclock.Millis
	// FirstEventTimeout is used instead while no stream of the entry has had an event:
	// first events take longer than later ones.
	FirstEventTimeout burdockclock.Millis
	// MinRefusals is the number of engines that have to refuse, without an event in
	// between, for the group to count as closed. A single engine may have its own reason
	// to refuse.
	MinRefusals int
	// MinProbeInterval and MaxProbeInterval bound the time between two offers that check
	// whether a closed group has opened.
	MinProbeInterval burdockclock.Millis
	MaxProbeInterval burdockclock.Millis
	// ClosedTTL is how long a group counts as closed after the latest refusal. It spans
	// several probes. StalledClosedTTL is used instead for a group that was stalled when
	// its last stream ended, as its engines don't refuse.
	ClosedTTL        burdockclock.Millis
	StalledClosedTTL burdockclock.Millis
}

const (
	defaultStallTimeout      burdockclock.Millis = 450
	defaultFirstEventTimeout                     = burdockclock.Second
	defaultMinProbeInterval  burdockclock.Millis = 50
	defaultMaxProbeInterval  burdockclock.Millis = 250
	defaultClosedTTL                             = burdockclock.Second
	defaultStalledClosedTTL                      = 6 * burdockclock.Second
	defaultMinRefusals                           = 2
	// Each probe interval is longer than the one before by 1/probeGrowthDivisor.
	probeGrowthDivisor = 2
)

// View is one entry's view of a group.
type View struct {
	cfg     Config
	started int // open streams that have had an event
	pending int // offers without an event so far
	// firstPendingAt is when the number of pending offers last rose from 0.
	firstPendingAt burdockclock.Millis
	lastEventAt    burdockclock.Millis
	refusedBy      map[burdockid.Upstream]bool // engines that refused since the last event
	closed         bool
	// closedAt is when the group was last found closed.
	closedAt burdockclock.Millis
	// closedUntil is when the group stops counting as closed unless it is refused again.
	closedUntil   burdockclock.Millis
	nextProbeAt   burdockclock.Millis // if the group is closed
	probeInterval burdockclock.Millis // between the last two probes
	stoppedTime   burdockclock.Millis // total without steps, up to lastEventAt or closedAt
}

// New returns a View of a group about which nothing is known.
func New(cfg Config) *View {
	cfg.StallTimeout = cmp.Or(cfg.StallTimeout, defaultStallTimeout)
	cfg.FirstEventTimeout = cmp.Or(cfg.FirstEventTimeout, defaultFirstEventTimeout)
	cfg.MinRefusals = cmp.Or(cfg.MinRefusals, defaultMinRefusals)
	cfg.MinProbeInterval = cmp.Or(cfg.MinProbeInterval, defaultMinProbeInterval)
	cfg.MaxProbeInterval = cmp.Or(cfg.MaxProbeInterval, defaultMaxProbeInterval)
	cfg.ClosedTTL = cmp.Or(cfg.ClosedTTL, defaultClosedTTL)
	cfg.StalledClosedTTL = cmp.Or(cfg.StalledClosedTTL, defaultStalledClosedTTL)
	return &View{cfg: cfg, refusedBy: map[burdockid.Upstream]bool{}}
}

// StreamOffered records that a stream was offered to an engine.
func (v *View) StreamOffered(now burdockclock.Millis) {
	if v.pending == 0 {
		v.firstPendingAt = now
	}
	v.pending++
}

// FirstEvent records the first event of an offered stream.
func (v *View) FirstEvent(now burdockclock.Millis) {
	v.StreamEvent(now)
	v.pending = max(v.pending-1, 0)
	v.started++
}

// StreamEvent records an event of a stream.
func (v *View) StreamEvent(now burdockclock.Millis) {
	v.stoppedTime = v.stoppedTimeAt(now)
	v.lastEventAt = now
	v.open()
}

// StreamEnded records that an offered stream ended; started tells whether it had an
// event. A group that is stalled when its last stream ends counts as closed, because no
// stream is left to show that it advances.
func (v *View) StreamEnded(now burdockclock.Millis, started bool) {
	if v.started+v.pending <= 1 && v.State(now) == Stalled {
		v.close(now, v.cfg.StalledClosedTTL)
	}
	if started {
		v.started = max(v.started-1, 0)
	} else {
		v.pending = max(v.pending-1, 0)
	}
}

// EngineAccepted records that an engine has started a response. The engines of a group
// that refused everything don't do so before it has opened.
func (v *View) EngineAccepted(now burdockclock.Millis) {
	if v.closed && len(v.refusedBy) >= v.cfg.MinRefusals {
		v.StreamEvent(now)
	}
}

func (v *View) close(now, ttl burdockclock.Millis) {
	v.stoppedTime = v.stoppedTimeAt(now)
	v.closed, v.closedAt, v.closedUntil = true, now, now+ttl
	v.scheduleProbe(now)
}

func (v *View) open() {
	v.closed, v.probeInterval = false, 0
	clear(v.refusedBy)
}

// EngineRefused records that an engine with room refused an offer.
func (v *View) EngineRefused(now burdockclock.Millis, u burdockid.Upstream) {
	v.refusedBy[u] = true
	v.closedUntil = max(v.closedUntil, now+v.cfg.ClosedTTL)
	if v.State(now) == Closed || len(v.refusedBy) < v.cfg.MinRefusals || v.started > 0 && now-v.lastEventAt < v.cfg.StallTimeout {
		return
	}
	v.close(now, v.cfg.ClosedTTL)
}

// State returns the group's state.
//
// A closed state expires: if the offer that would show that the group has opened is lost,
// nothing new is started, and so nothing else can show it.
func (v *View) State(now burdockclock.Millis) State {
	switch {
	case v.closed && now < v.closedUntil:
		return Closed
	case now >= v.stalledAt():
		return Stalled
	}
	return Advancing
}

const never burdockclock.Millis = 1 << 62

// stalledAt returns the time from which the group counts as stalled if no event comes.
func (v *View) stalledAt() burdockclock.Millis {
	switch {
	case v.started > 0:
		return v.lastEventAt + v.cfg.StallTimeout
	case v.pending > 0:
		return max(v.lastEventAt, v.firstPendingAt) + v.cfg.FirstEventTimeout
	}
	return never
}

// OpenStreams returns the number of offered streams that have not ended.
func (v *View) OpenStreams() int { return v.started + v.pending }

// ProbeNow makes a probe due at once, after a report that the group has opened.
func (v *View) ProbeNow(now burdockclock.Millis) { v.nextProbeAt, v.probeInterval = now, 0 }

// ReportedOpen records a report from elsewhere that the group has opened. It ends the closed
// state; engines that still refuse begin a new one.
func (v *View) ReportedOpen(now burdockclock.Millis) {
	if v.closed {
		v.stoppedTime = v.stoppedTimeAt(now)
		v.open()
	}
}

// NextProbeAt returns when the next probe of a closed group is due.
func (v *View) NextProbeAt() burdockclock.Millis { return v.nextProbeAt }

// TryProbe reports whether an offer to a closed group may be made now as a probe. If so,
// it schedules the next one.
//
// Hundreds of requests may wait for a group to open, and each refused offer is charged to
// the retry budget that all of them share. One probe at a time, at growing intervals, is
// enough to notice the opening.
func (v *View) TryProbe(now burdockclock.Millis) bool {
	if v.State(now) != Closed || now < v.nextProbeAt {
		return false
	}
	v.scheduleProbe(now)
	return true
}

func (v *View) scheduleProbe(now burdockclock.Millis) {
	v.probeInterval = min(max(v.cfg.MinProbeInterval, v.probeInterval+v.probeInterval/probeGrowthDivisor), v.cfg.MaxProbeInterval)
	v.nextProbeAt = now + v.probeInterval
}

// RunningClock returns now less the total time in which the group ran no steps. The age
// of reported engine load is measured with this clock.
func (v *View) RunningClock(now burdockclock.Millis) burdockclock.Millis {
	return now - v.stoppedTimeAt(now)
}

// stoppedTimeAt returns the total time up to now in which the group ran no steps.
func (v *View) stoppedTimeAt(now burdockclock.Millis) burdockclock.Millis {
	switch v.State(now) {
	case Closed:
		return v.stoppedTime + now - v.closedAt
	case Stalled:
		return v.stoppedTime + now - v.stalledAt()
	}
	return v.stoppedTime
}

// IsStepInterval reports whether the time between two events of a stream is that of a
// step. An interval in which the group was stalled doesn't show how many streams it can
// run.
func (v *View) IsStepInterval(interval burdockclock.Millis) bool {
	return interval < v.cfg.StallTimeout
}
