package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["reborn"] = playReborn }

const (
	// rebirths is how often the minion starts again, and bootSpread the time around its
	// start in which a job arrives.
	rebirths   = 50
	bootSpread = 4 * time.Millisecond
	rebornJobs = 2
)

// playReborn crashes a minion without work at that moment. It starts again under the id
// that it had and reports at once, while a job arrives.
func playReborn(j *judge, trouble bool) error {
	c, err := newCluster(j, 1, []string{"a", "a", "b", "b", "b", "b", "b"})
	if err != nil {
		return err
	}
	defer c.close()
	checkOverlap(j)
	m := c.minions[0]
	for range rebirths {
		var clients sync.WaitGroup
		if trouble {
			m.crash()
			pause(downTime)
			clients.Add(1)
			go func() {
				defer clients.Done()
				pause(rand.N(bootSpread))
				if err := m.startAgain(); err != nil {
					j.note("%s doesn't start: %v", m.name, err)
				}
				m.report()
			}()
		}
		pause(bootSpread / 4)
		for range rebornJobs {
			clients.Add(1)
			go func() {
				defer clients.Done()
				c.call(http.MethodPost, c.entries[0], newID(), jobBody("2000/200", jobStep{
					Count:        4,
					CPU:          2000,
					MemMB:        128,
					EstimateMs:   200,
					Requirements: "a",
				}), 1500*time.Millisecond)
			}()
		}
		clients.Wait()
		pause(time.Second)
	}
	return nil
}
