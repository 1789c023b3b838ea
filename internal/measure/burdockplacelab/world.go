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
	// nearMillis and farMillis are the way from an entry to a replica in the
	// same data centre and in another, in whole milliseconds.
	nearMillis burdockclock.Millis = 1
	farMillis  burdockclock.Millis = 2
	// sampleMillis is the time between two looks at all loads.
	sampleMillis burdockclock.Millis = 250
)

// world is the state of one run.
type world struct {
	o        Options
	policy   Policy
	rnd      *rand.Rand
	now      burdockclock.Millis
	agenda   agenda
	workload *workload
	replicas []replica
	names    []burdockid.Upstream
	indexOf  map[burdockid.Upstream]int
	entries  []*entry // of the project's own policy
	turns    []int    // of round robin, by entry
	stale    []int    // requests held, as of the last refreshing
	// leastStale holds the replicas that held the fewest then.
	leastStale []int
	// levels counts also the offers on their way. Only the policy with perfect
	// knowledge sees it.
	levels levels
	tally  *tally
}

func newWorld(o Options, p Policy) *world {
	w := &world{
		o:        o,
		policy:   p,
		rnd:      source(o, partPolicy),
		workload: newWorkload(o),
		replicas: make([]replica, o.Replicas),
		names:    make([]burdockid.Upstream, o.Replicas),
		indexOf:  make(map[burdockid.Upstream]int, o.Replicas),
		turns:    make([]int, o.Entries),
		stale:    make([]int, o.Replicas),
		levels:   newLevels(o.Replicas),
		tally:    newTally(),
	}
	for i := range w.replicas {
		w.replicas[i] = replica{slots: o.Slots, cache: newCache(o.CacheTokens)}
		w.names[i] = burdockid.Upstream(fmt.Sprintf("replica-%d", i))
		w.indexOf[w.names[i]] = i
	}
	for i := range w.turns {
		w.turns[i] = w.rnd.IntN(o.Replicas)
	}
	w.refresh()
	if _, ok := p.(EntryPlacer); ok {
		w.addEntries()
	}
	return w
}

func (w *world) addEntries() {
	members := make([]burdockplace.Member, len(w.replicas))
	for i := range members {
		members[i] = burdockplace.Member{
			Upstream:   w.names[i],
			DataCentre: w.replicaDataCentre(i),
			Weight:     1,
		}
	}
	for i := range w.o.Entries {
		w.entries = append(w.entries, newEntry(w.o, i, members))
	}
}

func (w *world) dataCentre(i int) burdockid.DataCentre {
	return burdockid.DataCentre(rune('a' + i%w.o.DataCentres))
}

func (w *world) entryDataCentre(i int) burdockid.DataCentre   { return w.dataCentre(i) }
func (w *world) replicaDataCentre(i int) burdockid.DataCentre { return w.dataCentre(i) }

func (w *world) remote(entry, replica int) bool {
	return w.entryDataCentre(entry) != w.replicaDataCentre(replica)
}

func (w *world) way(entry, replica int) burdockclock.Millis {
	if w.remote(entry, replica) {
		return farMillis
	}
	return nearMillis
}

// run works through the events of the whole span.
func (w *world) run() {
	end := w.o.WarmUp + w.o.Measured
	w.addNew()
	for _, req := range w.workload.underWay() {
		w.agenda.add(req.arrived, arrival{req: req})
	}
	w.agenda.add(w.o.WarmUp, sampling{})
	w.agenda.add(0, refreshing{})
	w.scheduleFaults()
	for {
		next := w.agenda.next()
		if next.at > end {
			return
		}
		w.now = next.at
		w.handle(next.event)
	}
}

func (w *world) addNew() {
	req := w.workload.next()
	w.agenda.add(req.arrived, arrival{req: req, first: true})
}

func (w *world) handle(e event) {
	switch e := e.(type) {
	case arrival:
		if e.first {
			w.addNew()
		}
		w.offer(e.req)
	case offer:
		w.handleOffer(e)
	case refusal:
		w.handleRefusal(e)
	case broken:
		w.handleBroken(e)
	case losing:
		w.handleLosing()
	case returning:
		w.handleReturning()
	case finish:
		w.handleFinish(e)
	case hearing:
		w.handleHearing(e)
	case sampling:
		w.tally.sample(w.replicas)
		w.agenda.add(w.now+sampleMillis, e)
	case refreshing:
		w.refresh()
		w.agenda.add(w.now+max(w.o.Lag, 1), e)
	}
}

func (w *world) refresh() {
	for i := range w.replicas {
		w.stale[i] = w.replicas[i].held()
	}
	lowest := slices.Min(w.stale)
	w.leastStale = w.leastStale[:0]
	for i, held := range w.stale {
		if held == lowest {
			w.leastStale = append(w.leastStale, i)
		}
	}
}

func (w *world) offer(req *request) {
	chosen := w.choose(req)
	if chosen == nowhere {
		w.tally.givenUp++
		return
	}
	req.offers++
	w.levels.change(chosen, 1)
	w.agenda.add(w.now+w.way(req.entry, chosen), offer{req, chosen})
}

func (w *world) handleOffer(e offer) {
	r := &w.replicas[e.replica]
	switch {
	case r.down:
		w.refuse(e, burdockretry.ConnectFailed{})
	case !r.takes(e.req):
		w.refuse(e, burdockretry.OverLoadBound{})
	case r.full():
		w.refuse(e, burdockretry.Refused{})
	case len(r.active) < r.slots:
		w.start(e.req, e.replica)
	default:
		r.queue = append(r.queue, e.req)
	}
}

func (w *world) refuse(e offer, outcome burdockretry.Outcome) {
	w.levels.change(e.replica, -1)
	back := w.now + w.way(e.req.entry, e.replica)
	w.agenda.add(back, refusal{e.req, e.replica, w.replicas[e.replica].report(), outcome})
}

func (w *world) handleRefusal(e refusal) {
	e.req.refused = append(e.req.refused, e.replica)
	switch e.outcome.(type) {
	case burdockretry.OverLoadBound:
		e.req.overBound++
	case burdockretry.ConnectFailed:
		e.req.unreached++
	}
	again := e.req.offers < naiveOffers
	if len(w.entries) > 0 {
		again = w.refusedOurs(e)
	}
	if again {
		w.offer(e.req)
		return
	}
	w.tally.givenUp++
}

func (w *world) refusedOurs(e refusal) bool {
	entry, name := w.entries[e.req.entry], w.names[e.replica]
	entry.placer.Done(w.now, name, 0)
	if _, gone := e.outcome.(burdockretry.ConnectFailed); gone {
		entry.observe(w.now, name, burdockeject.ConnectFailed{})
	} else {
		entry.placer.Report(w.now, name, e.report)
	}
	return entry.again(w.now, e.req, e.outcome)
}

// handleBroken ends a request whose outcome is unknown: the caller is told so.
func (w *world) handleBroken(e broken) {
	w.tally.cut++
	if len(w.entries) == 0 {
		return
	}
	entry, name := w.entries[e.req.entry], w.names[e.replica]
	entry.placer.Done(w.now, name, 0)
	entry.observe(w.now, name, burdockeject.Failed{})
}

func (w *world) start(req *request, index int) {
	r := &w.replicas[index]
	r.active = append(r.active, req)
	found := r.cache.found(req)
	r.cache.keep(req)
	computed := req.promptTokens() - found
	took := burdockclock.Millis(computed/prefillPerMillis + req.output*paceMillis)
	if w.slow(index) {
		took *= slowFactor
	}
	if w.now >= w.o.WarmUp {
		w.tally.started(w, req, index, found)
	}
	w.agenda.add(w.now+took, finish{req, index, took})
	w.tell(req, index, nil)
}

func (w *world) handleFinish(e finish) {
	r := &w.replicas[e.replica]
	place := slices.Index(r.active, e.req)
	if place < 0 {
		// It was cut off before.
		return
	}
	r.active = slices.Delete(r.active, place, place+1)
	w.levels.change(e.replica, -1)
	if len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		w.start(next, e.replica)
	}
	w.tell(e.req, e.replica, &burdockeject.Completed{Duration: e.took, Cost: e.req.output})
	if next := w.workload.following(e.req, w.now); next != nil {
		w.agenda.add(next.arrived, arrival{req: next})
	}
}

// tell sends the load of a replica to the entry with an answer.
func (w *world) tell(req *request, index int, ended *burdockeject.Completed) {
	if len(w.entries) == 0 {
		return
	}
	heard := hearing{entry: req.entry, replica: index, report: w.replicas[index].report(), ended: ended}
	w.agenda.add(w.now+w.way(req.entry, index)+w.o.Lag, heard)
}

func (w *world) handleHearing(e hearing) {
	entry, name := w.entries[e.entry], w.names[e.replica]
	if e.ended != nil {
		entry.placer.Done(w.now, name, 0)
		entry.observe(w.now, name, *e.ended)
	} else {
		entry.observe(w.now, name, burdockeject.ResponseStarted{})
	}
	entry.placer.Report(w.now, name, e.report)
}
