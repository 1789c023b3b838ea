package burdockplacelab

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockeject"
	"burdockbend.example/burdockbend/internal/decide/burdockplace"
	"burdockbend.example/burdockbend/internal/decide/burdockretry"
)

// entry holds the project's own decisions at one entry.
type entry struct {
	placer  *burdockplace.Placer
	tracker *burdockeject.Tracker
	budget  *burdockretry.Budget
}

func newEntry(o Options, i int, members []burdockplace.Member) *entry {
	part := partEntries + uint64(i)*partsOfEntry
	e := &entry{
		placer:  burdockplace.New(o.PlacerConfig, source(o, part)),
		tracker: burdockeject.New(burdockeject.Config{}, source(o, part+1)),
		budget:  burdockretry.New(burdockretry.Config{}, source(o, part+2)),
	}
	e.placer.SetMembers(0, members)
	names := make([]burdockid.Upstream, len(members))
	for i, m := range members {
		names[i] = m.Upstream
	}
	e.tracker.SetMembers(0, names)
	return e
}

// choose returns the replica that the request is offered to.
func (e *entry) choose(w *world, req *request) int {
	if probed, ok := e.tracker.NextProbe(w.now); ok {
		req.maxLoad = 0
		e.placer.Sent(w.now, probed, req.output)
		return w.indexOf[probed]
	}
	choice, ok := e.placer.Choose(w.now, burdockplace.Request{
		Prefix:     req.prefix,
		DataCentre: w.entryDataCentre(req.entry),
		Cost:       req.promptTokens() + req.output,
		Attempt:    req.offers - req.unreached,
		Exclude: func(u burdockid.Upstream) bool {
			for _, i := range req.refused {
				if w.names[i] == u {
					return true
				}
			}
			return false
		},
	})
	if !ok {
		return nowhere
	}
	req.maxLoad = choice.MaxLoad
	e.placer.Sent(w.now, choice.Upstream, req.output)
	return w.indexOf[choice.Upstream]
}

// ejected returns the mean over entries of the work that they withhold.
func (w *world) ejected() float64 {
	sum := 0.0
	for _, e := range w.entries {
		state := e.tracker.State()
		sum += state.RemovedWeightSlow + state.RemovedWeightFailing
	}
	return sum / float64(max(len(w.entries), 1))
}

func (e *entry) observe(now burdockclock.Millis, u burdockid.Upstream, o burdockeject.Observation) {
	if change, ok := e.tracker.Observe(now, u, o); ok {
		e.placer.SetWeight(u, change.Weight)
	}
}

// again reports whether the request is offered again after the outcome.
func (e *entry) again(now burdockclock.Millis, req *request, outcome burdockretry.Outcome) bool {
	_, retry := e.budget.Decide(now, burdockretry.Attempt{
		Outcome:       outcome,
		Offers:        req.offers,
		OverLoadBound: req.overBound,
	}).(burdockretry.Retry)
	return retry
}
