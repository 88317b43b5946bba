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
	serveAgainBound = 5 * time.Second
	leaveBound      = 3 * time.Second
	versionBound    = 10 * time.Second
	// leaveWatch is how long a left target is watched for new work.
	leaveWatch = 3 * time.Second
	// probeLimit ends a probe that the bound has long passed.
	probeLimit = 15 * time.Second
	probePause = 100 * time.Millisecond
	// versionWatch is how long versions must not go back after the store answers
	// again.
	versionWatch = 3 * time.Second
)

// TestShardsServeAgain guards against shards of a dead owner that take longer than
// 5 s until new jobs succeed.
func TestShardsServeAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	killed := time.Now()
	f.agents[1].signal(t, syscall.SIGKILL)
	took := make([]time.Duration, shards)
	last := make([]string, shards)
	var probes sync.WaitGroup
	for s := range shards {
		probes.Go(func() { took[s], last[s] = probe(f, s, killed) })
	}
	probes.Wait()
	var late []string
	var longest time.Duration
	for s := range took {
		longest = max(longest, took[s])
		if took[s] > serveAgainBound {
			late = append(late, fmt.Sprintf("shard %d after %v, last failure %s", s, took[s].Round(time.Millisecond), last[s]))
		}
	}
	t.Logf("all shards served new jobs %v after the kill", longest.Round(time.Millisecond))
	Convey("every shard serves again in time", t, func() {
		So(late, ShouldBeEmpty)
	})
}

// probe submits fresh jobs of a shard until one completes, and returns the time
// since the kill and the last answer that was not complete.
func probe(f *fleet, shard int, killed time.Time) (time.Duration, string) {
	ctx, cancel := context.WithDeadline(context.Background(), killed.Add(probeLimit))
	defer cancel()
	last := "none"
	for n := shard; ctx.Err() == nil; n++ {
		a := attempt{
			job:   probeJob(shard),
			began: time.Now(),
		}
		for ctx.Err() == nil && !a.ask(ctx, f.entries[n%len(f.entries)]) {
			time.Sleep(probePause)
		}
		if a.state == "complete" {
			return time.Since(killed), last
		}
		last = a.last
		time.Sleep(probePause)
	}
	return time.Since(killed), last
}

// probeJob returns a job of one short task in a shard. Few keys are needed, since
// the hash spreads them evenly.
func probeJob(shard int) job {
	for {
		id := uuid.Must(uuid.NewV7())
		key := id.String()
		s, err := identity.SubmissionOf(team, id)
		if err == nil && int(identity.ShardOf(s, 0, 1, shards)) == shard {
			return job{
				key:   key,
				body:  []byte(fmt.Sprintf(`{"key":%q,"kind":%q,"tasks":[{"run_ms":20,"echo":%q}]}`, key, kind, echoOf(key, 0))),
				tasks: 1,
			}
		}
	}
}

// TestLeavingTarget guards against work for a target that said that it leaves, or
// that is not heard any more, for longer than 3 s.
func TestLeavingTarget(t *testing.T) {
	tests := map[string]struct {
		leave func(*testing.T, *fleet)
	}{
		"leaving": {
			leave: func(t *testing.T, f *fleet) {
				silence(t, f.targets[1])
				announceLeaving(t, f)
			},
		},
		"silent": {
			leave: func(t *testing.T, f *fleet) { silence(t, f.targets[1]) },
		},
		"stopped": {
			leave: func(t *testing.T, f *fleet) { f.targets[1].signal(t, syscall.SIGSTOP) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			l := startLoad(f)
			time.Sleep(beforeFault)
			before := variable(f.agents[1], "tasks_started")
			tt.leave(t, f)
			time.Sleep(leaveBound)
			atBound, listed := variable(f.agents[1], "tasks_started"), len(startsAt(f.targets[1]))
			time.Sleep(leaveWatch)
			after, listedAfter := variable(f.agents[1], "tasks_started"), len(startsAt(f.targets[1]))
			f.targets[1].signal(t, syscall.SIGCONT)
			attempts, starts := l.stop()
			t.Logf("tasks started by the agent: %d before, %d at the bound, %d after", before, atBound, after)
			Convey("the target gets no new work after the bound", t, func() {
				So(before, ShouldBeGreaterThan, 0)
				So(after, ShouldEqual, atBound)
				So(listedAfter, ShouldEqual, listed)
				So(broken(attempts, starts), ShouldBeEmpty)
			})
		})
	}
}

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

// silence ends the announcements of a target that goes on serving.
func silence(t *testing.T, target *process) {
	t.Helper()
	post(t, target.url+"/standin/faults", `{"silent":true}`)
}

// announceLeaving says for the second target that it leaves. The target itself
// goes on, so that it would note new work.
func announceLeaving(t *testing.T, f *fleet) {
	t.Helper()
	a, err := announcement.New(f.targets[1].name, f.targets[1].url+"/task", []string{service}, 8, 64, true)
	if err != nil {
		t.Fatal(err)
	}
	body, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	post(t, f.agents[1].url+"/v1/announce", string(body))
}

// TestVersionInForce guards against an accepted configuration that does not reach
// all processes in time, or that is given up again.
func TestVersionInForce(t *testing.T) {
	tests := map[string]struct {
		accepted func(*testing.T, *fleet)
	}{
		"store_up": {
			accepted: func(*testing.T, *fleet) {},
		},
		"store_down_after_acceptance": {
			accepted: func(t *testing.T, f *fleet) { f.storeFaults(t, `{"down":true}`) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.apply(t, 1, 2)
			accepted := time.Now()
			tt.accepted(t, f)
			inForce := until(versionBound, func() bool { return f.lowest() >= 2 })
			t.Logf("in force everywhere: %t, after %v", inForce, time.Since(accepted).Round(time.Millisecond))
			time.Sleep(time.Second)
			f.storeFaults(t, `{}`)
			back := false
			until(versionWatch, func() bool {
				n := f.lowest()
				back = back || (n >= 0 && n < 2)
				return false
			})
			Convey("the version is in force everywhere and stays", t, func() {
				So(inForce, ShouldBeTrue)
				So(back, ShouldBeFalse)
			})
		})
	}
}

// lowest is the lowest version in force, -1 if a process does not answer.
func (f *fleet) lowest() int {
	n := variable(f.entries[0], "config_version")
	for _, p := range f.roles() {
		n = min(n, variable(p, "config_version"))
	}
	return n
}
