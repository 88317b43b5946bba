package main

import (
	"fmt"
	"time"
)

const (
	// clockStep is how far the time of day of a minion's machine jumps.
	clockStep = 2 * time.Second
	// youngTime is how long a minion has run when it crashes.
	youngTime = 1200 * time.Millisecond
	// kindJobs is the number of jobs that ask for the earlier kind, and kindPause the time
	// before each.
	kindJobs  = 4
	kindPause = 500 * time.Millisecond
)

// playEarlierBoot crashes a young minion, which starts again under its id as one of another
// kind. The time of day has jumped back in between, so its start seems to be the earlier one.
func playEarlierBoot(c *cluster, trouble bool) (string, error) {
	m := c.minions[0]
	rack := m.labels[1]
	m.crash()
	c.rec.add("%s crashes", m)
	pause(clockStep + contact)
	m.labels = []string{"b", rack}
	if err := m.start(); err != nil {
		return "", err
	}
	c.rec.add("%s starts, of kind b, born %d", m, m.born.UnixMilli())
	pause(youngTime)
	m.crash()
	if trouble {
		m.clockError = -clockStep
		c.rec.add("the time of day jumps back by %v for the minion", clockStep)
	}
	m.labels = []string{"a", rack}
	if err := m.start(); err != nil {
		return "", err
	}
	c.rec.add("%s crashes and starts, of kind a, born %d", m, m.bornMs())
	for range kindJobs {
		pause(kindPause)
		id := newID()
		s := longJob()
		s.workMs = 100
		s.Requirements = "b"
		c.submit(1, id, time.Second, s)
		if list := c.runs.of(id); len(list) > 0 {
			return fmt.Sprintf("run %d of %s, which requires b, began on %s of kind a", list[0].number, list[0].task, list[0].minion), nil
		}
	}
	return "", nil
}
