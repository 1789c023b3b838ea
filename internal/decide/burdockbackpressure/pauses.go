// Package burdockbackpressure keeps what upstreams ask of this entry in their responses: to
// send nothing for a while.
//
// The package is pure: time is passed in. Its types are not safe for concurrent use.
package burdockbackpressure

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Pauses holds the pauses that the upstreams of a service have asked this entry for.
type Pauses struct {
	until map[burdockid.Upstream]burdockclock.Millis
	// firstEnd is not after the earliest end of any pause.
	firstEnd burdockclock.Millis
}

// NewPauses returns a record without pauses.
func NewPauses() *Pauses {
	return &Pauses{until: map[burdockid.Upstream]burdockclock.Millis{}}
}

// Ask records that an upstream asks for a pause from now on, and reports whether that begins
// or extends one. A shorter pause does not take back a longer one.
func (p *Pauses) Ask(now burdockclock.Millis, u burdockid.Upstream, d burdockclock.Millis) bool {
	end := now + d
	if d <= 0 || end <= p.until[u] {
		return false
	}
	if len(p.until) == 0 || end < p.firstEnd {
		p.firstEnd = end
	}
	p.until[u] = end
	return true
}

// Expire drops the pauses that are over and returns their upstreams.
func (p *Pauses) Expire(now burdockclock.Millis) []burdockid.Upstream {
	if len(p.until) == 0 || now < p.firstEnd {
		return nil
	}
	var over []burdockid.Upstream
	p.firstEnd = now + MaxPause
	for u, end := range p.until {
		if end <= now {
			delete(p.until, u)
			over = append(over, u)
			continue
		}
		p.firstEnd = min(p.firstEnd, end)
	}
	return over
}

// Forget drops the pause of an upstream whose process was replaced by another one.
func (p *Pauses) Forget(u burdockid.Upstream) { delete(p.until, u) }

// Len returns the number of upstreams that pause.
func (p *Pauses) Len() int { return len(p.until) }
