package burdockagent

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// fate is what an agent remembers of a request that it no longer holds.
type fate uint8

const (
	fateNone fate = iota
	// fateWithdrawn: asked about before it came. If it comes, it is refused.
	fateWithdrawn
	// fateNotRun: refused or dropped before anything reached the upstream.
	fateNotRun
	// fateMayHaveRun: handed to the upstream; its answer is no longer kept.
	fateMayHaveRun
)

const (
	// rememberFor is how long a fate is kept. An entry that asks about an older
	// request is told that its outcome is unknown.
	rememberFor = 10 * burdockclock.Minute
	// rememberAtMost bounds the memory: at 60 bytes each about 1 MB, an hour
	// of one replica's part of the design's peak rate.
	rememberAtMost = 16384
)

type remembered struct {
	id burdockid.Request
	at burdockclock.Millis
}

// memory holds the fates of requests for a while.
type memory struct {
	fates map[burdockid.Request]fate
	order []remembered // oldest first
	// horizon is the instant before which fates have been forgotten.
	horizon burdockclock.Millis
}

func newMemory() *memory { return &memory{fates: map[burdockid.Request]fate{}} }

// remember keeps the fate of a request from now on.
func (m *memory) remember(now burdockclock.Millis, id burdockid.Request, f fate) {
	if _, known := m.fates[id]; !known {
		m.order = append(m.order, remembered{id: id, at: now})
	}
	m.fates[id] = f
}

// forget drops what is too old or too much.
func (m *memory) forget(now burdockclock.Millis) {
	n := 0
	for n < len(m.order) && (now-m.order[n].at > rememberFor || len(m.order)-n > rememberAtMost) {
		delete(m.fates, m.order[n].id)
		m.horizon = m.order[n].at
		n++
	}
	m.order = m.order[n:]
}

// fate returns what is known of a request.
func (m *memory) fate(id burdockid.Request) fate { return m.fates[id] }

// reaches reports whether the memory holds all fates since an instant.
func (m *memory) reaches(since burdockclock.Millis) bool { return since > m.horizon }
