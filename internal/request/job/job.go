// Package job follows one submission from acceptance to its answer.
//
// A job is a set of tasks of which each starts at most as often as its kind
// permits. The job ends complete when every task succeeded, and failed as soon
// as one task cannot succeed. A job that is stopped from outside is answered
// once the agents have confirmed what ran, so that a refusal that claims "not
// run" is true. The answer is built once, when the job ends, so that no caller
// can see a partial one.
package job

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/outcome"
	"greengagedoor.example/greengagedoor/internal/request/answer"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// MaxResultBytes bounds the results of one job together. The answer is one frame
// of a link, which has at most 16 MB.
const MaxResultBytes = 8 << 20

// ErrState reports a step that the task's state does not permit.
var ErrState = errors.New("step does not fit the task's state")

// taskState is where a task stands at the owner.
type taskState uint8

const (
	waiting taskState = iota // Not sent to any agent, or certainly not started.
	sent                     // Sent to an agent that has not answered.
	ended                    // The result is known.
)

// task is one task of the job; holder is the index of the agent it was sent to.
type task struct {
	state    taskState
	starts   uint8
	assignee uint16
	body     []byte
}

// holder is an agent that was sent tasks of the job.
type assignee struct {
	agent identity.Process
	open  int
}

// Step is what a result changed.
type Step uint8

// The steps.
const (
	Ignored  Step = iota // The result is late or came twice.
	Progress             // The result was stored.
	Retry                // The task failed and waits for another start.
	Ended                // The job ended by the result.
)

// stop is the reason of a job that is ended from outside.
type stop struct {
	reason     answer.Reason
	detail     string
	retryAfter time.Duration
}

// Job is one accepted submission.
type Job struct {
	order          Order
	kind           configuration.Kind
	acceptedAt     time.Time
	tasks          []task
	nextUnsent     uint32
	requeued       []uint32
	assignees      []assignee
	tried          map[uint32][]identity.Process
	open           int // Tasks sent without a result.
	remaining      int // Tasks that have not succeeded.
	ran            int // Tasks that certainly ran.
	unknown        int // Tasks that may have run.
	resultBytes    int // Size of the results that are kept.
	historyUnknown bool
	stop           *stop
	answer         answer.Answer
	// The arrays of tasks and holders for jobs of one task.
	oneTask     [1]task
	oneAssignee [1]assignee
}

// New returns a job of which nothing has started.
func New(now time.Time, o Order, k configuration.Kind) *Job {
	j := &Job{
		order:      o,
		kind:       k,
		acceptedAt: now,
		remaining:  len(o.payloads),
		answer:     answer.Pending(),
	}
	j.assignees = j.oneAssignee[:0]
	if len(o.payloads) == 1 {
		j.tasks = j.oneTask[:]
	} else {
		j.tasks = make([]task, len(o.payloads))
	}
	return j
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
	return j.acceptedAt
}

// Answer is what the caller is told now.
func (j *Job) Answer() answer.Answer {
	return j.answer
}

// OpenTasks is the number of tasks sent without a result.
func (j *Job) OpenTasks() int {
	return j.open
}

// Started tells whether a task was sent and not refused by its agent.
func (j *Job) Started() bool {
	return j.open+j.ran+j.unknown > 0
}

// Stopping tells whether the job waits for agents to confirm what ran.
func (j *Job) Stopping() bool {
	return j.stop != nil && !j.answer.Ended()
}

// Waiting tells whether the task may be sent to an agent now.
func (j *Job) Waiting(index uint32) bool {
	return !j.answer.Ended() && j.stop == nil && int(index) < len(j.tasks) && j.tasks[index].state == waiting
}

// WaitingTasks is the number of tasks that were neither sent nor ended.
func (j *Job) WaitingTasks() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].state == waiting {
			n++
		}
	}
	return n
}

// Pop returns the next waiting task that has not failed before.
func (j *Job) Pop() (index uint32, ok bool) {
	for len(j.requeued) > 0 {
		last := len(j.requeued) - 1
		i := j.requeued[last]
		j.requeued = j.requeued[:last]
		if j.Waiting(i) {
			return i, true
		}
	}
	for int(j.nextUnsent) < len(j.tasks) {
		i := j.nextUnsent
		j.nextUnsent++
		if j.Waiting(i) {
			return i, true
		}
	}
	return 0, false
}

// Requeue makes a task available to Pop again.
func (j *Job) Requeue(index uint32) {
	j.requeued = append(j.requeued, index)
}

// TriedAt tells whether the task ran at an agent before.
func (j *Job) TriedAt(index uint32, agent identity.Process) bool {
	for _, p := range j.tried[index] {
		if p == agent {
			return true
		}
	}
	return false
}

// Starts is the number of starts of a task that were not refused.
func (j *Job) Starts(index uint32) int {
	return int(j.tasks[index].starts)
}

func (j *Job) assignee(agent identity.Process) int {
	for i := range j.assignees {
		if j.assignees[i].agent == agent {
			return i
		}
	}
	j.assignees = append(j.assignees, assignee{
		agent: agent,
	})
	return len(j.assignees) - 1
}

// Send marks a task as sent to an agent.
func (j *Job) Send(index uint32, agent identity.Process) error {
	if !j.Waiting(index) {
		return errors.Wrapf(ErrState, "task %d cannot be sent", index)
	}
	j.assign(index, agent)
	return nil
}

func (j *Job) assign(index uint32, agent identity.Process) {
	t := &j.tasks[index]
	i := j.assignee(agent)
	j.assignees[i].open++
	t.state = sent
	t.starts++
	t.assignee = uint16(i)
	j.open++
}

// IsOpenAt tells whether a task is open at an agent.
func (j *Job) IsOpenAt(index uint32, agent identity.Process) bool {
	if int(index) >= len(j.tasks) {
		return false
	}
	t := &j.tasks[index]
	return t.state == sent && j.assignees[t.assignee].agent == agent
}

// OpenTasksAt is the number of tasks open at an agent.
func (j *Job) OpenTasksAt(agent identity.Process) int {
	for i := range j.assignees {
		if j.assignees[i].agent == agent {
			return j.assignees[i].open
		}
	}
	return 0
}

// EachOpenTask calls f for each task that is open at an agent.
func (j *Job) EachOpenTask(agent identity.Process, f func(index uint32)) {
	for i := range j.tasks {
		if j.IsOpenAt(uint32(i), agent) {
			f(uint32(i))
		}
	}
}

// EachOpenAgent calls f for each agent that holds starts without a result.
func (j *Job) EachOpenAgent(f func(agent identity.Process)) {
	for i := range j.assignees {
		if j.assignees[i].open > 0 {
			f(j.assignees[i].agent)
		}
	}
}

// close takes a task off the open ones.
func (j *Job) close(index uint32, s taskState) {
	t := &j.tasks[index]
	t.state = s
	j.assignees[t.assignee].open--
	j.open--
}

// NotStarted takes back a start that certainly did not and cannot take effect.
func (j *Job) NotStarted(index uint32, agent identity.Process) Step {
	if !j.IsOpenAt(index, agent) {
		return Ignored
	}
	j.close(index, waiting)
	j.tasks[index].starts--
	if j.tryAnswerStop() {
		return Ended
	}
	j.releaseMemory()
	return Progress
}

// MayRetry tells whether a failed start of a task may be followed by another.
func (j *Job) MayRetry(index uint32, agent identity.Process) bool {
	return j.IsOpenAt(index, agent) && j.stop == nil && !j.answer.Ended() && j.Starts(index) < j.kind.MaxStarts()
}

// RecordResult stores the result of a task. Retry lets a failed task wait for another
// start. Results for tasks that are not open are ignored: replies arrive late or
// twice.
func (j *Job) RecordResult(index uint32, agent identity.Process, r outcome.Result, retry bool) Step {
	if !j.IsOpenAt(index, agent) {
		return Ignored
	}
	switch r.State() {
	case outcome.Running:
		return Ignored
	case outcome.Revoked:
		return j.NotStarted(index, agent)
	}
	if retry && r.State() == outcome.Failed && j.MayRetry(index, agent) {
		j.close(index, waiting)
		j.ran++
		if j.tried == nil {
			j.tried = map[uint32][]identity.Process{}
		}
		j.tried[index] = append(j.tried[index], agent)
		return Retry
	}
	j.close(index, ended)
	return j.applyResult(index, r)
}

func (j *Job) applyResult(index uint32, r outcome.Result) Step {
	switch {
	case r.State() == outcome.Unknown:
		j.unknown++
	default:
		j.ran++
	}
	if j.answer.Ended() {
		j.releaseMemory()
		return Progress
	}
	if j.stop != nil {
		if j.tryAnswerStop() {
			return Ended
		}
		return Progress
	}
	switch r.State() {
	case outcome.Succeeded:
		j.succeed(index, r.Body())
		switch {
		case j.resultBytes > MaxResultBytes:
			j.tooLarge()
		case j.remaining > 0:
			return Progress
		default:
			j.complete()
		}
	case outcome.Failed:
		j.fail(answer.TaskFailed, r.Detail())
	default:
		j.fail(answer.OutcomeUnknown, r.Detail())
	}
	return Ended
}

func (j *Job) succeed(index uint32, body []byte) {
	j.tasks[index].body = body
	j.resultBytes += len(body)
	j.remaining--
}

func (j *Job) tooLarge() {
	j.fail(answer.ResultsTooLarge, "the results have more than "+strconv.Itoa(MaxResultBytes)+" bytes")
}

func (j *Job) complete() {
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].body
	}
	j.answer = answer.Completion(results)
	j.releaseMemory()
}

// fail answers with a failure and what is known about starts.
func (j *Job) fail(reason answer.Reason, detail string) {
	ran := answer.RanNothing
	switch {
	case j.ran > 0:
		ran = answer.RanSomething
	case j.unknown > 0 || j.open > 0 || j.historyUnknown:
		ran = answer.RanUnknown
	}
	j.answer = answer.Failure(reason, detail, ran)
	j.releaseMemory()
}

// drop frees what only a running job needs, and the tasks once no result is open.
func (j *Job) releaseMemory() {
	if !j.answer.Ended() {
		return
	}
	j.order.payloads = nil
	j.requeued = nil
	j.tried = nil
	if j.open == 0 {
		j.tasks = nil
		j.assignees = nil
		j.oneTask = [1]task{}
		return
	}
	for i := range j.tasks {
		j.tasks[i].body = nil
	}
}
