package main

import (
	"fmt"
	"time"
)

const (
	// longWorkMs is the work of the one task of a long job, and longLimit how long its client
	// waits.
	longWorkMs = 12_000
	longLimit  = 30 * time.Second
)

// longJob returns the step of a job that outlasts the bounds of a cancelling.
func longJob() step {
	return oneTask(longWorkMs)
}

// waitForRun waits until a task of a job has begun.
func (c *cluster) waitForRun(id string) error {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); pause(5 * time.Millisecond) {
		if len(c.runs.of(id)) > 0 {
			return nil
		}
	}
	return fmt.Errorf("no task of job %s has begun", id)
}

// playDroppedRoute cancels a job whose queue a new configuration has removed.
func playDroppedRoute(c *cluster, trouble bool) (string, error) {
	id := newID()
	go c.submit(0, id, longLimit, longJob())
	if err := c.waitForRun(id); err != nil {
		return "", err
	}
	if trouble {
		c.configure(2, false)
	}
	pause(time.Second)
	asked := time.Now()
	deadline := asked.Add(ackTime)
	from := deadline
	for n := 0; time.Now().Before(deadline); n++ {
		if c.cancel(n%numEntries, id).acknowledges() {
			from = time.Now()
			break
		}
		pause(500 * time.Millisecond)
	}
	at := from.Add(cancelTime + stopTime)
	pause(time.Until(at.Add(100 * time.Millisecond)))
	if x, ok := c.runs.workedAt(id, at); ok {
		return fmt.Sprintf("run %d of %s works %v after the cancelling was sent, and no DELETE of %v got 2xx or 410", x.number, x.task, at.Sub(asked).Round(time.Millisecond), ackTime), nil
	}
	return "", nil
}

// playLostEntries cancels a job, after which all entries are killed and start again. A copy of
// the request arrives some seconds later.
func playLostEntries(c *cluster, trouble bool) (string, error) {
	id := newID()
	go c.submit(0, id, longLimit, longJob())
	if err := c.waitForRun(id); err != nil {
		return "", err
	}
	pause(500 * time.Millisecond)
	if a := c.cancel(1, id); !a.acknowledges() {
		return "", fmt.Errorf("the cancelling is not acknowledged: %s", a)
	}
	acknowledged := time.Now()
	pause(500 * time.Millisecond)
	if trouble {
		for _, p := range c.entries {
			p.kill()
		}
		pause(500 * time.Millisecond)
		for _, p := range c.entries {
			if err := p.start(); err != nil {
				return "", err
			}
		}
	}
	pause(contact + time.Second)
	go c.submit(2, id, longLimit, longJob())
	pause(3 * time.Second)
	return startedLate(c, id, acknowledged), nil
}

// startedLate returns what broke the rule on cancelled jobs: a start later than cancelTime
// after the acknowledgement.
func startedLate(c *cluster, id string, acknowledged time.Time) string {
	if x, ok := c.runs.startedAfter(id, acknowledged.Add(cancelTime)); ok {
		return fmt.Sprintf("run %d of %s began %v after the cancelling was acknowledged", x.number, x.task, x.began.Sub(acknowledged).Round(time.Millisecond))
	}
	return ""
}
