package burdockparts

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// SettleTime is how long after an answer has begun its upstream may still crash because
	// of it.
	SettleTime burdockclock.Millis = 500
	// maxCounted bounds the parts of each of two generations whose answers are counted, and
	// generationTime is the span of one. Most parts occur once.
	maxCounted     = 16384
	generationTime = burdockclock.Minute
	// maxUnsettled bounds the answers that have begun less than SettleTime ago.
	maxUnsettled = 4096
)

// starts records the answers that have begun at this entry.
type starts struct {
	unsettled []start // in the order of their times
	// latest and previous count settled answers by part, in two generations, and under the
	// empty part those of the whole service.
	latest, previous map[Key]int
	rotateAt         burdockclock.Millis
	// dropped is the number of answers that were not counted for want of room.
	dropped int
}

// start is an answer that has begun.
type start struct {
	at      burdockclock.Millis
	process burdockid.Process
	service burdockid.Service
	parts   []burdockid.PromptPart
}

func newStarts() starts { return starts{latest: map[Key]int{}, previous: map[Key]int{}} }

// Starts returns parts with the number of answers that have begun on them lately, and the
// number of those in the whole service, for a report of a crash.
func (t *Tracker) Starts(name burdockid.Service, parts []burdockid.PromptPart) (counted []PartStarts, all int) {
	for _, part := range parts {
		counted = append(counted, PartStarts{part, t.starts.count(Key{name, part})})
	}
	return counted, t.starts.countOf(name)
}

// AddStart records that an answer has begun at a process. If that hasn't crashed SettleTime
// later, none of the request's parts is a cause.
func (t *Tracker) AddStart(now burdockclock.Millis, name burdockid.Service, process burdockid.Process, parts []burdockid.PromptPart) {
	switch {
	case len(parts) == 0:
	case len(t.starts.unsettled) >= maxUnsettled:
		t.starts.dropped++
	default:
		t.starts.unsettled = append(t.starts.unsettled, start{now, process, name, parts})
	}
}

// Sound is a part on which an answer has begun that crashed nothing.
type Sound struct {
	Key
	At burdockclock.Millis
	// Freed reports that the part was quarantined and no longer is.
	Freed bool
	// Crashes is the number of crashes that no longer count against the part.
	Crashes int
}

// Settle evaluates the answers that have begun SettleTime ago and earlier. It returns the
// parts that no longer are suspected, or less than before, each once: other entries need to be
// told.
func (t *Tracker) Settle(now burdockclock.Millis) []Sound {
	t.starts.rotate(now)
	cleared := map[Key]int{}
	var all []Sound
	for len(t.starts.unsettled) > 0 && now-t.starts.unsettled[0].at >= SettleTime {
		settled := t.starts.unsettled[0]
		t.starts.unsettled = t.starts.unsettled[1:]
		t.starts.add(Key{Service: settled.service})
		for _, part := range settled.parts {
			key := Key{settled.service, part}
			t.starts.add(key)
			sound, ok := t.settle(key, settled.at)
			if !ok {
				continue
			}
			if i, known := cleared[key]; known {
				all[i].At, all[i].Freed = sound.At, all[i].Freed || sound.Freed
				all[i].Crashes += sound.Crashes
				continue
			}
			cleared[key] = len(all)
			all = append(all, sound)
		}
	}
	return all
}

// HasUnsettled reports whether answers have begun that Settle has not evaluated yet.
func (t *Tracker) HasUnsettled() bool { return len(t.starts.unsettled) > 0 }

// settle clears a part of its crashes before a settled start; false if it had none.
func (t *Tracker) settle(key Key, at burdockclock.Millis) (Sound, bool) {
	s := t.services[key.Service]
	if s == nil {
		return Sound{}, false
	}
	found := s.suspects[key.Part]
	if found == nil {
		return Sound{}, false
	}
	before := len(found.crashes)
	freed := t.clear(key, found, at)
	cleared := before - len(found.crashes)
	return Sound{Key: key, At: at, Freed: freed, Crashes: cleared}, cleared > 0
}

// drop removes the unsettled answers of a process that has crashed.
func (s *starts) drop(process burdockid.Process) {
	kept := s.unsettled[:0]
	for _, st := range s.unsettled {
		if st.process != process {
			kept = append(kept, st)
		}
	}
	s.unsettled = kept
}

// latestAt returns when the latest unsettled answer began on each part of a service.
func (s *starts) latestAt(name burdockid.Service) map[burdockid.PromptPart]burdockclock.Millis {
	at := map[burdockid.PromptPart]burdockclock.Millis{}
	for _, st := range s.unsettled {
		if st.service != name {
			continue
		}
		for _, part := range st.parts {
			at[part] = st.at
		}
	}
	return at
}

func (s *starts) add(key Key) {
	switch _, known := s.latest[key]; {
	case known:
		s.latest[key]++
	case len(s.latest) < maxCounted:
		key.Part = key.Part.Clone() // the caller's may hold on to the memory of a whole header
		s.latest[key] = 1
	default:
		s.dropped++
	}
}

// countOf returns the number of settled answers of a service, of the last one or two
// generations.
func (s *starts) countOf(name burdockid.Service) int {
	all := Key{Service: name}
	return s.count(all)
}

// count returns the number of settled answers on a part, of the last one or two generations.
func (s *starts) count(key Key) int { return s.latest[key] + s.previous[key] }

func (s *starts) rotate(now burdockclock.Millis) {
	if now < s.rotateAt {
		return
	}
	s.rotateAt = now + generationTime
	s.previous, s.latest = s.latest, map[Key]int{}
}
