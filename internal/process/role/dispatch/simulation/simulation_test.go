package simulation_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var seeds = flag.Int("simulation.seeds", 25, "number of seeds per scenario")

// scenario injects faults into a world of a few entries and agents.
type scenario struct {
	// every is the mean time between two faults.
	every time.Duration
	fault func(*world)
	// minComplete is the least share of jobs that must be answered complete.
	minComplete float64
	// stretch multiplies run times and callers' timeouts, so that runs outlive every
	// timeout of the protocol.
	stretch time.Duration
}

func killEntry(w *world) {
	if e := w.entries[w.random.IntN(len(w.entries))]; e.d != nil {
		e.kill()
	}
}

func killAgent(w *world) {
	if a := w.agents[w.random.IntN(len(w.agents))]; a.s != nil {
		a.kill()
	}
}

func freezeEntry(w *world) {
	w.entries[w.random.IntN(len(w.entries))].freeze(w, 200*time.Millisecond+w.jitter(3000))
}

func freezeAgent(w *world) {
	w.agents[w.random.IntN(len(w.agents))].freeze(w, 200*time.Millisecond+w.jitter(3000))
}

func partition(w *world) {
	a := w.agents[w.random.IntN(len(w.agents))]
	e := w.entries[w.random.IntN(len(w.entries))]
	a.partitionedUntil[e.name] = w.now + 100*time.Millisecond + w.jitter(4000)
}

func crashTarget(w *world) {
	t := w.agents[w.random.IntN(len(w.agents))].target
	if !t.up {
		return
	}
	t.crash()
	w.after(500*time.Millisecond+w.jitter(1500), t.start)
}

func loseCommands(w *world) {
	for _, a := range w.agents {
		a.target.losesRepliesUntil = w.now + time.Second
	}
}

func disconnectTarget(w *world) {
	w.agents[w.random.IntN(len(w.agents))].target.disconnectedUntil = w.now + 300*time.Millisecond + w.jitter(2500)
}

func hangTarget(w *world) {
	t := w.agents[w.random.IntN(len(w.agents))].target
	t.hang = true
	w.after(time.Second+w.jitter(2000), func() { t.hang = false })
}

func slowTarget(w *world) {
	t := w.agents[w.random.IntN(len(w.agents))].target
	t.factor = 6
	w.after(time.Second+w.jitter(2000), func() { t.factor = 1 })
}

func anyFault(w *world) {
	faults := []func(*world){killEntry, killAgent, freezeEntry, freezeAgent, partition, crashTarget, loseCommands, disconnectTarget, hangTarget, slowTarget}
	faults[w.random.IntN(len(faults))](w)
}

func simulate(t *testing.T, seed uint64, s scenario) *world {
	stretch := max(s.stretch, 1)
	w := newWorld(t, seed, 2, 4, stretch*1500*time.Millisecond)
	end := w.now + 12*time.Second
	var submitJobs, injectFaults func()
	submitJobs = func() {
		j := &simJob{
			id:     fmt.Sprintf("job%d", len(w.jobs)),
			tasks:  1 + w.random.IntN(5),
			length: 30*time.Millisecond + w.jitter(400),
		}
		if w.oneIn(4) {
			// The run outlives the silence after which the entry loses an agent.
			j.length = 900*time.Millisecond + w.jitter(500)
		}
		j.length *= stretch
		w.jobs[j.id] = j
		w.submit(j, w.entries[w.random.IntN(len(w.entries))])
		if w.now < end {
			w.after(stretch*w.jitter(100), submitJobs)
		}
	}
	injectFaults = func() {
		if w.now >= end+stretch*3*time.Second {
			return
		}
		s.fault(w)
		w.after(w.jitter(int(2*s.every/time.Millisecond)), injectFaults)
	}
	w.after(time.Second, submitJobs)
	if s.fault != nil {
		w.after(2*time.Second, injectFaults)
	}
	w.run(end + stretch*6*time.Second)
	w.oracle.end()
	w.checkRecovery()
	return w
}

// The check that all targets serve again some time after the last fault.
const (
	// recoveryTime covers the longest fault and the longest ejection of a target.
	recoveryTime = 15 * time.Second
	// fillJobs of fillTasks tasks need more than the capacity of all targets.
	fillJobs  = 12
	fillTasks = 5
)

// checkRecovery waits without faults and then submits many jobs to each entry in
// turn. Each entry must use each target, since none has a fault any more.
func (w *world) checkRecovery() {
	w.run(w.now + recoveryTime)
	for _, e := range w.entries {
		for _, a := range w.agents {
			a.target.served = false
		}
		for i := range fillJobs {
			j := &simJob{
				id:     fmt.Sprintf("fill_%s_%d", e.name, i),
				tasks:  fillTasks,
				length: 200 * time.Millisecond,
			}
			w.jobs[j.id] = j
			w.submit(j, e)
		}
		w.run(w.now + 5*time.Second)
		for _, a := range w.agents {
			if !a.target.served {
				w.oracle.fault("%s gets no work from %s after all faults have ended", a.target.name, e.name)
			}
		}
	}
}

// TestSimulation guards against two runs of a task at the same time, against the
// refusal of a job that has run, and against a fault after which targets get no
// work. Processes are killed, frozen or cut off, and targets crash, hang or lose
// replies.
func TestSimulation(t *testing.T) {
	tests := map[string]scenario{
		"no_faults":             {minComplete: 0.97},
		"entry_killed":          {every: 900 * time.Millisecond, fault: killEntry, minComplete: 0.5},
		"agent_killed":          {every: 900 * time.Millisecond, fault: killAgent, minComplete: 0.5},
		"entry_frozen":          {every: 1500 * time.Millisecond, fault: freezeEntry, minComplete: 0.3},
		"agent_frozen":          {every: 1500 * time.Millisecond, fault: freezeAgent, minComplete: 0.5},
		"partition":             {every: 700 * time.Millisecond, fault: partition, minComplete: 0.6},
		"target_crashed":        {every: 900 * time.Millisecond, fault: crashTarget, minComplete: 0.5},
		"orders_lost":           {every: 700 * time.Millisecond, fault: loseCommands, minComplete: 0.8},
		"target_unreachable":    {every: 900 * time.Millisecond, fault: disconnectTarget, minComplete: 0.4},
		"unreachable_long_work": {every: 900 * time.Millisecond, fault: disconnectTarget, minComplete: 0.2, stretch: 4},
		"target_hangs":          {every: 2 * time.Second, fault: hangTarget, minComplete: 0.6},
		"target_slow":           {every: 2 * time.Second, fault: slowTarget, minComplete: 0.6},
		"partition_long_work":   {every: 700 * time.Millisecond, fault: partition, minComplete: 0.5, stretch: 4},
		"all_long_work":         {every: 700 * time.Millisecond, fault: anyFault, minComplete: 0.1, stretch: 4},
		"all_at_any_time":       {every: 500 * time.Millisecond, fault: anyFault, minComplete: 0.2},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			complete, jobs := 0, 0
			for seed := range uint64(*seeds) {
				w := simulate(t, seed+1, s)
				Convey(fmt.Sprintf("seed %d violates no invariant", seed+1), t, func() {
					So(w.oracle.faults, ShouldBeEmpty)
				})
				for _, j := range w.jobs {
					jobs++
					for _, st := range j.answers {
						if st.String() == "complete" {
							complete++
							break
						}
					}
				}
			}
			Convey("enough jobs are complete", t, func() {
				So(float64(complete)/float64(jobs), ShouldBeGreaterThanOrEqualTo, s.minComplete)
			})
			t.Logf("%d of %d jobs complete", complete, jobs)
		})
	}
}
