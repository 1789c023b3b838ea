package burdockeject

import (
	"container/heap"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// probeHeap orders the ejected upstreams by when each may next be probed, so
// that a request costs one look however many are ejected.
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
	h[i].place = i
	h[j].place = j
}

// Push implements heap.Interface.
func (h *probeHeap) Push(x any) {
	r := x.(*record)
	r.place = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *probeHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	r.place = noPlace
	return r
}

// probeBurst is how many probes a caller that asked for none can take at once.
const probeBurst = 4

// schedule sets when r is next probed.
func (t *Tracker) schedule(r *record, at burdockclock.Millis) {
	r.probeAt = at
	if r.place == noPlace {
		heap.Push(&t.probes, r)
		return
	}
	heap.Fix(&t.probes, r.place)
}

func (t *Tracker) unschedule(r *record) {
	if r.place != noPlace {
		heap.Remove(&t.probes, r.place)
	}
}

// backoff returns the time to the next probe after the given number of probes
// that failed.
func (t *Tracker) backoff(failed int) burdockclock.Millis {
	const maxDoublings = 20
	most := min(t.cfg.InitialProbeDelay<<min(failed, maxDoublings), t.cfg.MaxProbeDelay)
	half := int64(most / 2)
	return burdockclock.Millis(half + t.rnd.Int64N(half+1))
}
