// Package heap implements a binary heap whose elements know their index.
//
// The owner keeps jobs, agents and timers in order while single elements change or
// are removed. An element that knows its index is moved or removed in logarithmic
// time without a search.
package heap

// Absent is the index of an element that is in no heap.
const Absent = -1

// Heap is a binary heap. The zero value is not usable; use New.
type Heap[T any] struct {
	less         func(a, b T) bool
	indexChanged func(e T, index int)
	items        []T
}

// New returns an empty heap ordered by less. If indexChanged is not nil, it is
// called with each new index of an element, and with Absent when the element is
// removed.
func New[T any](less func(a, b T) bool, indexChanged func(e T, index int)) *Heap[T] {
	if indexChanged == nil {
		indexChanged = func(T, int) {}
	}
	return &Heap[T]{
		less:         less,
		indexChanged: indexChanged,
	}
}

func (h *Heap[T]) Len() int {
	return len(h.items)
}

// Top returns the first element; ok is false if the heap is empty.
func (h *Heap[T]) Top() (e T, ok bool) {
	if len(h.items) == 0 {
		return e, false
	}
	return h.items[0], true
}

func (h *Heap[T]) Push(e T) {
	h.items = append(h.items, e)
	h.indexChanged(e, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// Fix restores the order after the element at index i has changed.
func (h *Heap[T]) Fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

// Remove removes and returns the element at index i.
func (h *Heap[T]) Remove(i int) T {
	e := h.items[i]
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.Fix(i)
	}
	h.indexChanged(e, Absent)
	return e
}

func (h *Heap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.indexChanged(h.items[i], i)
	h.indexChanged(h.items[j], j)
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *Heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
