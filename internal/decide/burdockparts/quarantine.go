package burdockparts

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// firstQuarantine is the time from the latest crash to the first trial, knownQuarantine
	// that for a part that used to be harmless, and quarantineFactor by how much each further
	// one is longer, up to maxQuarantine. If hardly anything was known of the service, the first
	// trial comes after knownQuarantine, and the next one after firstQuarantine.
	firstQuarantine = burdockclock.Minute
	knownQuarantine = 5 * burdockclock.Second
	// severalPartsDelay is how much later the trial of a request with several quarantined parts
	// is due. One with a single one tells more.
	severalPartsDelay = 10 * burdockclock.Second
	quarantineFactor  = 4
	maxQuarantine     = 60 * burdockclock.Minute
	// quarantineMemory is how long a part stays quarantined after a trial is due, unless a
	// request with it comes.
	quarantineMemory = 2 * maxQuarantine
)

// Trial is one request with a quarantined part that one entry lets through, to find out
// whether the part still crashes upstreams.
type Trial struct {
	Key
	// Number counts the trials of this quarantine, at all entries, from 1.
	Number int
	At     burdockclock.Millis
}

// Quarantine tells why a request is kept from upstreams: a part of its prompt.
type Quarantine struct {
	Key
	// Parts is the number of quarantined parts of the prompt.
	Parts int
	// Remaining is how long no trial is due.
	Remaining burdockclock.Millis
	// Trial is the next trial if Remaining is 0.
	Trial Trial
}

// until returns when the next trial of a quarantined part is due.
func (s *suspect) until() burdockclock.Millis {
	wait, longer := firstQuarantine, s.trials
	switch {
	case s.familiarity == harmless:
		wait = knownQuarantine
	case s.familiarity == uncertain && s.trials == 0:
		wait = knownQuarantine
	case s.familiarity == uncertain:
		longer--
	}
	for range longer {
		wait = min(wait*quarantineFactor, maxQuarantine)
	}
	return max(s.latestCrashAt(), s.quarantinedAt, s.trialAt) + wait
}

// Quarantined returns why a request with the given parts is kept from upstreams; false if it
// isn't. Of several quarantined parts it is the one whose trial is due last.
func (t *Tracker) Quarantined(now burdockclock.Millis, name burdockid.Service, parts []burdockid.PromptPart) (Quarantine, bool) {
	s := t.services[name]
	if s == nil {
		return Quarantine{}, false
	}
	var latest *suspect
	quarantined := 0
	for _, part := range parts {
		found := s.suspects[part]
		if found == nil || found.quarantinedAt == 0 {
			continue
		}
		quarantined++
		if latest == nil || found.until() > latest.until() {
			latest = found
		}
	}
	if latest == nil {
		return Quarantine{}, false
	}
	until := latest.until()
	if quarantined > 1 {
		until += severalPartsDelay
	}
	key := Key{name, latest.part}
	return Quarantine{
		Key: key, Parts: quarantined, Remaining: max(until-now, 0),
		Trial: Trial{Key: key, Number: latest.trials + 1, At: now},
	}, true
}

// AddTrial records a trial of this or another entry.
func (t *Tracker) AddTrial(now burdockclock.Millis, trial Trial) {
	s := t.services[trial.Service]
	if s == nil {
		return
	}
	found := s.suspects[trial.Part]
	if found == nil || found.quarantinedAt == 0 || trial.Number <= found.trials {
		return
	}
	found.trials, found.trialAt = trial.Number, min(trial.At, now)
}

// Suspect is a part that was pending at crashes, for operators.
type Suspect struct {
	Service burdockid.Service    `json:"service"`
	Part    burdockid.PromptPart `json:"part"`
	// Crashed are the upstreams that crashed since the part was last known to be harmless, in
	// the order of their crashes, and LatestCrashAt the time of the latest one.
	Crashed       []burdockid.Upstream `json:"crashed"`
	LatestCrashAt burdockclock.Millis  `json:"latestCrashAtMillis"`
	// SoundAt is when an answer last began on the part that crashed nothing; 0 if never.
	SoundAt     burdockclock.Millis `json:"soundAtMillis"`
	Quarantined bool                `json:"quarantined"`
	// Remaining is how long no trial is due, and Trials the number of those so far.
	Remaining burdockclock.Millis `json:"remainingMillis"`
	Trials    int                 `json:"trials"`
	// Starts is the number of answers that have begun on the part lately, ServiceStarts that of
	// all in the service.
	Starts        int `json:"starts"`
	ServiceStarts int `json:"serviceStarts"`
}

// Suspects returns the parts with crashes: quarantined ones first, then those with the most.
func (t *Tracker) Suspects(now burdockclock.Millis) []Suspect {
	t.expire(now)
	all := []Suspect{}
	for name, s := range t.services {
		for part, found := range s.suspects {
			if len(found.crashes) > 0 {
				all = append(all, t.describe(now, Key{name, part}, found))
			}
		}
	}
	slices.SortFunc(all, func(a, b Suspect) int {
		return cmp.Or(quarantinedFirst(a, b), cmp.Compare(len(b.Crashed), len(a.Crashed)), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part))
	})
	return all
}

func quarantinedFirst(a, b Suspect) int {
	switch {
	case a.Quarantined == b.Quarantined:
		return 0
	case a.Quarantined:
		return -1
	}
	return 1
}

// Describe returns what is known of one part.
func (t *Tracker) Describe(now burdockclock.Millis, key Key) Suspect {
	if s := t.services[key.Service]; s != nil {
		if found := s.suspects[key.Part]; found != nil {
			return t.describe(now, key, found)
		}
	}
	return Suspect{Service: key.Service, Part: key.Part}
}

func (t *Tracker) describe(now burdockclock.Millis, key Key, found *suspect) Suspect {
	described := found.describe(now, key)
	described.Starts, described.ServiceStarts = t.startsOn(key), t.serviceStarts(key.Service)
	return described
}

func (s *suspect) describe(now burdockclock.Millis, key Key) Suspect {
	described := Suspect{Service: key.Service, Part: key.Part, SoundAt: s.soundAt, Quarantined: s.quarantinedAt != 0, Trials: s.trials}
	crashes := slices.SortedFunc(slices.Values(s.crashes), func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	for _, c := range crashes {
		described.Crashed = append(described.Crashed, c.process.Upstream)
		described.LatestCrashAt = c.at
	}
	if described.Quarantined {
		described.Remaining = max(s.until()-now, 0)
	}
	return described
}

// Explains reports whether a quarantined part was pending at a process when it crashed.
func (t *Tracker) Explains(process burdockid.Process) bool {
	for _, s := range t.services {
		c := s.crashes[process]
		if c == nil {
			continue
		}
		for part := range c.parts {
			if found := s.suspects[part]; found != nil && found.quarantinedAt != 0 {
				return true
			}
		}
	}
	return false
}

// QuarantinedParts returns the number of parts that are quarantined.
func (t *Tracker) QuarantinedParts() int {
	n := 0
	for _, s := range t.services {
		for _, found := range s.suspects {
			if found.quarantinedAt != 0 {
				n++
			}
		}
	}
	return n
}

// HasSuspects reports whether any part is suspected.
func (t *Tracker) HasSuspects() bool {
	for _, s := range t.services {
		if len(s.suspects) > 0 {
			return true
		}
	}
	return false
}
