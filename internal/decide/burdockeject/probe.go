package burdockeject

import (
	"container/heap"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// probeHeap orders the ejected upstreams by the time of their next probe. Checking for a
// due probe takes constant time, however many upstreams are ejected.
type probeHeap []*record

// Len implements heap.Interface.
func (h probeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h probeHeap) Less(i, j int) bool {
	if h[i].probeAt != h[j].probeAt {
		return h[i].probeAt < h[j].probeAt
	}
	return h[i].upstream < h[j].upstream
}

// Swap implements heap.Interface.
func (h probeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *probeHeap) Push(x any) {
	r := x.(*record)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *probeHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.heapIndex = notScheduled
	return r
}

// probeBurst is the largest number of probes that a caller can catch up on at once.
const probeBurst = 4

// schedule sets the time of the next probe of r.
func (t *Tracker) schedule(r *record, at burdockclock.Millis) {
	r.probeAt = at
	if r.heapIndex == notScheduled {
		heap.Push(&t.probes, r)
		return
	}
	heap.Fix(&t.probes, r.heapIndex)
}

func (t *Tracker) unschedule(r *record) {
	if r.heapIndex != notScheduled {
		heap.Remove(&t.probes, r.heapIndex)
	}
}

// backoff returns the time until the next probe after that many failures.
func (t *Tracker) backoff(failures int) burdockclock.Millis {
	const maxDoublings = 20
	limit := min(t.cfg.InitialProbeDelay<<min(failures, maxDoublings), t.cfg.MaxProbeDelay)
	half := int64(limit / 2)
	return burdockclock.Millis(half + t.rnd.Int64N(half+1))
}
