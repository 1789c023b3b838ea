package burdockplacelab

// Scenario is the fault that occurs during a run.
type Scenario string

// Scenarios.
const (
	// Steady has no fault.
	Steady Scenario = "steady"
	// SlowReplicas makes one replica in a hundred, and at least one, take four times
	// as long for each request, from the start of the run.
	SlowReplicas Scenario = "slow"
	// LostDataCentre takes down the replicas of one data centre for the second
	// quarter of the measured time. They come back together with empty caches.
	LostDataCentre Scenario = "lost"
)

const (
	slowReplicaInterval = 100
	slowFactor          = 4
	// maxQueuePerSlot bounds a replica's queue, as a multiple of its slots. Offers
	// beyond it are refused as not run.
	maxQueuePerSlot = 1
	// simplePolicyOffers is how many times the policies other than EntryPlacer offer
	// a request.
	simplePolicyOffers = 4
	// downPenalty is added to the load of a replica that is down, so that
	// PerfectKnowledge does not choose it.
	downPenalty = 1000
)

// isSlow reports whether the replica is one of the slow ones.
func (s *simulation) isSlow(i int) bool {
	return s.o.Scenario == SlowReplicas && i%slowReplicaInterval == 0
}

// inLostDataCentre reports whether the replica is in the data centre that fails.
func (s *simulation) inLostDataCentre(i int) bool {
	return s.o.Scenario == LostDataCentre && s.replicaDataCentre(i) == s.dataCentre(0)
}

func (s *simulation) scheduleFaults() {
	if s.o.Scenario != LostDataCentre {
		return
	}
	s.events.add(s.o.WarmUp+s.o.Measured/4, outageStart{})
	s.events.add(s.o.WarmUp+s.o.Measured/2, outageEnd{})
}

func (s *simulation) handleOutageStart() {
	for i := range s.replicas {
		if s.inLostDataCentre(i) {
			s.failReplica(i)
		}
	}
}

// failReplica takes down the replica, breaks the connections of its requests and
// drops its cache.
func (s *simulation) failReplica(i int) {
	r := &s.replicas[i]
	for _, req := range append(r.active, r.queue...) {
		s.trueLoads.change(i, -1)
		s.events.add(s.now+s.networkDelay(req.entry, i), connectionLost{req, i})
	}
	s.trueLoads.change(i, downPenalty)
	*r = replica{slots: r.slots, cache: newCache(s.o.CacheTokens), down: true}
}

func (s *simulation) handleOutageEnd() {
	for i := range s.replicas {
		if s.replicas[i].down {
			s.replicas[i].down = false
			s.trueLoads.change(i, -downPenalty)
		}
	}
}
