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
	// candidateWatchDelay is the time after a change before a candidate watches the lease
	// again.
	candidateWatchDelay burdockclock.Millis = 20
	// heldPollInterval is the mean time between two reads of the lease by another agent
	// while it has a holder, and freePollInterval while it has none. The first may be long:
	// those agents are needed only if no candidate is left, and a group without a controller
	// keeps its map.
	heldPollInterval = 20 * burdockclock.Second
	freePollInterval = 1 * burdockclock.Second
	// otherDelay is how long a lease is free before the first of them tries: several reads,
	// so that they know of a candidate that has acquired it.
	otherDelay = 3 * burdockclock.Second
	// otherInterval is the time between the attempts of two other agents.
	otherInterval burdockclock.Millis = 30
)

// candidateIndex returns the index of an agent among the candidates for its group's lease;
// false if it is not one of them.
//
// The candidates are always the same, so that only they have to watch the lease. They are
// spread over the ranks, as neighbouring ranks may be in one data centre.
func candidateIndex(rank burdockid.Rank, ranks int) (int, bool) {
	step := candidateStep(ranks)
	for i := range min(candidateCount, ranks) {
		if i*step%ranks == int(rank) {
			return i, true
		}
	}
	return 0, false
}

// candidateStep returns the distance between the ranks of two candidates. It has no divisor
// in common with the number of ranks. So no two candidates have the same rank, and a fault
// that takes down every other rank leaves some of them.
func candidateStep(ranks int) int {
	if ranks <= candidateCount {
		return 1
	}
	step := ranks/candidateCount + 1
	for greatestCommonDivisor(step, ranks) != 1 {
		step++
	}
	return step
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// attemptPosition returns the position, from 0, at which an agent tries for its group's
// lease after the holder with the fencing number lastFence has lost it; lastFence is 0 if
// there was no holder yet. The number makes another candidate the first one each time, so a
// dead agent does not delay every change of holders.
func attemptPosition(rank burdockid.Rank, ranks int, lastFence burdockid.Fence) int {
	if ranks <= 0 {
		return 0
	}
	if i, ok := candidateIndex(rank, ranks); ok {
		candidates := min(candidateCount, ranks)
		first := int(uint64(lastFence) % uint64(candidates))
		return (i - first + candidates) % candidates
	}
	first := int(uint64(lastFence) % uint64(ranks))
	return candidateCount + (int(rank)-first+ranks)%ranks
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
