package simulation_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/request/task"
)

// simTarget is a target on the virtual clock. It runs tasks under a lease, refuses
// lower fencing tokens and past runs, and lists ended runs until they are
// acknowledged.
type simTarget struct {
	c           *cluster
	name        string
	incarnation executor.Incarnation
	// lives counts the ids that the target has had.
	lives  int
	labels []string
	// zone is the availability zone, and coldUntil when the target's warm-up ends, during
	// which it takes twice as long.
	zone      string
	coldUntil time.Duration
	// late is set while a command is applied seconds after it arrived.
	late bool
	// called is set once a call that was meant for this incarnation was carried out, and
	// unfenced while a command of an earlier one is applied before that.
	called   bool
	unfenced bool
	// unfencedAt is when the last such command was applied.
	unfencedAt time.Duration
	startedAt  time.Duration
	up         bool
	size       task.Resources
	used       task.Resources
	fence      int64
	sequence   int64
	running    map[task.Run]*simRun
	lastRun    map[string]int64
	ends       []executor.FinishedRun
	number     int64
	renewals   []*simRenewal
	factor     float64
	hang       bool
	// served is set if a run began since the flag was last cleared.
	served bool
	// refusesConnections is set if the host of a crashed target still rejects connections.
	refusesConnections bool
	// disconnectedUntil is until when calls do not reach the target. Its runs continue.
	disconnectedUntil time.Duration
	// losesRepliesUntil is until when commands may get no reply and be applied later.
	losesRepliesUntil time.Duration
	// lateUntil is until when half of the commands get no reply and are applied seconds
	// later.
	lateUntil time.Duration
	// stopsLateUntil is the same for all stops.
	stopsLateUntil time.Duration
	// renewalsLateUntil is the same for one renewal in four.
	renewalsLateUntil time.Duration
}

type simRun struct {
	began   time.Duration
	length  time.Duration
	expires time.Duration
	need    task.Resources
	hangs   bool
	// unfenced is set for a late start that an incarnation carried out before its agent's
	// first call, which nothing can refuse.
	unfenced bool
}

func newSimTarget(c *cluster, name string, cores int64) *simTarget {
	size, err := task.NewResources(cores*1000, 65536, 0)
	if err != nil {
		c.t.Fatal(err)
	}
	t := &simTarget{
		c:      c,
		name:   name,
		size:   size,
		factor: 1,
		labels: []string{"a", "r1"},
	}
	t.start()
	return t
}

// unfencedSpan bounds how long a late start runs that nothing could refuse: the longest lease
// on a clock that is slow, and a stop.
const unfencedSpan = 1090 * time.Millisecond

// longestLease is the longest lease that a target grants.
const longestLease = time.Second

// firstClock is the value of a target's clock at its start.
const firstClock = time.Second

// clock is the target's own clock, which is 2% slow and starts anew with each incarnation.
func (t *simTarget) clock() time.Duration {
	return firstClock + (t.c.now-t.startedAt)/100*98
}

func (t *simTarget) start() {
	t.up = true
	t.startedAt = t.c.now
	t.incarnation = executor.NewIncarnation(fmt.Sprintf("i-%s-%d", t.name, t.lives), int64(t.c.now/time.Millisecond)+1)
	t.fence = 0
	t.called = false
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
	t.refusesConnections = t.c.oneIn(2)
	t.running = map[task.Run]*simRun{}
	for _, x := range t.renewals {
		t.c.after(renewalTimeout, func() { x.reply(executor.RenewalReplied(x.renewal, executor.ResultUnknown, 0, 0, nil, nil)) })
	}
	t.renewals = nil
}

func (t *simTarget) report() executor.Report {
	t.sequence++
	return executor.NewReport(t.incarnation, t.sequence, "service", t.name, t.zone).
		WithCapacity(t.labels, t.size).
		WithState(false, 0, max(0, t.coldUntil-t.c.now), t.clock())
}

// command applies a command and replies, unless the reply is lost.
func (t *simTarget) command(cmd executor.Command, reply func(executor.Event)) {
	if !t.up && t.refusesConnections {
		reply(executor.CommandReplied(cmd, executor.ResultNoProcess, 0))
		return
	}
	reached := t.up && t.c.now >= t.disconnectedUntil
	late := reached && (t.c.now < t.lateUntil && t.c.oneIn(2) || t.c.now < t.stopsLateUntil && cmd.Kind() == executor.CommandStop)
	lost := late || reached && t.c.now < t.losesRepliesUntil && t.c.oneIn(10)
	switch {
	case late:
		t.applyAfter(2*time.Second+t.c.jitter(10_000), cmd)
	case lost && t.c.oneIn(2):
		t.applyAfter(2*time.Second+t.c.jitter(2000), cmd)
	case lost:
		t.apply(cmd)
	}
	if lost || !reached {
		t.c.after(90*time.Millisecond, func() { reply(executor.CommandReplied(cmd, executor.ResultUnknown, 0)) })
		return
	}
	result := t.apply(cmd)
	clock := t.clock()
	t.c.after(500*time.Microsecond, func() { reply(executor.CommandReplied(cmd, result, clock)) })
}

// applyAfter applies a command later, on whichever incarnation runs then.
func (t *simTarget) applyAfter(d time.Duration, cmd executor.Command) {
	received := t.incarnation
	t.c.after(d, func() {
		t.late = true
		t.beginLate(received)
		t.apply(cmd)
		t.unfenced = false
		t.late = false
	})
}

// beginLate notes whether a late call that an incarnation received can be refused now.
func (t *simTarget) beginLate(received executor.Incarnation) {
	t.unfenced = t.up && t.incarnation != received && !t.called
	if t.unfenced {
		t.unfencedAt = t.c.now
	}
}

func (t *simTarget) apply(cmd executor.Command) executor.Result {
	switch {
	case !t.up || cmd.Incarnation().ID() != t.incarnation.ID():
		// Calls name the id alone, so they reach each incarnation under it.
		return executor.ResultOtherIncarnation
	case cmd.Fence() < t.fence:
		return executor.ResultStaleFence
	}
	t.fence = cmd.Fence()
	t.called = t.called || cmd.Incarnation() == t.incarnation
	id := cmd.Run()
	if cmd.Kind() == executor.CommandStop {
		t.lastRun[id.TaskName()] = max(t.lastRun[id.TaskName()], id.Number())
		if _, ok := t.running[id]; ok {
			incarnation := t.incarnation
			t.c.after(20*time.Millisecond, func() {
				if t.incarnation == incarnation {
					t.end(id, task.EndStopped)
				}
			})
		}
		return executor.ResultDone
	}
	if _, ok := t.running[id]; ok {
		return executor.ResultDone
	}
	need := t.c.need(id.Job())
	switch {
	case id.Number() <= t.lastRun[id.TaskName()]:
		return executor.ResultStaleRun
	case cmd.Expires() <= t.clock():
		return executor.ResultLeaseExpired
	case !t.size.Sub(t.used).Covers(need):
		return executor.ResultNoCapacity
	}
	t.begin(id, need, cmd.Expires())
	return executor.ResultDone
}

func (t *simTarget) begin(id task.Run, need task.Resources, expires time.Duration) {
	if t.unfenced {
		t.c.oracle.beganUnfenced(t, id)
	} else {
		t.c.oracle.began(t, id)
	}
	t.served = true
	t.used = t.used.Add(need)
	length := time.Duration(float64(t.c.length(id)) * t.factor * t.distance(id))
	if t.c.now < t.coldUntil {
		length *= 2
	}
	t.running[id] = &simRun{
		began:    t.c.now,
		length:   length,
		expires:  min(expires, t.clock()+longestLease),
		need:     need,
		hangs:    t.hang,
		unfenced: t.unfenced,
	}
	t.extend(expires)
	if t.hang {
		return
	}
	incarnation := t.incarnation
	t.c.after(length, func() {
		if t.incarnation != incarnation {
			return
		}
		end := task.EndDone
		if !t.c.reliable && t.c.oneIn(50) {
			end = task.EndFailed
		}
		t.end(id, end)
	})
}

// distance returns the factor by which a run takes longer than on the rack with its data.
func (t *simTarget) distance(id task.Run) float64 {
	if j := t.c.jobs[id.Job()]; j == nil || j.rack == "" || slices.Contains(t.labels, j.rack) {
		return 1
	}
	t.c.away++
	return t.c.remoteFactor
}

func (t *simTarget) extend(expires time.Duration) {
	expires = min(expires, t.clock()+longestLease)
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

// sortedRuns returns the active runs in a fixed order.
func (t *simTarget) sortedRuns() []task.Run {
	return slices.SortedFunc(maps.Keys(t.running), func(a, b task.Run) int { return cmp.Compare(a.String(), b.String()) })
}

// expire ends the runs whose lease has expired and the renewals that are due.
func (t *simTarget) expire() {
	for _, id := range t.sortedRuns() {
		if r, ok := t.running[id]; ok && t.clock() > r.expires {
			t.end(id, task.EndLost)
		}
	}
	var rest []*simRenewal
	for _, x := range t.renewals {
		if t.c.now >= x.due {
			t.answer(x)
			continue
		}
		rest = append(rest, x)
	}
	t.renewals = rest
}
