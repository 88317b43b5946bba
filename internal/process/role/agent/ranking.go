package agent

import "math"

// infiniteLoad is the load of a target that has no free slot.
var infiniteLoad = math.Inf(1)

// entry is a target in a ranking. It has copies of the load and the order, so that a
// comparison does not access the target.
type entry struct {
	load   float64
	order  uint64
	target *target
}

func (e entry) before(o entry) bool {
	return e.load < o.load || (e.load == o.load && e.order < o.order)
}

// ranking is a binary heap of the targets of a service for one class, the least
// loaded first. Each target has its index in the heap, so that a change of its load
// takes logarithmic time.
type ranking struct {
	class   class
	service *service
	entries []entry
}

func (r *ranking) set(i int, e entry) {
	r.entries[i] = e
	e.target.registration(r.service).index[r.class] = i
}

func (r *ranking) push(t *target, load float64) {
	r.entries = append(r.entries, entry{})
	r.up(len(r.entries)-1, entry{
		load:   load,
		order:  t.order,
		target: t,
	})
}

func (r *ranking) remove(i int) {
	n := len(r.entries) - 1
	last := r.entries[n]
	r.entries[n] = entry{}
	r.entries = r.entries[:n]
	if i < n {
		r.place(i, last)
	}
}

func (r *ranking) fix(i int, load float64) {
	e := r.entries[i]
	if e.load == load {
		return
	}
	e.load = load
	r.place(i, e)
}

// place inserts an entry at the free index i and restores the heap order.
func (r *ranking) place(i int, e entry) {
	if i > 0 && e.before(r.entries[(i-1)/2]) {
		r.up(i, e)
		return
	}
	r.down(i, e)
}

func (r *ranking) up(i int, e entry) {
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(r.entries[parent]) {
			break
		}
		r.set(i, r.entries[parent])
		i = parent
	}
	r.set(i, e)
}

func (r *ranking) down(i int, e entry) {
	for {
		child := 2*i + 1
		if child >= len(r.entries) {
			break
		}
		if child+1 < len(r.entries) && r.entries[child+1].before(r.entries[child]) {
			child++
		}
		if !r.entries[child].before(e) {
			break
		}
		r.set(i, r.entries[child])
		i = child
	}
	r.set(i, e)
}
