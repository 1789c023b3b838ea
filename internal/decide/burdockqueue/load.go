package burdockqueue

import (
	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Load is what entries are told with every answer.
type Load struct {
	Running    int              `json:"running"`
	Queued     int              `json:"queued"`
	QueuedCost burdockid.Tokens `json:"queuedCost"`
	Slots      int              `json:"slots"`
	// ExpectedWait is the time to serve all that is queued and to the next free
	// slot; 0 while a slot is free.
	ExpectedWait burdockclock.Millis `json:"expectedWait"`
}

// Load returns the present load.
func (q *Queue) Load() Load {
	return Load{
		Running:      q.running.len(),
		Queued:       q.queued,
		QueuedCost:   q.queuedCost,
		Slots:        q.cfg.Slots,
		ExpectedWait: q.drainTime(),
	}
}

func (q *Queue) drainTime() burdockclock.Millis {
	rate := q.slotRate() * float64(q.cfg.Slots)
	if rate <= 0 || q.running.len() < q.cfg.Slots {
		return 0
	}
	return q.running.nextEnd(q.now) + millisOf(float64(q.queuedCost)/rate)
}

// servedSoFar estimates what running work has been served when it is cancelled.
// The queue is not told, and charging nothing would let a customer use the
// engine for free by hanging up.
func (q *Queue) servedSoFar(it *item) burdockid.Tokens {
	whole := charged(it.work.Cost)
	rate := q.slotRate()
	if rate <= 0 {
		return whole
	}
	return min(whole, burdockid.Tokens(rate*float64(q.now-it.started)))
}
