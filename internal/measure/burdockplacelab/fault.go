package burdockplacelab

// Scenario is what goes wrong during a run.
type Scenario string

// Scenarios.
const (
	// Steady: nothing goes wrong.
	Steady Scenario = "steady"
	// SlowReplicas: one replica in a hundred, and at least one, takes four times as
	// long for each token, from the start.
	SlowReplicas Scenario = "slow"
	// LostDataCentre: the replicas of one data centre are gone for the second quarter of
	// the measured span, then come back all at once with empty caches.
	LostDataCentre Scenario = "lost"
)

const (
	slowOneIn  = 100
	slowFactor = 4
	// queueSlots bounds a replica's queue, in multiples of its slots. Beyond it
	// an offer is refused as not run.
	queueSlots = 1
	// naiveOffers is how often the simple policies offer a request.
	naiveOffers = 4
	// downLoad keeps perfect knowledge from choosing a replica that is gone.
	downLoad = 1000
)

// slow reports whether the replica is one of the slow ones.
func (w *world) slow(i int) bool { return w.o.Scenario == SlowReplicas && i%slowOneIn == 0 }

// fails reports whether the replica is in the data centre that is lost.
func (w *world) fails(i int) bool {
	return w.o.Scenario == LostDataCentre && w.replicaDataCentre(i) == w.dataCentre(0)
}

func (w *world) scheduleFaults() {
	if w.o.Scenario != LostDataCentre {
		return
	}
	w.agenda.add(w.o.WarmUp+w.o.Measured/4, losing{})
	w.agenda.add(w.o.WarmUp+w.o.Measured/2, returning{})
}

func (w *world) handleLosing() {
	for i := range w.replicas {
		if w.fails(i) {
			w.lose(i)
		}
	}
}

// lose cuts off all that a replica holds.
func (w *world) lose(i int) {
	r := &w.replicas[i]
	for _, req := range append(r.active, r.queue...) {
		w.levels.change(i, -1)
		w.agenda.add(w.now+w.way(req.entry, i), broken{req, i})
	}
	w.levels.change(i, downLoad)
	*r = replica{slots: r.slots, cache: newCache(w.o.CacheTokens), down: true}
}

func (w *world) handleReturning() {
	for i := range w.replicas {
		if w.replicas[i].down {
			w.replicas[i].down = false
			w.levels.change(i, -downLoad)
		}
	}
}
