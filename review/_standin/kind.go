package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["kind"] = playKind }

const (
	// zoneDelay is the time of the pages' sites one way between zones.
	zoneDelay = 900 * time.Microsecond
	// restarts is how often the minion starts again, and downTime for how long it is down.
	restarts = 20
	downTime = 100 * time.Millisecond
	// crashJobs jobs arrive around each restart, one in jobInterval.
	crashJobs   = 10
	jobInterval = 4 * time.Millisecond
)

// checkKind breaks the rule for starts on a minion without the label that the job
// requires. It returns the function that records what a job requires.
func checkKind(j *judge) func(job, label string) {
	required := map[string]string{}
	j.checkStarts(func(minion string, labels []string, task string, run int64) {
		if label := required[jobOf(task)]; label != "" && labels[0] != label {
			j.breaks("%s#%d, which requires label %s, starts on %s, which has %v", task, run, label, minion, labels)
		}
	})
	return func(job, label string) {
		j.call(func() { required[job] = label })
	}
}

// playKind crashes a minion, the only one of its kind and without work at that moment. It
// starts again as one of another kind, while jobs that require the first kind arrive.
func playKind(j *judge, trouble bool) error {
	c, err := newCluster(j, 1, []string{"a", "b", "b", "b", "b", "b", "b"})
	if err != nil {
		return err
	}
	defer c.close()
	require := checkKind(j)
	c.paths[0].delay.Store(int64(zoneDelay))
	pause(time.Second)
	kind := "a"
	for range restarts {
		next := kind
		if trouble {
			next = map[string]string{"a": "c", "c": "a"}[kind]
			c.minions[0].crash()
			pause(downTime)
			if err := c.minions[0].start([]string{next, "r1-0"}); err != nil {
				return err
			}
			go c.minions[0].report()
		}
		var clients sync.WaitGroup
		pause(rand.N(jobInterval))
		for range crashJobs {
			id := newID()
			require(id, kind)
			clients.Add(1)
			go func() {
				defer clients.Done()
				c.call(http.MethodPost, c.entries[0], id, jobBody("500/50", jobStep{
					Count:        2,
					CPU:          500,
					MemMB:        128,
					EstimateMs:   50,
					Requirements: kind,
				}), 1500*time.Millisecond)
			}()
			pause(jobInterval)
		}
		clients.Wait()
		kind = next
		pause(time.Second)
	}
	return nil
}
