package burdockplacelab

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
)

const (
	// localDelay and remoteDelay are the one-way delays between an entry and a replica
	// in the same data centre and in another one, in whole milliseconds.
	localDelay  burdockclock.Millis = 1
	remoteDelay burdockclock.Millis = 2
	// sampleInterval is the time between two samples of all loads.
	sampleInterval burdockclock.Millis = 250
)

// simulation is the state of one run.
type simulation struct {
	o                Options
	policy           Policy
	rnd              *rand.Rand
	now              burdockclock.Millis
	events           eventQueue
	workload         *workload
	replicas         []replica
	names            []burdockid.Upstream
	indexOf          map[burdockid.Upstream]int
	entries          []*entry // empty unless the policy is EntryPlacer
	roundRobin       []int    // last position of each entry under RoundRobin
	snapshotRequests []int    // requests of each replica at the last refresh, for TwoChoices
	// leastLoaded holds the replicas with the fewest requests at the last refresh.
	leastLoaded []int
	// trueLoads also counts the offers in transit. Only PerfectKnowledge uses it.
	trueLoads loadBuckets
	metrics   *metrics
}

func newSimulation(o Options, p Policy) *simulation {
	s := &simulation{
		o:                o,
		policy:           p,
		rnd:              randomStream(o, streamPolicy),
		workload:         newWorkload(o),
		replicas:         make([]replica, o.Replicas),
		names:            make([]burdockid.Upstream, o.Replicas),
		indexOf:          make(map[burdockid.Upstream]int, o.Replicas),
		roundRobin:       make([]int, o.Entries),
		snapshotRequests: make([]int, o.Replicas),
		trueLoads:        newLoadBuckets(o.Replicas),
		metrics:          newMetrics(),
	}
	for i := range s.replicas {
		s.replicas[i] = replica{slots: o.Slots, cache: newCache(o.CacheTokens)}
		s.names[i] = burdockid.Upstream(fmt.Sprintf("replica-%d", i))
		s.indexOf[s.names[i]] = i
	}
	for i := range s.roundRobin {
		s.roundRobin[i] = s.rnd.IntN(o.Replicas)
	}
	s.refreshSnapshot()
	if _, ok := p.(EntryPlacer); ok {
		s.addEntries()
	}
	return s
}

func (s *simulation) addEntries() {
	members := make([]burdockplace.Member, len(s.replicas))
	for i := range members {
		members[i] = burdockplace.Member{
			Upstream:   s.names[i],
			DataCentre: s.replicaDataCentre(i),
			Weight:     1,
		}
	}
	for i := range s.o.Entries {
		s.entries = append(s.entries, newEntry(s.o, i, members))
	}
}

func (s *simulation) dataCentre(i int) burdockid.DataCentre {
	return burdockid.DataCentre(rune('a' + i%s.o.DataCentres))
}

func (s *simulation) entryDataCentre(i int) burdockid.DataCentre   { return s.dataCentre(i) }
func (s *simulation) replicaDataCentre(i int) burdockid.DataCentre { return s.dataCentre(i) }

func (s *simulation) remote(entry, replica int) bool {
	return s.entryDataCentre(entry) != s.replicaDataCentre(replica)
}

func (s *simulation) networkDelay(entry, replica int) burdockclock.Millis {
	if s.remote(entry, replica) {
		return remoteDelay
	}
	return localDelay
}

// run processes the events of the warm-up and of the measured time.
func (s *simulation) run() {
	end := s.o.WarmUp + s.o.Measured
	s.scheduleNewConversation()
	for _, req := range s.workload.ongoingTurns() {
		s.events.add(req.arrived, arrival{req: req})
	}
	s.events.add(s.o.WarmUp, sampleTick{})
	s.events.add(0, refreshTick{})
	s.scheduleFaults()
	for {
		next := s.events.next()
		if next.at > end {
			return
		}
		s.now = next.at
		s.handle(next.event)
	}
}

func (s *simulation) scheduleNewConversation() {
	req := s.workload.newConversation()
	s.events.add(req.arrived, arrival{req: req, startsConversation: true})
}

func (s *simulation) handle(e event) {
	switch e := e.(type) {
	case arrival:
		if e.startsConversation {
			s.scheduleNewConversation()
		}
		s.offer(e.req)
	case offer:
		s.handleOffer(e)
	case refusal:
		s.handleRefusal(e)
	case connectionLost:
		s.handleConnectionLost(e)
	case outageStart:
		s.handleOutageStart()
	case outageEnd:
		s.handleOutageEnd()
	case finish:
		s.handleFinish(e)
	case loadReport:
		s.handleLoadReport(e)
	case sampleTick:
		s.metrics.sampleLoads(s.replicas)
		s.events.add(s.now+sampleInterval, e)
	case refreshTick:
		s.refreshSnapshot()
		s.events.add(s.now+max(s.o.Lag, 1), e)
	}
}

func (s *simulation) refreshSnapshot() {
	for i := range s.replicas {
		s.snapshotRequests[i] = s.replicas[i].requests()
	}
	lowest := slices.Min(s.snapshotRequests)
	s.leastLoaded = s.leastLoaded[:0]
	for i, requests := range s.snapshotRequests {
		if requests == lowest {
			s.leastLoaded = append(s.leastLoaded, i)
		}
	}
}

func (s *simulation) offer(req *request) {
	chosen := s.choose(req)
	if chosen == noReplica {
		s.metrics.refusedForGood++
		return
	}
	req.offers++
	s.trueLoads.change(chosen, 1)
	s.events.add(s.now+s.networkDelay(req.entry, chosen), offer{req, chosen})
}

func (s *simulation) handleOffer(e offer) {
	r := &s.replicas[e.replica]
	switch {
	case r.down:
		s.refuse(e, burdockretry.ConnectFailed{})
	case !r.accepts(e.req):
		s.refuse(e, burdockretry.OverLoadBound{})
	case r.queueFull():
		s.refuse(e, burdockretry.Refused{})
	case len(r.active) < r.slots:
		s.start(e.req, e.replica)
	default:
		r.queue = append(r.queue, e.req)
	}
}

func (s *simulation) refuse(e offer, outcome burdockretry.Outcome) {
	s.trueLoads.change(e.replica, -1)
	arrivesAt := s.now + s.networkDelay(e.req.entry, e.replica)
	s.events.add(arrivesAt, refusal{e.req, e.replica, s.replicas[e.replica].report(), outcome})
}

func (s *simulation) handleRefusal(e refusal) {
	e.req.refused = append(e.req.refused, e.replica)
	switch e.outcome.(type) {
	case burdockretry.OverLoadBound:
		e.req.overBound++
	case burdockretry.ConnectFailed:
		e.req.unreached++
	}
	shouldRetry := e.req.offers < simplePolicyOffers
	if len(s.entries) > 0 {
		shouldRetry = s.retriesAfterRefusal(e)
	}
	if shouldRetry {
		s.offer(e.req)
		return
	}
	s.metrics.refusedForGood++
}

func (s *simulation) retriesAfterRefusal(e refusal) bool {
	entry, name := s.entries[e.req.entry], s.names[e.replica]
	entry.placer.Done(s.now, name, 0)
	if _, gone := e.outcome.(burdockretry.ConnectFailed); gone {
		entry.observe(s.now, name, burdockeject.ConnectFailed{})
	} else {
		entry.placer.Report(s.now, name, e.report)
	}
	return entry.shouldRetry(s.now, e.req, e.outcome)
}

// handleConnectionLost ends the request. Its outcome is unknown, so it is not
// retried and the caller gets an error.
func (s *simulation) handleConnectionLost(e connectionLost) {
	s.metrics.interrupted++
	if len(s.entries) == 0 {
		return
	}
	entry, name := s.entries[e.req.entry], s.names[e.replica]
	entry.placer.Done(s.now, name, 0)
	entry.observe(s.now, name, burdockeject.Failed{})
}

func (s *simulation) start(req *request, index int) {
	r := &s.replicas[index]
	r.active = append(r.active, req)
	cachedTokens := r.cache.cachedTokens(req)
	r.cache.insert(req)
	computed := req.promptTokens() - cachedTokens
	duration := burdockclock.Millis(computed/prefillPerMillis + req.output*millisPerToken)
	if s.isSlow(index) {
		duration *= slowFactor
	}
	if s.now >= s.o.WarmUp {
		s.metrics.recordStart(s, req, index, cachedTokens)
	}
	s.events.add(s.now+duration, finish{req, index, duration})
	s.sendLoadReport(req, index, nil)
}

func (s *simulation) handleFinish(e finish) {
	r := &s.replicas[e.replica]
	position := slices.Index(r.active, e.req)
	if position < 0 {
		// The replica's outage ended the request earlier.
		return
	}
	r.active = slices.Delete(r.active, position, position+1)
	s.trueLoads.change(e.replica, -1)
	if len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		s.start(next, e.replica)
	}
	s.sendLoadReport(e.req, e.replica, &burdockeject.Completed{Duration: e.duration, Cost: e.req.output})
	if next := s.workload.nextTurn(e.req, s.now); next != nil {
		s.events.add(next.arrived, arrival{req: next})
	}
}

// sendLoadReport sends the replica's load to the request's entry along with the
// answer. answered is nil when the answer has only begun.
func (s *simulation) sendLoadReport(req *request, index int, answered *burdockeject.Completed) {
	if len(s.entries) == 0 {
		return
	}
	report := loadReport{entry: req.entry, replica: index, report: s.replicas[index].report(), answered: answered}
	s.events.add(s.now+s.networkDelay(req.entry, index)+s.o.Lag, report)
}

func (s *simulation) handleLoadReport(e loadReport) {
	entry, name := s.entries[e.entry], s.names[e.replica]
	if e.answered != nil {
		entry.placer.Done(s.now, name, 0)
		entry.observe(s.now, name, *e.answered)
	} else {
		entry.observe(s.now, name, burdockeject.ResponseStarted{})
	}
	entry.placer.Report(s.now, name, e.report)
}
