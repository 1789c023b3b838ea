package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Load is the load that is reported to entries with every answer.
type Load struct {
	Running    int              `json:"running"`
	Queued     int              `json:"queued"`
	QueuedCost burdockid.Tokens `json:"queuedCost"`
	Slots      int              `json:"slots"`
	// ExpectedWait is the time until the next slot is free plus the time to serve
	// everything queued; 0 while a slot is free.
	ExpectedWait burdockclock.Millis `json:"expectedWait"`
}

// Load returns the current load.
func (q *Queue) Load() Load {
	return Load{
		Running:      q.running.len(),
		Queued:       q.queued,
		QueuedCost:   q.queuedCost,
		Slots:        q.cfg.Slots,
		ExpectedWait: q.drainTime(),
	}
}

// ClassLoad is the load of one class.
type ClassLoad struct{ Running, Queued int }

// ClassLoads returns the load of each class.
func (q *Queue) ClassLoads() []ClassLoad {
	loads := make([]ClassLoad, len(q.classes))
	for i, c := range q.classes {
		loads[i] = ClassLoad{Running: c.running, Queued: c.queued}
	}
	return loads
}

// CustomerLoad is what one customer has queued in one class.
type CustomerLoad struct {
	Class    Class
	Customer burdockid.Customer
	Queued   int
	Cost     burdockid.Tokens
}

// QueuedByCustomer returns what each customer has queued in each class, in no particular
// order. Its cost grows with the number of these customers, not with the length of the
// queue.
func (q *Queue) QueuedByCustomer() []CustomerLoad {
	var loads []CustomerLoad
	for class, c := range q.classes {
		for _, f := range c.byStartTag.items {
			loads = append(loads, CustomerLoad{Class: Class(class), Customer: f.customer, Queued: f.queued, Cost: f.queuedCost})
		}
	}
	return loads
}

func (q *Queue) drainTime() burdockclock.Millis {
	rate := q.slotRate() * float64(q.cfg.Slots)
	if rate <= 0 || q.running.len() < q.cfg.Slots {
		return 0
	}
	return q.running.nextEnd(q.now) + ceilMillis(float64(q.queuedCost)/rate)
}

// estimateServed estimates how many tokens a running request has been served when it is
// cancelled, since the queue isn't notified of progress. Charging nothing would let a
// customer use the engine for free by closing the connection early.
func (q *Queue) estimateServed(it *item) burdockid.Tokens {
	fullCost := chargedCost(it.req.Cost)
	rate := q.slotRate()
	if rate <= 0 {
		return fullCost
	}
	return min(fullCost, burdockid.Tokens(rate*float64(q.now-it.started)))
}
