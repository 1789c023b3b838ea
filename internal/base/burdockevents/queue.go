// Package burdockevents plays events in simulated time, for tests of decisions over whole days.
package burdockevents

import (
	"container/heap"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// Queue holds events in the order of their times. It is not safe for concurrent use.
type Queue struct {
	now     burdockclock.Millis
	pending events
}

// New returns an empty queue whose time begins at now.
func New(now burdockclock.Millis) *Queue { return &Queue{now: now} }

// Now returns the simulated time: that of the event that is being played.
func (q *Queue) Now() burdockclock.Millis { return q.now }

// After has do called when a delay in milliseconds has passed.
func (q *Queue) After(delay burdockclock.Millis, do func()) {
	heap.Push(&q.pending, event{q.now + delay, do})
}

// RunUntil plays the events before a time, also those that others plan meanwhile.
func (q *Queue) RunUntil(end burdockclock.Millis) {
	for len(q.pending) > 0 && q.pending[0].at < end {
		next := heap.Pop(&q.pending).(event)
		q.now = next.at
		next.do()
	}
}

// event is something that happens at a time.
type event struct {
	at burdockclock.Millis
	do func()
}

// events is a heap.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
