package queue

import "math/bits"

// buckets is the number of width buckets, enough for jobs of 32,767 tasks; wider
// jobs share the last one.
const buckets = 16

// bucket counts the items whose number of waiting tasks has the same bit length.
type bucket struct {
	items int
	tasks int
	work  float64
}

// load is waiting work by width. Jobs of one class start their tasks in turn, so
// the work before a narrow job's end is not the whole work of the wide ones.
type load struct {
	tasks   int
	buckets [buckets]bucket
}

func bucketOf(tasks int) int {
	return min(bits.Len(uint(tasks)), buckets-1)
}

// change notes that an item has another number of waiting tasks.
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
		// Sums of floating point numbers drift; an empty bucket has no work.
		b.work = 0
	}
}

// work is all waiting work, in seconds of run time.
func (l *load) work() float64 {
	var work float64
	for i := range l.buckets {
		work += l.buckets[i].work
	}
	return work
}

// beside is the work that goes before the last task of a job of a width: all of
// the narrower jobs, and of each wider one as many tasks as the job has.
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
