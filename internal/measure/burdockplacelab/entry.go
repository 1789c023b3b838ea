package burdockplacelab

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
)

// entry holds the decision components of one entry: placement, ejection and retry
// budget.
type entry struct {
	placer  *burdockplace.Placer
	tracker *burdockeject.Tracker
	budget  *burdockretry.Budget
}

func newEntry(o Options, i int, members []burdockplace.Member) *entry {
	stream := streamEntries + uint64(i)*streamsPerEntry
	e := &entry{
		placer:  burdockplace.New(o.PlacerConfig, randomStream(o, stream)),
		tracker: burdockeject.New(burdockeject.Config{}, randomStream(o, stream+1)),
		budget:  burdockretry.New(burdockretry.Config{}, randomStream(o, stream+2)),
	}
	e.placer.SetMembers(0, members)
	names := make([]burdockid.Upstream, len(members))
	for i, m := range members {
		names[i] = m.Upstream
	}
	e.tracker.SetMembers(0, names)
	return e
}

// choose returns the replica to offer the request to, or noReplica.
func (e *entry) choose(s *simulation, req *request) int {
	if probed, ok := e.tracker.NextProbe(s.now); ok {
		req.maxLoad = 0
		e.placer.Sent(s.now, probed, req.output)
		return s.indexOf[probed]
	}
	choice, ok := e.placer.Choose(s.now, burdockplace.Request{
		Prefix:     req.prefix,
		DataCentre: s.entryDataCentre(req.entry),
		Cost:       req.promptTokens() + req.output,
		Attempt:    req.offers - req.unreached,
		Exclude: func(u burdockid.Upstream) bool {
			for _, i := range req.refused {
				if s.names[i] == u {
					return true
				}
			}
			return false
		},
	})
	if !ok {
		return noReplica
	}
	req.maxLoad = choice.MaxLoad
	e.placer.Sent(s.now, choice.Upstream, req.output)
	return s.indexOf[choice.Upstream]
}

// ejectedReplicas returns Result.EjectedReplicas.
func (s *simulation) ejectedReplicas() float64 {
	sum := 0.0
	for _, e := range s.entries {
		state := e.tracker.State()
		sum += state.RemovedWeightSlow + state.RemovedWeightFailing
	}
	return sum / float64(max(len(s.entries), 1))
}

func (e *entry) observe(now burdockclock.Millis, u burdockid.Upstream, o burdockeject.Observation) {
	if change, ok := e.tracker.Observe(now, u, o); ok {
		e.placer.SetWeight(u, change.Weight)
	}
}

// shouldRetry reports whether to offer the request again after the outcome.
func (e *entry) shouldRetry(now burdockclock.Millis, req *request, outcome burdockretry.Outcome) bool {
	_, retry := e.budget.Decide(now, burdockretry.Attempt{
		Outcome:       outcome,
		Offers:        req.offers,
		OverLoadBound: req.overBound,
	}).(burdockretry.Retry)
	return retry
}
