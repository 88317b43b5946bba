// Package heap holds a binary heap whose elements know their place.
//
// The owner keeps jobs, agents and timers in order while single elements change
// or leave. An element that knows its index is moved or removed in logarithmic
// time without a search.
package heap

// Absent is the index of an element that is in no heap.
const Absent = -1

// Heap is a binary heap; the zero value is not usable, see New.
type Heap[T any] struct {
	less  func(a, b T) bool
	place func(e T, index int)
	items []T
}

// New returns an empty heap. Less orders the elements; place, if not nil, is
// told each new index of an element, and Absent when it leaves.
func New[T any](less func(a, b T) bool, place func(e T, index int)) *Heap[T] {
	if place == nil {
		place = func(T, int) {}
	}
	return &Heap[T]{
		less:  less,
		place: place,
	}
}

// Len is the number of elements.
func (h *Heap[T]) Len() int {
	return len(h.items)
}

// Top is the first element; ok is false if there is none.
func (h *Heap[T]) Top() (e T, ok bool) {
	if len(h.items) == 0 {
		return e, false
	}
	return h.items[0], true
}

// Push adds an element.
func (h *Heap[T]) Push(e T) {
	h.items = append(h.items, e)
	h.place(e, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// Fix restores the order after the element at an index changed.
func (h *Heap[T]) Fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

// Remove takes out the element at an index.
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
	h.place(e, Absent)
	return e
}

func (h *Heap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.place(h.items[i], i)
	h.place(h.items[j], j)
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
