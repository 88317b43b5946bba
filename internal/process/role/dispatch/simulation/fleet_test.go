package simulation_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/process/role/executor"
	"greengagedoor.example/greengagedoor/internal/process/subset"
)

// The times of the list of entries: a lost entry stays in it for its lease, and a
// connection settles.
const (
	registryDelay = 5 * time.Second
	settledAfter  = 5 * time.Second
)

// simFleet is a fleet in which each agent is connected to the entries that it chooses.
type simFleet struct {
	zones int
	// links is the number of connections of an agent; 0 if each agent decides.
	links int
	// lostAt has the entries that are lost for good, with the time.
	lostAt map[string]time.Duration
	// released counts the connections that were closed on purpose.
	released int
}

func newFleet(t *testing.T, seed uint64, entries, agents, zones int, limit time.Duration) *cluster {
	c := emptyCluster(t, seed, limit)
	c.fleet = &simFleet{
		zones:  zones,
		lostAt: map[string]time.Duration{},
	}
	c.version = newVersion(t, 1, 4, limit, map[string]string{
		"kind": "/",
	})
	c.addProcesses(entries, agents)
	return c
}

// zoneOf returns the availability zone of the process with a number.
func (c *cluster) zoneOf(i int) string {
	if c.fleet == nil {
		return "zone"
	}
	return fmt.Sprintf("zone_%d", i%c.fleet.zones)
}

// lost reports whether an entry has been lost for good.
func (c *cluster) lost(e *simEntry) bool {
	if c.fleet == nil {
		return false
	}
	_, lost := c.fleet.lostAt[e.name]
	return lost
}

// choose returns which entries an agent is to be connected to, and releases the
// connections that it does not need any more.
func (a *simAgent) choose() func(*simEntry) bool {
	if a.c.fleet == nil {
		return func(*simEntry) bool { return true }
	}
	links := map[string]*simLink{}
	for _, l := range a.links {
		links[l.e.name] = l
	}
	var members []subset.Member
	for _, e := range a.c.entries {
		if lostAt, lost := a.c.fleet.lostAt[e.name]; lost && a.c.now-lostAt >= registryDelay {
			continue
		}
		state := subset.StateUnproven
		switch l := links[e.name]; {
		case l != nil && a.c.now-l.openedAt >= settledAfter:
			state = subset.StateSettled
		case l == nil && !a.reaches(e):
			state = subset.StateFailing
		}
		members = append(members, subset.NewMember(e.name, e.zone).WithState(state))
	}
	total := a.wantedLinks
	if a.c.fleet.links > 0 {
		total = a.c.fleet.links
	}
	self := subset.NewMember(a.name, a.zone)
	choice := subset.NewSize(total*2/3, total).Choose(self, subset.CountAsOwn(self, members, a.s.Evacuated().Has))
	for _, l := range sortedLinks(a.links) {
		if !l.released && !choice.Keep(l.e.name) {
			l.released = true
			a.c.fleet.released++
			a.handle(executor.SessionReleased(l.number))
		}
	}
	return func(e *simEntry) bool { return choice.Dial(e.name) }
}

// loseEntry ends an entry for good, or starts one that was lost.
func loseEntry(c *cluster) {
	e := c.entries[c.random.IntN(len(c.entries))]
	if _, lost := c.fleet.lostAt[e.name]; lost {
		delete(c.fleet.lostAt, e.name)
		e.start()
		return
	}
	if e.d == nil {
		return
	}
	c.fleet.lostAt[e.name] = c.now
	e.end()
}

// fleetFault is one of the faults that come to a large fleet: any of those of a small
// one, and entries that come and go.
func fleetFault(c *cluster) {
	if c.oneIn(2) {
		loseEntry(c)
		return
	}
	anyFault(c)
}

// linkCounts returns the least and the largest number of agents of an entry, and the
// largest number of entries of an agent.
func (c *cluster) linkCounts() (least, most, ofAgent int) {
	least = len(c.agents)
	for _, e := range c.entries {
		if e.d != nil {
			least = min(least, len(e.links))
			most = max(most, len(e.links))
		}
	}
	for _, a := range c.agents {
		ofAgent = max(ofAgent, len(a.links))
	}
	return least, most, ofAgent
}

// submitTo submits a job of short tasks to an entry.
func (c *cluster) submitTo(e *simEntry) {
	j := &simJob{
		id:     fmt.Sprintf("job%d", len(c.jobs)),
		tasks:  1 + c.random.IntN(8),
		length: 30*time.Millisecond + c.jitter(300),
	}
	c.jobs[j.id] = j
	c.submit(j, e)
}

// TestFleet guards against a fleet whose connections, frames and bytes grow with the
// product of its entries and agents, and against connections that are closed on purpose
// and break a promise: two runs of a task at the same time, or a run that is lost.
func TestFleet(t *testing.T) {
	const (
		length = 12 * time.Second
		// idleFrames bounds the frames of an idle connection in a second, both ways: a
		// heartbeat each 200 ms, its echo, and what its target reports of itself.
		idleFrames = 10.5
		idleBytes  = 600
	)
	tests := map[string]struct {
		entries     int
		agents      int
		every       time.Duration
		minComplete float64
	}{
		"75_hosts":         {entries: 11, agents: 64, minComplete: 0.97},
		"295_hosts":        {entries: 55, agents: 240, minComplete: 0.97},
		"295_hosts_faults": {entries: 55, agents: 240, every: 60 * time.Millisecond, minComplete: 0.8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newFleet(t, 1, tt.entries, tt.agents, 5, 1500*time.Millisecond)
			c.run(c.now + 3*time.Second)
			least, most, ofAgent := c.linkCounts()
			links := tt.agents * min(executor.MinLinks, tt.entries)
			c.frames = 0
			c.frameBytes = 0
			c.run(c.now + 2*time.Second)
			t.Logf("%d to %d agents of an entry; %.1f frames and %.0f bytes a second of an idle connection",
				least, most, float64(c.frames)/float64(links)/2, float64(c.frameBytes)/float64(links)/2)
			Convey("connections are bounded and spread, and an idle one costs its heartbeats", t, func() {
				So(ofAgent, ShouldEqual, min(executor.MinLinks, tt.entries))
				So(least, ShouldBeGreaterThanOrEqualTo, links/tt.entries/2)
				So(most, ShouldBeLessThanOrEqualTo, 2*links/tt.entries)
				So(float64(c.frames)/float64(links)/2, ShouldBeLessThanOrEqualTo, idleFrames)
				So(float64(c.frameBytes)/float64(links)/2, ShouldBeLessThanOrEqualTo, idleBytes)
			})
			end := c.now + length
			var submitJobs, injectFaults func()
			submitJobs = func() {
				if e := c.entries[c.random.IntN(len(c.entries))]; e.d != nil {
					c.submitTo(e)
				}
				if c.now < end {
					c.after(c.jitter(10), submitJobs)
				}
			}
			injectFaults = func() {
				fleetFault(c)
				if c.now < end {
					c.after(c.jitter(int(2*tt.every/time.Millisecond)), injectFaults)
				}
			}
			submitJobs()
			if tt.every > 0 {
				injectFaults()
			}
			c.run(end + 4*time.Second)
			c.oracle.end()
			complete := 0
			for _, j := range c.jobs {
				for _, s := range j.answers {
					if s == dispatch.StateComplete {
						complete++
						break
					}
				}
			}
			t.Logf("%d of %d jobs complete, %d connections closed on purpose", complete, len(c.jobs), c.fleet.released)
			Convey("no promise is broken, and enough jobs are complete", t, func() {
				So(c.oracle.violations, ShouldBeEmpty)
				So(float64(complete)/float64(len(c.jobs)), ShouldBeGreaterThanOrEqualTo, tt.minComplete)
				So(c.fleet.released > 0, ShouldEqual, tt.every > 0)
			})
		})
	}
}

// TestFewTargets guards against entries that are connected to no target of a service
// that few run, so that they refuse its jobs although targets have room.
func TestFewTargets(t *testing.T) {
	tests := map[string]struct {
		entries int
		agents  int
		least   int
	}{
		"3_agents":   {entries: 30, agents: 3, least: 3},
		"20_agents":  {entries: 40, agents: 20, least: 8},
		"100_agents": {entries: 55, agents: 100, least: 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			Convey("each entry gets enough agents", t, func() {
				c := newFleet(t, 1, tt.entries, tt.agents, 5, 1500*time.Millisecond)
				c.run(c.now + 12*time.Second)
				least, most, ofAgent := c.linkCounts()
				t.Logf("%d to %d agents of an entry, at most %d entries of an agent", least, most, ofAgent)
				So(least, ShouldBeGreaterThanOrEqualTo, tt.least)
				So(most, ShouldBeLessThanOrEqualTo, 48)
			})
		})
	}
}
