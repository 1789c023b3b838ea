package burdockqueue

import "container/heap"

// notInHeap is the index of an element that is not in the heap.
const notInHeap = -1

// indexedHeap is a binary heap whose elements store their index, so that any element can
// be removed or moved in logarithmic time.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*h.index(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(item) = notInHeap
	return item
}

func (h *indexedHeap[T]) add(item T) { heap.Push(h, item) }

func (h *indexedHeap[T]) fix(item T) { heap.Fix(h, *h.index(item)) }

func (h *indexedHeap[T]) remove(item T) {
	if i := *h.index(item); i != notInHeap {
		heap.Remove(h, i)
	}
}

func (h *indexedHeap[T]) first() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}

// rebuild restores the heap order after elements have changed.
func (h *indexedHeap[T]) rebuild() { heap.Init(h) }

// ordered reports whether the heap order holds and each element stores its own index.
func (h *indexedHeap[T]) ordered() bool {
	for i, item := range h.items {
		if *h.index(item) != i || (i > 0 && h.less(item, h.items[(i-1)/2])) {
			return false
		}
	}
	return true
}
