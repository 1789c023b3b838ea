package burdockplacelab

import "math/rand/v2"

// Policy chooses the replica of a request: one of the types below.
type Policy interface{ policy() }

// EntryPlacer is the project's own placer, one at each entry, which knows only what
// the answers and refusals to its own requests tell.
type EntryPlacer struct{}

// Random takes any replica.
type Random struct{}

// RoundRobin takes each replica in turn, at each entry from another start.
type RoundRobin struct{}

// TwoChoices takes the less loaded of two random replicas, by loads that are
// renewed for all entries once in each lag.
type TwoChoices struct{}

// LeastLoaded takes the least loaded of all by the same loads.
type LeastLoaded struct{}

// Affinity takes the replica that the prefix hashes to, whatever its load.
type Affinity struct{}

// PerfectKnowledge takes the least loaded of all by their true loads, counting what is
// on its way; among those, one that keeps the prefix.
type PerfectKnowledge struct{}

func (EntryPlacer) policy()      {}
func (Random) policy()           {}
func (RoundRobin) policy()       {}
func (TwoChoices) policy()       {}
func (LeastLoaded) policy()      {}
func (Affinity) policy()         {}
func (PerfectKnowledge) policy() {}

// Policies returns all of them in the order in which they are printed.
func Policies() []Policy {
	return []Policy{
		EntryPlacer{}, Random{}, RoundRobin{}, TwoChoices{}, LeastLoaded{}, Affinity{}, PerfectKnowledge{},
	}
}

func policyName(p Policy) string {
	switch p.(type) {
	case EntryPlacer:
		return "ours"
	case Random:
		return "random"
	case RoundRobin:
		return "round robin"
	case TwoChoices:
		return "two choices"
	case LeastLoaded:
		return "least stale"
	case Affinity:
		return "affinity"
	case PerfectKnowledge:
		return "perfect"
	default:
		panic("burdockplacelab: unknown policy")
	}
}

// nowhere is the choice when there is none.
const nowhere = -1

// choose returns the replica that the request is offered to.
func (w *world) choose(req *request) int {
	switch w.policy.(type) {
	case EntryPlacer:
		return w.entries[req.entry].choose(w, req)
	case Random:
		return w.rnd.IntN(len(w.replicas))
	case RoundRobin:
		w.turns[req.entry]++
		return w.turns[req.entry] % len(w.replicas)
	case TwoChoices:
		a, b := w.rnd.IntN(len(w.replicas)), w.rnd.IntN(len(w.replicas))
		if w.stale[b] < w.stale[a] {
			return b
		}
		return a
	case LeastLoaded:
		return w.leastStale[w.rnd.IntN(len(w.leastStale))]
	case Affinity:
		return int(req.prefix[0] % uint64(len(w.replicas)))
	case PerfectKnowledge:
		return w.choosePerfect(req)
	default:
		panic("burdockplacelab: unknown policy")
	}
}

func (w *world) choosePerfect(req *request) int {
	lowest := w.levels.lowest()
	return lowest[least(w.rnd, len(lowest), func(i int) int {
		return -int(w.replicas[lowest[i]].cache.found(req))
	})]
}

// least returns the index from 0 to n-1 of the lowest value, any of them where
// several are equal.
func least(rnd *rand.Rand, n int, value func(int) int) int {
	start := rnd.IntN(n)
	best, lowest := start, value(start)
	for i := 1; i < n; i++ {
		index := (start + i) % n
		if v := value(index); v < lowest {
			best, lowest = index, v
		}
	}
	return best
}
