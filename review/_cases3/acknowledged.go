package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// killTrials is the number of kills, and killJobs that of the jobs cancelled before each.
	killTrials = 6
	killJobs   = 40
)

// twoSteps returns a job whose second step begins later than cancelTime, and contact, after a
// cancelling in its first second.
func twoSteps() []step {
	first, second := oneTask(5500), oneTask(1000)
	second.After = []int{0}
	return []step{first, second}
}

// playKilledAfterAck cancels jobs at another entry than the one that has them. That entry is
// killed as soon as a client has an acknowledgement.
func playKilledAfterAck(c *cluster, trouble bool) (string, error) {
	for trial := range killTrials {
		broken, err := killAfterAck(c, trouble)
		if err != nil || broken != "" {
			return broken, err
		}
		c.rec.add("trial %d held", trial+1)
	}
	return "", nil
}

func killAfterAck(c *cluster, trouble bool) (string, error) {
	ids, err := c.beginJobs(killJobs)
	if err != nil {
		return "", err
	}
	second := c.entries[1]
	var once sync.Once
	acknowledged, err := c.cancelAtOnce(ids, func() {
		if trouble {
			once.Do(func() { _ = syscall.Kill(second.cmd.Process.Pid, syscall.SIGKILL) })
		}
	})
	if err != nil {
		return "", err
	}
	c.rec.add("%d of %d cancellings were acknowledged by %s", len(acknowledged), len(ids), second.name)
	if trouble {
		<-second.exited
		c.rec.add("%s was killed at the first acknowledgement", second.name)
		pause(time.Second)
		if err := second.start(); err != nil {
			return "", err
		}
	}
	pause(6 * time.Second)
	for id, at := range acknowledged {
		if b := startedLate(c, id, at); b != "" {
			return b, nil
		}
	}
	return "", nil
}

// beginJobs hands jobs in at the first entry and waits until each has begun.
func (c *cluster) beginJobs(n int) ([]string, error) {
	var ids []string
	for range n {
		id := newID()
		ids = append(ids, id)
		go c.submit(0, id, longLimit, twoSteps()...)
	}
	for _, id := range ids {
		if err := c.waitForRun(id); err != nil {
			return nil, err
		}
	}
	return ids, nil
}

// cancelAtOnce cancels jobs at the second entry, each on an open channel of its own, and calls
// onAck at each acknowledgement. It returns the times of the acknowledgements.
func (c *cluster) cancelAtOnce(ids []string, onAck func()) (map[string]time.Time, error) {
	channels := map[string]net.Conn{}
	for _, id := range ids {
		k, err := net.Dial("tcp", c.fronts[1])
		if err != nil {
			return nil, err
		}
		defer func() { _ = k.Close() }()
		channels[id] = k
	}
	answers := make(chan deleted, len(ids))
	for id, k := range channels {
		go func() { answers <- deleteOn(k, id, onAck) }()
	}
	acknowledged := map[string]time.Time{}
	for range ids {
		if d := <-answers; !d.at.IsZero() {
			acknowledged[d.id] = d.at
			c.rec.add("client: DELETE %s to %s is answered: %s", d.id, c.entries[1].name, d.line)
		}
	}
	return acknowledged, nil
}

// deleted is the answer to the DELETE of a job, with the time zero if there is none that
// acknowledges it.
type deleted struct {
	id   string
	line string
	at   time.Time
}

func deleteOn(k net.Conn, id string, onAck func()) deleted {
	d := deleted{
		id: id,
	}
	_ = k.SetDeadline(time.Now().Add(2 * time.Second))
	// A channel that breaks has no acknowledgement.
	_, _ = fmt.Fprintf(k, "DELETE %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, id, queueHost)
	line, err := bufio.NewReader(k).ReadString('\n')
	if err != nil || !strings.Contains(line, " 200 ") && !strings.Contains(line, " 410 ") {
		return d
	}
	onAck()
	d.at = time.Now()
	d.line = strings.TrimSpace(line)
	return d
}
