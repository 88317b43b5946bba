package simulation_test

import (
	"slices"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/role/executor"
)

// renewalTimeout is the time beyond its wait after which a renewal has no answer.
const renewalTimeout = 100 * time.Millisecond

type simRenewal struct {
	renewal executor.Renewal
	reply   func(executor.Event)
	due     time.Duration
}

func (t *simTarget) answerRenewals() {
	renewals := t.renewals
	t.renewals = nil
	for _, x := range renewals {
		t.answer(x)
	}
}

func (t *simTarget) renew(r executor.Renewal, reply func(executor.Event)) {
	if !t.up && t.refusesConnections {
		reply(executor.RenewalReplied(r, executor.ResultNoProcess, 0, 0, nil, nil))
		return
	}
	late := t.up && t.c.now < t.renewalsLateUntil && t.c.oneIn(4)
	if late {
		t.renewAfter(2*time.Second+t.c.jitter(10_000), r)
	}
	if late || !t.up || t.c.now < t.disconnectedUntil || t.c.now < t.losesRepliesUntil && t.c.oneIn(10) {
		t.c.after(r.Wait()+renewalTimeout, func() { reply(executor.RenewalReplied(r, executor.ResultUnknown, 0, 0, nil, nil)) })
		return
	}
	if r.Incarnation().ID() != t.incarnation.ID() {
		reply(executor.RenewalReplied(r, executor.ResultOtherIncarnation, 0, 0, nil, nil))
		return
	}
	if r.Fence() < t.fence {
		reply(executor.RenewalReplied(r, executor.ResultStaleFence, t.incarnation.Started(), t.clock(), nil, nil))
		return
	}
	t.admit(r)
	x := &simRenewal{
		renewal: r,
		reply:   reply,
		due:     t.c.now + r.Wait(),
	}
	if len(t.ends) > 0 || r.Wait() == 0 {
		t.answer(x)
		return
	}
	t.renewals = append(t.renewals, x)
}

// admit takes over the fencing token of a renewal, extends the lease and forgets the ends
// that the agent has processed.
func (t *simTarget) admit(r executor.Renewal) {
	t.fence = r.Fence()
	t.called = t.called || r.Incarnation() == t.incarnation
	if r.Expires() > 0 {
		t.extend(r.Expires())
	}
	t.ends = slices.DeleteFunc(t.ends, func(f executor.FinishedRun) bool { return f.Number() <= r.LastEndSeen() })
}

func (t *simTarget) answer(x *simRenewal) {
	var running []executor.ActiveRun
	for _, id := range t.sortedRuns() {
		r := t.running[id]
		percent := int64(0)
		if !r.hangs {
			percent = int64(100 * (t.c.now - r.began) / r.length)
		}
		running = append(running, executor.NewActiveRun(id, percent))
	}
	ends := append([]executor.FinishedRun(nil), t.ends...)
	clock := t.clock()
	started := t.incarnation.Started()
	t.c.after(500*time.Microsecond, func() {
		x.reply(executor.RenewalReplied(x.renewal, executor.ResultDone, started, clock, running, ends))
	})
}

// renewAfter carries a renewal out later, on whichever incarnation runs then. Nobody gets
// its answer.
func (t *simTarget) renewAfter(d time.Duration, r executor.Renewal) {
	received := t.incarnation
	t.c.after(d, func() {
		if !t.up || r.Incarnation().ID() != t.incarnation.ID() || r.Fence() < t.fence {
			return
		}
		t.beginLate(received)
		t.admit(r)
		t.unfenced = false
	})
}
