package burdockparts

import (
	"cmp"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// maxCrashes bounds the crashes of a service that are remembered, maxSuspects the parts
	// that were pending at them, and maxEvidence the parts of all crashes together.
	maxCrashes  = 512
	maxSuspects = 16384
	maxEvidence = 65536
	// suspectsDropped is how many suspects make room at a time.
	suspectsDropped = maxSuspects / 8
)

// Rarest returns at most n of the parts: those on which the fewest answers have begun. Of equally
// rare ones, the first are kept. It reorders counted.
//
// A part that crashes every upstream has hardly any answers, whatever its place in a prompt.
func Rarest(counted []PartStarts, n int) []PartStarts {
	if len(counted) <= n {
		return counted
	}
	slices.SortStableFunc(counted, func(a, b PartStarts) int { return cmp.Compare(a.Starts, b.Starts) })
	return counted[:n]
}

// Weightiest returns at most n of the parts that have turned out to be harmless: those that were
// quarantined, and those with the most crashes. It reorders all.
func Weightiest(all []Sound, n int) []Sound {
	if len(all) <= n {
		return all
	}
	slices.SortStableFunc(all, func(a, b Sound) int { return cmp.Compare(b.weight(), a.weight()) })
	return all[:n]
}

// weight is the number of crashes that a part had, more than any such number if it was quarantined.
func (s Sound) weight() int {
	if s.Freed {
		return maxCrashes + s.Crashes
	}
	return s.Crashes
}

// Dropped returns how many pieces of evidence, crashes with a part or suspects, were dropped
// because there was no room for them.
func (t *Tracker) Dropped() int {
	n := t.starts.dropped
	for _, s := range t.services {
		n += s.dropped
	}
	return n + t.droppedBefore
}

// makeRoomForCrash drops the oldest crashes until there is room for another one.
func (s *service) makeRoomForCrash() {
	for len(s.crashes) > 0 && (len(s.crashes) >= maxCrashes || s.evidence >= maxEvidence) {
		s.dropCrash(s.oldestCrash())
	}
}

func (s *service) oldestCrash() *crash {
	var oldest *crash
	for _, c := range s.crashes {
		if oldest == nil || c.at < oldest.at {
			oldest = c
		}
	}
	return oldest
}

// dropCrash forgets a crash, and the suspects for which it was all there is.
func (s *service) dropCrash(c *crash) {
	s.forgetCrash(c)
	for part := range c.parts {
		found := s.suspects[part]
		if found == nil {
			continue
		}
		before := len(found.crashes)
		found.crashes = slices.DeleteFunc(found.crashes, func(other *crash) bool { return other == c })
		s.dropped += before - len(found.crashes)
		if len(found.crashes) == 0 && found.soundAt == 0 && found.quarantinedAt == 0 {
			delete(s.suspects, part)
		}
	}
}

// forgetCrash removes a crash that no suspect needs.
func (s *service) forgetCrash(c *crash) {
	delete(s.crashes, c.process)
	s.evidence -= len(c.parts)
}

// makeRoomForSuspect drops the weakest suspects if there are too many: those with the fewest
// crashes, and of these the ones that crashed nothing for longest.
func (s *service) makeRoomForSuspect() {
	if len(s.suspects) < maxSuspects {
		return
	}
	weakest := make([]weakSuspect, 0, len(s.suspects))
	for part, found := range s.suspects {
		if found.quarantinedAt == 0 {
			weakest = append(weakest, weakSuspect{part, len(found.crashes), max(found.latestCrashAt(), found.soundAt)})
		}
	}
	slices.SortFunc(weakest, func(a, b weakSuspect) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(a.latestAt, b.latestAt), cmp.Compare(a.part, b.part))
	})
	for _, w := range weakest[:min(suspectsDropped, len(weakest))] {
		s.dropped += max(w.crashes, 1)
		delete(s.suspects, w.part)
	}
}

// weakSuspect is a suspect that may make room for another one.
type weakSuspect struct {
	part     burdockid.PromptPart
	crashes  int
	latestAt burdockclock.Millis
}
