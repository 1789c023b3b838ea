package burdockhosted

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

const (
	// candidateCount is how many agents of a group try for its lease before all others.
	// There are several, as some may be dead, frozen or cut off at the same time.
	candidateCount = 8
	// candidateInterval is the time between the attempts of two candidates. It is several
	// times as long as a healthy store needs for the calls of one candidate and for
	// notifying the others.
	candidateInterval burdockclock.Millis = 100
	// candidateWatchGap is the time after a change before a candidate watches the leases
	// again.
	candidateWatchGap burdockclock.Millis = 20
	// otherWatchGap is the same for the other agents, which most changes do not concern.
	// otherDelay is how long a lease is free before the first of them tries: longer than
	// otherWatchGap, so that they know of a candidate that has acquired it.
	otherWatchGap = 2 * burdockclock.Second
	otherDelay    = 3 * burdockclock.Second
	// otherInterval is the time between the attempts of two other agents.
	otherInterval burdockclock.Millis = 30
)

// attemptPosition returns the position, from 0, at which an agent tries for its group's
// lease after the holder with the fencing number lastFence has lost it; lastFence is 0 if
// there was no holder yet. The number makes another agent the first one each time, so a
// dead agent does not delay every change of holders. Candidates are spread over the
// ranks, as neighbouring ranks may be in one data centre.
func attemptPosition(rank burdockid.Rank, ranks int, lastFence burdockid.Fence) int {
	if ranks <= 0 {
		return 0
	}
	first := int(uint64(lastFence) % uint64(ranks))
	distance := (int(rank) - first + ranks) % ranks
	spacing := max(ranks/candidateCount, 1)
	if distance%spacing == 0 && distance/spacing < candidateCount {
		return distance / spacing
	}
	return candidateCount + distance
}

// attemptDelay returns how long a lease has to be free before the agent at a position
// tries for it.
//
// When a lease lapses, each of hundreds of agents could acquire it. If all tried at the
// same moment, each would make three calls to the store, and all but one in vain. So a
// few candidates try first, one after the other, and the others follow only if those
// fail.
func attemptDelay(position int) burdockclock.Millis {
	if position < candidateCount {
		return burdockclock.Millis(position) * candidateInterval
	}
	return otherDelay + burdockclock.Millis(position-candidateCount)*otherInterval
}
