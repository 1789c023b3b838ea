package burdockgrouplab

import (
	"container/heap"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// instant is a simulated time or duration in microseconds. A step takes a few
// milliseconds, so milliseconds are too coarse to measure what a change costs.
type instant int64

const millisecond instant = 1000

func toInstant(m burdockclock.Millis) instant { return instant(m) * millisecond }

func (t instant) millis() burdockclock.Millis { return burdockclock.Millis(t / millisecond) }

// event is a function to call at a simulated time.
type event struct {
	at  instant
	seq uint64 // orders events of the same time by their creation
	do  func()
}

// events is a heap of events, ordered by time.
type events []event

// Len implements heap.Interface.
func (q events) Len() int { return len(q) }

// Less implements heap.Interface.
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// schedule calls do after the given time.
func (w *World) schedule(after instant, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + after, seq: w.seq, do: do})
}

// Run advances simulated time.
func (w *World) Run(time burdockclock.Millis) { w.run(w.now+toInstant(time), nil) }

// run processes events until the time end, or until stop reports true.
func (w *World) run(end instant, stop func() bool) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
		if stop != nil && stop() {
			return
		}
	}
	w.now = max(w.now, end)
}
