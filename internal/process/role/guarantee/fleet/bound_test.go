package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/identity"
)

const (
	// The bounds of section 1 of the design page.
	recoveryBound = 5 * time.Second
	leavingBound  = 3 * time.Second
	rolloutBound  = 10 * time.Second
	// leavingObservation is the time after leavingBound in which the target must not
	// start work.
	leavingObservation = 3 * time.Second
	// probeTimeout ends a probe that has exceeded recoveryBound by far.
	probeTimeout  = 15 * time.Second
	probeInterval = 100 * time.Millisecond
	// versionObservation is the time in which no process may return to an earlier
	// version after the store answers again.
	versionObservation = 3 * time.Second
)

// TestShardsServeAgain guards against shards that do not complete new jobs within
// 5 s after their owner was killed.
func TestShardsServeAgain(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	killed := time.Now()
	c.agents[1].signal(t, syscall.SIGKILL)
	elapsed := make([]time.Duration, shardCount)
	lastResponse := make([]string, shardCount)
	var probes sync.WaitGroup
	for s := range shardCount {
		probes.Go(func() { elapsed[s], lastResponse[s] = probe(c, s, killed) })
	}
	probes.Wait()
	var slow []string
	var longest time.Duration
	for s := range elapsed {
		longest = max(longest, elapsed[s])
		if elapsed[s] > recoveryBound {
			slow = append(slow, fmt.Sprintf("shard %d after %v, last answer before %s", s, elapsed[s].Round(time.Millisecond), lastResponse[s]))
		}
	}
	t.Logf("all shards served new jobs %v after the kill", longest.Round(time.Millisecond))
	Convey("every shard completes a new job within the bound", t, func() {
		So(slow, ShouldBeEmpty)
	})
}

// probe submits new jobs of a shard until one completes. It returns the time since
// the kill and the last answer that was not complete.
func probe(c *cluster, shard int, killed time.Time) (time.Duration, string) {
	ctx, cancel := context.WithDeadline(context.Background(), killed.Add(probeTimeout))
	defer cancel()
	lastResponse := "none"
	for n := shard; ctx.Err() == nil; n++ {
		a := attempt{
			job:   probeJob(shard),
			began: time.Now(),
		}
		for ctx.Err() == nil && !a.request(ctx, c.entries[n%len(c.entries)]) {
			time.Sleep(probeInterval)
		}
		if a.state == "complete" {
			return time.Since(killed), lastResponse
		}
		lastResponse = a.lastResponse
		time.Sleep(probeInterval)
	}
	return time.Since(killed), lastResponse
}

// probeJob returns a job of one short task in a shard. It draws keys until one falls
// into the shard. The hash spreads keys evenly, so few are needed.
func probeJob(shard int) job {
	for {
		id := uuid.Must(uuid.NewV7())
		key := id.String()
		s, err := identity.SubmissionOf(team, id)
		if err == nil && int(identity.ShardOf(s, 0, 1, shardCount)) == shard {
			return job{
				key:   key,
				body:  []byte(fmt.Sprintf(`{"key":%q,"kind":%q,"tasks":[{"run_ms":20,"echo":%q}]}`, key, kind, expectedEcho(key, 0))),
				tasks: 1,
			}
		}
	}
}

// TestLeavingTarget guards against new work for a target more than 3 s after it
// announced that it leaves, or after its last announcement.
func TestLeavingTarget(t *testing.T) {
	tests := map[string]struct {
		leave func(*testing.T, *cluster)
	}{
		"leaving": {
			leave: func(t *testing.T, c *cluster) {
				stopAnnouncements(t, c.targets[1])
				announceLeaving(t, c)
			},
		},
		"silent": {
			leave: func(t *testing.T, c *cluster) { stopAnnouncements(t, c.targets[1]) },
		},
		"stopped": {
			leave: func(t *testing.T, c *cluster) { c.targets[1].signal(t, syscall.SIGSTOP) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			l := startLoad(c)
			time.Sleep(beforeFault)
			before := metricValue(c.agents[1], "tasks_started")
			tt.leave(t, c)
			time.Sleep(leavingBound)
			atBound, listed := metricValue(c.agents[1], "tasks_started"), len(startCounts(c.targets[1]))
			time.Sleep(leavingObservation)
			after, listedAfter := metricValue(c.agents[1], "tasks_started"), len(startCounts(c.targets[1]))
			c.targets[1].signal(t, syscall.SIGCONT)
			attempts, starts := l.stop()
			t.Logf("tasks started by the agent: %d before, %d at the bound, %d after", before, atBound, after)
			Convey("the target gets no new work after the bound", t, func() {
				So(before, ShouldBeGreaterThan, 0)
				So(after, ShouldEqual, atBound)
				So(listedAfter, ShouldEqual, listed)
				So(violations(attempts, starts), ShouldBeEmpty)
			})
		})
	}
}

// post expects the status 204.
func post(t *testing.T, url, body string) {
	t.Helper()
	resp, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Errorf("post %s: %v", url, err)
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Errorf("post %s: status %d, want %d", url, resp.StatusCode, http.StatusNoContent)
	}
}

// stopAnnouncements ends the announcements of a target, which still serves.
func stopAnnouncements(t *testing.T, target *process) {
	t.Helper()
	post(t, target.url+"/standin/faults", `{"silent":true}`)
}

// announceLeaving announces in place of the second target that it leaves. The target
// itself still serves, so that it would record new work.
func announceLeaving(t *testing.T, c *cluster) {
	t.Helper()
	a, err := announcement.New(c.targets[1].name, c.targets[1].url+"/task", []string{service}, 8, 64, true)
	if err != nil {
		t.Fatal(err)
	}
	body, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	post(t, c.agents[1].url+"/v1/announce", string(body))
}

// TestVersionInForce guards against an accepted configuration that is not active in
// all processes in time, or that a process replaces by an earlier one.
func TestVersionInForce(t *testing.T) {
	tests := map[string]struct {
		accepted func(*testing.T, *cluster)
	}{
		"store_up": {
			accepted: func(*testing.T, *cluster) {},
		},
		"store_down_after_acceptance": {
			accepted: func(t *testing.T, c *cluster) { c.setStoreFaults(t, `{"down":true}`) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.apply(t, 1, 2)
			accepted := time.Now()
			tt.accepted(t, c)
			active := eventually(rolloutBound, func() bool { return c.lowestVersion() >= 2 })
			t.Logf("version active in all processes: %t, after %v", active, time.Since(accepted).Round(time.Millisecond))
			time.Sleep(time.Second)
			c.setStoreFaults(t, `{}`)
			reverted := false
			eventually(versionObservation, func() bool {
				n := c.lowestVersion()
				reverted = reverted || (n >= 0 && n < 2)
				return false
			})
			Convey("the version becomes active in all processes and stays", t, func() {
				So(active, ShouldBeTrue)
				So(reverted, ShouldBeFalse)
			})
		})
	}
}

// lowestVersion returns the lowest active version, -1 if a process does not answer.
func (c *cluster) lowestVersion() int {
	n := metricValue(c.entries[0], "config_version")
	for _, p := range c.productProcesses() {
		n = min(n, metricValue(p, "config_version"))
	}
	return n
}
