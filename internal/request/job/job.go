// Package job follows one submission from acceptance to its answer.
//
// A job is a set of tasks of which each starts at most as often as its kind
// permits. The job ends complete when every task succeeded, and failed as soon
// as one task cannot succeed. A failed job keeps its tasks' states, since the
// answer says what is known about those that ran. The answer is built once, when
// the job ends, so that no caller can see a partial one.
package job

import (
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// ErrState reports a step that the task's state does not permit.
var ErrState = errors.New("step does not fit the task's state")

// taskState is where a task stands at the owner.
type taskState uint8

const (
	waiting taskState = iota // Not sent to any agent, or certainly not started.
	sent                     // Sent to an agent that has not answered.
	ended                    // The result is known.
)

// task is one task of the job; agent is where it was sent.
type task struct {
	state  taskState
	starts uint8
	agent  identity.Process
	result outcome.Result
}

// Job is one accepted submission.
type Job struct {
	order    Order
	kind     configuration.Kind
	accepted time.Time
	tasks    []task
	open     int
	started  int
	unknown  int
	answer   answer.Answer
}

// New returns a job of which nothing has started.
func New(now time.Time, o Order, k configuration.Kind) *Job {
	return &Job{
		order:    o,
		kind:     k,
		accepted: now,
		tasks:    make([]task, len(o.payloads)),
		open:     len(o.payloads),
		answer:   answer.Pending(),
	}
}

// Order is what the caller submitted.
func (j *Job) Order() Order {
	return j.order
}

// Kind is the request kind in the version under which the job was accepted.
func (j *Job) Kind() configuration.Kind {
	return j.kind
}

// Accepted is when the owner accepted the job.
func (j *Job) Accepted() time.Time {
	return j.accepted
}

// Tasks is the number of tasks.
func (j *Job) Tasks() int {
	return len(j.tasks)
}

// Answer is what the caller is told now.
func (j *Job) Answer() answer.Answer {
	return j.answer
}

// Started is the number of starts sent and not refused by an agent.
func (j *Job) Started() int {
	return j.started
}

// Waiting tells whether the task may be sent to an agent now.
func (j *Job) Waiting(index uint32) bool {
	return !j.answer.Ended() && j.tasks[index].state == waiting
}

// Agent is where a task was sent; ok is false unless its result is open.
func (j *Job) Agent(index uint32) (p identity.Process, ok bool) {
	t := &j.tasks[index]
	return t.agent, t.state == sent
}

// Send marks a task as sent to an agent.
func (j *Job) Send(index uint32, agent identity.Process) error {
	t := &j.tasks[index]
	if !j.Waiting(index) {
		return errors.Wrapf(ErrState, "task %d cannot be sent", index)
	}
	t.state = sent
	t.starts++
	t.agent = agent
	j.started++
	return nil
}

// NotStarted takes back a start that certainly did not and cannot take effect.
func (j *Job) NotStarted(index uint32, agent identity.Process) bool {
	t := &j.tasks[index]
	if t.state != sent || t.agent != agent {
		return false
	}
	t.state = waiting
	t.starts--
	j.started--
	return true
}

// Adopt takes over a start that another owner made.
func (j *Job) Adopt(index uint32, agent identity.Process) bool {
	t := &j.tasks[index]
	if t.state != waiting {
		return false
	}
	t.state = sent
	t.starts++
	t.agent = agent
	j.started++
	return true
}

// End stores the result of a task. It tells whether the job ended by it.
// Results for tasks that are not open are ignored: replies arrive late or twice.
func (j *Job) End(index uint32, agent identity.Process, r outcome.Result) bool {
	if int(index) >= len(j.tasks) {
		return false
	}
	t := &j.tasks[index]
	if t.state != sent || t.agent != agent {
		return false
	}
	if r.State() == outcome.Revoked {
		j.NotStarted(index, agent)
		return false
	}
	if r.State() == outcome.Failed && int(t.starts) < j.kind.MaxStarts() && !j.answer.Ended() {
		t.state = waiting
		return false
	}
	t.state = ended
	t.result = r
	j.open--
	if r.State() == outcome.Unknown {
		j.unknown++
	}
	if j.answer.Ended() {
		return false
	}
	switch r.State() {
	case outcome.Succeeded:
		return j.complete()
	case outcome.Failed:
		return j.fail(answer.TaskFailed, r.Detail())
	}
	return j.fail(answer.OutcomeUnknown, r.Detail())
}

func (j *Job) complete() bool {
	if j.open > 0 {
		return false
	}
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].result.Body()
	}
	j.answer = answer.Completion(results)
	j.drop()
	return true
}

// Fail ends the job for a reason outside its tasks, such as a cancellation.
func (j *Job) Fail(reason answer.Reason, detail string) bool {
	if j.answer.Ended() {
		return false
	}
	return j.fail(reason, detail)
}

func (j *Job) fail(reason answer.Reason, detail string) bool {
	ran := answer.RanNothing
	switch {
	case j.unknown > 0:
		ran = answer.RanUnknown
	case j.started > 0:
		ran = answer.RanSomething
	}
	j.answer = answer.Failure(reason, detail, ran)
	j.drop()
	return true
}

// drop frees what only a running job needs.
func (j *Job) drop() {
	j.order.payloads = nil
	for i := range j.tasks {
		j.tasks[i].result = outcome.Result{}
	}
}

// Open lists the agents that hold starts without a result, each once.
func (j *Job) Open() []identity.Process {
	var agents []identity.Process
	seen := map[identity.Process]bool{}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == sent && !seen[t.agent] {
			seen[t.agent] = true
			agents = append(agents, t.agent)
		}
	}
	return agents
}
