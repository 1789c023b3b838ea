// Package burdockparts finds parts of prompts that crash every upstream which begins an
// answer on them, by what the requests had in common that were pending at upstreams when
// those crashed.
//
// The package is pure: time is passed in. A Tracker is not safe for concurrent use.
package burdockparts

import (
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Key names a part of prompts for a service. What crashes one service's upstreams may be
// harmless at another's.
type Key struct {
	Service burdockid.Service
	Part    burdockid.PromptPart
}

// Crash is the crash of a process as one entry saw it.
type Crash struct {
	Process burdockid.Process
	Service burdockid.Service
	At      burdockclock.Millis // wall clock
	// Members is the number of the service's upstreams.
	Members int
	// Parts are those of the requests that were pending: without an event, or with a first
	// one less than SettleTime before.
	Parts []PartStarts
	// Starts is the number of answers that have begun in the service, at this entry lately.
	Starts int
}

// PartStarts is a part with the number of answers that have begun on it, at one entry lately.
type PartStarts struct {
	Part   burdockid.PromptPart `json:"part"`
	Starts int                  `json:"starts"`
}

const (
	// suspicionTTL is how long after its latest crash a part that isn't quarantined is
	// remembered.
	suspicionTTL = 5 * burdockclock.Minute
	// expiryInterval is the time between two removals of what has expired.
	expiryInterval = burdockclock.Second
)

// Tracker tracks the parts that were pending at crashes, of all services.
type Tracker struct {
	services map[burdockid.Service]*service
	starts   starts
	expireAt burdockclock.Millis
	// droppedBefore is what Dropped counts of services that are forgotten.
	droppedBefore int
}

// service is what is known of the upstreams of one service.
type service struct {
	crashes  map[burdockid.Process]*crash
	suspects map[burdockid.PromptPart]*suspect
	// reportedStarts is the most answers that another entry reported for the service.
	reportedStarts int
	// evidence is the number of parts of all crashes, dropped that of those dropped for want of
	// room.
	evidence int
	dropped  int
}

// crash is a crash with what all entries reported of it.
type crash struct {
	process burdockid.Process
	at      burdockclock.Millis
	members int
	parts   map[burdockid.PromptPart]bool
}

// suspect is a part that was pending at crashes.
type suspect struct {
	part burdockid.PromptPart
	// crashes are those since the last time at which the part was known to be harmless.
	crashes []*crash
	soundAt burdockclock.Millis // when an answer began on it that crashed nothing
	// reportedStarts is the most answers on the part that an entry reported.
	reportedStarts int
	// quarantinedAt is 0 if the part isn't quarantined.
	quarantinedAt burdockclock.Millis
	familiarity   familiarity // before
	trials        int         // in this quarantine, at all entries
	trialAt       burdockclock.Millis
}

// New returns a tracker without crashes.
func New() *Tracker {
	return &Tracker{services: map[burdockid.Service]*service{}, starts: newStarts()}
}

func (t *Tracker) service(name burdockid.Service) *service {
	s := t.services[name]
	if s == nil {
		s = &service{crashes: map[burdockid.Process]*crash{}, suspects: map[burdockid.PromptPart]*suspect{}}
		t.services[name] = s
	}
	return s
}

// AddCrash records what an entry reported of a crash; Decide tells what follows from it.
// Several entries may report the same crash, each with the parts of its own requests. A time in
// the future counts as now.
func (t *Tracker) AddCrash(now burdockclock.Millis, reported Crash) {
	t.expire(now)
	reported.At = min(reported.At, now)
	if now-reported.At > quarantineMemory {
		return
	}
	t.starts.drop(reported.Process)
	s := t.service(reported.Service)
	c := s.addCrash(reported)
	s.reportedStarts = max(s.reportedStarts, reported.Starts)
	for _, pending := range reported.Parts {
		s.addSuspect(c, pending)
	}
}

// addCrash returns the crash that is reported, a new one if it isn't known.
func (s *service) addCrash(reported Crash) *crash {
	if c := s.crashes[reported.Process]; c != nil {
		c.at = min(c.at, reported.At)
		c.members = max(c.members, reported.Members)
		return c
	}
	s.makeRoomForCrash()
	c := &crash{process: reported.Process, at: reported.At, members: reported.Members, parts: map[burdockid.PromptPart]bool{}}
	s.crashes[reported.Process] = c
	return c
}

func (s *service) addSuspect(c *crash, pending PartStarts) {
	part, found := s.suspect(pending.Part)
	found.reportedStarts = max(found.reportedStarts, pending.Starts)
	if c.parts[part] {
		return
	}
	c.parts[part] = true
	s.evidence++
	if c.at > found.soundAt {
		found.crashes = append(found.crashes, c)
	}
}

// suspect returns a suspect, a new one if the part isn't known. It returns the part as the
// service keeps it: the caller's may hold on to the memory of a whole header.
func (s *service) suspect(part burdockid.PromptPart) (burdockid.PromptPart, *suspect) {
	if found := s.suspects[part]; found != nil {
		return found.part, found
	}
	s.makeRoomForSuspect()
	found := &suspect{part: part.Clone()}
	s.suspects[found.part] = found
	return found.part, found
}

// AddSound records that an answer began on a part at a time and crashed nothing, as another
// entry reported it. It reports whether the part is no longer quarantined because of it.
func (t *Tracker) AddSound(now burdockclock.Millis, key Key, at burdockclock.Millis) (freed bool) {
	t.expire(now)
	at = min(at, now)
	if now-at > suspicionTTL {
		return false
	}
	_, found := t.service(key.Service).suspect(key.Part)
	return t.clear(key, found, at)
}

// clear removes the crashes of a suspect before a time at which it was harmless, and ends its
// quarantine if those that remain don't justify it.
func (t *Tracker) clear(key Key, found *suspect, soundAt burdockclock.Millis) (freed bool) {
	before := len(found.crashes)
	found.soundAt = max(found.soundAt, soundAt)
	found.crashes = slices.DeleteFunc(found.crashes, func(c *crash) bool { return c.at <= found.soundAt })
	if found.quarantinedAt == 0 || len(found.crashes) == before {
		return false
	}
	s := t.services[key.Service]
	if len(found.crashes) >= minCrashes && evidenceOf(s.windows(), found.crashes, found.latestCrashAt()+DecideAfter).bits >= minBits {
		return false
	}
	found.quarantinedAt, found.trials, found.trialAt = 0, 0, 0
	return true
}

// latestCrashAt returns the time of the latest crash; 0 if there was none.
func (s *suspect) latestCrashAt() burdockclock.Millis {
	var at burdockclock.Millis
	for _, c := range s.crashes {
		at = max(at, c.at)
	}
	return at
}

// expire removes crashes and suspects that no longer count.
func (t *Tracker) expire(now burdockclock.Millis) {
	if now < t.expireAt {
		return
	}
	t.expireAt = now + expiryInterval
	for name, s := range t.services {
		kept := map[*crash]bool{}
		for part, found := range s.suspects {
			if now > found.expiresAt() {
				delete(s.suspects, part)
				continue
			}
			for _, c := range found.crashes {
				kept[c] = true
			}
		}
		for _, c := range s.crashes {
			if !kept[c] && now-c.at > suspicionTTL {
				s.forgetCrash(c)
			}
		}
		if len(s.crashes)+len(s.suspects) == 0 {
			t.droppedBefore += s.dropped
			delete(t.services, name)
		}
	}
}

// expiresAt returns when a suspect is forgotten.
func (s *suspect) expiresAt() burdockclock.Millis {
	if s.quarantinedAt == 0 {
		return max(s.latestCrashAt(), s.soundAt) + suspicionTTL
	}
	return s.until() + quarantineMemory
}
