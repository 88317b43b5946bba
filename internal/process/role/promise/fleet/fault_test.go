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
	// beforeFault and afterFault are how long the load goes on around the fault.
	// After it there is time for the 5 s in which shards serve again.
	beforeFault = time.Second
	afterFault  = 5 * time.Second
	outage      = 5 * time.Second
	pause       = 4 * time.Second
	// entryLimit and agentLimit are the stated times of a shutdown with 1 s for the
	// process to end, agentLimit also with the hand-over of shards.
	entryLimit  = host.DrainLimit + time.Second + web.ShutdownLimit + time.Second
	agentLimit  = host.AgentDrainLimit + 10*time.Second
	targetLimit = 10 * time.Second
)

// TestFaults guards against a task that starts twice, a wrong or missing answer,
// and an untrue refusal when a process dies, stops, ends or loses its store.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		fault func(*testing.T, *fleet)
		// clean says that no job may fail: nothing that runs is lost.
		clean bool
	}{
		"owner_killed": {
			fault: func(t *testing.T, f *fleet) { f.agents[1].signal(t, syscall.SIGKILL) },
		},
		"agent_stopped": {
			fault: func(t *testing.T, f *fleet) {
				f.agents[1].signal(t, syscall.SIGSTOP)
				time.Sleep(pause)
				f.agents[1].signal(t, syscall.SIGCONT)
			},
		},
		"target_killed": {
			fault: func(t *testing.T, f *fleet) { f.targets[1].signal(t, syscall.SIGKILL) },
		},
		"store_down": {
			fault: storeOutage(func(*testing.T, *fleet) {}),
			clean: true,
		},
		"store_down_and_agent_killed": {
			fault: storeOutage(func(t *testing.T, f *fleet) { f.agents[1].signal(t, syscall.SIGKILL) }),
		},
		"store_answers_lost": {
			fault: func(t *testing.T, f *fleet) { f.storeFaults(t, `{"lose_answer":10}`) },
			clean: true,
		},
		"entry_killed": {
			fault: func(t *testing.T, f *fleet) { f.entries[0].signal(t, syscall.SIGKILL) },
			clean: true,
		},
		"zone_killed": {
			fault: func(t *testing.T, f *fleet) {
				f.agents[1].signal(t, syscall.SIGKILL)
				f.targets[1].signal(t, syscall.SIGKILL)
			},
		},
		"entry_ended": {
			fault: func(t *testing.T, f *fleet) { f.entries[0].terminate(t, entryLimit) },
			clean: true,
		},
		"agent_ended": {
			fault: func(t *testing.T, f *fleet) { f.agents[1].terminate(t, agentLimit) },
			clean: true,
		},
		"target_ended": {
			fault: func(t *testing.T, f *fleet) { f.targets[1].terminate(t, targetLimit) },
			clean: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			l := startLoad(f)
			time.Sleep(beforeFault)
			tt.fault(t, f)
			time.Sleep(afterFault)
			attempts, starts := l.stop()
			Convey("the promises hold", t, func() {
				So(broken(attempts, starts), ShouldBeEmpty)
				if tt.clean {
					So(failed(attempts), ShouldBeEmpty)
				}
				So(completed(attempts), ShouldBeGreaterThan, len(attempts)/2)
			})
			t.Logf("%d attempts, %d complete, %d failed, %d tasks started", len(attempts), completed(attempts), len(failed(attempts)), len(starts))
		})
	}
}

// storeOutage takes the store down and has a further fault in the outage.
func storeOutage(further func(*testing.T, *fleet)) func(*testing.T, *fleet) {
	return func(t *testing.T, f *fleet) {
		f.storeFaults(t, `{"down":true}`)
		time.Sleep(outage / 2)
		further(t, f)
		time.Sleep(outage / 2)
		f.storeFaults(t, `{}`)
	}
}
