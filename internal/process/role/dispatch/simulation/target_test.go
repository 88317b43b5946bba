package simulation_test

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// simTarget is a target on the virtual clock. It runs tasks under a lease, refuses
// lower fencing tokens and past runs, and lists ended runs until they are
// acknowledged.
type simTarget struct {
	w           *world
	name        string
	incarnation executor.Incarnation
	up          bool
	size        task.Resources
	used        task.Resources
	fence       int64
	sequence    int64
	running     map[task.Run]*simRun
	lastRun     map[string]int64
	ends        []executor.FinishedRun
	number      int64
	renewals    []*simRenewal
	factor      float64
	hang        bool
	// served is set if a run began since the flag was last cleared.
	served bool
	// refusesConnections is set if the host of a crashed target still rejects connections.
	refusesConnections bool
	// disconnectedUntil is until when calls do not reach the target. Its runs continue.
	disconnectedUntil time.Duration
	// losesRepliesUntil is until when commands may get no reply and be applied later.
	losesRepliesUntil time.Duration
}

type simRun struct {
	began   time.Duration
	length  time.Duration
	expires time.Duration
	need    task.Resources
	hangs   bool
}

type simRenewal struct {
	renewal executor.Renewal
	reply   func(executor.Event)
	due     time.Duration
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

// clock is the target's own clock, which is 2% slow.
func (t *simTarget) clock() time.Duration {
	return t.w.now / 100 * 98
}

func (t *simTarget) start() {
	t.up = true
	t.incarnation = executor.NewIncarnation("i-"+t.name, int64(t.w.now/time.Millisecond)+1)
	t.fence = 0
	t.sequence = 0
	t.used = task.Resources{}
	t.running = map[task.Run]*simRun{}
	t.lastRun = map[string]int64{}
	t.ends = nil
	t.number = 0
	t.renewals = nil
}

func (t *simTarget) crash() {
	t.up = false
	t.refusesConnections = t.w.oneIn(2)
	t.running = map[task.Run]*simRun{}
	t.renewals = nil
}

func (t *simTarget) report() executor.Report {
	t.sequence++
	return executor.NewReport(t.incarnation, t.sequence, "service", t.name, "zone").
		WithCapacity([]string{"a", "r1"}, t.size).
		WithState(false, 0, 0, t.clock())
}

// command applies a command and replies, unless the reply is lost.
func (t *simTarget) command(o executor.Command, reply func(executor.Event)) {
	if !t.up && t.refusesConnections {
		reply(executor.CommandReplied(o, executor.ResultNoProcess, 0))
		return
	}
	lost := t.w.now >= t.disconnectedUntil && t.w.now < t.losesRepliesUntil && t.w.oneIn(10)
	if lost && t.w.oneIn(2) {
		t.w.after(2*time.Second+t.w.jitter(2000), func() { t.apply(o) })
	} else if lost {
		t.apply(o)
	}
	if lost || !t.up || t.w.now < t.disconnectedUntil {
		t.w.after(90*time.Millisecond, func() { reply(executor.CommandReplied(o, executor.ResultUnknown, 0)) })
		return
	}
	v := t.apply(o)
	clock := t.clock()
	t.w.after(500*time.Microsecond, func() { reply(executor.CommandReplied(o, v, clock)) })
}

func (t *simTarget) apply(o executor.Command) executor.Result {
	switch {
	case !t.up || o.Incarnation() != t.incarnation:
		return executor.ResultOtherIncarnation
	case o.Fence() < t.fence:
		return executor.ResultStaleFence
	}
	t.fence = o.Fence()
	id := o.Run()
	if o.Kind() == executor.CommandStop {
		t.lastRun[id.TaskName()] = max(t.lastRun[id.TaskName()], id.Number())
		if _, ok := t.running[id]; ok {
			t.w.after(20*time.Millisecond, func() { t.end(id, task.EndStopped) })
		}
		return executor.ResultDone
	}
	if _, ok := t.running[id]; ok {
		return executor.ResultDone
	}
	need := t.w.need(id.Job())
	switch {
	case id.Number() <= t.lastRun[id.TaskName()]:
		return executor.ResultStaleRun
	case o.Expires() <= t.clock():
		return executor.ResultLeaseExpired
	case !t.size.Sub(t.used).Covers(need):
		return executor.ResultNoCapacity
	}
	t.begin(id, need, o.Expires())
	return executor.ResultDone
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
	incarnation := t.incarnation
	t.w.after(length, func() {
		if t.incarnation != incarnation {
			return
		}
		end := task.EndDone
		if t.w.oneIn(50) {
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
	t.lastRun[id.TaskName()] = max(t.lastRun[id.TaskName()], id.Number())
	t.number++
	t.ends = append(t.ends, executor.NewFinishedRun(t.number, id, end))
	t.answerRenewals()
}

// expire ends the runs whose lease has expired and the renewals that are due.
func (t *simTarget) expire() {
	for id, r := range t.running {
		if t.clock() > r.expires {
			t.end(id, task.EndLost)
		}
	}
	var rest []*simRenewal
	for _, h := range t.renewals {
		if t.w.now >= h.due {
			t.answer(h)
			continue
		}
		rest = append(rest, h)
	}
	t.renewals = rest
}

func (t *simTarget) answerRenewals() {
	renewals := t.renewals
	t.renewals = nil
	for _, h := range renewals {
		t.answer(h)
	}
}

func (t *simTarget) renew(h executor.Renewal, reply func(executor.Event)) {
	if !t.up && t.refusesConnections {
		reply(executor.RenewalReplied(h, executor.ResultNoProcess, 0, 0, nil, nil))
		return
	}
	if !t.up || t.w.now < t.disconnectedUntil || t.w.now < t.losesRepliesUntil && t.w.oneIn(10) {
		t.w.after(h.Wait()+100*time.Millisecond, func() { reply(executor.RenewalReplied(h, executor.ResultUnknown, 0, 0, nil, nil)) })
		return
	}
	if h.Incarnation() != t.incarnation || h.Fence() < t.fence {
		reply(executor.RenewalReplied(h, executor.ResultStaleFence, t.incarnation.Started(), t.clock(), nil, nil))
		return
	}
	t.fence = h.Fence()
	if h.Expires() > 0 {
		t.extend(h.Expires())
	}
	var kept []executor.FinishedRun
	for _, f := range t.ends {
		if f.Number() > h.LastEndSeen() {
			kept = append(kept, f)
		}
	}
	t.ends = kept
	x := &simRenewal{
		renewal: h,
		reply:   reply,
		due:     t.w.now + h.Wait(),
	}
	if len(t.ends) > 0 || h.Wait() == 0 {
		t.answer(x)
		return
	}
	t.renewals = append(t.renewals, x)
}

func (t *simTarget) answer(h *simRenewal) {
	var running []executor.ActiveRun
	for id, r := range t.running {
		percent := int64(0)
		if !r.hangs {
			percent = int64(100 * (t.w.now - r.began) / r.length)
		}
		running = append(running, executor.NewActiveRun(id, percent))
	}
	ends := append([]executor.FinishedRun(nil), t.ends...)
	clock := t.clock()
	started := t.incarnation.Started()
	t.w.after(500*time.Microsecond, func() {
		h.reply(executor.RenewalReplied(h.renewal, executor.ResultDone, started, clock, running, ends))
	})
}
