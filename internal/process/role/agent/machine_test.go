package agent_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/membership"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/request/message"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// model predicts what the agent may do, independently of its implementation.
type model struct {
	epochs   map[identity.Shard]identity.Epoch
	owners   map[identity.Shard]identity.Process
	started  map[identity.Task]int // Starts that may have reached a back end.
	running  map[identity.Task]string
	revoked  map[identity.Submission]bool
	failed   map[identity.Task]bool
	slots    map[string]int
	used     map[string]int
	until    map[string]time.Time
	lease    time.Time
	draining bool
}

// machine applies random events to an agent and to its model.
type machine struct {
	*bench
	model
	from    identity.Process
	reports []report
	waking  bool
}

// report is a sent message with the epoch of its shard when it was sent.
type report struct {
	send        message.Send
	epoch       identity.Epoch
	undelivered bool
}

func (m *machine) shard(task identity.Task) identity.Shard {
	return identity.Shard(task.Submission().Key()[15] % 2)
}

// check compares the effects of one event, and the state after it, with the model.
func (m *machine) check(t *rapid.T, start *message.Start, list []any) {
	for _, e := range list {
		switch e := e.(type) {
		case agent.Call:
			m.called(t, start, e)
		case agent.Place:
			t.Fatalf("a task was placed on a worker, but there is none")
		case agent.Drained:
			if len(m.running) > 0 || !m.draining {
				t.Fatalf("the agent reports itself drained while %d tasks run", len(m.running))
			}
		case message.Send:
			m.reported(t, e)
		}
	}
	s := m.agent.Snapshot()
	if s.Running() != len(m.running) {
		t.Fatalf("%d tasks run, but the agent counts %d", len(m.running), s.Running())
	}
	offered := 0
	for _, state := range s.Targets() {
		offered += state.Offered()
		if state.Used() != m.used[state.Name()] || state.Used()+state.Offered() > max(state.Slots(), m.used[state.Name()]) {
			t.Fatalf("%d tasks run at %s with %d slots, the agent counts %d and offers %d",
				m.used[state.Name()], state.Name(), state.Slots(), state.Used(), state.Offered())
		}
	}
	if offered != s.Offers() {
		t.Fatalf("there are %d offers, but %d slots are offered", s.Offers(), offered)
	}
	if c, ok := m.capacities["print"]; ok && c.Free() > 0 && s.Draining() {
		t.Fatalf("a draining agent publishes %d free slots", c.Free())
	}
}

// reported checks a result or a rejection. One that is sent again must still be valid.
func (m *machine) reported(t *rapid.T, s message.Send) {
	var task identity.Task
	switch b := s.Body().(type) {
	case message.Finished:
		task = b.Task()
		if s.To() != m.owners[m.shard(task)] {
			t.Fatalf("the result of %s was sent to %s, but the owner is %s", task, s.To(), m.owners[m.shard(task)])
		}
	case message.Rejected:
		task = b.Task()
	default:
		return
	}
	if m.waking && !m.removeUndelivered(s, task) {
		t.Fatalf("%T for %s was sent again, but is no longer valid", s.Body(), task)
	}
	m.reports = append(m.reports, report{
		send:  s,
		epoch: m.epochs[m.shard(task)],
	})
}

// removeUndelivered reports whether the message repeats an undelivered report whose shard has
// not been fenced since it was sent, and removes that report.
func (m *machine) removeUndelivered(s message.Send, task identity.Task) bool {
	_, finished := s.Body().(message.Finished)
	_, runs := m.running[task]
	for n, r := range m.reports {
		var same bool
		switch b := r.send.Body().(type) {
		case message.Finished:
			same = finished && b.Task() == task && !runs
		case message.Rejected:
			same = !finished && b.Task() == task
		}
		if r.undelivered && same && r.send.To() == s.To() && r.epoch == m.epochs[m.shard(task)] {
			m.reports = slices.Delete(m.reports, n, n+1)
			return true
		}
	}
	return false
}

// undeliver tells the agent that one of the latest reports was not sent.
func (m *machine) undeliver(t *rapid.T) {
	if len(m.reports) == 0 {
		return
	}
	n := rapid.IntRange(max(len(m.reports)-5, 0), len(m.reports)-1).Draw(t, "report")
	if m.reports[n].undelivered {
		return
	}
	m.reports[n].undelivered = true
	m.check(t, nil, m.handle(message.NewUndelivered(m.reports[n].send)))
}

func (m *machine) called(t *rapid.T, start *message.Start, c agent.Call) {
	task := c.Task()
	switch {
	case start == nil || start.Task() != task:
		t.Fatalf("%s was called without a start", task)
	case start.Grant().Epoch() < m.epochs[m.shard(task)]:
		t.Fatalf("%s started at epoch %d, the shard is at %d", task, start.Grant().Epoch(), m.epochs[m.shard(task)])
	case !m.lease.After(m.now), m.draining:
		t.Fatalf("%s started without a lease or while draining", task)
	case start.Credit()+500 < m.credit(m.now):
		t.Fatalf("%s started with a credit that is %d ms old", task, m.credit(m.now)-start.Credit())
	case m.revoked[task.Submission()]:
		t.Fatalf("%s started after its revocation", task)
	case m.started[task] > 0 && (start.Kind() != twice || !m.failed[task] || m.started[task] > 1):
		t.Fatalf("%s started again", task)
	case m.used[c.Target()] >= m.slots[c.Target()] || !m.until[c.Target()].After(m.now):
		t.Fatalf("%s has %d of %d slots in use, announced until %v", c.Target(), m.used[c.Target()], m.slots[c.Target()], m.until[c.Target()])
	}
	slots, reserve := m.slots[c.Target()], 0
	if slots >= 4 {
		reserve = 1
	}
	longs, others := 0, 0
	for other, target := range m.running {
		if target == c.Target() && kindFor(other) == long {
			longs++
		}
		if target == c.Target() && kindFor(other) != critical {
			others++
		}
	}
	// Critical tasks do not count: one may occupy the reserved slot while an offered
	// slot is used.
	if start.Kind() != critical && others >= slots-reserve {
		t.Fatalf("%s occupies the reserved slot", task)
	}
	if start.Kind() == long && longs >= max(slots/2, 1) {
		t.Fatalf("%d long tasks run in %d slots, one more started", longs, slots)
	}
	m.started[task]++
	m.failed[task] = false
	m.running[task] = c.Target()
	m.used[c.Target()]++
	m.epochs[m.shard(task)] = start.Grant().Epoch()
	m.owners[m.shard(task)] = m.from
}

var owners = []identity.Process{one, two}

// owner draws an epoch for a shard: the previous one, the current one, or one of the
// next two. Each epoch has one owner.
func (m *machine) owner(t *rapid.T, s identity.Shard) (identity.Process, identity.Epoch) {
	epoch := max(m.epochs[s], 10) + identity.Epoch(rapid.SampledFrom([]int{1, 1, 1, 0, 2, 3}).Draw(t, "epoch")) - 1
	return owners[epoch%2], epoch
}

func kindFor(task identity.Task) string {
	return []string{normal, critical, long, twice}[task.Index()%4]
}

func (m *machine) start(t *rapid.T) {
	task := taskOf(rapid.IntRange(0, 40).Draw(t, "task") * 33)
	kind := kindFor(task)
	var epoch identity.Epoch
	m.from, epoch = m.owner(t, m.shard(task))
	age := rapid.SampledFrom([]uint64{0, 0, 0, 0, 0, 500, 501}).Draw(t, "age")
	msg := message.NewStart(task, message.NewGrant(m.shard(task), epoch), m.credit(m.now)-min(age, m.credit(m.now)), kind, nil, time.Time{})
	list := m.receive(m.from, msg)
	if n := len(effects[agent.Call](list)) + len(sent[message.Rejected](list, m.from)); n != 1 {
		t.Fatalf("a start has %d answers, want 1", n)
	}
	m.check(t, &msg, list)
}

func (m *machine) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	var list []identity.Task
	for n := range 41 {
		if _, ok := m.running[taskOf(n*33)]; ok {
			list = append(list, taskOf(n*33))
		}
	}
	task := rapid.SampledFrom(list).Draw(t, "task")
	r := rapid.SampledFrom([]outcome.Result{success(), success(), outcome.Failure("no", 1), outcome.Lost("cut"), outcome.Revocation("refused")}).Draw(t, "result")
	m.used[m.running[task]]--
	delete(m.running, task)
	m.failed[task] = r.State() == outcome.Failed
	if r.State() == outcome.Revoked {
		m.started[task]--
		m.failed[task] = m.started[task] > 0
	}
	got := m.end(task, r)
	if len(sent[message.Finished](got, m.owners[m.shard(task)])) != 1 {
		t.Fatalf("the result of %s was not reported to its owner", task)
	}
	m.check(t, nil, got)
}

func (m *machine) announceTarget(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target")
	slots := rapid.SampledFrom([]int{1, 3, 4, 8}).Draw(t, "slots")
	leaving := rapid.IntRange(0, 5).Draw(t, "leaving") == 0
	if !leaving {
		m.slots[name] = slots
		m.until[name] = m.now.Add(2 * time.Second)
	} else {
		m.until[name] = time.Time{}
	}
	m.check(t, nil, m.announce(name, slots, leaving))
}

func (m *machine) pass(t *rapid.T) {
	m.waking = true
	m.check(t, nil, m.advance(rapid.SampledFrom([]time.Duration{1, 10, 20, 500, 1100}).Draw(t, "ms")*time.Millisecond))
	m.waking = false
}

func (m *machine) grant(t *rapid.T) {
	m.lease = m.now.Add(rapid.SampledFrom([]time.Duration{0, time.Minute, time.Minute}).Draw(t, "lease"))
	m.check(t, nil, m.handle(membership.NewLease(m.lease)))
}

func (m *machine) want(t *rapid.T) {
	owner := rapid.SampledFrom(owners).Draw(t, "owner")
	var demands []message.Demand
	for range rapid.IntRange(0, 3).Draw(t, "demands") {
		demands = append(demands, demandOf(configuration.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency")), rapid.Bool().Draw(t, "long"),
			uint32(rapid.IntRange(0, 9).Draw(t, "count")), rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute}).Draw(t, "oldest")))
	}
	m.check(t, nil, m.interest(owner, demands...))
}

func (m *machine) fenceShard(t *rapid.T) {
	shard := identity.Shard(rapid.IntRange(0, 1).Draw(t, "shard"))
	owner, epoch := m.owner(t, shard)
	got := m.receive(owner, message.NewFence([]message.Grant{message.NewGrant(shard, epoch)}))
	answers := sent[message.FenceReply](got, owner)
	if len(answers) != 1 {
		t.Fatalf("a fence request has %d replies, want 1", len(answers))
	}
	if (len(answers[0].Grants()) == 1) != (epoch >= m.epochs[shard]) {
		t.Fatalf("fencing at epoch %d a shard at epoch %d returned %d grants", epoch, m.epochs[shard], len(answers[0].Grants()))
	}
	if epoch >= m.epochs[shard] {
		m.epochs[shard] = epoch
		m.owners[shard] = owner
		m.checkFence(t, shard, answers[0])
	}
	m.check(t, nil, got)
}

// checkFence compares the records with the starts that may have reached a target.
func (m *machine) checkFence(t *rapid.T, shard identity.Shard, s message.FenceReply) {
	want := 0
	for task, n := range m.started {
		if n > 0 && m.shard(task) == shard {
			want++
		}
	}
	if len(s.Records()) != want {
		t.Fatalf("%d tasks of the shard started, but the reply has %d records", want, len(s.Records()))
	}
	for _, r := range s.Records() {
		if _, runs := m.running[r.Task()]; runs != (r.Result().State() == outcome.Running) {
			t.Fatalf("the reply has %s in state %s", r.Task(), r.Result().State())
		}
	}
}

func (m *machine) revokeJob(t *rapid.T) {
	task := taskOf(rapid.IntRange(0, 40).Draw(t, "task") * 33)
	shard := m.shard(task)
	owner, epoch := m.owner(t, shard)
	got := m.receive(owner, message.NewRevoke([]message.Grant{message.NewGrant(shard, epoch)}, []identity.Submission{task.Submission()}))
	answers := sent[message.Revoked](got, owner)
	if len(answers) != 1 {
		t.Fatalf("a revocation has %d replies, want 1", len(answers))
	}
	if epoch >= m.epochs[shard] {
		m.epochs[shard] = epoch
		m.owners[shard] = owner
		m.revoked[task.Submission()] = true
	}
	m.check(t, nil, got)
}

// TestMachine guards against any order of events that starts a task twice, exceeds the
// slots of a target, loses a result, or obeys a previous owner.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{
			bench: newBench(t),
			model: model{
				epochs:  map[identity.Shard]identity.Epoch{},
				owners:  map[identity.Shard]identity.Process{},
				started: map[identity.Task]int{},
				running: map[identity.Task]string{},
				revoked: map[identity.Submission]bool{},
				failed:  map[identity.Task]bool{},
				slots:   map[string]int{},
				used:    map[string]int{},
				until:   map[string]time.Time{},
				lease:   began.Add(24 * time.Hour),
			},
		}
		m.now = m.now.Add(time.Second)
		rt.Repeat(map[string]func(*rapid.T){
			"start":     m.start,
			"start2":    m.start,
			"start3":    m.start,
			"finish":    m.finish,
			"finish2":   m.finish,
			"announce":  m.announceTarget,
			"pass":      m.pass,
			"lease":     m.grant,
			"interest":  m.want,
			"seal":      m.fenceShard,
			"revoke":    m.revokeJob,
			"undeliver": m.undeliver,
			"gone": func(t *rapid.T) {
				m.check(t, nil, m.handle(message.NewProcessEnded(rapid.SampledFrom(owners).Draw(t, "owner"))))
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "drain") > 0 {
					return
				}
				m.draining = true
				got := m.handle(agent.Drain{})
				m.check(t, nil, got)
			},
		})
	})
}
