package simulation_test

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/role/station"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// simTarget is a target on the virtual clock: it runs what it is told under a
// lease, refuses lower fences and past runs, and lists ends until they are noted.
type simTarget struct {
	w        *world
	name     string
	boot     station.Incarnation
	up       bool
	size     task.Resources
	used     task.Resources
	fence    int64
	sequence int64
	running  map[task.Run]*simRun
	past     map[string]int64
	ends     []station.FinishedRun
	number   int64
	holds    []*simHold
	factor   float64
	hang     bool
	// served tells that a run began since the flag was last cleared.
	served bool
	// refuses tells that a crashed target's host still answers that nothing listens.
	refuses bool
	// muteUntil is until when calls do not reach the target, which runs on.
	muteUntil time.Duration
	// loseUntil is until when orders may get no answer and be carried out later.
	loseUntil time.Duration
}

type simRun struct {
	began   time.Duration
	length  time.Duration
	expires time.Duration
	need    task.Resources
	hangs   bool
}

type simHold struct {
	hold  station.Renewal
	reply func(station.Event)
	due   time.Duration
}

func newSimTarget(w *world, name string, cores int64) *simTarget {
	size, err := task.NewResources(cores*1000, 65536, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	t := &simTarget{
		w:      w,
		name:   name,
		size:   size,
		factor: 1,
	}
	t.start()
	return t
}

// clock is the target's own clock, which is slow by 2%.
func (t *simTarget) clock() time.Duration {
	return t.w.now / 100 * 98
}

func (t *simTarget) start() {
	t.up = true
	t.boot = station.NewIncarnation("i-"+t.name, int64(t.w.now/time.Millisecond)+1)
	t.fence = 0
	t.sequence = 0
	t.used = task.Resources{}
	t.running = map[task.Run]*simRun{}
	t.past = map[string]int64{}
	t.ends = nil
	t.number = 0
	t.holds = nil
}

func (t *simTarget) crash() {
	t.up = false
	t.refuses = t.w.chance(2)
	t.running = map[task.Run]*simRun{}
	t.holds = nil
}

func (t *simTarget) report() station.Report {
	t.sequence++
	return station.NewReport(t.boot, t.sequence, "service", t.name, "zone").
		WithCapacity([]string{"a", "r1"}, t.size).
		WithState(false, 0, 0, t.clock())
}

// order takes an order and answers it, unless the answer is lost.
func (t *simTarget) order(o station.Command, reply func(station.Event)) {
	if !t.up && t.refuses {
		reply(station.CommandReplied(o, station.ResultNoProcess, 0))
		return
	}
	lost := t.w.now >= t.muteUntil && t.w.now < t.loseUntil && t.w.chance(10)
	if lost && t.w.chance(2) {
		t.w.after(2*time.Second+t.w.jitter(2000), func() { t.apply(o) })
	} else if lost {
		t.apply(o)
	}
	if lost || !t.up || t.w.now < t.muteUntil {
		t.w.after(90*time.Millisecond, func() { reply(station.CommandReplied(o, station.ResultUnknown, 0)) })
		return
	}
	v := t.apply(o)
	clock := t.clock()
	t.w.after(500*time.Microsecond, func() { reply(station.CommandReplied(o, v, clock)) })
}

func (t *simTarget) apply(o station.Command) station.Result {
	switch {
	case !t.up || o.Incarnation() != t.boot:
		return station.ResultOtherIncarnation
	case o.Fence() < t.fence:
		return station.ResultStaleFence
	}
	t.fence = o.Fence()
	id := o.Run()
	if o.Kind() == station.CommandStop {
		t.past[id.TaskName()] = max(t.past[id.TaskName()], id.Number())
		if _, ok := t.running[id]; ok {
			t.w.after(20*time.Millisecond, func() { t.end(id, task.EndStopped) })
		}
		return station.ResultDone
	}
	if _, ok := t.running[id]; ok {
		return station.ResultDone
	}
	need := t.w.need(id.Job())
	switch {
	case id.Number() <= t.past[id.TaskName()]:
		return station.ResultStaleRun
	case o.Expires() <= t.clock():
		return station.ResultLeaseExpired
	case !t.size.Sub(t.used).Covers(need):
		return station.ResultNoCapacity
	}
	t.begin(id, need, o.Expires())
	return station.ResultDone
}

func (t *simTarget) begin(id task.Run, need task.Resources, expires time.Duration) {
	t.w.oracle.began(t, id)
	t.served = true
	t.used = t.used.Add(need)
	length := time.Duration(float64(t.w.length(id.Job())) * t.factor)
	t.running[id] = &simRun{
		began:   t.w.now,
		length:  length,
		expires: expires,
		need:    need,
		hangs:   t.hang,
	}
	t.extend(expires)
	if t.hang {
		return
	}
	boot := t.boot
	t.w.after(length, func() {
		if t.boot != boot {
			return
		}
		end := task.EndDone
		if t.w.chance(50) {
			end = task.EndFailed
		}
		t.end(id, end)
	})
}

func (t *simTarget) extend(expires time.Duration) {
	expires = min(expires, t.clock()+time.Second)
	for _, r := range t.running {
		r.expires = max(r.expires, expires)
	}
}

func (t *simTarget) end(id task.Run, end task.End) {
	r, ok := t.running[id]
	if !ok {
		return
	}
	delete(t.running, id)
	t.used = t.used.Sub(r.need)
	t.past[id.TaskName()] = max(t.past[id.TaskName()], id.Number())
	t.number++
	t.ends = append(t.ends, station.NewFinishedRun(t.number, id, end))
	t.wake()
}

// lapse ends the runs whose lease is over.
func (t *simTarget) lapse() {
	for id, r := range t.running {
		if t.clock() > r.expires {
			t.end(id, task.EndLost)
		}
	}
	var rest []*simHold
	for _, h := range t.holds {
		if t.w.now >= h.due {
			t.answer(h)
			continue
		}
		rest = append(rest, h)
	}
	t.holds = rest
}

func (t *simTarget) wake() {
	holds := t.holds
	t.holds = nil
	for _, h := range holds {
		t.answer(h)
	}
}

func (t *simTarget) hold(h station.Renewal, reply func(station.Event)) {
	if !t.up && t.refuses {
		reply(station.RenewalReplied(h, station.ResultNoProcess, 0, 0, nil, nil))
		return
	}
	if !t.up || t.w.now < t.muteUntil || t.w.now < t.loseUntil && t.w.chance(10) {
		t.w.after(h.Wait()+100*time.Millisecond, func() { reply(station.RenewalReplied(h, station.ResultUnknown, 0, 0, nil, nil)) })
		return
	}
	if h.Incarnation() != t.boot || h.Fence() < t.fence {
		reply(station.RenewalReplied(h, station.ResultStaleFence, t.boot.Started(), t.clock(), nil, nil))
		return
	}
	t.fence = h.Fence()
	if h.Expires() > 0 {
		t.extend(h.Expires())
	}
	var kept []station.FinishedRun
	for _, f := range t.ends {
		if f.Number() > h.LastEndSeen() {
			kept = append(kept, f)
		}
	}
	t.ends = kept
	x := &simHold{
		hold:  h,
		reply: reply,
		due:   t.w.now + h.Wait(),
	}
	if len(t.ends) > 0 || h.Wait() == 0 {
		t.answer(x)
		return
	}
	t.holds = append(t.holds, x)
}

func (t *simTarget) answer(h *simHold) {
	var running []station.ActiveRun
	for id, r := range t.running {
		percent := int64(0)
		if !r.hangs {
			percent = int64(100 * (t.w.now - r.began) / r.length)
		}
		running = append(running, station.NewActiveRun(id, percent))
	}
	ends := append([]station.FinishedRun(nil), t.ends...)
	clock := t.clock()
	started := t.boot.Started()
	t.w.after(500*time.Microsecond, func() {
		h.reply(station.RenewalReplied(h.hold, station.ResultDone, started, clock, running, ends))
	})
}
