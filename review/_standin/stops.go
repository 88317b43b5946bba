package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stops"] = playStops }

const (
	// wideTasks is the number of tasks of the job's wide step, 100 for each minion of its
	// first run.
	wideTasks = 600
	// otherTasks is the number of tasks of another job, which has the other minions until
	// the first run is given up.
	otherTasks = 4
	// lateShare is the share of the orders that get no answer. It is the dose that kinds
	// shows for applied_late, and lateTime the longest time of the site file.
	lateShare = 0.5
	lateTime  = 5500 * time.Millisecond
	// maxSends bounds how often the client sends its job.
	maxSends = 3
)

// checkOverlap breaks the rule where a run of a task starts while another one is at work.
func checkOverlap(j *judge) {
	j.checkStarts(func(minion string, _ []string, task string, run int64) {
		for other, at := range j.atWork[task] {
			j.breaks("%s#%d starts on %s while #%d is at work on %s", task, run, minion, at, other)
		}
	})
}

// playStops sends a wide job that its entry gives up, since its last task takes much
// longer than estimated. The client sends it again after the 504, while the minions leave
// a share of the orders unanswered.
func playStops(j *judge, trouble bool) error {
	c, err := newCluster(j, 3, []string{"a", "a", "a", "a", "a", "a", "b", "b", "b", "b"})
	if err != nil {
		return err
	}
	defer c.close()
	checkOverlap(j)
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		c.call(http.MethodPost, c.entries[0], newID(), jobBody("32000/2800", jobStep{
			Count:        otherTasks,
			CPU:          32_000,
			MemMB:        1024,
			EstimateMs:   2800,
			Requirements: "b",
		}), 8*time.Second)
	}()
	pause(200 * time.Millisecond)
	id := newID()
	body := jobBody("250/5000 250/2000 250/12000", jobStep{
		Count:      wideTasks,
		CPU:        250,
		MemMB:      128,
		EstimateMs: 5000,
	}, jobStep{
		Count:      1,
		CPU:        250,
		MemMB:      128,
		EstimateMs: 2000,
	}, jobStep{
		Count:      1,
		CPU:        250,
		MemMB:      128,
		EstimateMs: 2000,
		After:      []int{1},
	})
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := range maxSends {
			status, _ := c.call(http.MethodPost, c.entries[n%len(c.entries)], id, body, 8*time.Second)
			if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
				return
			}
			pause(resendPause)
		}
	}()
	for end := time.Now().Add(1800 * time.Millisecond); j.atWorkOf(id) < wideTasks+1; pause(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%d tasks are at work, want %d", j.atWorkOf(id), wideTasks+1)
		}
	}
	if trouble {
		j.note("from now on, minions leave orders unanswered")
		for n, m := range c.minions {
			m.setLate(&late{
				share:  lateShare,
				random: rand.New(rand.NewPCG(1, uint64(n))),
			})
		}
	}
	pause(lateTime)
	for _, m := range c.minions {
		m.setLate(nil)
	}
	clients.Wait()
	return nil
}
