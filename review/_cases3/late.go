package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The times of a start that stays unanswered, from when its minion got it.
const (
	// lateBy is when the start is carried out.
	lateBy = 3 * time.Second
	// freezeAt is when the side machine of the minion freezes, and wakeAt when it wakes.
	freezeAt = time.Second
	wakeAt   = freezeAt + 4*time.Second
	// crashAt is when the minion crashes, and rebootAt when it starts again.
	crashAt  = 1200 * time.Millisecond
	rebootAt = 1500 * time.Millisecond
	// lateRounds is how often a start stays unanswered, until the rule is broken.
	lateRounds = 3
	// lateWorkMs is how long the task works.
	lateWorkMs = 7000
)

// lateStart is a start that its minion left unanswered.
type lateStart struct {
	minion *minion
	order  order
	at     time.Time
}

// playLateStart leaves the first start of a job unanswered. Its minion crashes and starts again
// under its id while the side machine stands still, and carries the start out then.
func playLateStart(c *cluster, trouble bool) (string, error) {
	for round := range lateRounds {
		broken, err := c.startLate(trouble)
		if err != nil || broken != "" {
			return broken, err
		}
		c.rec.add("round %d held", round+1)
	}
	return "", nil
}

func (c *cluster) startLate(trouble bool) (string, error) {
	id := newID()
	withheld := make(chan lateStart, 1)
	if trouble {
		for _, m := range c.minions {
			m.withhold(id, withheld)
		}
	}
	s := longJob()
	s.EstimateMs, s.workMs = lateWorkMs, lateWorkMs
	go c.submit(0, id, 20*time.Second, s)
	if trouble {
		if err := c.disturbLateStart(withheld); err != nil {
			return "", err
		}
	}
	pause(lateWorkMs*time.Millisecond + time.Second)
	return c.runs.overlap(id), nil
}

func (c *cluster) disturbLateStart(withheld chan lateStart) error {
	var l lateStart
	select {
	case l = <-withheld:
	case <-time.After(2 * time.Second):
		return fmt.Errorf("no start of the job has come")
	}
	for _, m := range c.minions {
		m.withhold("", nil)
	}
	after := func(d time.Duration) { pause(time.Until(l.at.Add(d))) }
	side := c.sideOf(l.minion)
	after(freezeAt)
	side.signal(syscall.SIGSTOP)
	after(crashAt)
	l.minion.crash()
	c.rec.add("minion %s crashes", l.minion.id)
	after(rebootAt)
	if err := l.minion.start(); err != nil {
		return err
	}
	c.rec.add("minion %s starts again under its id", l.minion.id)
	after(lateBy)
	l.minion.carryOut(l.order)
	after(wakeAt)
	side.signal(syscall.SIGCONT)
	return nil
}

// sideOf returns the agent on the machine of a minion.
func (c *cluster) sideOf(m *minion) *process {
	for n, x := range c.minions {
		if x == m {
			return c.agents[n]
		}
	}
	return nil
}

// withhold makes the minion leave the first start of a job unanswered; an empty job ends that.
func (m *minion) withhold(job string, withheld chan lateStart) {
	m.owner.call(func() {
		m.lateJob = job
		m.withheld = withheld
	})
}

// leaveUnanswered reports whether a start is the one to be left unanswered, and does not
// answer it then.
func (m *minion) leaveUnanswered(r *http.Request, o order) bool {
	first := false
	var withheld chan lateStart
	m.owner.call(func() {
		first = m.lateJob != "" && jobOf(o.Task) == m.lateJob
		withheld = m.withheld
		if first {
			m.lateJob = ""
		}
	})
	if !first {
		return false
	}
	m.rec.add("minion %s: start of run %d of %s gets no answer", m.id, o.RunID, o.Task)
	withheld <- lateStart{
		minion: m,
		order:  o,
		at:     time.Now(),
	}
	<-r.Context().Done()
	return true
}

// carryOut carries a start out that came long before, as any other start.
func (m *minion) carryOut(o order) {
	reason := ""
	m.owner.call(func() {
		if reason = m.grant(o); reason == "" {
			reason = m.startRun(o)
		}
	})
	m.rec.add("minion %s: the late start of run %d of %s is carried out; refused: %q", m.id, o.RunID, o.Task, reason)
}

// overlap returns what broke the rule on two runs of a task at the same time.
func (r *runs) overlap(job string) string {
	list := r.of(job)
	for i, x := range list {
		for _, y := range list[i+1:] {
			if x.task != y.task || !x.ended.IsZero() && !x.ended.After(y.began) {
				continue
			}
			end := y.ended
			if !x.ended.IsZero() && (end.IsZero() || x.ended.Before(end)) {
				end = x.ended
			}
			return fmt.Sprintf("run %d of %s on %s and run %d on %s work at the same time, for %v", x.number, x.task, x.minion, y.number, y.minion,
				end.Sub(y.began).Round(time.Millisecond))
		}
	}
	return ""
}
