package simulation_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/dispatch"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

var evacuationSeeds = flag.Int("simulation.evacuations", 2, "number of seeds per scenario of TestEvacuations")

const (
	// evacuate is the time after the confirmation of an evacuation in which tasks may still
	// start in its zone.
	evacuate = 5 * time.Second
	// contact is how long a host must have been without a disturbance for the bound to hold.
	contact = 4 * time.Second
	// evacuationTime is how long evacuations and disturbances are drawn.
	evacuationTime = 40 * time.Second
	// leastComplete is the share of jobs that is complete although most of the time one or
	// two of three zones are evacuated, and at times all.
	leastComplete = 0.3
)

// simEvacuations is the store with the operators' requests to evacuate zones.
type simEvacuations struct {
	c        *cluster
	store    *simStore
	revision int64
	// confirmed has the evacuated zones with the time of their confirmation.
	confirmed map[string]time.Duration
	watchers  []func()
	// upSince is when the store was last available again, or will be, to all.
	upSince time.Duration
	// disturbed has the time until which an agent was disturbed.
	disturbed map[string]time.Duration
	began     int
	// checked counts the evacuations that lasted beyond the bound.
	checked int
}

// request evacuates a zone or takes it back.
func (s *simEvacuations) request(zone string, evacuated bool) {
	s.revision++
	since, was := s.confirmed[zone]
	switch {
	case evacuated && !was:
		s.began++
		s.confirmed[zone] = s.c.now
	case !evacuated && was:
		delete(s.confirmed, zone)
		if s.c.now > since+evacuate {
			s.checked++
		}
	}
	watchers := s.watchers
	s.watchers = nil
	for _, notify := range watchers {
		notify()
	}
}

func (s *simEvacuations) set() evacuation.Set {
	return evacuation.New(s.revision, slices.Collect(maps.Keys(s.confirmed)))
}

// check reports a start in a zone later than the bound after its evacuation, unless the
// agent's host was disturbed, or no process could have read the request.
func (s *simEvacuations) check(t *simTarget, id fmt.Stringer) {
	confirmed, evacuated := s.confirmed[t.zone]
	now := s.c.now
	if !evacuated || now <= max(confirmed, s.upSince)+evacuate || now <= s.disturbed[t.name]+contact || t.late {
		return
	}
	s.c.oracle.addViolation("%v starts on %s in %s, evacuated %v before", id, t.name, t.zone, now-confirmed)
}

// followEvacuations lets an entry watch the requests after a revision.
func (e *simEntry) followEvacuations(incarnation uint64, read int64) {
	s := e.c.evacuations
	if e.incarnation != incarnation {
		return
	}
	if s.store.unavailable(e.name) {
		e.c.after(retryPause, func() { e.followEvacuations(incarnation, read) })
		return
	}
	ended := false
	follow := func(pause time.Duration, revision int64) {
		if !ended {
			ended = true
			e.c.after(pause, func() { e.followEvacuations(incarnation, revision) })
		}
	}
	e.c.after(watchTimeout, func() { follow(retryPause, read) })
	answer := func() {
		x := s.set()
		e.c.after(s.store.delay(), func() {
			if ended || e.incarnation != incarnation || s.store.unavailable(e.name) {
				return
			}
			e.handle(dispatch.EvacuationsRead(x))
			follow(0, x.Revision())
		})
	}
	if s.revision > read {
		answer()
		return
	}
	s.watchers = append(s.watchers, answer)
	e.c.after(time.Second, func() { follow(0, read) })
}

// evacuationScenario draws evacuations with disturbances.
type evacuationScenario struct {
	// every is the mean time between two disturbances.
	every   time.Duration
	disturb func(*cluster)
}

var evacuationScenarios = map[string]evacuationScenario{
	"calm":              {},
	"entries_killed":    {every: 700 * time.Millisecond, disturb: killEntry},
	"entries_frozen":    {every: 900 * time.Millisecond, disturb: freezeEntry},
	"agents_restart":    {every: 700 * time.Millisecond, disturb: onAgent(func(c *cluster, a *simAgent) { a.kill() })},
	"agents_cut":        {every: time.Second, disturb: onAgent(cutAgent)},
	"partitions":        {every: 500 * time.Millisecond, disturb: partition},
	"store_turns_away":  {every: 3 * time.Second, disturb: turnEntriesAway},
	"store_outages":     {every: 4 * time.Second, disturb: endStore},
	"orders_late":       {every: 700 * time.Millisecond, disturb: carryOutLate},
	"targets_restart":   {every: 300 * time.Millisecond, disturb: restartTarget},
	"all_at_any_time":   {every: 500 * time.Millisecond, disturb: anyEvacuationFault},
	"all_entries_start": {every: 6 * time.Second, disturb: restartEntries},
}

// onAgent returns a disturbance of one agent, after which its host is out of touch.
func onAgent(disturb func(*cluster, *simAgent)) func(*cluster) {
	return func(c *cluster) {
		a := c.agents[c.random.IntN(len(c.agents))]
		if a.s == nil {
			return
		}
		c.evacuations.disturbed[a.name] = c.now + time.Second
		disturb(c, a)
	}
}

// cutAgent cuts an agent off from all entries.
func cutAgent(c *cluster, a *simAgent) {
	until := c.now + 500*time.Millisecond + c.jitter(7000)
	c.evacuations.disturbed[a.name] = max(c.evacuations.disturbed[a.name], until)
	for _, e := range c.entries {
		a.partitionedUntil[e.name] = until
	}
}

// turnEntriesAway lets the store turn some entries away, but not all.
func turnEntriesAway(c *cluster) {
	for i := range 1 + c.random.IntN(len(c.entries)-1) {
		c.evacuations.store.deniedUntil[c.entries[i].name] = c.now + c.jitter(12_000)
	}
}

// endStore takes the store away for some time.
func endStore(c *cluster) {
	s := c.evacuations
	s.store.downUntil = c.now + c.jitter(3000)
	s.upSince = s.store.downUntil
}

func restartEntries(c *cluster) {
	for _, e := range c.entries {
		if e.d != nil {
			e.kill()
		}
	}
}

func anyEvacuationFault(c *cluster) {
	faults := []func(*cluster){killEntry, freezeEntry, onAgent(func(c *cluster, a *simAgent) { a.kill() }), onAgent(cutAgent), partition, turnEntriesAway, endStore, carryOutLate, muteStop, restartTarget, crashTarget, restartEntries}
	faults[c.random.IntN(len(faults))](c)
}

// drawEvacuations evacuates zones one after the other, some of them at the same time, again
// and all at once, and takes them back. Their targets are cold for a while afterwards.
func (s *simEvacuations) drawEvacuations(end time.Duration) {
	c := s.c
	if c.now >= end {
		for _, z := range slices.Sorted(maps.Keys(s.confirmed)) {
			s.request(z, false)
		}
		return
	}
	zones := []string{c.zoneOf(c.random.IntN(c.fleet.zones))}
	if c.oneIn(6) {
		zones = []string{c.zoneOf(0), c.zoneOf(1), c.zoneOf(2)}
	}
	for _, z := range zones {
		s.request(z, true)
		c.after(time.Second+c.jitter(11_000), func() { s.request(z, false) })
		for _, a := range c.agents {
			if a.zone == z {
				a.target.coldUntil = c.now + c.jitter(8000)
			}
		}
	}
	c.after(c.jitter(8000), func() { s.drawEvacuations(end) })
}

func simulateEvacuations(t *testing.T, seed uint64, s evacuationScenario) *cluster {
	const limit = 1500 * time.Millisecond
	c := emptyCluster(t, seed, limit)
	c.fleet = &simFleet{
		zones:  3,
		lostAt: map[string]time.Duration{},
	}
	c.evacuations = &simEvacuations{
		c:         c,
		store:     newSimStore(c),
		revision:  1,
		confirmed: map[string]time.Duration{},
		disturbed: map[string]time.Duration{},
	}
	c.version = newVersion(t, 1, 4, limit, map[string]string{
		"kind": "/",
	})
	c.addProcesses(4, 9)
	end := c.now + evacuationTime
	var submitJobs, disturb func()
	submitJobs = func() {
		j := &simJob{
			id:     fmt.Sprintf("job%d", len(c.jobs)),
			tasks:  1 + c.random.IntN(4),
			length: 30*time.Millisecond + c.jitter(300),
		}
		c.jobs[j.id] = j
		c.submit(j, c.entries[c.random.IntN(len(c.entries))])
		if c.now < end {
			c.after(c.jitter(60), submitJobs)
		}
	}
	disturb = func() {
		if c.now < end {
			s.disturb(c)
			c.after(c.jitter(int(2*s.every/time.Millisecond)), disturb)
		}
	}
	c.after(time.Second, submitJobs)
	c.after(2*time.Second, func() { c.evacuations.drawEvacuations(end) })
	if s.disturb != nil {
		c.after(2*time.Second, disturb)
	}
	c.run(end + 12*time.Second)
	c.oracle.end()
	c.checkRecovery()
	return c
}

// TestEvacuations guards against a task that starts in an evacuated zone after the bound,
// and against a zone that gets no work after it was restored.
func TestEvacuations(t *testing.T) {
	for name, s := range evacuationScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began, checked, complete, jobs := 0, 0, 0, 0
			for seed := range uint64(*evacuationSeeds) {
				c := simulateEvacuations(t, seed+1, s)
				Convey(fmt.Sprintf("seed %d violates no invariant", seed+1), t, func() {
					So(c.oracle.violations, ShouldBeEmpty)
				})
				began += c.evacuations.began
				checked += c.evacuations.checked
				jobs += len(c.jobs)
				for _, j := range c.jobs {
					if slices.Contains(j.answers, dispatch.StateComplete) {
						complete++
					}
				}
			}
			Convey("evacuations outlast the bound, and callers are served by the other zones", t, func() {
				So(checked, ShouldBeGreaterThan, 0)
				So(float64(complete)/float64(jobs), ShouldBeGreaterThanOrEqualTo, leastComplete)
			})
			t.Logf("%d evacuations, %d of them beyond the bound, %d of %d jobs complete", began, checked, complete, jobs)
		})
	}
}
