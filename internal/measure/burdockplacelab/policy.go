package burdockplacelab

import "math/rand/v2"

// Policy determines how the replica of a request is chosen: one of the types below.
type Policy interface{ policy() }

// EntryPlacer runs the placer of package burdockplace at each entry. Each one knows
// only what the answers and refusals to its own requests report.
type EntryPlacer struct{}

// Random chooses a replica at random.
type Random struct{}

// RoundRobin chooses each replica in turn, from a random start at each entry.
type RoundRobin struct{}

// TwoChoices chooses the less loaded of two random replicas, by a snapshot of all
// loads that is renewed once per Options.Lag and shared by all entries.
type TwoChoices struct{}

// LeastLoaded chooses the least loaded replica by the same snapshot.
type LeastLoaded struct{}

// Affinity chooses the replica that the prefix hashes to, whatever its load.
type Affinity struct{}

// PerfectKnowledge chooses the least loaded replica by the true loads, including
// offers in transit, and among equals the one that has most of the prompt cached.
type PerfectKnowledge struct{}

func (EntryPlacer) policy()      {}
func (Random) policy()           {}
func (RoundRobin) policy()       {}
func (TwoChoices) policy()       {}
func (LeastLoaded) policy()      {}
func (Affinity) policy()         {}
func (PerfectKnowledge) policy() {}

// Policies returns all policies in the order in which they are printed.
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

// noReplica is the result of a choice when no replica is available.
const noReplica = -1

// choose returns the replica to offer the request to, or noReplica.
func (s *simulation) choose(req *request) int {
	switch s.policy.(type) {
	case EntryPlacer:
		return s.entries[req.entry].choose(s, req)
	case Random:
		return s.rnd.IntN(len(s.replicas))
	case RoundRobin:
		s.roundRobin[req.entry]++
		return s.roundRobin[req.entry] % len(s.replicas)
	case TwoChoices:
		a, b := s.rnd.IntN(len(s.replicas)), s.rnd.IntN(len(s.replicas))
		if s.snapshotRequests[b] < s.snapshotRequests[a] {
			return b
		}
		return a
	case LeastLoaded:
		return s.leastLoaded[s.rnd.IntN(len(s.leastLoaded))]
	case Affinity:
		return int(req.prefix[0] % uint64(len(s.replicas)))
	case PerfectKnowledge:
		return s.chooseByTrueLoad(req)
	default:
		panic("burdockplacelab: unknown policy")
	}
}

func (s *simulation) chooseByTrueLoad(req *request) int {
	lowest := s.trueLoads.lowest()
	return lowest[randomArgMin(s.rnd, len(lowest), func(i int) int {
		return -int(s.replicas[lowest[i]].cache.cachedTokens(req))
	})]
}

// randomArgMin returns the index from 0 to n-1 with the lowest value, starting from a
// random index so that ties do not favour low indexes.
func randomArgMin(rnd *rand.Rand, n int, value func(int) int) int {
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
