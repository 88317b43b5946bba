package task

import "github.com/pkg/errors"

// Resources are the amounts that a task needs or a target has.
type Resources struct {
	milliCores   int64
	memoryMB     int64
	accelerators int64
}

// NewResources returns the amounts. The error reports a negative one.
func NewResources(milliCores, memoryMB, accelerators int64) (Resources, error) {
	if milliCores < 0 || memoryMB < 0 || accelerators < 0 {
		return Resources{}, errors.Errorf("resources %d, %d, %d: want no negative amount", milliCores, memoryMB, accelerators)
	}
	return Resources{
		milliCores:   milliCores,
		memoryMB:     memoryMB,
		accelerators: accelerators,
	}, nil
}

// MilliCores returns the processor share in thousandths of a core.
func (r Resources) MilliCores() int64 {
	return r.milliCores
}

// MemoryMB returns the memory in megabytes.
func (r Resources) MemoryMB() int64 {
	return r.memoryMB
}

func (r Resources) Accelerators() int64 {
	return r.accelerators
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		milliCores:   r.milliCores + o.milliCores,
		memoryMB:     r.memoryMB + o.memoryMB,
		accelerators: r.accelerators + o.accelerators,
	}
}

// Sub returns r - o; amounts may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		milliCores:   r.milliCores - o.milliCores,
		memoryMB:     r.memoryMB - o.memoryMB,
		accelerators: r.accelerators - o.accelerators,
	}
}

// Covers reports whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return r.milliCores >= o.milliCores && r.memoryMB >= o.memoryMB && r.accelerators >= o.accelerators
}

// Quotient returns how many times o fits into r, at most 1 << 20.
func (r Resources) Quotient(o Resources) int64 {
	n := int64(1 << 20)
	for _, p := range [][2]int64{{r.milliCores, o.milliCores}, {r.memoryMB, o.memoryMB}, {r.accelerators, o.accelerators}} {
		if p[1] > 0 {
			n = min(n, max(p[0], 0)/p[1])
		}
	}
	return n
}
