package queue

import "math/bits"

// buckets is the number of buckets by job width. It covers jobs of up to 32,767
// tasks; wider jobs share the last one.
const buckets = 16

// bucket sums the items whose numbers of waiting tasks have the same bit length.
type bucket struct {
	items int
	tasks int
	work  float64
}

// load is the waiting work by job width. Jobs of one class start their tasks in
// turn, so a narrow job waits for only a part of the work of the wide ones.
type load struct {
	tasks   int
	buckets [buckets]bucket
}

func bucketOf(tasks int) int {
	return min(bits.Len(uint(tasks)), buckets-1)
}

// update moves an item from one number of waiting tasks to another.
func (l *load) update(from, to int, cost float64) {
	l.tasks += to - from
	l.adjust(from, -1, cost)
	l.adjust(to, 1, cost)
}

func (l *load) adjust(tasks, sign int, cost float64) {
	if tasks == 0 {
		return
	}
	b := &l.buckets[bucketOf(tasks)]
	b.items += sign
	b.tasks += sign * tasks
	b.work += float64(sign*tasks) * cost
	if b.items == 0 {
		// Rounding errors add up, so an empty bucket is reset to zero.
		b.work = 0
	}
}

// work returns the total waiting work in seconds of run time.
func (l *load) work() float64 {
	var work float64
	for i := range l.buckets {
		work += l.buckets[i].work
	}
	return work
}

// workAhead returns the work, in seconds of run time, that starts before the last
// task of a new job of a width: all tasks of jobs that are not wider, and of each
// wider job as many tasks as the new one has.
func (l *load) workAhead(width int) float64 {
	var work float64
	own := bucketOf(width)
	for i := range l.buckets {
		b := &l.buckets[i]
		if i <= own || b.tasks == 0 {
			work += b.work
			continue
		}
		work += float64(b.items*width) * b.work / float64(b.tasks)
	}
	return work
}
