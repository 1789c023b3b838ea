// Package burdockbackpressure keeps what upstreams ask of this entry in their responses: to
// send nothing for a while, or nothing at all because they leave.
//
// The package is pure: time is passed in. Its types are not safe for concurrent use.
package burdockbackpressure

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Pauses holds the pauses that the upstreams of a service have asked this entry for.
type Pauses struct {
	pauses map[burdockid.Upstream]*pauseState
	// firstEnd is not after the earliest end of any pause.
	firstEnd burdockclock.Millis
}

// pauseState is the pause of one upstream.
type pauseState struct {
	until burdockclock.Millis
	check checkState
}

// checkState tells whether an upstream may get one request in its pause.
type checkState string

const (
	checkNotDue checkState = "notDue"
	checkDue    checkState = "due"
	checkUsed   checkState = "used"
)

// NewPauses returns a record without pauses.
func NewPauses() *Pauses {
	return &Pauses{pauses: map[burdockid.Upstream]*pauseState{}}
}

// Ask records that an upstream asks for a pause from now on, and reports whether that begins
// or extends one. A shorter pause does not take back a longer one.
func (p *Pauses) Ask(now burdockclock.Millis, u burdockid.Upstream, d burdockclock.Millis) bool {
	end := now + d
	known := p.pauses[u]
	if d <= 0 || known != nil && end <= known.until {
		return false
	}
	if len(p.pauses) == 0 || end < p.firstEnd {
		p.firstEnd = end
	}
	if known == nil {
		p.pauses[u] = &pauseState{until: end, check: checkNotDue}
		return true
	}
	known.until = end
	return true
}

// Allows reports whether an upstream may get a request now.
func (p *Pauses) Allows(now burdockclock.Millis, u burdockid.Upstream) bool {
	known := p.pauses[u]
	return known == nil || now >= known.until || known.check == checkDue
}

// Until returns when an upstream's pause ends; now if it has none.
func (p *Pauses) Until(now burdockclock.Millis, u burdockid.Upstream) burdockclock.Millis {
	if p.Allows(now, u) {
		return now
	}
	return p.pauses[u].until
}

// Sent records that an upstream was sent a request.
func (p *Pauses) Sent(now burdockclock.Millis, u burdockid.Upstream) {
	if known := p.pauses[u]; known != nil && now < known.until {
		known.check = checkUsed
	}
}

// GroupOpened allows each upstream one request in its pause: the pause may have been asked for
// only because its lock-step group was closed.
func (p *Pauses) GroupOpened() {
	for _, known := range p.pauses {
		if known.check == checkNotDue {
			known.check = checkDue
		}
	}
}

// Expire drops the pauses that are over and returns their upstreams.
func (p *Pauses) Expire(now burdockclock.Millis) []burdockid.Upstream {
	if len(p.pauses) == 0 || now < p.firstEnd {
		return nil
	}
	var over []burdockid.Upstream
	p.firstEnd = now + MaxPause
	for u, known := range p.pauses {
		if known.until <= now {
			delete(p.pauses, u)
			over = append(over, u)
			continue
		}
		p.firstEnd = min(p.firstEnd, known.until)
	}
	return over
}

// Forget drops the pause of an upstream whose process was replaced by another one.
func (p *Pauses) Forget(u burdockid.Upstream) { delete(p.pauses, u) }

// Len returns the number of upstreams that pause.
func (p *Pauses) Len() int { return len(p.pauses) }
