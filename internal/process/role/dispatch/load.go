package dispatch

// hardwareLoad is the load of the targets with one hardware label.
type hardwareLoad struct {
	size int64
	used int64
}

// share returns the occupied share of the capacity, between 0 and 1.
func (l *hardwareLoad) share() float64 {
	if l.size <= 0 {
		return 0
	}
	return float64(l.used) / float64(l.size)
}

// scarcity returns the value of free capacity at a load, between 0 and 1.
func scarcity(load float64) float64 {
	return max(0, load-freeLoadLimit) / (1 - freeLoadLimit)
}

// loadOf returns the load of a hardware label.
func (d *Dispatch) loadOf(label string) *hardwareLoad {
	return getOrCreate(d.loads, label)
}

// measureLoad measures the loads once in a pass of Handle, so that all its decisions
// see the same.
func (d *Dispatch) measureLoad() {
	if d.loadMeasured {
		return
	}
	d.loadMeasured = true
	for _, l := range d.loads {
		*l = hardwareLoad{}
	}
	for _, a := range d.connected {
		if a.usable() {
			a.load.size += a.size.MilliCores()
			a.load.used += a.size.MilliCores() - max(a.left.MilliCores(), 0)
		}
	}
	d.lowestLoad = 1
	for _, l := range d.loads {
		if l.size > 0 {
			d.lowestLoad = min(d.lowestLoad, l.share())
		}
	}
}
