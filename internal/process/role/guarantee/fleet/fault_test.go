package fleet

import (
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/host"
	"greengagedoor.example/greengagedoor/internal/process/web"
)

const (
	// beforeFault and afterFault are how long the load runs before and after the
	// fault. After it, shards have 5 s to recover.
	beforeFault    = time.Second
	afterFault     = 5 * time.Second
	outageDuration = 5 * time.Second
	pauseDuration  = 4 * time.Second
	// entryShutdownLimit and agentShutdownLimit are the documented shutdown times
	// with 1 s for the exit of the process. agentShutdownLimit includes the release
	// of shards.
	entryShutdownLimit  = host.DrainLimit + time.Second + web.ShutdownLimit + time.Second
	agentShutdownLimit  = host.AgentDrainLimit + 10*time.Second
	targetShutdownLimit = 10 * time.Second
)

// TestFaults guards against a task that starts twice, a wrong or missing answer and
// a wrong refusal when a process is killed, stopped or terminated, or when the store
// fails.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		fault func(*testing.T, *cluster)
		// noFailures requires that no job fails: the fault loses no running task.
		noFailures bool
	}{
		"owner_killed": {
			fault: func(t *testing.T, c *cluster) { c.agents[1].signal(t, syscall.SIGKILL) },
		},
		"agent_stopped": {
			fault: func(t *testing.T, c *cluster) {
				c.agents[1].signal(t, syscall.SIGSTOP)
				time.Sleep(pauseDuration)
				c.agents[1].signal(t, syscall.SIGCONT)
			},
		},
		"target_killed": {
			fault: func(t *testing.T, c *cluster) { c.targets[1].signal(t, syscall.SIGKILL) },
		},
		"store_down": {
			fault:      storeOutage(func(*testing.T, *cluster) {}),
			noFailures: true,
		},
		"store_down_and_agent_killed": {
			fault: storeOutage(func(t *testing.T, c *cluster) { c.agents[1].signal(t, syscall.SIGKILL) }),
		},
		"store_answers_lost": {
			fault:      func(t *testing.T, c *cluster) { c.setStoreFaults(t, `{"lose_answer":10}`) },
			noFailures: true,
		},
		"entry_killed": {
			fault:      func(t *testing.T, c *cluster) { c.entries[0].signal(t, syscall.SIGKILL) },
			noFailures: true,
		},
		"zone_killed": {
			fault: func(t *testing.T, c *cluster) {
				c.agents[1].signal(t, syscall.SIGKILL)
				c.targets[1].signal(t, syscall.SIGKILL)
			},
		},
		"entry_ended": {
			fault:      func(t *testing.T, c *cluster) { c.entries[0].terminate(t, entryShutdownLimit) },
			noFailures: true,
		},
		"agent_ended": {
			fault:      func(t *testing.T, c *cluster) { c.agents[1].terminate(t, agentShutdownLimit) },
			noFailures: true,
		},
		"target_ended": {
			fault:      func(t *testing.T, c *cluster) { c.targets[1].terminate(t, targetShutdownLimit) },
			noFailures: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			l := startLoad(c)
			time.Sleep(beforeFault)
			tt.fault(t, c)
			time.Sleep(afterFault)
			attempts, starts := l.stop()
			Convey("the guarantees hold", t, func() {
				So(violations(attempts, starts), ShouldBeEmpty)
				if tt.noFailures {
					So(failed(attempts), ShouldBeEmpty)
				}
				So(completed(attempts), ShouldBeGreaterThan, len(attempts)/2)
			})
			t.Logf("%d attempts, %d complete, %d failed, %d tasks started", len(attempts), completed(attempts), len(failed(attempts)), len(starts))
		})
	}
}

// storeOutage takes the store down and causes a further fault halfway through.
func storeOutage(furtherFault func(*testing.T, *cluster)) func(*testing.T, *cluster) {
	return func(t *testing.T, c *cluster) {
		c.setStoreFaults(t, `{"down":true}`)
		time.Sleep(outageDuration / 2)
		furtherFault(t, c)
		time.Sleep(outageDuration / 2)
		c.setStoreFaults(t, `{}`)
	}
}
