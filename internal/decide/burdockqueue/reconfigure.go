package burdockqueue

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// Reconfigure takes over a new profile. Queued work stays, also beyond a lower
// bound on length, and keeps the bound on its wait under which it was admitted;
// work of a class that is gone joins the last class.
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
		q.foldLastClass()
	}
	for _, class := range q.classes {
		class.reweigh(q.cfg.share)
	}
}

// foldLastClass moves the work of the last class to the one before it.
func (q *Queue) foldLastClass() {
	last := len(q.classes) - 1
	from, to := q.classes[last], q.classes[last-1]
	for _, it := range from.inOrder() {
		from.remove(it)
		it.work.Class = Class(last - 1)
		to.push(q.now, it, q.cfg.share(it.work.Customer))
	}
	for _, it := range q.running.inOrder() {
		if it.work.Class != Class(last) {
			continue
		}
		it.work.Class = Class(last - 1)
		from.service.end(it.work.Cost, it.started)
		to.service.begin(it.work.Cost, it.started)
		it.flow = to.adopt(it, q.cfg.share(it.work.Customer))
	}
	q.classes = q.classes[:last]
}
