package burdockparts

import (
	"cmp"
	"math"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// minCrashes is the least number of crashed processes for which a part is quarantined,
	// minBits the least evidence, in bits: chance explains it once in 2^minBits.
	minCrashes = 3
	minBits    = 10.0
	// minQuietBits is the least evidence beside certainCrashes in a service of which hardly
	// anything is known.
	minQuietBits = 5.0
	// certainCrashes are enough for a part that isn't known if it was pending at most crashes
	// of their windows, mostShare of them: one so common would be known.
	certainCrashes = 5
	mostShare      = 2.0 / 3
	// A part on which minKnownStarts answers have begun lately is known to be harmless. It is
	// quarantined only for crashes in minKnownWindows windows, the first of them minKnownQuiet
	// ago. Until minServiceStarts answers have begun in the service, no part is known to be rare:
	// certainCrashes are needed for each that isn't known to be harmless.
	minKnownStarts   = 2
	minKnownWindows  = 6
	minKnownQuiet    = 10 * burdockclock.Second
	minServiceStarts = 5
	// commonFactor and commonSlack tell when a part is so much more common than another that
	// it merely comes with it.
	commonFactor = 10
	commonSlack  = 10
)

// Decide quarantines the parts whose evidence is convincing, and returns them.
//
// A prompt that all requests of a route begin with is pending at each crash. Usually answers
// begin on it elsewhere all the time. If none does, as in a group that crashes whenever it
// opens, the rarer part that is pending at the same crashes is the cause.
func (t *Tracker) Decide(now burdockclock.Millis) []Key {
	var candidates []Key
	for name, s := range t.services {
		w := &weighing{tracker: t, name: name, now: now, windows: s.windows(), startedAt: t.starts.latestAt(name), causes: map[*crash]cause{}}
		for part, found := range s.suspects {
			key := Key{name, part}
			if found.quarantinedAt == 0 && len(found.crashes) >= minCrashes && w.isConvincing(key, found) {
				candidates = append(candidates, key)
			}
		}
	}
	causes := slices.DeleteFunc(slices.Clone(candidates), func(key Key) bool {
		return slices.ContainsFunc(candidates, func(other Key) bool { return t.comesWith(key, other) })
	})
	for _, key := range causes {
		found := t.services[key.Service].suspects[key.Part]
		found.quarantinedAt, found.familiarity = now, t.familiarityOf(key)
	}
	slices.SortFunc(causes, func(a, b Key) int { return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part)) })
	return causes
}

// comesWith reports whether other explains the crashes of key: it was pending at all of them,
// and is much rarer or, in a quiet service, the only one of the two without answers.
func (t *Tracker) comesWith(key, other Key) bool {
	if key.Service != other.Service || key == other {
		return false
	}
	starts, others := t.startsOn(key), t.startsOn(other)
	onlyAnswered := t.isQuiet(key.Service) && starts > 0 && others == 0
	if !onlyAnswered && !isMuchRarer(others, starts) {
		return false
	}
	for _, c := range t.services[key.Service].suspects[key.Part].crashes {
		if !c.parts[other.Part] {
			return false
		}
	}
	return true
}

// isMuchRarer reports whether the number of answers on a part is far less than that on another
// one.
func isMuchRarer(starts, other int) bool { return commonFactor*starts+commonSlack <= other }

// startsOn returns how many answers have begun on a part lately, as far as this entry knows.
func (t *Tracker) startsOn(key Key) int {
	n := t.starts.count(key)
	if s := t.services[key.Service]; s != nil && s.suspects[key.Part] != nil {
		n = max(n, s.suspects[key.Part].reportedStarts)
	}
	return n
}

// familiarity tells what answers that have begun lately say about a part.
type familiarity int

const (
	rare      familiarity = iota // hardly any, though there are answers on other parts
	harmless                     // some
	uncertain                    // hardly any, as in the whole service
)

// familiarityOf returns what is known of a part without its crashes.
func (t *Tracker) familiarityOf(key Key) familiarity {
	switch {
	case t.startsOn(key) >= minKnownStarts:
		return harmless
	case t.isQuiet(key.Service):
		return uncertain
	}
	return rare
}

// isQuiet reports whether hardly any answers have begun in a service, at night or because the
// entries have just been started.
func (t *Tracker) isQuiet(name burdockid.Service) bool {
	return t.serviceStarts(name) < minServiceStarts
}

// serviceStarts returns how many answers have begun in a service lately, as far as this entry
// knows.
func (t *Tracker) serviceStarts(name burdockid.Service) int {
	return max(t.starts.countOf(name), t.services[name].reportedStarts)
}

// weighing weighs the evidence on the parts of one service.
type weighing struct {
	tracker *Tracker
	name    burdockid.Service
	now     burdockclock.Millis
	windows [][]*crash
	// startedAt is when the latest unsettled answer began on each part.
	startedAt map[burdockid.PromptPart]burdockclock.Millis
	causes    map[*crash]cause // found so far
}

// cause is what may explain a crash for other parts that were pending.
type cause struct {
	// quarantined means that a part that was pending is quarantined.
	quarantined bool
	// rarestStarts is the number of answers on the rarest part that was pending at other crashes
	// too; noPart if there is none.
	rarestStarts int
}

const noPart = math.MaxInt

// isConvincing reports whether a part's crashes are too many, and too unlikely by chance, for a
// harmless one. Those that another part explains, and those before an answer on it began, don't
// count.
func (w *weighing) isConvincing(key Key, found *suspect) bool {
	t := w.tracker
	familiar := t.familiarityOf(key)
	known := familiar == harmless
	startedAt := w.startedAt[key.Part]
	counted := slices.DeleteFunc(slices.Clone(found.crashes), func(c *crash) bool {
		return c.at <= startedAt || known && w.now-c.at < DecideAfter || w.explained(c, key, known)
	})
	if len(counted) < minCrashes {
		return false
	}
	sum := evidenceOf(w.windows, counted, w.now)
	switch familiar {
	case rare:
		return sum.bits >= minBits || sum.most >= certainCrashes
	case uncertain:
		return sum.bits >= minQuietBits && sum.most >= certainCrashes
	}
	return sum.bits >= minBits && sum.windows >= minKnownWindows && w.now-sum.firstAt >= minKnownQuiet
}

// explained reports whether another part that was pending at a crash is quarantined or, if the
// part is known to be harmless, much rarer and pending at other crashes too.
func (w *weighing) explained(c *crash, key Key, known bool) bool {
	found := w.cause(c)
	if found.quarantined {
		return true
	}
	return known && found.rarestStarts != noPart && isMuchRarer(found.rarestStarts, w.tracker.startsOn(key))
}

func (w *weighing) cause(c *crash) cause {
	if found, ok := w.causes[c]; ok {
		return found
	}
	found := cause{rarestStarts: noPart}
	for part := range c.parts {
		other := w.tracker.services[w.name].suspects[part]
		if other == nil {
			continue
		}
		found.quarantined = found.quarantined || other.quarantinedAt != 0
		if len(other.crashes) > 1 {
			found.rarestStarts = min(found.rarestStarts, w.tracker.startsOn(Key{w.name, part}))
		}
	}
	w.causes[c] = found
	return found
}
