package owner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// submitted is a submission of the random test with the requests about it.
type submitted struct {
	key      identity.Submission
	kind     string
	deadline time.Time
	tasks    int
	requests []uint64
}

// machine drives a harness with random events.
type machine struct {
	h          *harness
	submitted  []*submitted
	next       uint64
	epoch      identity.Epoch
	ownerCount int
	lost       []membership.Member
	checked    map[uint64]bool
}

// TestOracle guards against a second start of a task, a refusal that states "not
// run" after a start, a complete answer without all starts, and two different
// answers to one submission, under any order of submissions, cancellations,
// failures, lost agents and changes of the owner.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{
			h: newHarness(4, 2,
				kindOf("urgent", configuration.Critical, time.Second, 50*time.Millisecond),
				kindOf("retried", configuration.Normal, time.Second, 50*time.Millisecond).WithMaxStarts(2)),
			epoch:   1,
			checked: map[uint64]bool{},
		}
		m.h.startOwner("owner-0", 1, nil)
		m.h.paused = true
		rt.Repeat(map[string]func(*rapid.T){
			"submit":   m.submit,
			"resubmit": m.resubmit,
			"cancel":   m.cancel,
			"deliver":  m.deliverToAgent,
			"report":   m.deliverToOwner,
			"finish":   m.finish,
			"settle":   m.deliverAll,
			"advance":  m.advance,
			"kill":     m.kill,
			"failover": m.failover,
			"":         m.check,
		})
	})
}

func (m *machine) submit(t *rapid.T) {
	m.next++
	a := &submitted{
		key:   key(m.h.now, m.next),
		kind:  rapid.SampledFrom([]string{"plain", "urgent", "retried"}).Draw(t, "kind"),
		tasks: rapid.IntRange(1, 6).Draw(t, "tasks"),
	}
	if rapid.Bool().Draw(t, "hurried") {
		a.deadline = m.h.now.Add(2 * time.Second)
	}
	m.submitted = append(m.submitted, a)
	a.requests = append(a.requests, m.h.submit(a.key, a.kind, a.tasks, a.deadline))
}

func (m *machine) pick(t *rapid.T) *submitted {
	if len(m.submitted) == 0 {
		t.Skip("nothing submitted")
	}
	return m.submitted[rapid.IntRange(0, len(m.submitted)-1).Draw(t, "submission")]
}

func (m *machine) resubmit(t *rapid.T) {
	a := m.pick(t)
	a.requests = append(a.requests, m.h.submit(a.key, a.kind, a.tasks, a.deadline))
}

func (m *machine) cancel(t *rapid.T) {
	a := m.pick(t)
	a.requests = append(a.requests, m.h.cancel(a.key))
}

func (m *machine) agent(t *rapid.T) *standin {
	return m.h.agents[rapid.IntRange(0, len(m.h.agents)-1).Draw(t, "agent")]
}

func (m *machine) deliverToAgent(t *rapid.T) {
	m.h.deliverToAgent(m.agent(t))
}

// deliverAll delivers everything, so that a run gets beyond long exchanges.
func (m *machine) deliverAll(*rapid.T) {
	m.h.paused = false
	m.h.deliverAll()
	m.h.paused = true
}

func (m *machine) deliverToOwner(t *rapid.T) {
	m.h.deliverToOwner(m.agent(t))
}

func (m *machine) finish(t *rapid.T) {
	a := m.agent(t)
	if a.dead || len(a.running) == 0 {
		t.Skip("nothing runs")
	}
	r := outcome.Success([]byte("x"), 100*time.Millisecond)
	if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
		r = outcome.Failure("failed", 100*time.Millisecond)
	}
	m.h.finish(a, rapid.IntRange(0, len(a.running)-1).Draw(t, "task"), r)
}

func (m *machine) advance(t *rapid.T) {
	m.h.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) kill(t *rapid.T) {
	alive := 0
	for _, a := range m.h.agents {
		if !a.dead {
			alive++
		}
	}
	a := m.agent(t)
	if a.dead || alive < 3 || rapid.IntRange(0, 4).Draw(t, "rarely") > 0 {
		t.Skip("too few agents")
	}
	m.lost = append(m.lost, membership.NewMember(a.process, "", "zone", m.h.now))
	m.h.kill(a)
}

// failover replaces the owner 2 s after its last start, as the directory does.
func (m *machine) failover(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "rarely") > 0 {
		t.Skip("seldom")
	}
	for _, a := range m.h.agents {
		a.unresponsive = rapid.IntRange(0, 5).Draw(t, "mute") == 0
	}
	m.h.now = m.h.now.Add(2 * time.Second)
	for s := range identity.Shard(shards) {
		m.h.handle(membership.NewReleased(s))
	}
	// Starts of the previous owner in transit would arrive with stale credits.
	for _, a := range m.h.agents {
		a.inbox = nil
	}
	var agentMembers []membership.Member
	for _, r := range m.h.agentMembers() {
		for _, l := range m.lost {
			if l.Process() == r.Process() {
				r = l
			}
		}
		agentMembers = append(agentMembers, r)
	}
	m.epoch++
	m.ownerCount++
	m.h.startOwner("owner-"+string(rune('a'+m.ownerCount%26))+string(rune('a'+m.ownerCount/26)), m.epoch, agentMembers)
}

func (m *machine) check(t *rapid.T) {
	for task, n := range m.h.starts {
		if n > m.maxStarts(task.Submission()) {
			t.Fatalf("task %s started %d times", task, n)
		}
	}
	for _, a := range m.submitted {
		// Without a later attempt, a refused submission must never start.
		if last := m.h.answers[a.requests[len(a.requests)-1]]; last.NotRun() && m.h.startsOf(a.key) > 0 {
			t.Fatalf("%s started after it was refused as not run", a.key)
		}
		var final *answer.Answer
		for _, n := range a.requests {
			got, ok := m.h.answers[n]
			if !ok {
				continue
			}
			if !m.checked[n] {
				m.checked[n] = true
				m.checkAnswer(t, a, got)
			}
			if got.State() == answer.Refused {
				continue
			}
			// An answer given while records are missing, or to a cancellation, may differ
			// from that of a previous owner. A result and a failed task may not.
			if final != nil && (final.Reason() == answer.TaskFailed && got.State() == answer.Complete || final.State() == answer.Complete && got.Reason() == answer.TaskFailed) {
				t.Fatalf("%s was answered %v and %v", a.key, final.State(), got.State())
			}
			final = &got
		}
	}
}

// maxStarts returns how often a task of a submission may start.
func (m *machine) maxStarts(s identity.Submission) int {
	for _, a := range m.submitted {
		if a.key == s && a.kind == "retried" {
			return 2
		}
	}
	return 1
}

// checkAnswer compares an answer with the starts at the time it was given.
func (m *machine) checkAnswer(t *rapid.T, a *submitted, got answer.Answer) {
	n := m.h.startsOf(a.key)
	switch {
	case got.NotRun() && n > 0:
		t.Fatalf("%s was refused as not run (%v) after %d starts", a.key, got.Reason(), n)
	case got.State() == answer.Complete && (n < a.tasks || n > a.tasks*m.maxStarts(a.key)):
		t.Fatalf("%s is complete after %d of %d starts", a.key, n, a.tasks)
	case got.State() == answer.Complete && len(got.Results()) != a.tasks:
		t.Fatalf("%s has %d of %d results", a.key, len(got.Results()), a.tasks)
	case got.State() == answer.Failed && got.Ran() == answer.RanSomething && n == 0:
		t.Fatalf("%s is said to have run something, without a start", a.key)
	case got.State() == answer.Failed && got.Ran() == answer.RanNothing:
		t.Fatalf("%s failed although nothing ran", a.key)
	}
}
