package burdockqueue

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// Reconfigure applies a new configuration. Queued requests stay, even beyond a lower
// MaxQueued, and keep the MaxWait under which they were admitted. Requests of a removed
// class join the last remaining class.
func (q *Queue) Reconfigure(now burdockclock.Millis, cfg Config) {
	q.advance(now)
	q.cfg = cfg.withDefaults()
	for i, class := range q.cfg.Classes {
		if i < len(q.classes) {
			q.classes[i].cfg = class
			continue
		}
		q.classes = append(q.classes, newFairQueue(class))
	}
	for len(q.classes) > len(q.cfg.Classes) {
		q.mergeLastClass()
	}
	for _, class := range q.classes {
		class.updateWeights(q.cfg.share)
	}
}

// mergeLastClass moves the requests of the last class to the one before it.
func (q *Queue) mergeLastClass() {
	last := len(q.classes) - 1
	from, to := q.classes[last], q.classes[last-1]
	for _, it := range from.snapshot() {
		from.remove(it)
		it.req.Class = Class(last - 1)
		to.push(q.now, it, q.cfg.share(it.req.Customer))
	}
	for _, it := range q.running.snapshot() {
		if it.req.Class != Class(last) {
			continue
		}
		it.req.Class = Class(last - 1)
		from.service.end(it.req.Cost, it.started)
		to.service.begin(it.req.Cost, it.started)
		it.flow = to.adoptRunning(it, q.cfg.share(it.req.Customer))
	}
	q.classes = q.classes[:last]
}
